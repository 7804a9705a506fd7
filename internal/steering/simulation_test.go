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

// The simulation runs callers, instances and upstreams in virtual time. It is
// deterministic: the same scenario and seed give the same results.

// event runs a function at a time; seq orders events of the same time.
type event struct {
	at  time.Time
	seq int
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// balancer selects upstreams: steering.Core or a simpler baseline.
type balancer interface {
	Choose(now time.Time, r *steering.Request) steering.Decision
	Done(now time.Time, t *steering.Ticket, r exchange.Result)
}

// simulation is the simulated deployment.
type simulation struct {
	now       time.Time
	start     time.Time
	events    eventQueue
	lastSeq   int
	random    *rand.Rand
	route     *routing.Route
	upstreams []*simUpstream
	instances map[string][]*simInstance // by zone
	zones     []deployment.Place
	// rate is the requests per second of a zone; nil means ratePerZone.
	rate             func(zone string, at time.Duration) float64
	ratePerZone      float64
	objectsPerRegion int
	// immediateRetryFraction is the fraction of refused callers that retry after 10 ms.
	immediateRetryFraction float64
	// cancelFraction is the fraction of attempts that are canceled after half of the
	// target latency.
	cancelFraction float64
	stats          stats
	// cacheMisses counts the jobs whose object the upstream had not cached.
	cacheMisses int
	sent        map[string][]time.Time // arrivals at upstreams, by upstream
	retries     []time.Time            // arrivals beyond the first of their request
	arrivals    []time.Time
	regionUses  []regionUse
	// partitioned reports whether messages from one zone to the other are lost; nil
	// means never.
	partitioned func(from, to deployment.Place) bool
	// onLost is called for each request lost in a partition.
	onLost           func(from deployment.Place)
	instancesPerZone int
	// starts counts the starts of a zone's instances, for their seeds. newBalancer
	// returns the balancer of an instance that starts.
	starts      int
	newBalancer func(place deployment.Place, seed uint64) balancer
}

type regionUse struct {
	at       time.Time
	from, to string
}

type simInstance struct {
	place    deployment.Place
	balancer balancer
}

const (
	missServiceTime    = 410 * time.Millisecond
	hitFraction        = 0.3
	outlierProbability = 0.03
	outlierFactor      = 7
	noiseProbability   = 0.15
	noiseFactor        = 2.5
)

func newSimulation(seed uint64, regions []string, upstreamsPerZone []int) *simulation {
	sim := &simulation{
		start: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 1)),
		instances: map[string][]*simInstance{}, ratePerZone: 40, objectsPerRegion: 60, instancesPerZone: 1,
		sent: map[string][]time.Time{},
		route: &routing.Route{
			Name: "lookups", Host: "h", Prefix: "/l/", Kind: work.Lookup, Target: 400 * time.Millisecond,
			Timeout: 800 * time.Millisecond, MaxAttempts: 2, Sticky: true,
			Shares: []routing.Share{{Service: "s", Weight: 1}},
		},
		stats: stats{zones: map[string]*outcomeCounts{}},
	}
	sim.now = sim.start
	for i, region := range regions {
		for _, letter := range []string{"a", "b"} {
			place := deployment.Place{Zone: region + "-" + letter, Region: region}
			sim.zones = append(sim.zones, place)
			sim.stats.zones[place.Zone] = &outcomeCounts{}
			for n := range upstreamsPerZone[i] {
				sim.addUpstream(fmt.Sprintf("%s-%d", place.Zone, n), place)
			}
		}
	}
	sim.newBalancer = func(place deployment.Place, seed uint64) balancer { return sim.newCore(place, seed) }
	sim.startInstances()
	return sim
}

// startInstances starts the instances of each zone. Running ones are killed.
func (sim *simulation) startInstances() {
	for i, place := range sim.zones {
		sim.starts++
		sim.instances[place.Zone] = nil
		for n := range sim.instancesPerZone {
			seed := uint64(sim.starts*100 + i + n*10_000)
			sim.instances[place.Zone] = append(sim.instances[place.Zone], &simInstance{place: place, balancer: sim.newBalancer(place, seed)})
		}
	}
}

// bounds are the bounds of a deployment of realistic size.
var bounds = deployment.Bounds{
	RetryRatio: 0.2, RetrySlack: 56, RetryWindow: 10 * time.Second, ColdRatio: 1.5, ColdSlack: 5, MaxShift: 0.15,
}

