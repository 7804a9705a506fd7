package owner

import "sync/atomic"

// Stats counts what an Owner did since it started. The fields only grow.
type Stats struct {
	// Dispatches counts attempts sent to upstreams, hedges and retries included.
	Dispatches atomic.Int64
	// Run, NotRun and Unknown count the answers given.
	Run     atomic.Int64
	NotRun  atomic.Int64
	Unknown atomic.Int64
	// Queued counts requests that waited, Withdrawn those refused while waiting.
	Queued    atomic.Int64
	Withdrawn atomic.Int64
	Hedges    atomic.Int64
	HedgeWins atomic.Int64
	Retries   atomic.Int64
	// Held counts slots kept after an attempt that was given up.
	Held   atomic.Int64
	Probes atomic.Int64
	// LostEvents counts events that were not told for want of a listener.
	LostEvents atomic.Int64
}
