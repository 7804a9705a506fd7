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
	testTick    = 100 * time.Millisecond
	testTimeout = 2 * time.Second
)

var testTiming = settings.ControlSettings{
	Tick:      testTick,
	Heartbeat: 300 * time.Millisecond,
	Lease:     1500 * time.Millisecond,
	Digest:    500 * time.Millisecond,
	MaxAge:    5 * time.Second,
}

// testTopology has two zones in each region; the first zones of the first two
// regions have two instances, all others one.
func testTopology(regions int) *settings.Topology {
	top := &settings.Topology{Firm: "test"}
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
		top.Regions = append(top.Regions, region)
	}
	top.Services = []settings.Service{service}
	return top
}

func testPreset(name string) *settings.Preset {
	return &settings.Preset{
		Name: name,
		Services: []settings.ServicePolicy{{
			Name:            "orders",
			Deadline:        2 * testTimeout,
			DispatchTimeout: testTimeout,
		}},
	}
}

// node is a core with the work a greedy, worst-case dispatcher does on it.
type node struct {
	core     *Core
	snapshot *Snapshot
	down     bool
	paused   bool
	inFlight map[work.PoolID][]time.Time // ends
	buffer   []Message                   // arrived while paused
}

// bufferedMessages is what a paused process still finds in its socket.
const bufferedMessages = 8

// fleet runs cores against a manual clock and a network with cuts.
type fleet struct {
	t        testing.TB
	top      *settings.Topology
	ix       *index
	start    time.Time
	now      time.Time
	nodes    map[string]*node
	orphans  map[work.PoolID][]time.Time // in flight of processes that died
	cut      func(from, to string) bool
	loss     float64
	rng      *rand.Rand
	versions map[string]int64
	run      uint64
	records  map[string][]uint64 // the last two runs by instance, none clean
	events   []Event
	sent     int
}

func newFleet(t testing.TB, regions int, seed int64) *fleet {
	return newFleetOn(t, testTopology(regions), seed)
}

func newFleetOn(t testing.TB, top *settings.Topology, seed int64) *fleet {
	f := &fleet{
		t:        t,
		top:      top,
		ix:       newIndex(top),
		start:    time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		nodes:    map[string]*node{},
		orphans:  map[work.PoolID][]time.Time{},
		cut:      func(string, string) bool { return false },
		rng:      rand.New(rand.NewSource(seed)),
		versions: map[string]int64{},
		records:  map[string][]uint64{},
	}
	f.now = f.start
	for _, inst := range f.ix.instances {
		f.boot(inst.Name)
	}
	return f
}

// boot starts a new process under the name; it knows of unclean stops from the
// platform's instance records.
func (f *fleet) boot(name string) {
	f.run++
	var unclean []Identity
	zone := f.ix.zones[f.ix.instances[f.ix.byName[name]].zone]
	for _, i := range zone.instances {
		mate := f.ix.instances[i].Name
		for _, run := range f.records[mate] {
			unclean = append(unclean, Identity{Instance: mate, Incarnation: run})
		}
	}
	f.records[name] = append(f.records[name], f.run)
	f.records[name] = f.records[name][max(0, len(f.records[name])-2):]
	f.nodes[name] = &node{
		core: New(Params{
			Self:        name,
			Incarnation: f.run,
			Topology:    f.top,
			Timing:      testTiming,
			Initial:     testPreset("first"),
			Unclean:     unclean,
			Start:       f.now,
		}),
		inFlight: map[work.PoolID][]time.Time{},
	}
	f.versions[name] = 0
}

// kill ends the process; its dispatches stay at the upstreams.
func (f *fleet) kill(name string) {
	n := f.nodes[name]
	if n.down {
		return
	}
	n.down = true
	n.paused = false
	for id, ends := range n.inFlight {
		f.orphans[id] = append(f.orphans[id], ends...)
	}
	n.inFlight = map[work.PoolID][]time.Time{}
}

// step advances the clock by one tick, runs all cores and checks invariants.
func (f *fleet) step() {
	f.now = f.now.Add(testTick)
	f.expire(f.orphans)
	for _, inst := range f.ix.instances {
		n := f.nodes[inst.Name]
		f.expire(n.inFlight)
		if n.down || n.paused {
			continue
		}
		f.dispatch(n) // With the snapshot of before the tick: the worst case.
		n.core.SetLoad(n.loadOf())
		n.core.Tick(f.now)
		f.unbuffer(n)
		f.deliver(n)
		f.dispatch(n)
	}
	f.check()
}

