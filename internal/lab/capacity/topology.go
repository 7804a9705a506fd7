package capacity

import (
	"fmt"
	"time"

	"sycamoreledge.example/internal/settings"
	"sycamoreledge.example/internal/work"
)

// Shape is the size of a fleet.
type Shape struct {
	Members int
	Regions int
	Zones   int
	Pools   int
}

// Shapes lists the measured fleet sizes, from the present one to the largest
// planned one.
var Shapes = []Shape{
	{Members: 8, Regions: 3, Zones: 6, Pools: 18},
	{Members: 80, Regions: 4, Zones: 8, Pools: 40},
	{Members: 800, Regions: 11, Zones: 27, Pools: 400},
	{Members: 2400, Regions: 31, Zones: 79, Pools: 1200},
}

// ShapeOf returns the shape with the given number of members.
func ShapeOf(members int) (Shape, error) {
	for _, s := range Shapes {
		if s.Members == members {
			return s, nil
		}
	}
	return Shape{}, fmt.Errorf("no fleet shape with %d members is defined", members)
}

// The upstreams of each pool, and the policy of each service.
const (
	upstreamsPerPool = 4
	slotsPerUpstream = 5
	dispatchTimeout  = 2 * time.Second
	deadline         = 4 * time.Second
	queueLength      = 64
)

// Topology returns a topology of the shape. Zones, members and pools are
// distributed evenly.
func (s Shape) Topology() *settings.Topology {
	top := &settings.Topology{Firm: "capacity"}
	zones := make([]string, 0, s.Zones)
	for r := range s.Regions {
		region := settings.Region{Name: fmt.Sprintf("region-%02d", r)}
		for range evenShare(s.Zones, s.Regions, r) {
			z := len(zones)
			zones = append(zones, fmt.Sprintf("zone-%02d", z))
			region.Zones = append(region.Zones, settings.Zone{
				Name:      zones[z],
				Instances: declareInstances(z, evenShare(s.Members, s.Zones, z)),
			})
		}
		top.Regions = append(top.Regions, region)
	}
	for p := range s.Pools {
		if p%s.Zones == 0 {
			top.Services = append(top.Services, settings.Service{
				Name: fmt.Sprintf("service-%02d", p/s.Zones),
				Kind: work.Lookup,
			})
		}
		service := &top.Services[len(top.Services)-1]
		service.Pools = append(service.Pools, declarePool(service.Name, zones[p%s.Zones]))
	}
	return top
}

// evenShare returns the size of part i when total is divided evenly into parts.
func evenShare(total, parts, i int) int {
	return total*(i+1)/parts - total*i/parts
}

func declareInstances(zone, count int) []settings.Instance {
	all := make([]settings.Instance, count)
	for i := range all {
		host := fmt.Sprintf("10.%d.0.%d", zone, i+1)
		all[i] = settings.Instance{
			Name:      fmt.Sprintf("entry-%02d-%02d", zone, i),
			Callers:   host + ":8080",
			Operators: host + ":8443",
			Peers:     host + ":7000",
		}
	}
	return all
}

func declarePool(service, zone string) settings.Pool {
	p := settings.Pool{Zone: zone}
	for i := range upstreamsPerPool {
		p.Upstreams = append(p.Upstreams, settings.Upstream{
			Name:  fmt.Sprintf("%s-%s-%d", service, zone, i),
			Slots: slotsPerUpstream,
		})
	}
	return p
}

// Preset returns a preset with a policy for each service.
func Preset(top *settings.Topology, name string) *settings.Preset {
	p := &settings.Preset{Name: name, Headroom: 0.2}
	for _, service := range top.Services {
		p.Services = append(p.Services, settings.ServicePolicy{
			Name:            service.Name,
			Deadline:        deadline,
			DispatchTimeout: dispatchTimeout,
			Queue:           queueLength,
			HedgeQuantile:   0.95,
			HedgeBudget:     0.05,
			RetryBudget:     0.05,
			ShiftRate:       100,
			ShiftRamp:       10 * time.Second,
		})
	}
	return p
}

// timing holds the default control settings.
var timing = settings.ControlSettings{
	Tick:      100 * time.Millisecond,
	Heartbeat: 300 * time.Millisecond,
	Lease:     1500 * time.Millisecond,
	Digest:    500 * time.Millisecond,
	MaxAge:    5 * time.Second,
}
