package settings

import (
	"fmt"
	"regexp"
	"slices"
	"time"

	"sycamoreledge.example/internal/work"
)

// presetName keeps the names of presets usable in paths and on command lines.
var presetName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// checkPolicies checks a preset by itself.
func checkPolicies(p *Preset) problems {
	var found problems
	if !presetName.MatchString(p.Name) {
		found.addf("name", "%q may only have letters, digits, dots, underscores and hyphens", p.Name)
	}
	for i := range p.Services {
		s := &p.Services[i]
		path := fmt.Sprintf("services[%d]", i)
		if s.DispatchTimeout > s.Deadline {
			found.addf(path+".dispatch_timeout", "%v is longer than the deadline of %v", s.DispatchTimeout, s.Deadline)
		}
		if p.Service(s.Name) != s {
			found.addf(path+".name", "service %s has two policies", s.Name)
		}
	}
	for i := range p.Links {
		l := &p.Links[i]
		if p.Link(l.Between[0], l.Between[1]) != l {
			found.addf(fmt.Sprintf("links[%d].between", i), "the link has two policies")
		}
	}
	return found
}

// checkPreset checks a preset and the drains beside it against the topology.
func checkPreset(t *Topology, p *Preset, drains []Drain) problems {
	var found problems
	for i, zone := range p.DrainedZones {
		if t.RegionOf(zone) == "" {
			found.addf(fmt.Sprintf("drained_zones[%d]", i), "zone %s is not declared", zone)
		}
	}
	found = append(found, checkServices(t, p)...)
	found = append(found, checkLinks(t, p)...)
	if len(found) > 0 {
		return found
	}
	return checkCapacity(t, p, drains)
}

func checkServices(t *Topology, p *Preset) problems {
	var found problems
	for i := range p.Services {
		s := &p.Services[i]
		path := fmt.Sprintf("services[%d]", i)
		declared := t.Service(s.Name)
		if declared == nil {
			found.addf(path+".name", "service %s is not declared", s.Name)
			continue
		}
		if s.HedgeQuantile > 0 && !declared.Kind.Idempotent() {
			found.addf(path+".hedge_quantile", "work of kind %s must run at most once and cannot be hedged", declared.Kind)
		}
	}
	for i := range t.Services {
		if p.Service(t.Services[i].Name) == nil {
			found.addf("services", "service %s has no policy", t.Services[i].Name)
		}
	}
	return found
}

func checkLinks(t *Topology, p *Preset) problems {
	var found problems
	for i := range p.Links {
		l := &p.Links[i]
		path := fmt.Sprintf("links[%d]", i)
		link := t.Link(l.Between[0], l.Between[1])
		if link == nil {
			found.addf(path+".between", "no link between %s and %s is declared", l.Between[0], l.Between[1])
			continue
		}
		if l.Cap > link.Rate {
			found.addf(path+".cap", "%g Mbit/s is above the link's rate of %g Mbit/s", l.Cap, link.Rate)
		}
	}
	return found
}

// capacity is what is left of one service when the drains are in force.
type capacity struct {
	service *Service
	policy  *ServicePolicy
	// index is the place of the policy in the preset.
	index int
	// open and drained count slots by region.
	open    map[string]int
	drained map[string]int
}

func checkCapacity(t *Topology, p *Preset, drains []Drain) problems {
	var found problems
	for i := range p.Services {
		policy := &p.Services[i]
		c := &capacity{service: t.Service(policy.Name), policy: policy, index: i}
		c.count(t, p, drains)
		c.checkDrains(t, &found)
		c.checkShift(p.Headroom, &found)
	}
	return found
}

func (c *capacity) count(t *Topology, p *Preset, drains []Drain) {
	c.open = make(map[string]int)
	c.drained = make(map[string]int)
	for i := range c.service.Pools {
		pool := &c.service.Pools[i]
		region := t.RegionOf(pool.Zone)
		away := ZoneDrained(p, drains, pool.Zone)
		for _, u := range pool.Upstreams {
			if away || slices.Contains(drains, Drain{Kind: DrainUpstream, Name: u.Name}) {
				c.drained[region] += u.Slots
				continue
			}
			c.open[region] += u.Slots
		}
	}
}

// ZoneDrained reports whether the preset or a drain keeps new work away from
// a zone.
func ZoneDrained(p *Preset, drains []Drain, zone string) bool {
	return slices.Contains(p.DrainedZones, zone) ||
		slices.Contains(drains, Drain{Kind: DrainZone, Name: zone})
}

// checkDrains refuses drains that leave the rest with more work than it has
// slots for: at most half of a service may be drained, and the requests of a
// region without any slots must be allowed to leave it.
func (c *capacity) checkDrains(t *Topology, found *problems) {
	open, drained := sum(c.open), sum(c.drained)
	if drained > open {
		found.addf("drained_zones", "service %s: the drains take %d slots away and leave %d, which cannot take the work of the drained ones",
			c.service.Name, drained, open)
		return
	}
	for i := range t.Regions {
		region := t.Regions[i].Name
		if c.drained[region] > 0 && c.open[region] == 0 && c.policy.ShiftRate == 0 {
			found.addf(c.path("shift_rate"), "service %s: region %s is drained, and a shift_rate of 0 keeps its requests from leaving it",
				c.service.Name, region)
		}
	}
}

// checkShift refuses a shift rate at which the shifts of all other regions
// together hold more slots of a region than its headroom leaves to them.
func (c *capacity) checkShift(headroom float64, found *problems) {
	regions := len(c.open)
	for region := range c.drained {
		if _, ok := c.open[region]; !ok {
			regions++
		}
	}
	mean := c.service.MeanServiceTime()
	busy := c.policy.ShiftRate * float64(regions-1) * mean.Seconds()
	for region, slots := range c.open {
		room := float64(slots) * (1 - headroom)
		if busy > room {
			found.addf(c.path("shift_rate"), "service %s: %g requests/s from each of %d regions hold %.1f slots at %v each, and region %s has %.1f for shifts",
				c.service.Name, c.policy.ShiftRate, regions-1, busy, mean, region, room)
			return
		}
	}
}

func (c *capacity) path(field string) string {
	return fmt.Sprintf("services[%d].%s", c.index, field)
}

func sum(m map[string]int) int {
	n := 0
	for _, v := range m {
		n += v
	}
	return n
}

// Service times that are assumed where the topology declares none.
const (
	lookupServiceTime = 20 * time.Millisecond
	orderServiceTime  = 50 * time.Millisecond
	uploadServiceTime = 500 * time.Millisecond
)

// MeanServiceTime is how long a request holds a slot on average.
func (s *Service) MeanServiceTime() time.Duration {
	if s.ServiceTime > 0 {
		return s.ServiceTime
	}
	switch s.Kind {
	case work.Order:
		return orderServiceTime
	case work.Upload:
		return uploadServiceTime
	default:
		return lookupServiceTime
	}
}
