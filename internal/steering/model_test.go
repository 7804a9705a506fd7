package steering_test

import (
	"container/heap"
	"container/list"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"sycamoreledge.example/internal/deployment"
	"sycamoreledge.example/internal/exchange"
	"sycamoreledge.example/internal/routing"
	"sycamoreledge.example/internal/steering"
	"sycamoreledge.example/internal/work"
)

// The load model plays callers, instances and upstreams in virtual time. It is
// deterministic: the same pattern and seed give the same figures.

// event is something that happens at a time; order breaks ties.
type event struct {
	at    time.Time
	order int
	do    func()
}

type agenda []event

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at.Before(a[j].at) || a[i].at.Equal(a[j].at) && a[i].order < a[j].order
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(event)) }
func (a *agenda) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}

// chooser decides like steering.Core; tests put simpler rules in its place.
type chooser interface {
	Choose(now time.Time, r *steering.Request) steering.Decision
	Done(now time.Time, t *steering.Ticket, r exchange.Result)
}

// model is the simulated deployment.
type model struct {
	now     time.Time
	start   time.Time
	events  agenda
	order   int
	random  *rand.Rand
	route   *routing.Route
	servers []*server
	entries map[string][]*entry // by zone
	zones   []deployment.Place
	// rate is the requests of a zone in a second; nil means perZone.
	rate    func(zone string, at time.Duration) float64
	perZone float64
	// objects of each region.
	objects int
	// eager is the part of the callers that repeat at once when refused.
	eager float64
	// leaves is the part of the callers that leave after half of the target.
	leaves float64
	stats  stats
	// learned counts how often an upstream worked on an object that it did not know.
	learned int
	sent    map[string][]time.Time // arrivals at upstreams, by upstream
	again   []time.Time            // arrivals beyond the first of their request
	asked   []time.Time
	homes   []regionUse
	// cut reports whether nothing gets from one zone to the other; nil means nowhere.
	cut func(from, to deployment.Place) bool
	// lost is told of the requests that a cut swallows.
	lost func(from deployment.Place)
	// instances is how many of them each zone has.
	instances int
	// newChooser makes what an instance decides by when it starts.
	starts     int
	newChooser func(place deployment.Place, seed uint64) chooser
}

type regionUse struct {
	at       time.Time
	from, to string
}

type entry struct {
	place deployment.Place
	core  chooser
}

const (
	freshWork = 410 * time.Millisecond
	warmPart  = 0.3
	tailPart  = 0.03
	tailTimes = 7
	noisePart = 0.15
	noiseSlow = 2.5
)

func newModel(seed uint64, regions []string, serversOfZone []int) *model {
	m := &model{
		start: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 1)),
		entries: map[string][]*entry{}, perZone: 40, objects: 60, instances: 1,
		sent: map[string][]time.Time{},
		route: &routing.Route{
			Name: "lookups", Host: "h", Prefix: "/l/", Kind: work.Lookup, Target: 400 * time.Millisecond,
			Timeout: 800 * time.Millisecond, MaxAttempts: 2, Sticky: true,
			Shares: []routing.Share{{Service: "s", Weight: 1}},
		},
		stats: stats{zones: map[string]*tally{}},
	}
	m.now = m.start
	for i, region := range regions {
		for _, letter := range []string{"a", "b"} {
			place := deployment.Place{Zone: region + "-" + letter, Region: region}
			m.zones = append(m.zones, place)
			m.stats.zones[place.Zone] = &tally{}
			for n := range serversOfZone[i] {
				m.add(fmt.Sprintf("%s-%d", place.Zone, n), place)
			}
		}
	}
	m.newChooser = func(place deployment.Place, seed uint64) chooser { return m.newCore(place, seed) }
	m.startEntries()
	return m
}

// startEntries starts the instances of each zone. Those that run are killed.
func (m *model) startEntries() {
	for i, place := range m.zones {
		m.starts++
		m.entries[place.Zone] = nil
		for n := range m.instances {
			seed := uint64(m.starts*100 + i + n*10_000)
			m.entries[place.Zone] = append(m.entries[place.Zone], &entry{place: place, core: m.newChooser(place, seed)})
		}
	}
}

