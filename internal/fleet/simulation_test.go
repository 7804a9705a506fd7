package fleet

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"sycamoreledge.example/internal/deployment"
)

// simulation runs many instances in virtual time, without a network.
type simulation struct {
	now       time.Time
	began     time.Time
	random    *rand.Rand
	members   []*simInstance
	byAddress map[string]*simInstance
	queue     eventQueue
	// lossRate is the share of datagrams that are lost; blocked reports whether datagrams
	// between two instances are dropped.
	lossRate float64
	blocked  func(from, to *simInstance) bool
}

// simInstance is a simulated instance with its traffic so far.
type simInstance struct {
	gossip      *Gossip
	place       deployment.Place
	down        bool
	frozen      bool
	state       State
	nextTick    time.Time
	sent        traffic
	received    traffic
	crossRegion traffic
	// knownRevision is the highest revision that a peer has reported to it directly.
	knownRevision int64
}

type traffic struct{ datagrams, bytes int }

func (t *traffic) add(data []byte) { t.datagrams++; t.bytes += len(data) }

// simEvent is the arrival of a datagram, or the next tick of an instance if data is nil.
type simEvent struct {
	at    time.Time
	order int
	to    *simInstance
	data  []byte
}

type eventQueue struct {
	list  []simEvent
	order int
}

func (q *eventQueue) Len() int { return len(q.list) }
func (q *eventQueue) Less(i, j int) bool {
	if a, b := q.list[i], q.list[j]; !a.at.Equal(b.at) {
		return a.at.Before(b.at)
	}
	return q.list[i].order < q.list[j].order
}
func (q *eventQueue) Swap(i, j int) { q.list[i], q.list[j] = q.list[j], q.list[i] }
func (q *eventQueue) Push(x any)    { q.list = append(q.list, x.(simEvent)) }
func (q *eventQueue) Pop() any {
	last := q.list[len(q.list)-1]
	q.list = q.list[:len(q.list)-1]
	return last
}

// newSimulation returns a deployment of three regions whose instances all start within
// 300 ms.
func newSimulation(zones, size int, seed uint64) *simulation {
	sim := &simulation{
		now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 1)), byAddress: map[string]*simInstance{},
		blocked: func(_, _ *simInstance) bool { return false },
	}
	sim.began = sim.now
	for zone := range zones {
		for i := range size {
			sim.add(zone, fmt.Sprintf("m%d-%d", zone, i))
		}
	}
	for _, member := range sim.members {
		sim.registerEverywhere(member)
		sim.schedule(member, sim.now.Add(time.Duration(sim.random.IntN(300))*time.Millisecond))
	}
	return sim
}

// add adds an instance that is not registered yet.
func (sim *simulation) add(zone int, name string) *simInstance {
	run := sim.random.Uint64()
	r := &Registration{
		Name: name, Place: deployment.Place{Zone: fmt.Sprint("z", zone), Region: fmt.Sprint("r", zone%3)},
		Peers: name, Incarnation: run, Secret: []byte(name),
	}
	member := &simInstance{place: r.Place, state: Serving}
	member.gossip = &Gossip{
		Self: r, Table: NewTable(),
		LocalReport: func() Report { return Report{State: member.state, Revisions: [TopicCount]int64{member.knownRevision}} },
		OnReport: func(_ string, report Report, direct bool) {
			if direct {
				member.knownRevision = max(member.knownRevision, report.Revisions[0])
			}
		},
	}
	sim.members = append(sim.members, member)
	sim.byAddress[r.Peers] = member
	return member
}

// registerEverywhere registers an instance with all others and all others with it.
func (sim *simulation) registerEverywhere(member *simInstance) {
	for _, other := range sim.members {
		if other != member {
			other.gossip.Table.Register(sim.now, *member.gossip.Self)
			member.gossip.Table.Register(sim.now, *other.gossip.Self)
		}
	}
}

func (sim *simulation) schedule(member *simInstance, at time.Time) {
	member.nextTick = at
	sim.push(simEvent{at: at, to: member})
}

