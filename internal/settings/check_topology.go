package settings

import (
	"fmt"
	"net/netip"
)

// transport tells addresses apart that may carry the same port number.
type transport string

const (
	tcp transport = "TCP"
	udp transport = "UDP"
)

type endpoint struct {
	over    transport
	address string
}

// topologyCheck collects what a topology declares and what is wrong with it.
type topologyCheck struct {
	problems
	regions   map[string]string
	zones     map[string]string
	instances map[string]string
	services  map[string]string
	upstreams map[string]string
	addresses map[endpoint]string
}

func checkTopology(t *Topology) problems {
	c := &topologyCheck{
		regions:   make(map[string]string),
		zones:     make(map[string]string),
		instances: make(map[string]string),
		services:  make(map[string]string),
		upstreams: make(map[string]string),
		addresses: make(map[endpoint]string),
	}
	for i := range t.Regions {
		c.region(fmt.Sprintf("regions[%d]", i), &t.Regions[i])
	}
	for i := range t.Services {
		c.service(fmt.Sprintf("services[%d]", i), &t.Services[i])
	}
	c.links(t.Links)
	c.blocks(t.Blocks)
	return c.problems
}

// once reports a name that is declared at two places.
func once[K comparable](c *topologyCheck, seen map[K]string, key K, path, what string) {
	if first, ok := seen[key]; ok {
		c.addf(path, "%s is declared twice, first at %s", what, first)
		return
	}
	seen[key] = path
}

func (c *topologyCheck) region(path string, r *Region) {
	once(c, c.regions, r.Name, path+".name", "region "+r.Name)
	for i := range r.Zones {
		c.zone(fmt.Sprintf("%s.zones[%d]", path, i), &r.Zones[i])
	}
}

func (c *topologyCheck) zone(path string, z *Zone) {
	once(c, c.zones, z.Name, path+".name", "zone "+z.Name)
	for i := range z.Instances {
		c.instance(fmt.Sprintf("%s.instances[%d]", path, i), &z.Instances[i])
	}
}

func (c *topologyCheck) instance(path string, inst *Instance) {
	once(c, c.instances, inst.Name, path+".name", "instance "+inst.Name)
	c.address(path+".callers", tcp, inst.Callers)
	c.address(path+".operators", tcp, inst.Operators)
	c.address(path+".peers", udp, inst.Peers)
}

func (c *topologyCheck) address(path string, over transport, address string) {
	once(c, c.addresses, endpoint{over, address}, path, "address "+address)
}

func (c *topologyCheck) service(path string, s *Service) {
	once(c, c.services, s.Name, path+".name", "service "+s.Name)
	zones := make(map[string]string)
	for i := range s.Pools {
		c.pool(fmt.Sprintf("%s.pools[%d]", path, i), &s.Pools[i], zones)
	}
}

func (c *topologyCheck) pool(path string, p *Pool, zones map[string]string) {
	once(c, zones, p.Zone, path+".zone", "the pool of zone "+p.Zone)
	c.known(c.zones, p.Zone, path+".zone", "zone")
	for i := range p.Upstreams {
		place := fmt.Sprintf("%s.upstreams[%d]", path, i)
		u := &p.Upstreams[i]
		once(c, c.upstreams, u.Name, place+".name", "upstream "+u.Name)
		c.address(place+".address", tcp, u.Address)
	}
}

// known reports a name that is not declared.
func (c *topologyCheck) known(declared map[string]string, name, path, what string) {
	if _, ok := declared[name]; !ok {
		c.addf(path, "%s %s is not declared", what, name)
	}
}

func (c *topologyCheck) links(links []Link) {
	seen := make(map[[2]string]string)
	for i := range links {
		path := fmt.Sprintf("links[%d].between", i)
		c.between(path, links[i].Between)
		once(c, seen, pair(links[i].Between), path, "the link")
	}
}

func (c *topologyCheck) between(path string, regions []string) {
	for j, region := range regions {
		c.known(c.regions, region, fmt.Sprintf("%s[%d]", path, j), "region")
	}
	if regions[0] == regions[1] {
		c.addf(path, "a link joins two different regions")
	}
}

// pair returns the ends of a link in an order that does not depend on how they
// were written.
func pair(between []string) [2]string {
	return [2]string{min(between[0], between[1]), max(between[0], between[1])}
}

func (c *topologyCheck) blocks(blocks []Block) {
	seen := make(map[netip.Prefix]string)
	for i := range blocks {
		path := fmt.Sprintf("blocks[%d]", i)
		c.known(c.zones, blocks[i].Zone, path+".zone", "zone")
		prefix, err := netip.ParsePrefix(blocks[i].Prefix)
		if err != nil {
			c.addf(path+".prefix", "%q is not an address block", blocks[i].Prefix)
			continue
		}
		once(c, seen, prefix.Masked(), path+".prefix", "block "+blocks[i].Prefix)
	}
}
