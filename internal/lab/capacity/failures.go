package capacity

import (
	"time"

	"sycamoreledge.example/internal/control"
)

// Burst is the cost of one failure or recovery and the state of the fleet at the
// end of the observation.
type Burst struct {
	Case    string
	Members int
	// Worst is the highest usage of any instance within peakWindow.
	Worst Peak
	// FullyOwned is how many of the Pools have an owner that may use all slots
	// at the end.
	FullyOwned, Pools int
	// MinKnown is the smallest number of instances that any running instance
	// considers alive at the end; Alive is the number of running instances.
	MinKnown, Alive int
}

const rackSize = 10 // instances

// Failures injects one failure after another into a fleet in steady state, each
// followed by its recovery, and returns their costs.
func (f *Fleet) Failures() []Burst {
	region, zone := f.Nodes[0].Region, f.Nodes[0].Zone
	inZone := f.filterNodes(func(n *Node) bool { return n.Zone == zone })
	detection := control.RemoteInstanceTimeout(f.Top, timing) + 10*time.Second
	rack := inZone[:min(rackSize, len(inZone)/2)]
	return []Burst{
		f.measureFailure("one instance fails", 15*time.Second, func() { inZone[len(inZone)-1].Kill() }),
		f.measureFailure("it is replaced", 15*time.Second, func() { f.replace(inZone[len(inZone)-1:]) }),
		f.measureFailure("a rack fails", 15*time.Second, func() { killAll(rack) }),
		f.measureFailure("it is replaced", 15*time.Second, func() { f.replace(rack) }),
		f.measureFailure("a zone fails", detection, func() { killAll(inZone) }),
		f.measureFailure("it is replaced", 20*time.Second, func() { f.replace(inZone) }),
		f.measureFailure("a region is cut off", detection, func() {
			f.Cut = func(from, to *Node) bool { return (from.Region == region) != (to.Region == region) }
		}),
		f.measureFailure("it returns", 30*time.Second, func() { f.Cut = func(_, _ *Node) bool { return false } }),
	}
}

func (f *Fleet) filterNodes(include func(n *Node) bool) []*Node {
	var chosen []*Node
	for _, n := range f.Nodes {
		if include(n) {
			chosen = append(chosen, n)
		}
	}
	return chosen
}

func killAll(nodes []*Node) {
	for _, n := range nodes {
		n.Kill()
	}
}

// replace starts new processes of the nodes. Each learns that the former
// processes of all nodes ended uncleanly.
func (f *Fleet) replace(nodes []*Node) {
	unclean := make([]control.Identity, 0, len(nodes))
	for _, n := range nodes {
		unclean = append(unclean, n.identity())
	}
	for _, n := range nodes {
		f.Boot(n, unclean)
	}
}

// identity returns the instance name and the incarnation in the last snapshot of
// the process.
func (n *Node) identity() control.Identity {
	id := control.Identity{Instance: n.Name}
	if n.Snapshot != nil {
		id.Incarnation = n.Snapshot.Incarnation
	}
	return id
}

// measureFailure calls fail and observes the fleet for the duration d.
func (f *Fleet) measureFailure(name string, d time.Duration, fail func()) Burst {
	f.Reset()
	fail()
	f.Run(d)
	b := Burst{Case: name, Members: len(f.Nodes), Worst: f.maxPeak(), FullyOwned: f.countFullyOwned()}
	for _, s := range f.Top.Services {
		b.Pools += len(s.Pools)
	}
	b.MinKnown = len(f.Nodes)
	for _, n := range f.Nodes {
		if !n.Down {
			b.Alive++
			b.MinKnown = min(b.MinKnown, f.countAlive(n))
		}
	}
	f.Reset()
	return b
}