// bounds are those of a deployment like the users'.
var bounds = deployment.Bounds{
	RetryRatio: 0.2, RetrySlack: 56, RetryWindow: 10 * time.Second, ColdRatio: 1.5, ColdSlack: 5, MaxShift: 0.15,
}

const coldRate = 9.3

func (m *model) newCore(place deployment.Place, seed uint64) *steering.Core {
	core := steering.New(steering.Config{Instance: fmt.Sprintf("entry-%s-%d", place.Zone, seed/10_000), Place: place, Bounds: bounds, Seed: seed})
	table := routing.NewTable("1", routing.Limits{}, []routing.Service{{Name: "s", ColdRate: coldRate}}, []routing.Route{*m.route})
	table.Revision = 1
	core.SetTable(table)
	var members []steering.Member
	for _, p := range m.zones {
		for n := range m.instances {
			members = append(members, steering.Member{Name: fmt.Sprintf("entry-%s-%d", p.Zone, n), Place: p})
		}
	}
	core.SetMembers(members)
	for _, s := range m.servers {
		core.SetUpstream(m.now, s.Upstream)
	}
	return core
}

func (m *model) add(id string, place deployment.Place) *server {
	s := &server{
		model: m, queue: 18, keeps: 49, running: map[*job]bool{}, memory: list.New(),
		known: map[string]*list.Element{}, slowness: 1,
		Upstream: steering.Upstream{ID: id, Incarnation: 1, Service: "s", Address: id, Place: place, Slots: 6},
	}
	m.servers = append(m.servers, s)
	return s
}

// cores calls f for the core of each instance.
func (m *model) cores(f func(*steering.Core)) {
	for _, place := range m.zones {
		for _, e := range m.entries[place.Zone] {
			if c, ok := e.core.(*steering.Core); ok {
				f(c)
			}
		}
	}
}

func (m *model) at(after time.Duration, do func()) {
	m.order++
	heap.Push(&m.events, event{m.now.Add(after), m.order, do})
}

// elapsed is the time since the start.
func (m *model) elapsed() time.Duration { return m.now.Sub(m.start) }

// run plays the model for a time and until all requests have ended.
func (m *model) run(length time.Duration) {
	for _, place := range m.zones {
		m.nextArrival(place, length)
	}
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.do()
	}
}

func (m *model) nextArrival(place deployment.Place, length time.Duration) {
	rate := m.perZone
	if m.rate != nil {
		rate = m.rate(place.Zone, m.elapsed())
	}
	m.at(time.Duration(m.random.ExpFloat64()/rate*float64(time.Second)), func() {
		if m.elapsed() > length {
			return
		}
		m.arrive(place)
		m.nextArrival(place, length)
	})
}

// visit is one request of a caller with its repeats.
type visit struct {
	place    deployment.Place
	object   string
	began    time.Time
	attempts int
}

func (m *model) arrive(place deployment.Place) {
	v := &visit{place: place, began: m.now, object: fmt.Sprintf("%s/%d", place.Region, m.random.IntN(m.objects))}
	m.stats.zones[place.Zone].asked++
	m.call(v)
}

// call sends a caller's attempt to an instance.
func (m *model) call(v *visit) {
	entries := m.entries[v.place.Zone]
	e := entries[m.random.IntN(len(entries))]
	v.attempts++
	m.asked = append(m.asked, m.now)
	r := &steering.Request{
		Route: m.route, Service: "s", Object: v.object, Arrived: m.now, Deadline: m.now.Add(m.route.Timeout),
	}
	m.dispatch(e, v, r)
}