func (f *fleet) steps(d time.Duration) {
	for range int(d / testTick) {
		f.step()
	}
}

func (f *fleet) deliver(n *node) {
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
		case to.down || f.cut(from, out.To) || f.rng.Float64() < f.loss:
		case to.paused && len(to.buffer) < bufferedMessages:
			to.buffer = append(to.buffer, out.Msg)
		case to.paused:
		default:
			to.core.Step(f.now, out.Msg)
		}
	}
}

// unbuffer delivers what arrived during a pause.
func (f *fleet) unbuffer(n *node) {
	for _, msg := range n.buffer {
		n.core.Step(f.now, msg)
	}
	n.buffer = nil
}

func (f *fleet) expire(inFlight map[work.PoolID][]time.Time) {
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

// dispatch uses every slot the snapshot permits for the longest time.
func (f *fleet) dispatch(n *node) {
	s := n.snapshot
	if s == nil || f.now.Sub(s.At) > MaxSnapshotAge {
		return
	}
	for id, g := range s.Owned {
		for len(n.inFlight[id]) < f.permitted(id, g) {
			n.inFlight[id] = append(n.inFlight[id], f.now.Add(testTimeout))
		}
	}
}

func (f *fleet) permitted(id work.PoolID, g Grant) int {
	total := -g.Occupied
	for _, slots := range f.ix.pools[f.ix.byPool[id]].slots {
		total += g.Slots(slots, f.now)
	}
	return total
}

func (n *node) loadOf() []PoolStatus {
	var load []PoolStatus
	for id, ends := range n.inFlight {
		load = append(load, PoolStatus{Pool: id, Busy: len(ends), Slots: 8})
	}
	return load
}

// check asserts that no pool is over its slots and no version goes back.
func (f *fleet) check() {
	f.t.Helper()
	for _, pool := range f.ix.pools {
		limit := 0
		for _, slots := range pool.slots {
			limit += slots
		}
		if busy := f.busy(pool.id); busy > limit {
			f.t.Fatalf("after %v: %v has %d in flight at %d slots", f.now.Sub(f.start), pool.id, busy, limit)
		}
	}
	for name, n := range f.nodes {
		if n.snapshot == nil {
			continue
		}
		if v := n.snapshot.Config.Version; v < f.versions[name] {
			f.t.Fatalf("after %v: %s went back from version %d to %d", f.now.Sub(f.start), name, f.versions[name], v)
		}
		f.versions[name] = n.snapshot.Config.Version
	}
}

func (f *fleet) busy(id work.PoolID) int {
	busy := len(f.orphans[id])
	for _, n := range f.nodes {
		busy += len(n.inFlight[id])
	}
	return busy
}

// owners returns the running nodes that may dispatch to a pool now.
func (f *fleet) owners(zone string) []string {
	id := work.PoolID{Service: "orders", Zone: zone}
	var owners []string
	for _, inst := range f.ix.instances {
		n := f.nodes[inst.Name]
		if n.down || n.paused || n.snapshot == nil {
			continue
		}
		if g, owned := n.snapshot.Owned[id]; owned && f.permitted(id, g) > 0 {
			owners = append(owners, inst.Name)
		}
	}
	return owners
}

// owned reports whether a running node owns the pool, even while a former
// owner's requests occupy its slots.
func (f *fleet) owned(zone string) bool {
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

// slotsIn returns how many slots all running nodes together may use.
func (f *fleet) slotsIn(zone string) int {
	id := work.PoolID{Service: "orders", Zone: zone}
	total := 0
	for _, name := range f.owners(zone) {
		total += f.permitted(id, f.nodes[name].snapshot.Owned[id])
	}
	return total
}

// cutZones separates zones a and b in the directions asked for.
func cutZones(a, b string, forward, backward bool) func(from, to string) bool {
	zoneOf := func(name string) string { return name[:4] }
	return func(from, to string) bool {
		x, y := zoneOf(from), zoneOf(to)
		return forward && x == a && y == b || backward && x == b && y == a
	}
}
