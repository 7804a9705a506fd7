package promises

import (
	"context"

	"sycamoreledge.example/internal/lab/firm"
	"sycamoreledge.example/internal/lab/link"
)

// cutFaults are partitions.
func cutFaults() []fault {
	zones := func(p *firm.Plan) []link.Change {
		at := places(p)
		return []link.Change{{A: at.ownerZone, B: at.onlyZone}}
	}
	peers := func(p *firm.Plan) []link.Change {
		at := places(p)
		return []link.Change{{A: at.ownerZone, B: at.onlyZone, Network: link.UDP}}
	}
	alone := func(p *firm.Plan) []link.Change {
		return from(places(p).onlyZone, otherZones(p, places(p).onlyZone))
	}
	region := func(p *firm.Plan) []link.Change {
		return from(places(p).far, otherRegions(p, places(p).far))
	}
	platform := func(p *firm.Plan) []link.Change {
		return []link.Change{{A: places(p).far, B: link.Platform}}
	}
	everyone := func(*firm.Plan) []link.Change {
		return []link.Change{{A: "*", B: link.Platform}}
	}
	only := func(p *firm.Plan) []string { return []string{places(p).only} }
	far := func(p *firm.Plan) []string { return places(p).farEntries }
	return []fault{
		cut("cut-zones", link.CutBoth, zones, nobody),
		cut("cut-zones-one-way", link.CutForward, zones, nobody),
		cut("cut-zones-other-way", link.CutBackward, zones, nobody),
		cut("cut-between-peers", link.CutBoth, peers, nobody),
		cut("cut-zone-off", link.CutBoth, alone, only),
		cut("cut-region", link.CutBoth, region, far),
		cut("cut-region-one-way", link.CutForward, region, far),
		cut("cut-region-other-way", link.CutBackward, region, far),
		cut("cut-platform", link.CutBoth, platform, nobody),
		cut("cut-platform-for-most", link.CutBoth, everyone, nobody),
	}
}

// cut is a cut of some links in a direction. Hurts are the entries that cannot
// learn of changes meanwhile.
func cut(name string, way link.Direction, what func(*firm.Plan) []link.Change, hurts func(*firm.Plan) []string) fault {
	set := func(way link.Direction) func(context.Context, *env) error {
		return func(ctx context.Context, e *env) error {
			for _, change := range what(e.Plan) {
				change.Cut = way
				if err := e.Cluster.Cut(ctx, change); err != nil {
					return err
				}
			}
			return nil
		}
	}
	return fault{name: name, begin: set(way), end: set(link.CutNone), hurts: hurts}
}

// from lists the links of one place to others.
func from(place string, others []string) []link.Change {
	var all []link.Change
	for _, other := range others {
		all = append(all, link.Change{A: place, B: other})
	}
	return all
}

// otherZones lists all zones but one.
func otherZones(p *firm.Plan, zone string) []string {
	var names []string
	for _, name := range firm.Zones(&p.Topology) {
		if name != zone {
			names = append(names, name)
		}
	}
	return names
}

// otherRegions lists all regions but one.
func otherRegions(p *firm.Plan, region string) []string {
	var names []string
	for _, r := range p.Topology.Regions {
		if r.Name != region {
			names = append(names, r.Name)
		}
	}
	return names
}
