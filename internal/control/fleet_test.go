package control

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"sycamoreledge.example/internal/settings"
	"sycamoreledge.example/internal/work"
)

const (
	testTick            = 100 * time.Millisecond
	testDispatchTimeout = 2 * time.Second
)

var testTiming = settings.ControlSettings{
	Tick:      testTick,
	Heartbeat: 300 * time.Millisecond,
	Lease:     1500 * time.Millisecond,
	Digest:    500 * time.Millisecond,
	MaxAge:    5 * time.Second,
}

// testTopology returns a topology with two zones in each region. The first zone
// of each of the first two regions has two instances, all others have one.
func testTopology(regions int) *settings.Topology {
	topology := &settings.Topology{Firm: "test"}
	service := settings.Service{Name: "orders", Kind: work.Order}
	for r := range regions {
		region := settings.Region{Name: fmt.Sprintf("r%d", r)}
		for z := range 2 {
			zone := settings.Zone{Name: fmt.Sprintf("r%dz%d", r, z)}
			count := 1
			if r < 2 && z == 0 {
				count = 2
			}
			for i := range count {
				zone.Instances = append(zone.Instances, settings.Instance{Name: fmt.Sprintf("%s-%d", zone.Name, i)})
			}
			region.Zones = append(region.Zones, zone)
			service.Pools = append(service.Pools, settings.Pool{
				Zone: zone.Name,
				Upstreams: []settings.Upstream{
					{Name: zone.Name + "-a", Slots: 3},
					{Name: zone.Name + "-b", Slots: 5},
				},
			})
		}
		topology.Regions = append(topology.Regions, region)
	}
	topology.Services = []settings.Service{service}
	return topology
}

func testPreset(name string) *settings.Preset {
	return &settings.Preset{
		Name: name,
		Services: []settings.ServicePolicy{{
			Name:            "orders",
			Deadline:        2 * testDispatchTimeout,
			DispatchTimeout: testDispatchTimeout,
		}},
	}
}

// node is a core with a worst-case dispatcher, which always uses all permitted
// slots.
type node struct {
	core     *Core
	snapshot *Snapshot
	down     bool
	paused   bool
	inFlight map[work.PoolID][]time.Time // end times
	buffer   []Message                   // messages that arrived during a pause
}

// pausedBufferMessages is the number of messages that the socket buffer of a
// paused process holds.
const pausedBufferMessages = 8

// fleet runs cores against a manual clock and a simulated network with
// partitions and message loss.
type fleet struct {
	t               testing.TB
	topology        *settings.Topology
	ix              *index
	start           time.Time
	now             time.Time
	nodes           map[string]*node
	orphaned        map[work.PoolID][]time.Time // end times of requests of killed processes
	isPartitioned   func(from, to string) bool
	loss            float64
	rng             *rand.Rand
	versions        map[string]int64
	lastIncarnation uint64
	uncleanRuns     map[string][]uint64 // the last two runs of each instance, none stopped cleanly
	events          []Event
	sent            int
}

func newFleet(t testing.TB, regions int, seed int64) *fleet {
	return newFleetWith(t, testTopology(regions), seed)
}

func newFleetWith(t testing.TB, topology *settings.Topology, seed int64) *fleet {
	f := &fleet{
		t:             t,
		topology:      topology,
		ix:            newIndex(topology),
		start:         time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		nodes:         map[string]*node{},
		orphaned:      map[work.PoolID][]time.Time{},
		isPartitioned: func(string, string) bool { return false },
		rng:           rand.New(rand.NewSource(seed)),
		versions:      map[string]int64{},
		uncleanRuns:   map[string][]uint64{},
	}
	f.now = f.start
	for _, inst := range f.ix.instances {
		f.startInstance(inst.Name)
	}
	return f
}

// startInstance starts a new process of the instance. It passes in the runs of the
// zone that did not stop cleanly, as the platform's instance records list them.
func (f *fleet) startInstance(name string) {
	f.lastIncarnation++
	var unclean []Identity
	zone := f.ix.zones[f.ix.instances[f.ix.byName[name]].zone]
	for _, i := range zone.instances {
		instance := f.ix.instances[i].Name
		for _, run := range f.uncleanRuns[instance] {
			unclean = append(unclean, Identity{Instance: instance, Incarnation: run})
		}
	}
	f.uncleanRuns[name] = append(f.uncleanRuns[name], f.lastIncarnation)
	f.uncleanRuns[name] = f.uncleanRuns[name][max(0, len(f.uncleanRuns[name])-2):]
	f.nodes[name] = &node{
		core: New(Params{
			Self:        name,
			Incarnation: f.lastIncarnation,
			Topology:    f.topology,
			Timing:      testTiming,
			Initial:     testPreset("first"),
			UncleanRuns: unclean,
			Start:       f.now,
		}),
		inFlight: map[work.PoolID][]time.Time{},
	}
	f.versions[name] = 0
}

// kill ends the process. Its dispatches stay in flight at the upstreams.
func (f *fleet) kill(name string) {
	n := f.nodes[name]
	if n.down {
		return
	}
	n.down = true
	n.paused = false
	for id, ends := range n.inFlight {
		f.orphaned[id] = append(f.orphaned[id], ends...)
	}
	n.inFlight = map[work.PoolID][]time.Time{}
}

