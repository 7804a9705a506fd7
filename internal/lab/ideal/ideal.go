// Package ideal computes what a single global queue with true knowledge would
// do with a trace: it knows at every moment which slots are free and how slow
// each upstream is, and moving a request costs nothing.
package ideal

import (
	"container/heap"
	"time"

	"sycamoreledge.example/internal/lab/firm"
	"sycamoreledge.example/internal/lab/trace"
	"sycamoreledge.example/internal/lab/upstream"
	"sycamoreledge.example/internal/settings"
)

// Result is what became of one send.
type Result struct {
	// Run is false when the request could not start before its deadline.
	Run bool
	// Latency is from the caller and back, queueing included.
	Latency time.Duration
}

// Config describes the firm of a trace.
type Config struct {
	Topology *settings.Topology
	World    *firm.World
	Seed     uint64
	// Deadline returns that of a service.
	Deadline func(service string) time.Duration
}

// server is one upstream.
type server struct {
	name  string
	zone  string
	slots int
	busy  int
	times *upstream.Times
	// slow is the factor of a slow-down of the trace.
	slow float64
	away bool
}

// waiting is a request in a queue.
type waiting struct {
	send int
	at   time.Duration
}

// queue is that of one service.
type queue struct {
	servers []*server
	waiting []waiting
}

// model is the state of the computation. Its clock starts at epoch.
type model struct {
	config  Config
	trace   *trace.Trace
	queues  []*queue
	ends    ends
	results []Result
	byName  map[string]*server
}

// epoch is the start of the computed run. Only differences matter.
var epoch = time.Unix(0, 0)

// Run returns the results of the sends in their order.
func Run(c Config, t *trace.Trace) []Result {
	m := &model{config: c, trace: t, results: make([]Result, len(t.Sends)), byName: map[string]*server{}}
	for _, s := range t.Services {
		m.queues = append(m.queues, m.newQueue(s.Name))
	}
	events := t.Events
	for i, s := range t.Sends {
		for len(events) > 0 && events[0].At <= s.At {
			m.finishUntil(events[0].At)
			m.apply(events[0])
			events = events[1:]
		}
		m.finishUntil(s.At)
		q := m.queues[s.Service]
		q.waiting = append(q.waiting, waiting{send: i, at: s.At})
		m.start(q, s.At)
	}
	for len(m.ends) > 0 {
		m.finishUntil(m.ends[0].at)
	}
	return m.results
}

// newQueue returns the queue of a service over all its upstreams.
func (m *model) newQueue(name string) *queue {
	q := &queue{}
	service := m.config.Topology.Service(name)
	if service == nil {
		return q
	}
	for _, pool := range service.Pools {
		for _, u := range pool.Upstreams {
			s := &server{
				name: u.Name, zone: pool.Zone, slots: u.Slots, slow: 1,
				times: upstream.NewTimes(u.Name, name, m.config.Seed, m.config.World, epoch),
			}
			q.servers = append(q.servers, s)
			m.byName[u.Name] = s
		}
	}
	return q
}

// apply carries out an event of the trace.
func (m *model) apply(e trace.Event) {
	switch e.Action {
	case trace.DrainZone:
		for _, s := range m.byName {
			s.away = s.away || s.zone == e.Name
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
		s.slow = e.Factor
	case trace.Restart:
		s.times.Restart()
	case trace.DrainUpstream, trace.Leave:
		s.away = true
	case trace.Undrain:
		s.away = false
	}
}

// finishUntil frees the slots of the work that ends up to a time.
func (m *model) finishUntil(at time.Duration) {
	for len(m.ends) > 0 && m.ends[0].at <= at {
		e := heap.Pop(&m.ends).(end)
		e.server.busy--
		m.start(e.queue, e.at)
	}
}

// start gives free slots to the requests that wait the longest.
func (m *model) start(q *queue, now time.Duration) {
	for len(q.waiting) > 0 {
		w := q.waiting[0]
		send := m.trace.Sends[w.send]
		if now-w.at > m.config.Deadline(m.trace.Services[send.Service].Name) {
			q.waiting = q.waiting[1:]
			continue
		}
		s := q.best(epoch.Add(now))
		if s == nil {
			return
		}
		q.waiting = q.waiting[1:]
		m.run(q, s, w, send, now)
	}
}

// run occupies a slot of the server.
func (m *model) run(q *queue, s *server, w waiting, send trace.Send, now time.Duration) {
	work := time.Duration(float64(s.times.Next(epoch.Add(now))) * s.slow)
	done := now + s.times.Transfer(send.Size) + work
	s.busy++
	heap.Push(&m.ends, end{at: done, server: s, queue: q})
	m.results[w.send] = Result{Run: true, Latency: done - w.at + 2*m.config.World.CallerLatency}
}

// best returns the fastest server with a free slot, of those the one with the
// most free slots, or nil.
func (q *queue) best(now time.Time) *server {
	var best *server
	var fastest float64
	for _, s := range q.servers {
		if s.away || s.busy >= s.slots {
			continue
		}
		factor := s.slow * s.times.Factor(now)
		if best == nil || factor < fastest || (factor == fastest && s.slots-s.busy > best.slots-best.busy) {
			best, fastest = s, factor
		}
	}
	return best
}

// end is the end of a piece of work.
type end struct {
	at     time.Duration
	server *server
	queue  *queue
}

// ends is a heap by time.
type ends []end

func (h ends) Len() int           { return len(h) }
func (h ends) Less(i, j int) bool { return h[i].at < h[j].at }
func (h ends) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *ends) Push(x any)        { *h = append(*h, x.(end)) }

// Pop removes the last element.
func (h *ends) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}
