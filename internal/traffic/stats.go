package traffic

import (
	"sync"
	"sync/atomic"

	"sycamoreledge.example/internal/work"
)

// Stats holds the counters of a Router since it started. They only increase.
type Stats struct {
	Run     atomic.Int64
	NotRun  atomic.Int64
	Unknown atomic.Int64
	// Attempts counts requests sent to pools, including those that were refused.
	Attempts atomic.Int64
	// Shifted counts requests sent to other regions.
	Shifted atomic.Int64
	Retries atomic.Int64
	// Pings counts the liveness pings sent to peers.
	Pings atomic.Int64
	// RetryRounds counts the further rounds over all candidates after the first
	// one.
	RetryRounds atomic.Int64

	mu      sync.Mutex
	reasons map[work.Reason]int64
}

func (s *Stats) count(resp *work.Response) {
	switch resp.Outcome {
	case work.Run:
		s.Run.Add(1)
		return
	case work.NotRun:
		s.NotRun.Add(1)
	default:
		s.Unknown.Add(1)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reasons == nil {
		s.reasons = make(map[work.Reason]int64)
	}
	s.reasons[resp.Reason]++
}

// Reasons returns the number of responses other than Run, by reason.
func (s *Stats) Reasons() map[work.Reason]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make(map[work.Reason]int64, len(s.reasons))
	for reason, n := range s.reasons {
		all[reason] = n
	}
	return all
}