const coldRate = 9.3

func (sim *simulation) newCore(place deployment.Place, seed uint64) *steering.Core {
	core := steering.New(steering.Config{Instance: fmt.Sprintf("entry-%s-%d", place.Zone, seed/10_000), Place: place, Bounds: bounds, Seed: seed})
	table := routing.NewTable("1", routing.Limits{}, []routing.Service{{Name: "s", ColdRate: coldRate}}, []routing.Route{*sim.route})
	table.Revision = 1
	core.SetTable(table)
	var members []steering.Member
	for _, p := range sim.zones {
		for n := range sim.instancesPerZone {
			members = append(members, steering.Member{Name: fmt.Sprintf("entry-%s-%d", p.Zone, n), Place: p})
		}
	}
	core.SetMembers(members)
	for _, s := range sim.upstreams {
		core.SetUpstream(sim.now, s.Upstream)
	}
	return core
}

func (sim *simulation) addUpstream(id string, place deployment.Place) *simUpstream {
	s := &simUpstream{
		sim: sim, queueLimit: 18, cacheSize: 49, running: map[*job]bool{}, lru: list.New(),
		cached: map[string]*list.Element{}, slowdown: 1,
		Upstream: steering.Upstream{ID: id, Incarnation: 1, Service: "s", Address: id, Place: place, Slots: 6},
	}
	sim.upstreams = append(sim.upstreams, s)
	return s
}

// forEachCore calls f with the core of each instance.
func (sim *simulation) forEachCore(f func(*steering.Core)) {
	for _, place := range sim.zones {
		for _, inst := range sim.instances[place.Zone] {
			if c, ok := inst.balancer.(*steering.Core); ok {
				f(c)
			}
		}
	}
}

func (sim *simulation) schedule(delay time.Duration, run func()) {
	sim.lastSeq++
	heap.Push(&sim.events, event{sim.now.Add(delay), sim.lastSeq, run})
}

// elapsed returns the time since the start.
func (sim *simulation) elapsed() time.Duration { return sim.now.Sub(sim.start) }

// run generates requests for the given time and returns when all have ended.
func (sim *simulation) run(length time.Duration) {
	for _, place := range sim.zones {
		sim.nextArrival(place, length)
	}
	for len(sim.events) > 0 {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.run()
	}
}

func (sim *simulation) nextArrival(place deployment.Place, length time.Duration) {
	rate := sim.ratePerZone
	if sim.rate != nil {
		rate = sim.rate(place.Zone, sim.elapsed())
	}
	sim.schedule(time.Duration(sim.random.ExpFloat64()/rate*float64(time.Second)), func() {
		if sim.elapsed() > length {
			return
		}
		sim.startRequest(place)
		sim.nextArrival(place, length)
	})
}

// callerRequest is one request of a caller, including its retries.
type callerRequest struct {
	place     deployment.Place
	object    string
	startedAt time.Time
	attempts  int
}

func (sim *simulation) startRequest(place deployment.Place) {
	caller := &callerRequest{place: place, startedAt: sim.now, object: fmt.Sprintf("%s/%d", place.Region, sim.random.IntN(sim.objectsPerRegion))}
	sim.stats.zones[place.Zone].requests++
	sim.sendAttempt(caller)
}

// sendAttempt sends an attempt of a caller to an instance.
func (sim *simulation) sendAttempt(caller *callerRequest) {
	instances := sim.instances[caller.place.Zone]
	inst := instances[sim.random.IntN(len(instances))]
	caller.attempts++
	sim.arrivals = append(sim.arrivals, sim.now)
	r := &steering.Request{
		Route: sim.route, Service: "s", Object: caller.object, Arrived: sim.now, Deadline: sim.now.Add(sim.route.Timeout),
	}
	sim.dispatch(inst, caller, r)
}

