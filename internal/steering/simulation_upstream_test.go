package steering_test

import (
	"container/list"
	"time"

	"sycamoreledge.example/internal/exchange"
	"sycamoreledge.example/internal/steering"
	"sycamoreledge.example/internal/work"
)

// simUpstream is a simulated upstream.
type simUpstream struct {
	sim *simulation
	steering.Upstream
	queueLimit   int
	cacheSize    int
	running      map[*job]bool
	waiting      []*job
	lru          *list.List
	cached       map[string]*list.Element
	down         bool
	blackholed   bool
	slowdown     float64
	shedFraction float64
	coldUntil    time.Time
}

type job struct {
	object string
	done   bool
	onDone func(exchange.Result)
}

func (s *simUpstream) loadReport() exchange.ResponseInfo {
	return exchange.ResponseInfo{
		LoadKnown: true,
		Load:      exchange.Load{Running: len(s.running), Waiting: len(s.waiting), Slots: s.Slots, Slowness: 1},
	}
}

func (s *simUpstream) receive(j *job) {
	sim := s.sim
	sim.sent[s.ID] = append(sim.sent[s.ID], sim.now)
	if s.down {
		j.onDone(exchange.Result{Outcome: work.NotRun, Reason: work.ReasonUpstreamConnect, DialTime: time.Millisecond})
		return
	}
	full := len(s.running) >= s.Slots && len(s.waiting) >= s.queueLimit
	if full || sim.random.Float64() < s.shedFraction {
		j.onDone(exchange.Result{Outcome: work.NotRun, Reason: work.ReasonUpstreamShed, Status: 503, Info: s.loadReport()})
		return
	}
	if len(s.running) >= s.Slots {
		s.waiting = append(s.waiting, j)
		return
	}
	s.startJob(j)
}

func (s *simUpstream) startJob(j *job) {
	sim := s.sim
	s.running[j] = true
	serviceTime := float64(missServiceTime) * (0.85 + 0.3*sim.random.Float64())
	if s.lookUp(j.object) {
		serviceTime *= hitFraction
	}
	if sim.random.Float64() < outlierProbability {
		serviceTime *= outlierFactor
	}
	if sim.random.Float64() < noiseProbability {
		serviceTime *= noiseFactor
	}
	if sim.now.Before(s.coldUntil) {
		serviceTime *= 2
	}
	sim.schedule(time.Duration(serviceTime*s.slowdown), func() {
		if !j.done && !s.down {
			s.endJob(j)
			j.onDone(exchange.Result{Outcome: work.Run, Status: 200, Body: make([]byte, 5000), Info: s.loadReport()})
		}
	})
}

// lookUp reports whether the object is cached, and caches it.
func (s *simUpstream) lookUp(object string) bool {
	e, ok := s.cached[object]
	if ok {
		s.lru.MoveToFront(e)
		return true
	}
	s.sim.cacheMisses++
	s.cached[object] = s.lru.PushFront(object)
	if s.lru.Len() > s.cacheSize {
		oldest := s.lru.Back()
		s.lru.Remove(oldest)
		delete(s.cached, oldest.Value.(string))
	}
	return false
}

func (s *simUpstream) endJob(j *job) {
	j.done = true
	delete(s.running, j)
	if len(s.waiting) > 0 && len(s.running) < s.Slots {
		next := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.startJob(next)
	}
}

func (s *simUpstream) cancel(j *job) {
	if j.done {
		return
	}
	if s.running[j] {
		s.endJob(j)
		return
	}
	j.done = true
	for i, w := range s.waiting {
		if w == j {
			s.waiting = append(s.waiting[:i:i], s.waiting[i+1:]...)
			return
		}
	}
}

// crash ends all jobs and clears the cache; restart makes the upstream available
// again.
func (s *simUpstream) crash() {
	s.down = true
	for j := range s.running {
		j.done = true
		j.onDone(exchange.Result{Outcome: work.Unknown, Reason: work.ReasonUpstreamBroken})
	}
	for _, j := range s.waiting {
		j.done = true
		j.onDone(exchange.Result{Outcome: work.Unknown, Reason: work.ReasonUpstreamBroken})
	}
	s.running, s.waiting = map[*job]bool{}, nil
	s.lru, s.cached = list.New(), map[string]*list.Element{}
}

func (s *simUpstream) restart(cold time.Duration) {
	s.down, s.blackholed = false, false
	s.Incarnation++
	s.ColdFor = cold
	s.coldUntil = s.sim.now.Add(cold)
}
