// Package ideal simulates an ideal scheduler on a trace, as a baseline: one
// global queue per service that always knows which slots are free and how slow
// each upstream is. Forwarding a request takes no time.
package ideal

import (
	"container/heap"
	"time"

	"sycamoreledge.example/internal/lab/firm"
	"sycamoreledge.example/internal/lab/trace"
	"sycamoreledge.example/internal/lab/upstream"
	"sycamoreledge.example/internal/settings"
)

// Result is the result of one send.
type Result struct {
	// Run is false if the request could not start before its deadline.
	Run bool
	// Latency is the round trip as seen by the caller, queueing included.
	Latency time.Duration
}

// Config describes the firm whose trace is simulated.
type Config struct {
	Topology *settings.Topology
	World    *firm.World
	Seed     uint64
	// Deadline returns the deadline of a service.
	Deadline func(service string) time.Duration
}

// server is the simulated state of one upstream.
type server struct {
	name         string
	zone         string
	slots        int
	busy         int
	serviceTimes *upstream.Times
	// slowFactor is the factor of the trace's last Slow event for the upstream.
	slowFactor  float64
	unavailable bool
}

// queuedRequest is a request in a queue; send is its index in the trace.
type queuedRequest struct {
	send    int
	arrival time.Duration
}

// queue is the queue of one service, in order of arrival.
type queue struct {
	servers []*server
	waiting []queuedRequest
}

// simulation is the state of a simulation. Its clock starts at epoch.
type simulation struct {
	config      Config
	trace       *trace.Trace
	queues      []*queue
	completions completionHeap
	results     []Result
	byName      map[string]*server
}

// epoch is the start of the simulated time. Only differences matter.
var epoch = time.Unix(0, 0)

// Run simulates the trace and returns the results of its sends in their order.
func Run(c Config, t *trace.Trace) []Result {
	sim := &simulation{config: c, trace: t, results: make([]Result, len(t.Sends)), byName: map[string]*server{}}
	for _, s := range t.Services {
		sim.queues = append(sim.queues, sim.newQueue(s.Name))
	}
	events := t.Events
	for i, s := range t.Sends {
		for len(events) > 0 && events[0].At <= s.At {
			sim.completeUntil(events[0].At)
			sim.apply(events[0])
			events = events[1:]
		}
		sim.completeUntil(s.At)
		q := sim.queues[s.Service]
		q.waiting = append(q.waiting, queuedRequest{send: i, arrival: s.At})
		sim.dispatch(q, s.At)
	}
	for len(sim.completions) > 0 {
		sim.completeUntil(sim.completions[0].at)
	}
	return sim.results
}

// newQueue returns the queue of a service with the upstreams of all its pools.
func (m *simulation) newQueue(name string) *queue {
	q := &queue{}
	service := m.config.Topology.Service(name)
	if service == nil {
		return q
	}
	for _, pool := range service.Pools {
		for _, u := range pool.Upstreams {
			s := &server{
				name: u.Name, zone: pool.Zone, slots: u.Slots, slowFactor: 1,
				serviceTimes: upstream.NewTimes(u.Name, name, m.config.Seed, m.config.World, epoch),
			}
			q.servers = append(q.servers, s)
			m.byName[u.Name] = s
		}
	}
	return q
}

// apply applies an event of the trace. Changes of preset, stops of instances and
// late reports do not affect an ideal scheduler.
func (m *simulation) apply(e trace.Event) {
	switch e.Action {
	case trace.DrainZone:
		for _, s := range m.byName {
			s.unavailable = s.unavailable || s.zone == e.Name
		}
		return
	case trace.Use, trace.Stop, trace.Lag:
		return
	}
	s := m.byName[e.Name]
	if s == nil {
		return
	}
	switch e.Action {
	case trace.Slow:
		s.slowFactor = e.Factor
	case trace.Restart:
		s.serviceTimes.Restart()
	case trace.DrainUpstream, trace.Leave:
		s.unavailable = true
	case trace.Undrain:
		s.unavailable = false
	}
}

// completeUntil frees the slots of the requests that complete up to the given
// time and dispatches queued requests to them.
func (m *simulation) completeUntil(at time.Duration) {
	for len(m.completions) > 0 && m.completions[0].at <= at {
		e := heap.Pop(&m.completions).(completion)
		e.server.busy--
		m.dispatch(e.queue, e.at)
	}
}

// dispatch assigns free slots to the queued requests in order of arrival and
// drops those whose deadline has passed.
func (m *simulation) dispatch(q *queue, now time.Duration) {
	for len(q.waiting) > 0 {
		w := q.waiting[0]
		send := m.trace.Sends[w.send]
		if now-w.arrival > m.config.Deadline(m.trace.Services[send.Service].Name) {
			q.waiting = q.waiting[1:]
			continue
		}
		s := q.fastestFree(epoch.Add(now))
		if s == nil {
			return
		}
		q.waiting = q.waiting[1:]
		m.execute(q, s, w, send, now)
	}
}

// execute occupies a slot of the server and records the result of the request.
func (m *simulation) execute(q *queue, s *server, w queuedRequest, send trace.Send, now time.Duration) {
	serviceTime := time.Duration(float64(s.serviceTimes.Next(epoch.Add(now))) * s.slowFactor)
	completedAt := now + s.serviceTimes.Transfer(send.Size) + serviceTime
	s.busy++
	heap.Push(&m.completions, completion{at: completedAt, server: s, queue: q})
	m.results[w.send] = Result{Run: true, Latency: completedAt - w.arrival + 2*m.config.World.CallerLatency}
}

// fastestFree returns the fastest server with a free slot, or nil. Among equally
// fast ones it returns one with the most free slots.
func (q *queue) fastestFree(now time.Time) *server {
	var best *server
	var fastest float64
	for _, s := range q.servers {
		if s.unavailable || s.busy >= s.slots {
			continue
		}
		factor := s.slowFactor * s.serviceTimes.Factor(now)
		if best == nil || factor < fastest || (factor == fastest && s.slots-s.busy > best.slots-best.busy) {
			best, fastest = s, factor
		}
	}
	return best
}

// completion is the completion of a request at a server.
type completion struct {
	at     time.Duration
	server *server
	queue  *queue
}

// completionHeap is a min-heap by time.
type completionHeap []completion

func (h completionHeap) Len() int           { return len(h) }
func (h completionHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h completionHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *completionHeap) Push(x any)        { *h = append(*h, x.(completion)) }

// Pop removes and returns the last element, as heap.Interface requires.
func (h *completionHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}
