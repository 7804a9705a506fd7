package idempotency

import (
	"sync/atomic"

	"sycamoreledge.example/internal/work"
)

// Stats holds monotonic counters of a Service since its start.
type Stats struct {
	// Run, NotRun and Unknown count responses to requests with a key, by
	// outcome.
	Run     atomic.Int64
	NotRun  atomic.Int64
	Unknown atomic.Int64
	// Replayed counts responses that replayed a stored outcome.
	Replayed atomic.Int64
	// Waited counts requests that waited for a running attempt with the same
	// key.
	Waited atomic.Int64
	// Forwarded counts requests sent to the home of their key.
	Forwarded atomic.Int64
	// Claims counts calls of the Claimer.
	Claims atomic.Int64
}

func (s *Stats) count(resp *work.Response) {
	switch resp.Outcome {
	case work.Run:
		s.Run.Add(1)
	case work.NotRun:
		s.NotRun.Add(1)
	default:
		s.Unknown.Add(1)
	}
}
