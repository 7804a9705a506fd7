package settings

import (
	"time"

	"sycamoreledge.example/internal/work"
)

// Topology is the declared deployment of one firm: it is the same file on all
// instances. Limits are computed from what is declared here and not from what
// is alive, so that shares add up to their cap through any partition.
type Topology struct {
	Firm     string    `yaml:"firm" validate:"required"`
	Regions  []Region  `yaml:"regions" validate:"required,dive"`
	Services []Service `yaml:"services" validate:"required,dive"`
	Links    []Link    `yaml:"links" validate:"dive"`
	// Blocks maps callers' address blocks to availability zones by longest
	// prefix match.
	Blocks []Block `yaml:"blocks" validate:"dive"`
}

// Region is a group of availability zones that are close to each other.
type Region struct {
	Name  string `yaml:"name" validate:"required"`
	Zones []Zone `yaml:"zones" validate:"required,dive"`
}

// Zone is an availability zone with its declared instances.
type Zone struct {
	Name      string     `yaml:"name" validate:"required"`
	Instances []Instance `yaml:"instances" validate:"dive"`
}

// Instance is a declared entry instance. A replacement takes over the name.
type Instance struct {
	Name string `yaml:"name" validate:"required"`
	// Callers, Operators and Peers are the listeners' addresses, IP:port.
	Callers   string `yaml:"callers" validate:"required,hostname_port"`
	Operators string `yaml:"operators" validate:"required,hostname_port"`
	Peers     string `yaml:"peers" validate:"required,hostname_port"`
}

// Service is one kind of work that callers may ask for.
type Service struct {
	Name  string    `yaml:"name" validate:"required"`
	Kind  work.Kind `yaml:"kind" validate:"required,oneof=lookup order upload"`
	Pools []Pool    `yaml:"pools" validate:"required,dive"`
	// ServiceTime is the mean time for which a request holds a slot, against
	// which presets are checked. Without it a time is assumed by kind.
	ServiceTime time.Duration `yaml:"service_time" validate:"gte=0"`
}

// Pool is the upstreams of a service in one zone.
type Pool struct {
	Zone      string     `yaml:"zone" validate:"required"`
	Upstreams []Upstream `yaml:"upstreams" validate:"dive"`
}

// Upstream is one back end process.
type Upstream struct {
	Name    string `yaml:"name" validate:"required"`
	Address string `yaml:"address" validate:"required,hostname_port"`
	// Slots is the number of requests the upstream runs at the same time.
	Slots int `yaml:"slots" validate:"required,min=1,max=1024"`
}

// Link is a connection between two regions, with its rate in each direction.
type Link struct {
	Between []string `yaml:"between" validate:"required,len=2"`
	// Rate is in Mbit/s (10^6 bits), shared by all traffic.
	Rate float64 `yaml:"rate" validate:"gt=0"`
	// Latency is one way, in milliseconds.
	Latency float64 `yaml:"latency" validate:"gte=0"`
}

// Block assigns an address block of callers to a zone.
type Block struct {
	Prefix string `yaml:"prefix" validate:"required,cidr"`
	Zone   string `yaml:"zone" validate:"required"`
}
