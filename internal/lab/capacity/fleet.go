package capacity

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"sycamoreledge.example/internal/control"
	"sycamoreledge.example/internal/settings"
	"sycamoreledge.example/internal/work"
)

// workers is the number of goroutines that step the cores of a fleet.
const workers = 3

// Fleet runs the control cores of all instances of a topology tick by tick.
// Messages sent in one tick are delivered before the next one; they are encoded
// and decoded as between processes.
type Fleet struct {
	Top   *settings.Topology
	Nodes []*Node
	Now   time.Time
	// Cut reports whether messages from one instance to another are dropped.
	Cut             func(from, to *Node) bool
	byName          map[string]*Node
	initial         *settings.Preset
	lastIncarnation uint64
	seconds         int
}

// Node is one instance of the fleet.
type Node struct {
	Name, Zone, Region string
	Core               *control.Core
	Snapshot           *control.Snapshot
	Down               bool
	// History is the usage per second since the last reset.
	History []Usage

	rng    *rand.Rand
	inbox  [][]byte
	outbox []packet
}

// packet is an encoded message that is not yet delivered.
type packet struct {
	to   string
	kind MessageType
	data []byte
}

// NewFleet starts all instances of a fleet of shape s at the same time.
func NewFleet(s Shape, seed uint64) *Fleet {
	top := s.Topology()
	f := &Fleet{
		Top:     top,
		Now:     time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		Cut:     func(_, _ *Node) bool { return false },
		byName:  map[string]*Node{},
		initial: Preset(top, "ordinary"),
	}
	for region, zone := range top.Zones() {
		for i := range zone.Instances {
			n := &Node{
				Name:   zone.Instances[i].Name,
				Zone:   zone.Name,
				Region: region.Name,
				rng:    rand.New(rand.NewPCG(seed, uint64(len(f.Nodes)))),
			}
			f.Nodes = append(f.Nodes, n)
			f.byName[n.Name] = n
			f.Boot(n, nil)
		}
	}
	return f
}

// Boot starts a new process of an instance. The parameter unclean lists the
// former processes in its zone that did not shut down cleanly.
func (f *Fleet) Boot(n *Node, unclean []control.Identity) {
	f.lastIncarnation++
	n.Down = false
	n.Snapshot = nil
	n.inbox = nil
	n.Core = control.New(control.Params{
		Self:        n.Name,
		Incarnation: f.lastIncarnation,
		Topology:    f.Top,
		Timing:      timing,
		Initial:     f.initial,
		UncleanRuns: unclean,
		Start:       f.Now,
	})
}

// Kill ends the process of the instance without a shutdown.
func (n *Node) Kill() {
	n.Down = true
	n.inbox = nil
}

// Step advances the clock by one tick and runs all cores.
func (f *Fleet) Step() {
	f.Now = f.Now.Add(timing.Tick)
	var wg sync.WaitGroup
	for w := range workers {
		wg.Go(func() {
			runtime.LockOSThread()
			defer runtime.UnlockOSThread()
			for i := w; i < len(f.Nodes); i += workers {
				f.Nodes[i].step(f.Now)
			}
		})
	}
	wg.Wait()
	for _, n := range f.Nodes {
		f.deliver(n)
	}
}

// Run steps the fleet for the duration d, in whole seconds.
func (f *Fleet) Run(d time.Duration) {
	for range int(d / time.Second) {
		for _, n := range f.Nodes {
			n.History = append(n.History, Usage{})
		}
		for range int(time.Second / timing.Tick) {
			f.Step()
		}
		f.seconds++
	}
}

// Reset discards the recorded usage.
func (f *Fleet) Reset() {
	for _, n := range f.Nodes {
		n.History = nil
	}
}

func (n *Node) usage() *Usage {
	if len(n.History) == 0 {
		n.History = append(n.History, Usage{})
	}
	return &n.History[len(n.History)-1]
}

// step runs one tick in the same order as the control loop of an instance.
func (n *Node) step(now time.Time) {
	if n.Down {
		return
	}
	usage := n.usage()
	load := n.poolLoads()
	begin := threadTime()
	for _, data := range n.inbox {
		n.receive(now, data, usage)
	}
	n.inbox = n.inbox[:0]
	n.Core.SetPoolLoads(load)
	n.Core.Tick(now)
	n.collectOutput(usage)
	usage.CPU += threadTime() - begin
}

func (n *Node) receive(now time.Time, data []byte, usage *Usage) {
	var msg control.Message
	if err := cbor.Unmarshal(data, &msg); err != nil {
		panic(fmt.Sprintf("capacity: cannot decode a control message: %v", err))
	}
	usage.In[typeOf(&msg)].add(len(data))
	n.Core.Step(now, msg)
}

func (n *Node) collectOutput(usage *Usage) {
	r := n.Core.Ready()
	if r.Snapshot != nil {
		n.Snapshot = r.Snapshot
	}
	for i := range r.Messages {
		out := &r.Messages[i]
		data, err := cbor.Marshal(out.Msg)
		if err != nil {
			panic(fmt.Sprintf("capacity: cannot encode a control message: %v", err))
		}
		kind := typeOf(&out.Msg)
		usage.Out[kind].add(len(data))
		n.outbox = append(n.outbox, packet{to: out.To, kind: kind, data: data})
	}
}

// poolLoads returns the loads of the owned pools. They change with each tick, as
// in a busy pool.
func (n *Node) poolLoads() []control.PoolStatus {
	if n.Snapshot == nil {
		return nil
	}
	const slots = upstreamsPerPool * slotsPerUpstream
	var load []control.PoolStatus
	for _, id := range n.ownedPools() {
		load = append(load, control.PoolStatus{
			Pool:  id,
			Slots: slots,
			Busy:  slots/2 + n.rng.IntN(slots/2),
		})
	}
	return load
}

func (n *Node) ownedPools() []work.PoolID {
	var ids []work.PoolID
	for id := range n.Snapshot.Owned {
		ids = append(ids, id)
	}
	return ids
}

func (f *Fleet) deliver(n *Node) {
	for _, p := range n.outbox {
		to := f.byName[p.to]
		if !to.Down && !f.Cut(n, to) {
			to.inbox = append(to.inbox, p.data)
		}
	}
	n.outbox = n.outbox[:0]
}
