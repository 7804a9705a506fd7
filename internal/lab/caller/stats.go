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
	minLatency        = 1
	maxLatency        = 120_000_000
	significantDigits = 3
)

// Totals holds the counts and latencies of one service.
type Totals struct {
	Service string    `json:"service"`
	Kind    work.Kind `json:"kind"`
	Sent    int64     `json:"sent"`
	Run     int64     `json:"run"`
	NotRun  int64     `json:"not_run"`
	Unknown int64     `json:"unknown"`
	// Attempts counts all requests sent for the operations.
	Attempts int64 `json:"attempts"`
	// Refusals counts the attempts that an entry reported as not run.
	Refusals int64 `json:"refusals"`
	Bad      int64 `json:"bad"`
	Cut      int64 `json:"cut"`
	// Unreached counts attempts whose entry accepted no connection.
	Unreached int64 `json:"unreached"`
	// Unlabelled counts responses without an Outcome header.
	Unlabelled int64 `json:"unlabelled"`
	Late       int64 `json:"late"`
	// TimedOut counts attempts without a response within the deadline and
	// deadlineGrace.
	TimedOut int64 `json:"timed_out"`
	// Skipped counts operations not started because of Load.MaxInFlight, and
	// NoKey those not sent because no entry issued a key.
	Skipped int64 `json:"skipped"`
	NoKey   int64 `json:"no_key"`
	// P50 to Max are the latencies of the operations that were run, from their
	// intended start, retries included.
	P50  time.Duration `json:"p50"`
	P99  time.Duration `json:"p99"`
	P999 time.Duration `json:"p999"`
	Max  time.Duration `json:"max"`
	// Failed counts the failed attempts, the most frequent first.
	Failed []FailureCount `json:"failed,omitempty"`
}

// FailureCount counts attempts with the same outcome, reason and entry.
type FailureCount struct {
	Outcome work.Outcome `json:"outcome"`
	Reason  work.Reason  `json:"reason"`
	Entry   string       `json:"entry"`
	Count   int64        `json:"count"`
}

// serviceStats holds the counts and the latency histogram of a service.
type serviceStats struct {
	totals Totals
	hist   *hdrhistogram.Histogram
	failed map[FailureCount]int64
}

// addFailures counts the failed attempts of an operation.
func (s *serviceStats) addFailures(failed []Failure) {
	for _, f := range failed {
		s.failed[FailureCount{Outcome: f.Outcome, Reason: f.Reason, Entry: f.Entry}]++
	}
}

// failures returns the counts of failures, the most frequent first.
func (s *serviceStats) failures() []FailureCount {
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

// Stats collects the totals by service, of one or several callers.
type Stats struct {
	mu       sync.Mutex
	total    map[string]*serviceStats
	interval map[string]*serviceStats
}

// NewStats returns an empty collector.
func NewStats() *Stats {
	return &Stats{total: map[string]*serviceStats{}, interval: map[string]*serviceStats{}}
}

// add applies f to the overall and the interval totals of a service. It records
// latency if that is positive.
func (s *Stats) add(service string, kind work.Kind, latency time.Duration, f func(*Totals)) {
	s.update(service, kind, latency, nil, f)
}

// update is like add and also counts the failed attempts of an operation.
func (s *Stats) update(service string, kind work.Kind, latency time.Duration, failed []Failure, f func(*Totals)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range []map[string]*serviceStats{s.total, s.interval} {
		x := m[service]
		if x == nil {
			x = &serviceStats{totals: Totals{Service: service, Kind: kind}, hist: hdrhistogram.New(minLatency, maxLatency, significantDigits), failed: map[FailureCount]int64{}}
			m[service] = x
		}
		f(&x.totals)
		x.addFailures(failed)
		if latency > 0 {
			_ = x.hist.RecordValue(min(latency.Microseconds(), maxLatency))
		}
	}
}

// addOperation counts an operation that has ended. The latency is measured from
// the intended start.
func (s *Stats) addOperation(op *Op, intended time.Time) {
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

// summarize returns the totals ordered by service.
func summarize(m map[string]*serviceStats) []Totals {
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

// Interval returns the totals since the last call of Interval.
func (s *Stats) Interval() []Totals {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := summarize(s.interval)
	s.interval = map[string]*serviceStats{}
	return out
}

// Totals returns the totals since the start.
func (s *Stats) Totals() []Totals {
	s.mu.Lock()
	defer s.mu.Unlock()
	return summarize(s.total)
}
