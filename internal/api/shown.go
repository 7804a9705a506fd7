package api

import (
	"context"
	"sync/atomic"
	"time"

	"sycamoreledge.example/internal/control"
)

const (
	// catchUpLimit is how long a reading command waits until this instance
	// works by the newest version that it has shown.
	catchUpLimit = time.Second
	// catchUpInterval is the time between looks at the snapshot.
	catchUpInterval = 10 * time.Millisecond
)

// shownVersion is the newest version of the configuration that operators have
// seen in an answer of this instance. No answer shows an older one.
type shownVersion struct{ newest atomic.Int64 }

// raise notes a version that is about to be shown.
func (v *shownVersion) raise(version int64) {
	for {
		old := v.newest.Load()
		if version <= old || v.newest.CompareAndSwap(old, version) {
			return
		}
	}
}

// snapshot returns a snapshot that is not older than what was shown. It waits
// a moment for one, and returns nil when there is none.
func (s *Operators) snapshot(ctx context.Context) *control.Snapshot {
	ctx, cancel := context.WithTimeout(ctx, catchUpLimit)
	defer cancel()
	ticker := time.NewTicker(catchUpInterval)
	defer ticker.Stop()
	for {
		snap := s.opts.Snapshot()
		if snap != nil && snap.Config.Version >= s.shown.newest.Load() {
			s.shown.raise(snap.Config.Version)
			return snap
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}
