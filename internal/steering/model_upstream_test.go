package steering_test

import (
	"container/list"
	"time"

	"sycamoreledge.example/internal/exchange"
	"sycamoreledge.example/internal/steering"
	"sycamoreledge.example/internal/work"
)

// server is a simulated upstream.
type server struct {
	model *model
	steering.Upstream
	queue    int
	keeps    int
	running  map[*job]bool
	waiting  []*job
	memory   *list.List
	known    map[string]*list.Element
	down     bool
	dark     bool
	slowness float64
	shedding float64
	coldTill time.Time
}

type job struct {
	object   string
	ended    bool
	finished func(exchange.Result)
}

func (s *server) report() exchange.Verdict {
	return exchange.Verdict{
		LoadKnown: true,
		Load:      exchange.Load{Running: len(s.running), Waiting: len(s.waiting), Slots: s.Slots, Slowness: 1},
	}
}

func (s *server) take(j *job) {
	m := s.model
	m.sent[s.ID] = append(m.sent[s.ID], m.now)
	if s.down {
		j.finished(exchange.Result{Outcome: work.NotRun, Reason: work.ReasonUpstreamConnect, Opened: time.Millisecond})
		return
	}
	full := len(s.running) >= s.Slots && len(s.waiting) >= s.queue
	if full || m.random.Float64() < s.shedding {
		j.finished(exchange.Result{Outcome: work.NotRun, Reason: work.ReasonUpstreamShed, Status: 503, Verdict: s.report()})
		return
	}
	if len(s.running) >= s.Slots {
		s.waiting = append(s.waiting, j)
		return
	}
	s.begin(j)
}

func (s *server) begin(j *job) {
	m := s.model
	s.running[j] = true
	took := float64(freshWork) * (0.85 + 0.3*m.random.Float64())
	if s.recall(j.object) {
		took *= warmPart
	}
	if m.random.Float64() < tailPart {
		took *= tailTimes
	}
	if m.random.Float64() < noisePart {
		took *= noiseSlow
	}
	if m.now.Before(s.coldTill) {
		took *= 2
	}
	m.at(time.Duration(took*s.slowness), func() {
		if !j.ended && !s.down {
			s.end(j)
			j.finished(exchange.Result{Outcome: work.Run, Status: 200, Body: make([]byte, 5000), Verdict: s.report()})
		}
	})
}

// recall reports whether the object is remembered, and remembers it.
func (s *server) recall(object string) bool {
	e, ok := s.known[object]
	if ok {
		s.memory.MoveToFront(e)
		return true
	}
	s.model.learned++
	s.known[object] = s.memory.PushFront(object)
	if s.memory.Len() > s.keeps {
		oldest := s.memory.Back()
		s.memory.Remove(oldest)
		delete(s.known, oldest.Value.(string))
	}
	return false
}

func (s *server) end(j *job) {
	j.ended = true
	delete(s.running, j)
	if len(s.waiting) > 0 && len(s.running) < s.Slots {
		next := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.begin(next)
	}
}

func (s *server) cancel(j *job) {
	if j.ended {
		return
	}
	if s.running[j] {
		s.end(j)
		return
	}
	j.ended = true
	for i, w := range s.waiting {
		if w == j {
			s.waiting = append(s.waiting[:i:i], s.waiting[i+1:]...)
			return
		}
	}
}

// crash ends the upstream's work and memory; restart brings it back.
func (s *server) crash() {
	s.down = true
	for j := range s.running {
		j.ended = true
		j.finished(exchange.Result{Outcome: work.Unknown, Reason: work.ReasonUpstreamBroken})
	}
	for _, j := range s.waiting {
		j.ended = true
		j.finished(exchange.Result{Outcome: work.Unknown, Reason: work.ReasonUpstreamBroken})
	}
	s.running, s.waiting = map[*job]bool{}, nil
	s.memory, s.known = list.New(), map[string]*list.Element{}
}

func (s *server) restart(cold time.Duration) {
	s.down, s.dark = false, false
	s.Incarnation++
	s.ColdFor = cold
	s.coldTill = s.model.now.Add(cold)
}
