package idempotency

import (
	"sync/atomic"

	"sycamoreledge.example/internal/work"
)

// Stats counts what a Service did since it started. The fields only grow.
type Stats struct {
	// Run, NotRun and Unknown count the answers to requests with a key.
	Run     atomic.Int64
	NotRun  atomic.Int64
	Unknown atomic.Int64
	// Replayed counts answers from stored outcomes, Waited requests that waited
	// for another one under the same key.
	Replayed  atomic.Int64
	Waited    atomic.Int64
	Forwarded atomic.Int64
	Claims    atomic.Int64
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
