package settings

import (
	"iter"
	"time"

	"sycamoreledge.example/internal/work"
)

// bytesPerMegabit is the number of bytes in a megabit of 10^6 bits.
const bytesPerMegabit = 1e6 / 8

// BytesPerSecond converts a rate in Mbit/s to bytes per second.
func BytesPerSecond(megabits float64) float64 { return megabits * bytesPerMegabit }

// BytesPerSecond returns the rate of the link in each direction.
func (l *Link) BytesPerSecond() float64 { return BytesPerSecond(l.Rate) }

// BytesPerSecond returns the cap of the link in each direction.
func (l *LinkPolicy) BytesPerSecond() float64 { return BytesPerSecond(l.Cap) }

// OneWay returns the one-way latency of the link.
func (l *Link) OneWay() time.Duration {
	return time.Duration(l.Latency * float64(time.Millisecond))
}

// Zones yields all zones with their regions, in order of declaration.
func (t *Topology) Zones() iter.Seq2[*Region, *Zone] {
	return func(yield func(*Region, *Zone) bool) {
		for i := range t.Regions {
			region := &t.Regions[i]
			for j := range region.Zones {
				if !yield(region, &region.Zones[j]) {
					return
				}
			}
		}
	}
}

// Instances returns all instances in order of declaration.
func (t *Topology) Instances() []Instance {
	var all []Instance
	for _, zone := range t.Zones() {
		all = append(all, zone.Instances...)
	}
	return all
}

// Instance returns the instance of the given name, and whether it is declared.
func (t *Topology) Instance(name string) (Instance, bool) {
	for _, inst := range t.Instances() {
		if inst.Name == name {
			return inst, true
		}
	}
	return Instance{}, false
}

// Peers returns all declared instances except the named one.
func (t *Topology) Peers(instance string) []Instance {
	var peers []Instance
	for _, inst := range t.Instances() {
		if inst.Name != instance {
			peers = append(peers, inst)
		}
	}
	return peers
}

// ZoneOf returns the zone of an instance, or "" when it is not declared.
func (t *Topology) ZoneOf(instance string) string {
	for _, zone := range t.Zones() {
		for i := range zone.Instances {
			if zone.Instances[i].Name == instance {
				return zone.Name
			}
		}
	}
	return ""
}

// RegionOf returns the region of a zone, or "" when it is not declared.
func (t *Topology) RegionOf(zone string) string {
	for region, z := range t.Zones() {
		if z.Name == zone {
			return region.Name
		}
	}
	return ""
}

// InstancesOfRegion returns the number of declared instances of a region, among
// which the caps of the region are divided.
func (t *Topology) InstancesOfRegion(region string) int {
	n := 0
	for r, zone := range t.Zones() {
		if r.Name == region {
			n += len(zone.Instances)
		}
	}
	return n
}

// NextZoneInRegion returns the zone declared after the given one in its region;
// the first zone follows the last. It returns "" when the region has no other zone
// or the zone is not declared.
func (t *Topology) NextZoneInRegion(zone string) string {
	for region, z := range t.Zones() {
		if z.Name == zone {
			return region.nextZone(zone)
		}
	}
	return ""
}

func (r *Region) nextZone(zone string) string {
	if len(r.Zones) < 2 {
		return ""
	}
	for i := range r.Zones {
		if r.Zones[i].Name == zone {
			return r.Zones[(i+1)%len(r.Zones)].Name
		}
	}
	return ""
}

// Service returns the named service, or nil when it is not declared.
func (t *Topology) Service(name string) *Service {
	for i := range t.Services {
		if t.Services[i].Name == name {
			return &t.Services[i]
		}
	}
	return nil
}

// Pool returns the pool of a service in a zone, or nil when it is not declared.
func (t *Topology) Pool(id work.PoolID) *Pool {
	service := t.Service(id.Service)
	if service == nil {
		return nil
	}
	for i := range service.Pools {
		if service.Pools[i].Zone == id.Zone {
			return &service.Pools[i]
		}
	}
	return nil
}

// PoolIDs returns the IDs of all pools in order of declaration.
func (t *Topology) PoolIDs() []work.PoolID {
	var ids []work.PoolID
	for i := range t.Services {
		for j := range t.Services[i].Pools {
			ids = append(ids, work.PoolID{Service: t.Services[i].Name, Zone: t.Services[i].Pools[j].Zone})
		}
	}
	return ids
}

// Link returns the link between two regions, given in any order, or nil when it
// is not declared.
func (t *Topology) Link(a, b string) *Link {
	for i := range t.Links {
		if connects(t.Links[i].Between, a, b) {
			return &t.Links[i]
		}
	}
	return nil
}

// HasUpstream reports whether an upstream is declared.
func (t *Topology) HasUpstream(name string) bool {
	for i := range t.Services {
		for j := range t.Services[i].Pools {
			for k := range t.Services[i].Pools[j].Upstreams {
				if t.Services[i].Pools[j].Upstreams[k].Name == name {
					return true
				}
			}
		}
	}
	return false
}

// Service returns the policy of the named service, or nil when there is none.
func (p *Preset) Service(name string) *ServicePolicy {
	for i := range p.Services {
		if p.Services[i].Name == name {
			return &p.Services[i]
		}
	}
	return nil
}

// Link returns the policy of the link between two regions, given in any order, or
// nil when there is none.
func (p *Preset) Link(a, b string) *LinkPolicy {
	for i := range p.Links {
		if connects(p.Links[i].Between, a, b) {
			return &p.Links[i]
		}
	}
	return nil
}

func connects(between []string, a, b string) bool {
	if len(between) != 2 {
		return false
	}
	return between[0] == a && between[1] == b || between[0] == b && between[1] == a
}
