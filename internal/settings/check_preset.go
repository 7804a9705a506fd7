package settings

import (
	"fmt"
	"regexp"
	"slices"
	"time"

	"sycamoreledge.example/internal/work"
)

// presetNamePattern limits preset names to characters that are safe in URL
// paths and on command lines.
var presetNamePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// checkPresetConsistency runs the checks on a preset that need no topology.
func checkPresetConsistency(p *Preset) problems {
	var found problems
	if !presetNamePattern.MatchString(p.Name) {
		found.addf("name", "%q may only have letters, digits, dots, underscores and hyphens, and must start with a letter or digit", p.Name)
	}
	for i := range p.Services {
		s := &p.Services[i]
		path := fmt.Sprintf("services[%d]", i)
		if s.DispatchTimeout > s.Deadline {
			found.addf(path+".dispatch_timeout", "%v is longer than the deadline of %v", s.DispatchTimeout, s.Deadline)
		}
		if p.Service(s.Name) != s {
			found.addf(path+".name", "service %s has more than one policy", s.Name)
		}
	}
	for i := range p.Links {
		l := &p.Links[i]
		if p.Link(l.Between[0], l.Between[1]) != l {
			found.addf(fmt.Sprintf("links[%d].between", i), "the link has more than one policy")
		}
	}
	return found
}

// checkPresetAgainstTopology checks a preset, together with the drains that are
// in force, against the topology.
func checkPresetAgainstTopology(t *Topology, p *Preset, drains []Drain) problems {
	var found problems
	for i, zone := range p.DrainedZones {
		if t.RegionOf(zone) == "" {
			found.addf(fmt.Sprintf("drained_zones[%d]", i), "zone %s is not declared", zone)
		}
	}
	found = append(found, checkServicePolicies(t, p)...)
	found = append(found, checkLinkPolicies(t, p)...)
	if len(found) > 0 {
		return found
	}
	return checkCapacity(t, p, drains)
}

func checkServicePolicies(t *Topology, p *Preset) problems {
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
			found.addf(path+".hedge_quantile", "requests of kind %s must run at most once and cannot be hedged", declared.Kind)
		}
	}
	for i := range t.Services {
		if p.Service(t.Services[i].Name) == nil {
			found.addf("services", "service %s has no policy", t.Services[i].Name)
		}
	}
	return found
}

func checkLinkPolicies(t *Topology, p *Preset) problems {
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

// serviceCapacity holds the slots of one service, split into those that stay
// open and those that are drained.
type serviceCapacity struct {
	service *Service
	policy  *ServicePolicy
	// policyIndex is the index of the policy in the preset.
	policyIndex int
	// openSlots and drainedSlots count slots by region.
	openSlots    map[string]int
	drainedSlots map[string]int
}

func checkCapacity(t *Topology, p *Preset, drains []Drain) problems {
	var found problems
	for i := range p.Services {
		policy := &p.Services[i]
		c := &serviceCapacity{service: t.Service(policy.Name), policy: policy, policyIndex: i}
		c.countSlots(t, p, drains)
		c.checkDrains(t, &found)
		c.checkShiftRate(p.Headroom, &found)
	}
	return found
}

func (c *serviceCapacity) countSlots(t *Topology, p *Preset, drains []Drain) {
	c.openSlots = make(map[string]int)
	c.drainedSlots = make(map[string]int)
	for i := range c.service.Pools {
		pool := &c.service.Pools[i]
		region := t.RegionOf(pool.Zone)
		zoneDrained := ZoneDrained(p, drains, pool.Zone)
		for _, u := range pool.Upstreams {
			if zoneDrained || slices.Contains(drains, Drain{Kind: DrainUpstream, Name: u.Name}) {
				c.drainedSlots[region] += u.Slots
				continue
			}
			c.openSlots[region] += u.Slots
		}
	}
}

// ZoneDrained reports whether the preset or one of the drains keeps new requests
// away from a zone.
func ZoneDrained(p *Preset, drains []Drain, zone string) bool {
	return slices.Contains(p.DrainedZones, zone) ||
		slices.Contains(drains, Drain{Kind: DrainZone, Name: zone})
}

// checkDrains rejects drains whose load the remaining slots could not take over:
// at most half of the slots of a service may be drained, and a region without
// open slots must be allowed to shift its requests to other regions.
func (c *serviceCapacity) checkDrains(t *Topology, found *problems) {
	open, drained := sumValues(c.openSlots), sumValues(c.drainedSlots)
	if drained > open {
		found.addf("drained_zones", "service %s: the drains take %d slots away and leave %d open, too few to take over the load of the drained slots",
			c.service.Name, drained, open)
		return
	}
	for i := range t.Regions {
		region := t.Regions[i].Name
		if c.drainedSlots[region] > 0 && c.openSlots[region] == 0 && c.policy.ShiftRate == 0 {
			found.addf(c.fieldPath("shift_rate"), "service %s: region %s is fully drained, and a shift_rate of 0 keeps its requests from leaving it",
				c.service.Name, region)
		}
	}
}

// checkShiftRate rejects a shift rate at which the shifts from all other regions
// together would occupy more slots of a region than its headroom leaves for
// them. The occupied slots are the arrival rate times the mean service time.
func (c *serviceCapacity) checkShiftRate(headroom float64, found *problems) {
	regions := len(c.openSlots)
	for region := range c.drainedSlots {
		if _, ok := c.openSlots[region]; !ok {
			regions++
		}
	}
	serviceTime := c.service.MeanServiceTime()
	shiftSlots := c.policy.ShiftRate * float64(regions-1) * serviceTime.Seconds()
	for region, slots := range c.openSlots {
		availableSlots := float64(slots) * (1 - headroom)
		if shiftSlots > availableSlots {
			found.addf(c.fieldPath("shift_rate"), "service %s: %g requests/s from each of %d other regions occupy %.1f slots at a mean service time of %v, but region %s has only %.1f slots for shifts",
				c.service.Name, c.policy.ShiftRate, regions-1, shiftSlots, serviceTime, region, availableSlots)
			return
		}
	}
}

func (c *serviceCapacity) fieldPath(field string) string {
	return fmt.Sprintf("services[%d].%s", c.policyIndex, field)
}

func sumValues(m map[string]int) int {
	n := 0
	for _, v := range m {
		n += v
	}
	return n
}

// Mean service times assumed where the topology declares none.
const (
	defaultLookupServiceTime = 20 * time.Millisecond
	defaultOrderServiceTime  = 50 * time.Millisecond
	defaultUploadServiceTime = 500 * time.Millisecond
)

// MeanServiceTime returns the mean time for which a request occupies a slot: the
// declared service time or, without one, the default of the service's kind.
func (s *Service) MeanServiceTime() time.Duration {
	if s.ServiceTime > 0 {
		return s.ServiceTime
	}
	switch s.Kind {
	case work.Order:
		return defaultOrderServiceTime
	case work.Upload:
		return defaultUploadServiceTime
	default:
		return defaultLookupServiceTime
	}
}
