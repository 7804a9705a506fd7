package settings

import (
	"net"
	"slices"
)

// checkTiming checks the intervals of the control section against each other.
func checkTiming(c *ControlSettings) problems {
	var found problems
	if c.Tick > c.Heartbeat {
		found.addf("control.tick", "%v is longer than the heartbeat of %v", c.Tick, c.Heartbeat)
	}
	if c.Lease < 3*c.Heartbeat {
		found.addf("control.lease", "%v is shorter than three heartbeats of %v", c.Lease, c.Heartbeat)
	}
	return found
}

// checkSettings checks that the instance and the mapped addresses in the settings
// are declared in the topology.
func checkSettings(s *Settings, t *Topology) problems {
	var found problems
	if _, ok := t.Instance(s.Instance); !ok {
		found.addf("instance", "instance %s is not declared in %s", s.Instance, s.Topology)
	}
	declared := declaredAddresses(t)
	for from, to := range s.AddressMap {
		if !slices.Contains(declared, from) {
			found.addf("address_map", "address %s is not declared in %s", from, s.Topology)
		}
		if _, _, err := net.SplitHostPort(to); err != nil {
			found.addf("address_map", "%q is not an address of the form host:port", to)
		}
	}
	return found
}

func declaredAddresses(t *Topology) []string {
	var all []string
	for _, inst := range t.Instances() {
		all = append(all, inst.Callers, inst.Operators, inst.Peers)
	}
	for i := range t.Services {
		for j := range t.Services[i].Pools {
			for _, u := range t.Services[i].Pools[j].Upstreams {
				all = append(all, u.Address)
			}
		}
	}
	return all
}