func (sim *simulation) dispatch(inst *simInstance, caller *callerRequest, r *steering.Request) {
	d := inst.balancer.Choose(sim.now, r)
	if d.Ticket == nil {
		sim.stats.maxRefusalDelay = max(sim.stats.maxRefusalDelay, sim.now.Sub(r.Arrived))
		sim.requestRefused(caller, d.RetryAfter)
		return
	}
	if len(r.Tried) > 0 {
		sim.retries = append(sim.retries, sim.now)
	}
	sim.regionUses = append(sim.regionUses, regionUse{sim.now, inst.place.Region, d.Target.Place.Region})
	s := sim.upstream(d.Target.ID)
	rtt := sim.rtt(inst.place, s.Place)
	start, done := sim.now, false
	var j *job
	finish := func(result exchange.Result) {
		if done {
			return
		}
		done = true
		if !slices.Contains(sim.instances[inst.place.Zone], inst) {
			// The instance was killed while the request was in flight.
			sim.stats.zones[caller.place.Zone].failed++
			if j != nil {
				s.cancel(j)
			}
			return
		}
		inst.balancer.Done(sim.now, d.Ticket, result)
		sim.attemptDone(inst, caller, r, d, result)
	}
	sim.schedule(r.Deadline.Sub(sim.now), func() {
		if j != nil {
			s.cancel(j)
		}
		finish(exchange.Result{Outcome: work.Unknown, Reason: work.ReasonUpstreamTimeout})
	})
	if sim.random.Float64() < sim.cancelFraction {
		sim.schedule(sim.route.Target/2, func() {
			if j != nil {
				s.cancel(j)
			}
			finish(exchange.Result{Outcome: work.Unknown, Reason: work.ReasonCanceled})
		})
	}
	sim.schedule(rtt/2, func() {
		if done {
			return
		}
		if sim.partitioned != nil && sim.partitioned(inst.place, s.Place) {
			if sim.onLost != nil {
				sim.onLost(inst.place)
			}
			// Half of the requests are sent on open connections and end only at
			// their deadline; the others fail to connect.
			if sim.random.IntN(2) == 0 {
				sim.schedule(400*time.Millisecond, func() {
					finish(exchange.Result{Outcome: work.NotRun, Reason: work.ReasonUpstreamConnect, DialTime: sim.now.Sub(start)})
				})
			}
			return
		}
		if s.blackholed {
			sim.schedule(400*time.Millisecond, func() {
				finish(exchange.Result{Outcome: work.NotRun, Reason: work.ReasonUpstreamConnect, DialTime: sim.now.Sub(start)})
			})
			return
		}
		j = &job{object: caller.object, onDone: func(result exchange.Result) {
			sim.schedule(rtt/2, func() { finish(result) })
		}}
		s.receive(j)
	})
}

func (sim *simulation) attemptDone(inst *simInstance, caller *callerRequest, r *steering.Request, d steering.Decision, result exchange.Result) {
	zone := sim.stats.zones[caller.place.Zone]
	if result.Outcome == work.Run {
		if sim.now.Sub(caller.startedAt) <= sim.route.Target {
			zone.onTime++
		} else {
			zone.late++
		}
		return
	}
	r.Tried = append(r.Tried, d.Target.ID)
	if result.Reason != work.ReasonUpstreamConnect {
		r.Delivered++
	}
	retry := result.Reason != work.ReasonCanceled && sim.now.Before(r.Deadline) && r.Delivered < sim.route.MaxAttempts && len(r.Tried) < 4
	switch {
	case retry:
		sim.dispatch(inst, caller, r)
	case result.Outcome == work.NotRun:
		sim.requestRefused(caller, 200*time.Millisecond)
	default:
		zone.failed++
	}
}

// callerTimeout is how long a caller waits in total.
const callerTimeout = 2500 * time.Millisecond

// requestRefused retries a refused request, after a third of the caller's remaining
// time at the latest, or counts it as refused.
func (sim *simulation) requestRefused(caller *callerRequest, retryAfter time.Duration) {
	remaining := caller.startedAt.Add(callerTimeout).Sub(sim.now)
	immediate := sim.random.Float64() < sim.immediateRetryFraction
	switch {
	case immediate && caller.attempts < 4:
		sim.schedule(10*time.Millisecond, func() { sim.sendAttempt(caller) })
	case !immediate && caller.attempts < 2:
		sim.schedule(min(retryAfter, remaining/3), func() { sim.sendAttempt(caller) })
	default:
		sim.stats.zones[caller.place.Zone].refused++
	}
}

func (sim *simulation) upstream(id string) *simUpstream {
	for _, s := range sim.upstreams {
		if s.ID == id {
			return s
		}
	}
	panic("unknown upstream " + id)
}

func (sim *simulation) rtt(from, to deployment.Place) time.Duration {
	switch {
	case from.Zone == to.Zone:
		return 200 * time.Microsecond
	case from.Region == to.Region:
		return time.Millisecond
	default:
		return 40 * time.Millisecond
	}
}
