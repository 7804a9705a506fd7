package fleet

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"sycamoreledge.example/internal/deployment"
)

// model plays the datagrams of many instances without a network or a clock.
type model struct {
	now     time.Time
	began   time.Time
	random  *rand.Rand
	members []*modelMember
	byPeer  map[string]*modelMember
	queue   modelQueue
	// loss is the part of datagrams that are lost, cut tells which cannot arrive.
	loss float64
	cut  func(from, to *modelMember) bool
}

// modelMember is an instance with what it sent and received so far.
type modelMember struct {
	spread  *Spread
	place   deployment.Place
	down    bool
	frozen  bool
	state   State
	next    time.Time
	sent    modelCount
	got     modelCount
	regions modelCount
	// known is the revision of which it knows that somebody has it.
	known int64
}

type modelCount struct{ datagrams, bytes int }

func (c *modelCount) add(data []byte) { c.datagrams++; c.bytes += len(data) }

// modelDelivery is a datagram on its way, or the next tick of a member when it has
// no data.
type modelDelivery struct {
	at    time.Time
	order int
	to    *modelMember
	data  []byte
}

type modelQueue struct {
	list  []modelDelivery
	order int
}

func (q *modelQueue) Len() int { return len(q.list) }
func (q *modelQueue) Less(i, j int) bool {
	if a, b := q.list[i], q.list[j]; !a.at.Equal(b.at) {
		return a.at.Before(b.at)
	}
	return q.list[i].order < q.list[j].order
}
func (q *modelQueue) Swap(i, j int) { q.list[i], q.list[j] = q.list[j], q.list[i] }
func (q *modelQueue) Push(x any)    { q.list = append(q.list, x.(modelDelivery)) }
func (q *modelQueue) Pop() any {
	last := q.list[len(q.list)-1]
	q.list = q.list[:len(q.list)-1]
	return last
}

// newModel returns a deployment of three regions, in which all instances start within
// 300 ms.
func newModel(zones, size int, seed uint64) *model {
	m := &model{
		now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 1)), byPeer: map[string]*modelMember{},
		cut: func(_, _ *modelMember) bool { return false },
	}
	m.began = m.now
	for zone := range zones {
		for i := range size {
			m.add(zone, fmt.Sprintf("m%d-%d", zone, i))
		}
	}
	for _, member := range m.members {
		m.introduce(member)
		m.schedule(member, m.now.Add(time.Duration(m.random.IntN(300))*time.Millisecond))
	}
	return m
}

// add adds an instance that nobody knows yet.
func (m *model) add(zone int, name string) *modelMember {
	run := m.random.Uint64()
	r := &Registration{
		Name: name, Place: deployment.Place{Zone: fmt.Sprint("z", zone), Region: fmt.Sprint("r", zone%3)},
		Peers: name, Incarnation: run, Secret: []byte(name),
	}
	member := &modelMember{place: r.Place, state: Serving}
	member.spread = &Spread{
		Self: r, Table: NewTable(),
		Report: func() Report { return Report{State: member.state, Revisions: [Topics]int64{member.known}} },
		Heard: func(_ string, report Report, near bool) {
			if near {
				member.known = max(member.known, report.Revisions[0])
			}
		},
	}
	m.members = append(m.members, member)
	m.byPeer[r.Peers] = member
	return member
}

// introduce registers an instance and all others with each other.
func (m *model) introduce(member *modelMember) {
	for _, other := range m.members {
		if other != member {
			other.spread.Table.Register(m.now, *member.spread.Self)
			member.spread.Table.Register(m.now, *other.spread.Self)
		}
	}
}

func (m *model) schedule(member *modelMember, at time.Time) {
	member.next = at
	m.push(modelDelivery{at: at, to: member})
}

func (m *model) push(d modelDelivery) {
	m.queue.order++
	d.order = m.queue.order
	heap.Push(&m.queue, d)
}

// run plays for a time.
func (m *model) run(lasts time.Duration) {
	end := m.now.Add(lasts)
	for m.queue.Len() > 0 && !m.queue.list[0].at.After(end) {
		d := heap.Pop(&m.queue).(modelDelivery)
		m.now = d.at
		member := d.to
		switch {
		case member.down:
		case member.frozen:
			if d.data == nil {
				m.schedule(member, m.now.Add(50*time.Millisecond))
			}
		case d.data == nil:
			if d.at.Equal(member.next) {
				m.tick(member, false)
			}
		default:
			member.got.add(d.data)
			before := member.known
			soon, _ := member.spread.Receive(m.now, d.data)
			// A speaker that reads a change tells it at once, as an instance does.
			prompt := member.known > before && member.spread.Speaks()
			if soon || prompt {
				m.tick(member, prompt)
			}
		}
	}
	m.now = end
}

func (m *model) tick(member *modelMember, prompt bool) {
	datagrams, next := member.spread.Tick(m.now, prompt)
	for _, d := range datagrams {
		to := m.byPeer[d.To]
		member.sent.add(d.Data)
		if to.place.Region != member.place.Region {
			member.regions.add(d.Data)
		}
		if m.random.Float64() >= m.loss && !m.cut(member, to) {
			m.push(modelDelivery{at: m.now.Add(m.delay(member, to)), to: to, data: d.Data})
		}
	}
	// Timers fire a little late.
	m.schedule(member, next.Add(time.Duration(m.random.IntN(4)+1)*time.Millisecond))
}

// delay is that of a link between two instances.
func (m *model) delay(a, b *modelMember) time.Duration {
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
func (m *model) zone(zone int) []*modelMember {
	return slices.DeleteFunc(slices.Clone(m.members), func(o *modelMember) bool { return o.place.Zone != fmt.Sprint("z", zone) })
}

// speaking returns the instances of a zone that speak for it.
func (m *model) speaking(zone int) []*modelMember {
	return slices.DeleteFunc(m.zone(zone), func(o *modelMember) bool { return !o.spread.Speaks() })
}

// isAlive reports what one instance believes of another.
func (m *model) isAlive(viewer, other *modelMember) bool {
	return slices.ContainsFunc(viewer.spread.Table.Peers(m.now), func(p Peer) bool { return p.Name == other.spread.Self.Name && p.Alive })
}

// wrong counts the beliefs of running instances that are not true, about instances
// that a predicate chooses.
func (m *model) wrong(about func(viewer, other *modelMember) bool) int {
	n := 0
	for _, viewer := range m.members {
		if viewer.down || viewer.frozen {
			continue
		}
		for _, p := range viewer.spread.Table.Peers(m.now) {
			if other := m.byPeer[p.Name]; about(viewer, other) && p.Alive == (other.down || other.frozen) {
				n++
			}
		}
	}
	return n
}

func everybody(_, _ *modelMember) bool { return true }

// untilRight plays until no belief is wrong and returns how long that took, or the
// limit.
func (m *model) untilRight(limit time.Duration, about func(viewer, other *modelMember) bool) time.Duration {
	const step = 100 * time.Millisecond
	for took := time.Duration(0); took < limit; took += step {
		if m.wrong(about) == 0 {
			return took
		}
		m.run(step)
	}
	return limit
}
