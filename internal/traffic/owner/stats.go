package owner

import "sync/atomic"

// Stats holds the counters of an Owner since it started. They only increase.
type Stats struct {
	// Dispatches counts attempts sent to upstreams, hedges and retries included.
	Dispatches atomic.Int64
	// Run, NotRun and Unknown count the outcomes of requests.
	Run     atomic.Int64
	NotRun  atomic.Int64
	Unknown atomic.Int64
	// Queued counts requests that were queued, Withdrawn those that left the queue
	// without a slot.
	Queued    atomic.Int64
	Withdrawn atomic.Int64
	Hedges    atomic.Int64
	HedgeWins atomic.Int64
	Retries   atomic.Int64
	// HeldSlots counts slots that stayed occupied after an abandoned attempt.
	HeldSlots atomic.Int64
	Probes    atomic.Int64
	// DroppedEvents counts events that were dropped because the buffer was full.
	DroppedEvents atomic.Int64
}
