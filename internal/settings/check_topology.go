package settings

import (
	"fmt"
	"net/netip"
)

// transportProtocol is part of an endpoint because a TCP and a UDP listener may
// share the same IP address and port.
type transportProtocol string

const (
	tcp transportProtocol = "TCP"
	udp transportProtocol = "UDP"
)

type endpoint struct {
	protocol transportProtocol
	address  string
}

// topologyChecker collects the problems of a topology. Its maps hold the path of
// the first declaration of each name or address.
type topologyChecker struct {
	problems
	regions   map[string]string
	zones     map[string]string
	instances map[string]string
	services  map[string]string
	upstreams map[string]string
	addresses map[endpoint]string
}

func checkTopology(t *Topology) problems {
	c := &topologyChecker{
		regions:   make(map[string]string),
		zones:     make(map[string]string),
		instances: make(map[string]string),
		services:  make(map[string]string),
		upstreams: make(map[string]string),
		addresses: make(map[endpoint]string),
	}
	for i := range t.Regions {
		c.checkRegion(fmt.Sprintf("regions[%d]", i), &t.Regions[i])
	}
	for i := range t.Services {
		c.checkService(fmt.Sprintf("services[%d]", i), &t.Services[i])
	}
	c.checkLinks(t.Links)
	c.checkBlocks(t.Blocks)
	return c.problems
}

// declareUnique records the path of a declaration, or reports a problem when the
// key has been declared before.
func declareUnique[K comparable](c *topologyChecker, declared map[K]string, key K, path, description string) {
	if first, ok := declared[key]; ok {
		c.addf(path, "%s is declared twice, first at %s", description, first)
		return
	}
	declared[key] = path
}

func (c *topologyChecker) checkRegion(path string, r *Region) {
	declareUnique(c, c.regions, r.Name, path+".name", "region "+r.Name)
	for i := range r.Zones {
		c.checkZone(fmt.Sprintf("%s.zones[%d]", path, i), &r.Zones[i])
	}
}

func (c *topologyChecker) checkZone(path string, z *Zone) {
	declareUnique(c, c.zones, z.Name, path+".name", "zone "+z.Name)
	for i := range z.Instances {
		c.checkInstance(fmt.Sprintf("%s.instances[%d]", path, i), &z.Instances[i])
	}
}

func (c *topologyChecker) checkInstance(path string, inst *Instance) {
	declareUnique(c, c.instances, inst.Name, path+".name", "instance "+inst.Name)
	c.declareAddress(path+".callers", tcp, inst.Callers)
	c.declareAddress(path+".operators", tcp, inst.Operators)
	c.declareAddress(path+".peers", udp, inst.Peers)
}

func (c *topologyChecker) declareAddress(path string, protocol transportProtocol, address string) {
	declareUnique(c, c.addresses, endpoint{protocol, address}, path, "address "+address)
}

func (c *topologyChecker) checkService(path string, s *Service) {
	declareUnique(c, c.services, s.Name, path+".name", "service "+s.Name)
	poolZones := make(map[string]string)
	for i := range s.Pools {
		c.checkPool(fmt.Sprintf("%s.pools[%d]", path, i), &s.Pools[i], poolZones)
	}
}

func (c *topologyChecker) checkPool(path string, p *Pool, poolZones map[string]string) {
	declareUnique(c, poolZones, p.Zone, path+".zone", "the pool of zone "+p.Zone)
	c.requireDeclared(c.zones, p.Zone, path+".zone", "zone")
	for i := range p.Upstreams {
		upstreamPath := fmt.Sprintf("%s.upstreams[%d]", path, i)
		u := &p.Upstreams[i]
		declareUnique(c, c.upstreams, u.Name, upstreamPath+".name", "upstream "+u.Name)
		c.declareAddress(upstreamPath+".address", tcp, u.Address)
	}
}

// requireDeclared reports a problem when a name is not declared.
func (c *topologyChecker) requireDeclared(declared map[string]string, name, path, kind string) {
	if _, ok := declared[name]; !ok {
		c.addf(path, "%s %s is not declared", kind, name)
	}
}

func (c *topologyChecker) checkLinks(links []Link) {
	seen := make(map[[2]string]string)
	for i := range links {
		path := fmt.Sprintf("links[%d].between", i)
		c.checkLinkEnds(path, links[i].Between)
		declareUnique(c, seen, linkKey(links[i].Between), path, "the link")
	}
}

func (c *topologyChecker) checkLinkEnds(path string, regions []string) {
	for j, region := range regions {
		c.requireDeclared(c.regions, region, fmt.Sprintf("%s[%d]", path, j), "region")
	}
	if regions[0] == regions[1] {
		c.addf(path, "a link must connect two different regions")
	}
}

// linkKey returns the two regions of a link in sorted order, so that both
// directions have the same key.
func linkKey(between []string) [2]string {
	return [2]string{min(between[0], between[1]), max(between[0], between[1])}
}

func (c *topologyChecker) checkBlocks(blocks []Block) {
	seen := make(map[netip.Prefix]string)
	for i := range blocks {
		path := fmt.Sprintf("blocks[%d]", i)
		c.requireDeclared(c.zones, blocks[i].Zone, path+".zone", "zone")
		prefix, err := netip.ParsePrefix(blocks[i].Prefix)
		if err != nil {
			c.addf(path+".prefix", "%q is not an address block", blocks[i].Prefix)
			continue
		}
		declareUnique(c, seen, prefix.Masked(), path+".prefix", "block "+blocks[i].Prefix)
	}
}
