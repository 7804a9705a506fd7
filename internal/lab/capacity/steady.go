package capacity

import (
	"runtime"
	"time"
)

// Steady is what a fleet without failures uses.
type Steady struct {
	Shape Shape
	Roles []RoleUsage
	// HeapPerCore is the live memory of one core with its tables, snapshot and
	// waiting messages, in bytes.
	HeapPerCore uint64
	// Process is the mean part of a core for each instance by the processor
	// time of the whole process: that of the roles, the garbage collector and
	// the delivery of messages.
	Process float64
	// Owned is how many pools have an owner with all its slots, and Seen how
	// many live instances the first instance knows.
	Owned, Seen int
}

// Settle runs a new fleet until its tables are filled.
func Settle(s Shape, seed uint64, warmUp time.Duration) (*Fleet, uint64) {
	before := liveHeap()
	f := NewFleet(s, seed)
	f.Run(warmUp)
	f.Reset()
	heap := liveHeap() - before
	runtime.KeepAlive(f)
	return f, heap / uint64(s.Members)
}

// MeasureSteady runs a settled fleet for a time.
func MeasureSteady(f *Fleet, s Shape, heap uint64, d time.Duration) Steady {
	begin := processTime()
	f.Run(d)
	used := processTime() - begin
	r := Steady{
		Shape:       s,
		Roles:       f.ByRole(),
		HeapPerCore: heap,
		Process:     used.Seconds() / d.Seconds() / float64(s.Members),
		Owned:       f.ownedPools(),
		Seen:        f.seen(f.Nodes[0]),
	}
	f.Reset()
	return r
}

// ownedPools counts the pools whose owner may use all slots.
func (f *Fleet) ownedPools() int {
	full := 0
	for _, n := range f.Nodes {
		if n.Down || n.Snapshot == nil {
			continue
		}
		for _, g := range n.Snapshot.Owned {
			if g.Slots(slotsPerUpstream, f.Now) == slotsPerUpstream {
				full++
			}
		}
	}
	return full
}

// seen counts the instances that one instance takes for alive.
func (f *Fleet) seen(n *Node) int {
	alive := 0
	for i := range n.Snapshot.Instances {
		if n.Snapshot.Instances[i].Alive {
			alive++
		}
	}
	return alive
}
