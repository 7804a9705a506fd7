package caller

import (
	"sort"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sycamoreledge.example/internal/work"
)

// Range and precision of the recorded latencies, in microseconds.
const (
	minLatency = 1
	maxLatency = 120_000_000
	digits     = 3
)

// Totals are the counts of one service.
type Totals struct {
	Service string    `json:"service"`
	Kind    work.Kind `json:"kind"`
	Sent    int64     `json:"sent"`
	Run     int64     `json:"run"`
	NotRun  int64     `json:"not_run"`
	Unknown int64     `json:"unknown"`
	// Attempts counts all requests sent for the operations.
	Attempts int64 `json:"attempts"`
	// Refusals counts the attempts that were told not run.
	Refusals int64 `json:"refusals"`
	Bad      int64 `json:"bad"`
	Cut      int64 `json:"cut"`
	// Unreached counts entries that took no connection.
	Unreached int64 `json:"unreached"`
	// Unlabelled counts answers without an outcome.
	Unlabelled int64 `json:"unlabelled"`
	Late       int64 `json:"late"`
	// TimedOut counts attempts whose caller gave up after the deadline.
	TimedOut int64 `json:"timed_out"`
	// Skipped counts operations not started for want of room, and NoKey those
	// for want of a key.
	Skipped int64 `json:"skipped"`
	NoKey   int64 `json:"no_key"`
	// P50 to Max are latencies of the operations that were run, from their
	// intended start, with retries.
	P50  time.Duration `json:"p50"`
	P99  time.Duration `json:"p99"`
	P999 time.Duration `json:"p999"`
	Max  time.Duration `json:"max"`
	// Failed counts the attempts without an answer, the most frequent first.
	Failed []FailureCount `json:"failed,omitempty"`
}

// FailureCount counts attempts that failed in the same way.
type FailureCount struct {
	Outcome work.Outcome `json:"outcome"`
	Reason  work.Reason  `json:"reason"`
	Entry   string       `json:"entry"`
	Count   int64        `json:"count"`
}

// series is the counts of a service with the latencies.
type series struct {
	totals Totals
	hist   *hdrhistogram.Histogram
	failed map[FailureCount]int64
}

// fail counts the failures of an operation.
func (s *series) fail(failed []Failure) {
	for _, f := range failed {
		s.failed[FailureCount{Outcome: f.Outcome, Reason: f.Reason, Entry: f.Entry}]++
	}
}

// failures lists the counts.
func (s *series) failures() []FailureCount {
	var out []FailureCount
	for f, n := range s.failed {
		f.Count = n
		out = append(out, f)
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Count != out[j].Count {
			return out[i].Count > out[j].Count
		}
		return out[i].Entry+string(out[i].Reason) < out[j].Entry+string(out[j].Reason)
	})
	return out
}

// Stats collects totals by service, of one or of several callers.
type Stats struct {
	mu       sync.Mutex
	total    map[string]*series
	interval map[string]*series
}

// NewStats returns empty totals.
func NewStats() *Stats {
	return &Stats{total: map[string]*series{}, interval: map[string]*series{}}
}

// add applies f to the totals and the interval of a service. A positive
// latency is recorded.
func (s *Stats) add(service string, kind work.Kind, latency time.Duration, f func(*Totals)) {
	s.update(service, kind, latency, nil, f)
}

// update is add with the failed attempts of an operation.
func (s *Stats) update(service string, kind work.Kind, latency time.Duration, failed []Failure, f func(*Totals)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range []map[string]*series{s.total, s.interval} {
		x := m[service]
		if x == nil {
			x = &series{totals: Totals{Service: service, Kind: kind}, hist: hdrhistogram.New(minLatency, maxLatency, digits), failed: map[FailureCount]int64{}}
			m[service] = x
		}
		f(&x.totals)
		x.fail(failed)
		if latency > 0 {
			_ = x.hist.RecordValue(min(latency.Microseconds(), maxLatency))
		}
	}
}

// finished counts the end of an operation.
func (s *Stats) finished(op *Op, intended time.Time) {
	var latency time.Duration
	if op.Outcome == work.Run {
		latency = op.End.Sub(intended)
	}
	s.update(op.Service, op.Kind, latency, op.Failed, func(t *Totals) {
		t.Attempts += int64(op.Attempts)
		t.Refusals += int64(len(op.NotRun))
		t.Cut += int64(op.Cut)
		t.Unreached += int64(op.Unreached)
		t.Unlabelled += int64(op.Unlabelled)
		t.TimedOut += int64(op.TimedOut)
		if op.Bad != "" {
			t.Bad++
		}
		if op.Late {
			t.Late++
		}
		switch op.Outcome {
		case work.Run:
			t.Run++
		case work.NotRun:
			t.NotRun++
		default:
			t.Unknown++
		}
	})
}

// summarize returns the totals in a fixed order.
func summarize(m map[string]*series) []Totals {
	var out []Totals
	for _, x := range m {
		t := x.totals
		at := func(q float64) time.Duration { return time.Duration(x.hist.ValueAtQuantile(q)) * time.Microsecond }
		t.P50, t.P99, t.P999 = at(50), at(99), at(99.9)
		t.Max = time.Duration(x.hist.Max()) * time.Microsecond
		t.Failed = x.failures()
		out = append(out, t)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Service < out[j].Service })
	return out
}

// Interval returns the totals since its last call.
func (s *Stats) Interval() []Totals {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := summarize(s.interval)
	s.interval = map[string]*series{}
	return out
}

// Totals returns the totals since the start.
func (s *Stats) Totals() []Totals {
	s.mu.Lock()
	defer s.mu.Unlock()
	return summarize(s.total)
}