func (sim *simulation) push(d simEvent) {
	sim.queue.order++
	d.order = sim.queue.order
	heap.Push(&sim.queue, d)
}

// run advances the simulation by a duration.
func (sim *simulation) run(duration time.Duration) {
	end := sim.now.Add(duration)
	for sim.queue.Len() > 0 && !sim.queue.list[0].at.After(end) {
		d := heap.Pop(&sim.queue).(simEvent)
		sim.now = d.at
		member := d.to
		switch {
		case member.down:
		case member.frozen:
			if d.data == nil {
				sim.schedule(member, sim.now.Add(50*time.Millisecond))
			}
		case d.data == nil:
			if d.at.Equal(member.nextTick) {
				sim.tick(member, false)
			}
		default:
			member.received.add(d.data)
			before := member.knownRevision
			tickNow, _ := member.gossip.Receive(sim.now, d.data)
			// A speaker that learns of a change reports it at once, as a real instance does.
			immediate := member.knownRevision > before && member.gossip.IsSpeaker()
			if tickNow || immediate {
				sim.tick(member, immediate)
			}
		}
	}
	sim.now = end
}

func (sim *simulation) tick(member *simInstance, immediate bool) {
	datagrams, next := member.gossip.Tick(sim.now, immediate)
	for _, d := range datagrams {
		to := sim.byAddress[d.To]
		member.sent.add(d.Data)
		if to.place.Region != member.place.Region {
			member.crossRegion.add(d.Data)
		}
		if sim.random.Float64() >= sim.lossRate && !sim.blocked(member, to) {
			sim.push(simEvent{at: sim.now.Add(sim.delay(member, to)), to: to, data: d.Data})
		}
	}
	// Timers fire a little late.
	sim.schedule(member, next.Add(time.Duration(sim.random.IntN(4)+1)*time.Millisecond))
}

// delay returns the one-way delay between two instances.
func (sim *simulation) delay(a, b *simInstance) time.Duration {
	switch {
	case a.place.Zone == b.place.Zone:
		return 100 * time.Microsecond
	case a.place.Region == b.place.Region:
		return 900 * time.Microsecond
	default:
		return 35 * time.Millisecond
	}
}

// zone returns the instances of a zone.
func (sim *simulation) zone(zone int) []*simInstance {
	return slices.DeleteFunc(slices.Clone(sim.members), func(o *simInstance) bool { return o.place.Zone != fmt.Sprint("z", zone) })
}

// speakersOf returns the instances of a zone that are its speakers.
func (sim *simulation) speakersOf(zone int) []*simInstance {
	return slices.DeleteFunc(sim.zone(zone), func(o *simInstance) bool { return !o.gossip.IsSpeaker() })
}

// isAlive reports whether an instance is alive in the table of another.
func (sim *simulation) isAlive(viewer, other *simInstance) bool {
	return slices.ContainsFunc(viewer.gossip.Table.Peers(sim.now), func(p Peer) bool { return p.Name == other.gossip.Self.Name && p.Alive })
}

// wrongViews counts the peers whose liveness is wrong in the tables of running instances,
// among the pairs that a predicate selects.
func (sim *simulation) wrongViews(about func(viewer, other *simInstance) bool) int {
	n := 0
	for _, viewer := range sim.members {
		if viewer.down || viewer.frozen {
			continue
		}
		for _, p := range viewer.gossip.Table.Peers(sim.now) {
			if other := sim.byAddress[p.Name]; about(viewer, other) && p.Alive == (other.down || other.frozen) {
				n++
			}
		}
	}
	return n
}

func anyPair(_, _ *simInstance) bool { return true }

// untilConverged runs the simulation until no liveness is wrong, and returns how long that
// took, or the limit.
func (sim *simulation) untilConverged(limit time.Duration, about func(viewer, other *simInstance) bool) time.Duration {
	const step = 100 * time.Millisecond
	for took := time.Duration(0); took < limit; took += step {
		if sim.wrongViews(about) == 0 {
			return took
		}
		sim.run(step)
	}
	return limit
}
