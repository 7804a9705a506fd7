package firm

import (
	"os"
	"path/filepath"

	"sycamoreledge.example/internal/settings"
)

// First free octets of the loopback addresses of a run: 127.9.0.x are the
// shared stand-ins, 127.(regionOctet+region).zone.x the servers of a zone and
// 127.forwardOctet.zone.1 what a zone sees of the others.
const (
	sharedOctet   = 9
	regionOctet   = 10
	forwardOctet  = 100
	adminHost     = 9
	firstInstance = 10
	firstUpstream = 50
)

// Generate writes a run of the firm into the directory: topology, presets,
// plan and the settings of each instance, with ports that were free.
func Generate(dir string, f *Firm) (*Plan, error) {
	dir, err := filepath.Abs(dir)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if err := os.MkdirAll(filepath.Join(dir, presetsDir), dirPerm); err != nil {
		return nil, Error.Wrap(err)
	}
	free := &ports{}
	defer free.release()
	p := assign(dir, f, free)
	if free.err != nil {
		return nil, free.err
	}
	if err := writeRun(p, f); err != nil {
		return nil, err
	}
	return p, nil
}

// assign gives every declared address of the firm a loopback address.
func assign(dir string, f *Firm, free *ports) *Plan {
	p := &Plan{Dir: dir, Topology: cloneTopology(&f.Topology), Presets: f.Presets, World: f.World}
	p.Platform = free.tcp(loopback(sharedOctet, 0, 1))
	p.LinkAdmin = free.tcp(loopback(sharedOctet, 0, 2))
	p.UpstreamAdmin = map[string]string{}
	hosts := assignInstances(p, free)
	assignUpstreams(p, free, hosts)
	p.Forwards = forwards(p, free)
	return p
}

// host is the first part of the addresses of a zone with its next free host.
type host struct{ region, zone, next int }

// assignInstances sets the addresses of the instances and returns, by zone,
// where the addresses of its upstreams start.
func assignInstances(p *Plan, free *ports) map[string]*host {
	hosts := map[string]*host{}
	for r, region := range p.Topology.Regions {
		for z, zone := range region.Zones {
			hosts[zone.Name] = &host{region: regionOctet + r, zone: z, next: firstUpstream}
			p.UpstreamAdmin[zone.Name] = free.tcp(loopback(regionOctet+r, z, adminHost))
			for i := range zone.Instances {
				ip := loopback(regionOctet+r, z, firstInstance+i)
				inst := &zone.Instances[i]
				inst.Callers, inst.Operators = free.tcp(ip), free.tcp(ip)
				inst.Peers = free.udp(ip)
				file := filepath.Join(p.Dir, "entry-"+inst.Name+".yaml")
				p.Entries = append(p.Entries, Entry{Instance: *inst, Zone: zone.Name, Settings: file})
			}
		}
	}
	return hosts
}

// assignUpstreams sets the addresses of the upstreams.
func assignUpstreams(p *Plan, free *ports, hosts map[string]*host) {
	for _, service := range p.Topology.Services {
		for _, pool := range service.Pools {
			at := hosts[pool.Zone]
			for i := range pool.Upstreams {
				pool.Upstreams[i].Address = free.tcp(loopback(at.region, at.zone, at.next))
				at.next++
			}
		}
	}
}

// forwards lists, for every availability zone, the listeners that stand for
// the servers of all other zones.
func forwards(p *Plan, free *ports) []Forward {
	var all []Forward
	for i, from := range Zones(&p.Topology) {
		ip := loopback(forwardOctet, i, 1)
		for _, s := range servers(p) {
			if s.zone == from {
				continue
			}
			f := Forward{From: from, To: s.zone, Network: s.network, Target: s.address}
			if s.network == UDP {
				f.Listen = free.udp(ip)
			} else {
				f.Listen = free.tcp(ip)
			}
			all = append(all, f)
		}
	}
	return all
}

// server is an address that instances of other zones reach through links.
type server struct{ zone, network, address string }

// servers lists the platform, the instances' peer listeners and the upstreams.
func servers(p *Plan) []server {
	all := []server{{p.World.PlatformZone, TCP, p.Platform}}
	for _, e := range p.Entries {
		all = append(all, server{e.Zone, UDP, e.Peers})
	}
	for _, service := range p.Topology.Services {
		for _, pool := range service.Pools {
			for _, u := range pool.Upstreams {
				all = append(all, server{pool.Zone, TCP, u.Address})
			}
		}
	}
	return all
}

// writeRun writes all files of the run.
func writeRun(p *Plan, f *Firm) error {
	if err := writeYAML(filepath.Join(p.Dir, topologyFile), &p.Topology); err != nil {
		return err
	}
	for i := range f.Presets {
		if err := writeYAML(p.PresetFile(f.Presets[i].Name), &f.Presets[i]); err != nil {
			return err
		}
	}
	for _, e := range p.Entries {
		s := instanceSettings(p, &f.Settings, &e)
		if err := writeYAML(e.Settings, &s); err != nil {
			return err
		}
	}
	if err := writeSecrets(p); err != nil {
		return err
	}
	return p.write()
}

// instanceSettings derives the settings of one instance from the template.
func instanceSettings(p *Plan, template *settings.Settings, e *Entry) settings.Settings {
	s := *template
	s.Instance = e.Name
	s.TLS.Certificate = filepath.Join("tls", e.Name+".pem")
	s.TLS.Key = filepath.Join("tls", e.Name+".key")
	s.Platform.Address = p.Platform
	s.AddressMap = map[string]string{}
	for _, f := range p.Forwards {
		switch {
		case f.From != e.Zone:
		case f.Target == p.Platform:
			s.Platform.Address = f.Listen
		default:
			s.AddressMap[f.Target] = f.Listen
		}
	}
	return s
}

// cloneTopology copies what assign changes.
func cloneTopology(t *settings.Topology) settings.Topology {
	c := *t
	c.Regions = append([]settings.Region(nil), t.Regions...)
	for i := range c.Regions {
		zones := append([]settings.Zone(nil), c.Regions[i].Zones...)
		for j := range zones {
			zones[j].Instances = append([]settings.Instance(nil), zones[j].Instances...)
		}
		c.Regions[i].Zones = zones
	}
	c.Services = append([]settings.Service(nil), t.Services...)
	for i := range c.Services {
		pools := append([]settings.Pool(nil), c.Services[i].Pools...)
		for j := range pools {
			pools[j].Upstreams = append([]settings.Upstream(nil), pools[j].Upstreams...)
		}
		c.Services[i].Pools = pools
	}
	return c
}