func (m *model) dispatch(e *entry, v *visit, r *steering.Request) {
	d := e.core.Choose(m.now, r)
	if d.Ticket == nil {
		m.stats.heldRefused = max(m.stats.heldRefused, m.now.Sub(r.Arrived))
		m.refused(v, d.RetryAfter)
		return
	}
	if len(r.Tried) > 0 {
		m.again = append(m.again, m.now)
	}
	m.homes = append(m.homes, regionUse{m.now, e.place.Region, d.Target.Place.Region})
	s := m.server(d.Target.ID)
	trip := m.trip(e.place, s.Place)
	began, ended := m.now, false
	var j *job
	finish := func(result exchange.Result) {
		if ended {
			return
		}
		ended = true
		if !slices.Contains(m.entries[e.place.Zone], e) {
			// The instance was killed meanwhile, and the caller's connection with it.
			m.stats.zones[v.place.Zone].failed++
			if j != nil {
				s.cancel(j)
			}
			return
		}
		e.core.Done(m.now, d.Ticket, result)
		m.finished(e, v, r, d, result)
	}
	m.at(r.Deadline.Sub(m.now), func() {
		if j != nil {
			s.cancel(j)
		}
		finish(exchange.Result{Outcome: work.Unknown, Reason: work.ReasonUpstreamTimeout})
	})
	if m.random.Float64() < m.leaves {
		m.at(m.route.Target/2, func() {
			if j != nil {
				s.cancel(j)
			}
			finish(exchange.Result{Outcome: work.Unknown, Reason: work.ReasonCanceled})
		})
	}
	m.at(trip/2, func() {
		if ended {
			return
		}
		if m.cut != nil && m.cut(e.place, s.Place) {
			if m.lost != nil {
				m.lost(e.place)
			}
			// Half of the requests go out on open connections, and only their
			// deadline ends them.
			if m.random.IntN(2) == 0 {
				m.at(400*time.Millisecond, func() {
					finish(exchange.Result{Outcome: work.NotRun, Reason: work.ReasonUpstreamConnect, Opened: m.now.Sub(began)})
				})
			}
			return
		}
		if s.dark {
			m.at(400*time.Millisecond, func() {
				finish(exchange.Result{Outcome: work.NotRun, Reason: work.ReasonUpstreamConnect, Opened: m.now.Sub(began)})
			})
			return
		}
		j = &job{object: v.object, finished: func(result exchange.Result) {
			m.at(trip/2, func() { finish(result) })
		}}
		s.take(j)
	})
}

func (m *model) finished(e *entry, v *visit, r *steering.Request, d steering.Decision, result exchange.Result) {
	zone := m.stats.zones[v.place.Zone]
	if result.Outcome == work.Run {
		if m.now.Sub(v.began) <= m.route.Target {
			zone.inTarget++
		} else {
			zone.late++
		}
		return
	}
	r.Tried = append(r.Tried, d.Target.ID)
	if result.Reason != work.ReasonUpstreamConnect {
		r.Reached++
	}
	again := result.Reason != work.ReasonCanceled && m.now.Before(r.Deadline) && r.Reached < m.route.MaxAttempts && len(r.Tried) < 4
	switch {
	case again:
		m.dispatch(e, v, r)
	case result.Outcome == work.NotRun:
		m.refused(v, 200*time.Millisecond)
	default:
		zone.failed++
	}
}

// patience is how long callers wait in all.
const patience = 2500 * time.Millisecond

// refused lets the caller come back once, within a third of its time.
func (m *model) refused(v *visit, retryAfter time.Duration) {
	left := v.began.Add(patience).Sub(m.now)
	eager := m.random.Float64() < m.eager
	switch {
	case eager && v.attempts < 4:
		m.at(10*time.Millisecond, func() { m.call(v) })
	case !eager && v.attempts < 2:
		m.at(min(retryAfter, left/3), func() { m.call(v) })
	default:
		m.stats.zones[v.place.Zone].refused++
	}
}

func (m *model) server(id string) *server {
	for _, s := range m.servers {
		if s.ID == id {
			return s
		}
	}
	panic("no upstream " + id)
}

func (m *model) trip(from, to deployment.Place) time.Duration {
	switch {
	case from.Zone == to.Zone:
		return 200 * time.Microsecond
	case from.Region == to.Region:
		return time.Millisecond
	default:
		return 40 * time.Millisecond
	}
}
