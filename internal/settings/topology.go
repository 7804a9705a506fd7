package settings

import (
	"time"

	"sycamoreledge.example/internal/work"
)

// Topology is the declared topology of one deployment; the file is the same on all
// instances. Limits are computed from the declared instances and not from the live
// ones, so that the shares of a cap never add up to more than the cap, even during
// a network partition.
type Topology struct {
	Firm     string    `yaml:"firm" validate:"required"`
	Regions  []Region  `yaml:"regions" validate:"required,dive"`
	Services []Service `yaml:"services" validate:"required,dive"`
	Links    []Link    `yaml:"links" validate:"dive"`
	// Blocks maps address blocks of callers to availability zones by longest
	// prefix match.
	Blocks []Block `yaml:"blocks" validate:"dive"`
}

// Region is a group of availability zones with low latency between each other.
type Region struct {
	Name  string `yaml:"name" validate:"required"`
	Zones []Zone `yaml:"zones" validate:"required,dive"`
}

// Zone is an availability zone with its declared instances.
type Zone struct {
	Name      string     `yaml:"name" validate:"required"`
	Instances []Instance `yaml:"instances" validate:"dive"`
}

// Instance is a declared entry instance. A replacement process takes over the name.
type Instance struct {
	Name string `yaml:"name" validate:"required"`
	// Callers, Operators and Peers are the addresses of the listeners, IP:port.
	Callers   string `yaml:"callers" validate:"required,hostname_port"`
	Operators string `yaml:"operators" validate:"required,hostname_port"`
	Peers     string `yaml:"peers" validate:"required,hostname_port"`
}

// Service is a service that callers can send requests to.
type Service struct {
	Name  string    `yaml:"name" validate:"required"`
	Kind  work.Kind `yaml:"kind" validate:"required,oneof=lookup order upload"`
	Pools []Pool    `yaml:"pools" validate:"required,dive"`
	// ServiceTime is the mean time for which a request occupies a slot, used to
	// check presets. 0 selects a default that depends on the kind.
	ServiceTime time.Duration `yaml:"service_time" validate:"gte=0"`
}

// Pool holds the upstreams of a service in one zone.
type Pool struct {
	Zone      string     `yaml:"zone" validate:"required"`
	Upstreams []Upstream `yaml:"upstreams" validate:"dive"`
}

// Upstream is one backend process.
type Upstream struct {
	Name    string `yaml:"name" validate:"required"`
	Address string `yaml:"address" validate:"required,hostname_port"`
	// Slots is the number of requests that the upstream runs concurrently.
	Slots int `yaml:"slots" validate:"required,min=1,max=1024"`
}

// Link is a network connection between two regions.
type Link struct {
	Between []string `yaml:"between" validate:"required,len=2"`
	// Rate is the capacity in each direction in Mbit/s (10^6 bits), shared by all
	// traffic.
	Rate float64 `yaml:"rate" validate:"gt=0"`
	// Latency is the one-way latency in milliseconds.
	Latency float64 `yaml:"latency" validate:"gte=0"`
}

// Block assigns an address block of callers to a zone.
type Block struct {
	Prefix string `yaml:"prefix" validate:"required,cidr"`
	Zone   string `yaml:"zone" validate:"required"`
}
