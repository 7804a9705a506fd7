package capacity

import (
	"time"

	"sycamoreledge.example/internal/control"
)

// Burst is what a failure costs and when its effects are over.
type Burst struct {
	Case    string
	Members int
	// Worst is the most that one instance used in its heaviest window.
	Worst Peak
	// Owned is the number of pools whose owners have all slots at the end,
	// of Pools.
	Owned, Pools int
	// Known is the smallest number of instances that a running instance takes
	// for alive at the end, and Alive how many are.
	Known, Alive int
}

// rackSize is the number of instances in one rack.
const rackSize = 10

// Failures brings about the failures of the stated rates, one after another,
// on a settled fleet.
func (f *Fleet) Failures() []Burst {
	region, zone := f.Nodes[0].Region, f.Nodes[0].Zone
	inZone := f.where(func(n *Node) bool { return n.Zone == zone })
	noticed := control.RemoteInstanceTimeout(f.Top, timing) + 10*time.Second
	rack := inZone[:min(rackSize, len(inZone)/2)]
	return []Burst{
		f.burst("one instance fails", 15*time.Second, func() { inZone[len(inZone)-1].Kill() }),
		f.burst("it is replaced", 15*time.Second, func() { f.replace(inZone[len(inZone)-1:]) }),
		f.burst("a rack fails", 15*time.Second, func() { kill(rack) }),
		f.burst("it is replaced", 15*time.Second, func() { f.replace(rack) }),
		f.burst("a zone fails", noticed, func() { kill(inZone) }),
		f.burst("it is replaced", 20*time.Second, func() { f.replace(inZone) }),
		f.burst("a region is cut off", noticed, func() {
			f.Cut = func(from, to *Node) bool { return (from.Region == region) != (to.Region == region) }
		}),
		f.burst("it returns", 30*time.Second, func() { f.Cut = func(_, _ *Node) bool { return false } }),
	}
}

func (f *Fleet) where(include func(n *Node) bool) []*Node {
	var chosen []*Node
	for _, n := range f.Nodes {
		if include(n) {
			chosen = append(chosen, n)
		}
	}
	return chosen
}

func kill(nodes []*Node) {
	for _, n := range nodes {
		n.Kill()
	}
}

// replace starts new processes that know of the unclean ends of the former.
func (f *Fleet) replace(nodes []*Node) {
	unclean := make([]control.Identity, 0, len(nodes))
	for _, n := range nodes {
		unclean = append(unclean, n.identity())
	}
	for _, n := range nodes {
		f.Boot(n, unclean)
	}
}

// identity returns the run that the last snapshot of the process names.
func (n *Node) identity() control.Identity {
	id := control.Identity{Instance: n.Name}
	if n.Snapshot != nil {
		id.Incarnation = n.Snapshot.Incarnation
	}
	return id
}

// burst brings about a failure and watches the fleet for a time.
func (f *Fleet) burst(name string, d time.Duration, fail func()) Burst {
	f.Reset()
	fail()
	f.Run(d)
	b := Burst{Case: name, Members: len(f.Nodes), Worst: f.worst(), Owned: f.ownedPools()}
	for _, s := range f.Top.Services {
		b.Pools += len(s.Pools)
	}
	b.Known = len(f.Nodes)
	for _, n := range f.Nodes {
		if !n.Down {
			b.Alive++
			b.Known = min(b.Known, f.seen(n))
		}
	}
	f.Reset()
	return b
}
