// Package firm reads the committed deployment of a firm and writes a run of it
// for one machine: the same topology on loopback addresses, the settings of
// each instance and the forwards that stand between the availability zones.
package firm

import (
	"os"
	"path/filepath"
	"sort"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/zeebo/errs"

	"sycamoreledge.example/internal/settings"
	"sycamoreledge.example/internal/work"
)

// Error is the class of errors of this package.
var Error = errs.Class("firm")

// Names of the files of a firm's directory.
const (
	topologyFile = "topology.yaml"
	settingsFile = "entry.yaml"
	worldFile    = "lab.yaml"
	presetsDir   = "presets"
)

// Firm is the deployment of one firm with its surroundings.
type Firm struct {
	Topology settings.Topology
	Settings settings.Settings
	// Presets are ordered by name.
	Presets []settings.Preset
	World   World
}

// World describes what surrounds the instances.
type World struct {
	// PlatformZone is the availability zone of the platform.
	PlatformZone string `yaml:"platform_zone" json:"platform_zone"`
	// ZoneLatency is one way, between the zones of one region.
	ZoneLatency time.Duration `yaml:"zone_latency" json:"zone_latency"`
	// CallerLatency is one way, between a caller and its own zone.
	CallerLatency time.Duration `yaml:"caller_latency" json:"caller_latency"`
	// ConnectTime is what a new connection costs beside the latency.
	ConnectTime time.Duration `yaml:"connect_time" json:"connect_time"`
	// ProbeTime is how long an upstream takes to answer a health probe.
	ProbeTime time.Duration `yaml:"probe_time" json:"probe_time"`
	// Connections is the largest number of connections of one upstream.
	Connections int           `yaml:"connections" json:"connections"`
	Services    []ServiceTime `yaml:"services" json:"services"`
	Neighbours  Neighbours    `yaml:"neighbours" json:"neighbours"`
}

// Neighbours describes slow-downs that come from other tenants of the
// upstreams' machines.
type Neighbours struct {
	// Interval is the mean time between two slow-downs of one upstream; 0 is
	// never.
	Interval time.Duration `yaml:"interval" json:"interval"`
	Duration time.Duration `yaml:"duration" json:"duration"`
	// Factor multiplies the service time meanwhile.
	Factor float64 `yaml:"factor" json:"factor"`
}

// ServiceTime describes how long the upstreams of a service take.
type ServiceTime struct {
	Name string `yaml:"name" json:"name"`
	// ServiceTime is the mean without stragglers, cold start and slow-downs.
	ServiceTime time.Duration `yaml:"service_time" json:"service_time"`
	// StragglerShare of the requests take StragglerFactor times longer.
	StragglerShare  float64 `yaml:"straggler_share" json:"straggler_share"`
	StragglerFactor float64 `yaml:"straggler_factor" json:"straggler_factor"`
	// The first ColdRequests after a start take ColdFactor times longer.
	ColdRequests int     `yaml:"cold_requests" json:"cold_requests"`
	ColdFactor   float64 `yaml:"cold_factor" json:"cold_factor"`
	// TransferRate is the pace at which a body is stored, in Mbit/s (10^6
	// bits); 0 is without limit.
	TransferRate float64 `yaml:"transfer_rate" json:"transfer_rate"`
}

// Load reads the firm in the directory.
func Load(dir string) (*Firm, error) {
	f := &Firm{}
	if err := readYAML(filepath.Join(dir, topologyFile), &f.Topology); err != nil {
		return nil, err
	}
	if err := readYAML(filepath.Join(dir, settingsFile), &f.Settings); err != nil {
		return nil, err
	}
	if err := readYAML(filepath.Join(dir, worldFile), &f.World); err != nil {
		return nil, err
	}
	files, err := filepath.Glob(filepath.Join(dir, presetsDir, "*.yaml"))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	sort.Strings(files)
	for _, file := range files {
		var p settings.Preset
		if err := readYAML(file, &p); err != nil {
			return nil, err
		}
		f.Presets = append(f.Presets, p)
	}
	return f, nil
}

// Zones returns the names of all availability zones in declared order.
func Zones(t *settings.Topology) []string {
	var names []string
	for _, region := range t.Regions {
		for _, zone := range region.Zones {
			names = append(names, zone.Name)
		}
	}
	return names
}

// RegionOf returns the region of an availability zone, or "".
func RegionOf(t *settings.Topology, zone string) string { return t.RegionOf(zone) }

// ZoneSlots sums the slots of a service in an availability zone.
func ZoneSlots(s *settings.Service, zone string) int {
	n := 0
	for _, pool := range s.Pools {
		if pool.Zone != zone {
			continue
		}
		for _, u := range pool.Upstreams {
			n += u.Slots
		}
	}
	return n
}

// Latency returns the one-way latency between two availability zones.
func Latency(t *settings.Topology, w *World, a, b string) time.Duration {
	if a == b {
		return 0
	}
	from, to := RegionOf(t, a), RegionOf(t, b)
	if from == to {
		return w.ZoneLatency
	}
	if link := linkBetween(t, from, to); link != nil {
		return time.Duration(link.Latency * float64(time.Millisecond))
	}
	return 0
}

// ServiceTimeOf returns the times of a service.
func (w *World) ServiceTimeOf(service string) ServiceTime {
	for _, s := range w.Services {
		if s.Name == service {
			return s
		}
	}
	return ServiceTime{Name: service}
}

// KindOf returns the kind of a service, or "".
func KindOf(t *settings.Topology, service string) work.Kind {
	for _, s := range t.Services {
		if s.Name == service {
			return s.Kind
		}
	}
	return ""
}

// linkBetween returns the link of two regions, or nil.
func linkBetween(t *settings.Topology, a, b string) *settings.Link {
	for i := range t.Links {
		l := &t.Links[i]
		if (l.Between[0] == a && l.Between[1] == b) || (l.Between[0] == b && l.Between[1] == a) {
			return l
		}
	}
	return nil
}

// readYAML decodes a file and refuses fields that it does not know.
func readYAML(path string, v any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return Error.Wrap(err)
	}
	if err := yaml.UnmarshalWithOptions(data, v, yaml.Strict()); err != nil {
		return Error.New("%s: %w", path, err)
	}
	return nil
}

// writeYAML encodes a value into a file.
func writeYAML(path string, v any) error {
	data, err := yaml.Marshal(v)
	if err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(os.WriteFile(path, data, filePerm))
}
