package capacity

import (
	"runtime"
	"time"
)

// Steady is the usage of a fleet in steady state, without failures.
type Steady struct {
	Shape Shape
	Roles []RoleUsage
	// HeapPerCore is the live memory of one control core with its tables,
	// snapshot and queued messages, in bytes.
	HeapPerCore uint64
	// ProcessCores is the CPU usage of the whole process per instance, in CPU
	// cores. It includes garbage collection and the delivery of messages.
	ProcessCores float64
	// FullyOwned is the number of pools whose owner may use all slots, and
	// KnownAlive the number of instances that the first instance considers
	// alive.
	FullyOwned, KnownAlive int
}

// Settle runs a new fleet for the duration warmUp, so that its tables are filled.
// It returns the fleet and the heap bytes per instance.
func Settle(s Shape, seed uint64, warmUp time.Duration) (*Fleet, uint64) {
	before := liveHeap()
	f := NewFleet(s, seed)
	f.Run(warmUp)
	f.Reset()
	heap := liveHeap() - before
	runtime.KeepAlive(f)
	return f, heap / uint64(s.Members)
}

// MeasureSteady measures a fleet from Settle for the duration d.
func MeasureSteady(f *Fleet, s Shape, heap uint64, d time.Duration) Steady {
	begin := processTime()
	f.Run(d)
	used := processTime() - begin
	r := Steady{
		Shape:        s,
		Roles:        f.ByRole(),
		HeapPerCore:  heap,
		ProcessCores: used.Seconds() / d.Seconds() / float64(s.Members),
		FullyOwned:   f.countFullyOwned(),
		KnownAlive:   f.countAlive(f.Nodes[0]),
	}
	f.Reset()
	return r
}

// countFullyOwned counts the pools whose owner may use all slots.
func (f *Fleet) countFullyOwned() int {
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

// countAlive returns how many instances n considers alive.
func (f *Fleet) countAlive(n *Node) int {
	alive := 0
	for i := range n.Snapshot.Instances {
		if n.Snapshot.Instances[i].Alive {
			alive++
		}
	}
	return alive
}