// step advances the clock by one tick, runs all cores and checks invariants.
func (f *fleet) step() {
	f.now = f.now.Add(testTick)
	f.removeFinished(f.orphaned)
	for _, inst := range f.ix.instances {
		n := f.nodes[inst.Name]
		f.removeFinished(n.inFlight)
		if n.down || n.paused {
			continue
		}
		f.dispatch(n) // The worst case uses the snapshot from before the tick.
		n.core.SetPoolLoads(n.poolLoads())
		n.core.Tick(f.now)
		f.deliverBuffered(n)
		f.deliverReady(n)
		f.dispatch(n)
	}
	f.checkInvariants()
}

func (f *fleet) runFor(d time.Duration) {
	for range int(d / testTick) {
		f.step()
	}
}

func (f *fleet) deliverReady(n *node) {
	r := n.core.Ready()
	f.events = append(f.events, r.Events...)
	if r.Snapshot != nil {
		n.snapshot = r.Snapshot
	}
	from := n.core.identity.Instance
	for _, out := range r.Messages {
		f.sent++
		to := f.nodes[out.To]
		switch {
		case to.down || f.isPartitioned(from, out.To) || f.rng.Float64() < f.loss:
		case to.paused && len(to.buffer) < pausedBufferMessages:
			to.buffer = append(to.buffer, out.Msg)
		case to.paused:
		default:
			to.core.Step(f.now, out.Msg)
		}
	}
}

// deliverBuffered delivers the messages that arrived during a pause.
func (f *fleet) deliverBuffered(n *node) {
	for _, msg := range n.buffer {
		n.core.Step(f.now, msg)
	}
	n.buffer = nil
}

func (f *fleet) removeFinished(inFlight map[work.PoolID][]time.Time) {
	for id, ends := range inFlight {
		kept := ends[:0]
		for _, end := range ends {
			if end.After(f.now) {
				kept = append(kept, end)
			}
		}
		inFlight[id] = kept
	}
}

// dispatch fills every permitted slot with a request that runs until the dispatch
// timeout.
func (f *fleet) dispatch(n *node) {
	s := n.snapshot
	if s == nil || f.now.Sub(s.At) > MaxSnapshotAge {
		return
	}
	for id, g := range s.Owned {
		for len(n.inFlight[id]) < f.permittedSlots(id, g) {
			n.inFlight[id] = append(n.inFlight[id], f.now.Add(testDispatchTimeout))
		}
	}
}

func (f *fleet) permittedSlots(id work.PoolID, g Grant) int {
	total := -g.Occupied
	for _, slots := range f.ix.pools[f.ix.byPool[id]].slots {
		total += g.Slots(slots, f.now)
	}
	return total
}

func (n *node) poolLoads() []PoolStatus {
	var load []PoolStatus
	for id, ends := range n.inFlight {
		load = append(load, PoolStatus{Pool: id, Busy: len(ends), Slots: 8})
	}
	return load
}

// checkInvariants fails the test if a pool has more requests in flight than slots,
// or if the configuration version of an instance decreased.
func (f *fleet) checkInvariants() {
	f.t.Helper()
	for _, pool := range f.ix.pools {
		limit := 0
		for _, slots := range pool.slots {
			limit += slots
		}
		if busy := f.inFlightAt(pool.id); busy > limit {
			f.t.Fatalf("after %v: pool %v has %d requests in flight, want at most %d", f.now.Sub(f.start), pool.id, busy, limit)
		}
	}
	for name, n := range f.nodes {
		if n.snapshot == nil {
			continue
		}
		if v := n.snapshot.Config.Version; v < f.versions[name] {
			f.t.Fatalf("after %v: configuration version of %s decreased from %d to %d", f.now.Sub(f.start), name, f.versions[name], v)
		}
		f.versions[name] = n.snapshot.Config.Version
	}
}

func (f *fleet) inFlightAt(id work.PoolID) int {
	busy := len(f.orphaned[id])
	for _, n := range f.nodes {
		busy += len(n.inFlight[id])
	}
	return busy
}

// owners returns the running instances that may dispatch to the pool of a zone
// now.
func (f *fleet) owners(zone string) []string {
	id := work.PoolID{Service: "orders", Zone: zone}
	var owners []string
	for _, inst := range f.ix.instances {
		n := f.nodes[inst.Name]
		if n.down || n.paused || n.snapshot == nil {
			continue
		}
		if g, owned := n.snapshot.Owned[id]; owned && f.permittedSlots(id, g) > 0 {
			owners = append(owners, inst.Name)
		}
	}
	return owners
}

// hasOwner reports whether a running instance owns the pool of a zone, even if
// requests of a former owner occupy all its slots.
func (f *fleet) hasOwner(zone string) bool {
	for _, n := range f.nodes {
		if n.down || n.paused || n.snapshot == nil {
			continue
		}
		if _, owned := n.snapshot.Owned[work.PoolID{Service: "orders", Zone: zone}]; owned {
			return true
		}
	}
	return false
}

// usableSlots returns how many slots of the pool of a zone all running instances
// together may use.
func (f *fleet) usableSlots(zone string) int {
	id := work.PoolID{Service: "orders", Zone: zone}
	total := 0
	for _, name := range f.owners(zone) {
		total += f.permittedSlots(id, f.nodes[name].snapshot.Owned[id])
	}
	return total
}

// partitionZones returns a partition between zones a and b: forward drops
// messages from a to b, backward those from b to a.
func partitionZones(a, b string, forward, backward bool) func(from, to string) bool {
	zoneOf := func(name string) string { return name[:4] }
	return func(from, to string) bool {
		x, y := zoneOf(from), zoneOf(to)
		return forward && x == a && y == b || backward && x == b && y == a
	}
}
