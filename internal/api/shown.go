package api

import (
	"context"
	"sync/atomic"
	"time"

	"sycamoreledge.example/internal/control"
)

const (
	// catchUpTimeout bounds how long a read waits for the snapshot to reach the
	// newest version that was shown to operators.
	catchUpTimeout = time.Second
	// catchUpInterval is the time between checks of the snapshot.
	catchUpInterval = 10 * time.Millisecond
)

// shownVersion is the newest version of the configuration that this instance has sent
// to operators. Later responses never contain an older one (monotonic reads).
type shownVersion struct{ newest atomic.Int64 }

// advance records a version that is about to be sent, unless a newer one was sent.
func (v *shownVersion) advance(version int64) {
	for {
		old := v.newest.Load()
		if version <= old || v.newest.CompareAndSwap(old, version) {
			return
		}
	}
}

// currentSnapshot returns a snapshot with at least the version shown before. It waits
// up to catchUpTimeout for one, and then returns nil.
func (s *Operators) currentSnapshot(ctx context.Context) *control.Snapshot {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	ticker := time.NewTicker(catchUpInterval)
	defer ticker.Stop()
	for {
		snap := s.opts.Snapshot()
		if snap != nil && snap.Config.Version >= s.shown.newest.Load() {
			s.shown.advance(snap.Config.Version)
			return snap
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}
