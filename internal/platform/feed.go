package platform

import (
	"context"
	"sync"
	"time"

	"github.com/zeebo/errs"
)

// Compacted means that the platform has discarded the history that a request asked
// for; the reader must start over from a snapshot.
var Compacted = errs.Class("compacted")

// Change is the update or deletion of one object.
type Change struct {
	Object  Object `json:"object"`
	Deleted bool   `json:"deleted,omitempty"`
}

// Feed reads all objects of a kind and their changes. Object keys are names within
// the kind.
type Feed interface {
	// Snapshot returns the objects of a kind as of a revision, from which Changes must
	// continue.
	Snapshot(ctx context.Context, kind string) ([]Object, int64, error)
	// Changes waits, for at most the given time, until there are changes after
	// the revision. It returns the changes in order, and the revision to continue
	// from.
	Changes(ctx context.Context, kind string, after int64, wait time.Duration) ([]Change, int64, error)
}

// Timing of a Follower.
const (
	// defaultWatchWait is how long the platform holds a watch when Follower.Wait
	// is nil.
	defaultWatchWait = 20 * time.Second
	// followerBackoffMin and followerBackoffMax limit the backoff after failed
	// requests. Changes must take effect within about 2 s after the platform has
	// recovered.
	followerBackoffMin = 50 * time.Millisecond
	followerBackoffMax = 500 * time.Millisecond
	// minWatchInterval is the delay between two watches, so that a series of
	// changes takes fewer requests.
	minWatchInterval = 100 * time.Millisecond
)

// Follower keeps a reader up to date with all objects of a kind. Its callbacks are
// called from the goroutine of Run.
type Follower struct {
	Feed Feed
	Kind string
	// OnSnapshot is called with all objects as of a revision.
	OnSnapshot func(objects []Object, revision int64)
	// OnChanges is called with the changes since the last callback, up to a
	// revision.
	OnChanges func(changes []Change, revision int64)
	// Wait returns how long the platform holds the next watch; nil means
	// defaultWatchWait. A pending watch may miss changes for all that time when the
	// platform discards its history; the next watch returns them.
	Wait func() time.Duration
	// OnLost is called after each failed request, OnReached after each successful
	// one.
	OnLost    func(err error)
	OnReached func()

	mu     sync.Mutex
	cancel context.CancelFunc
	// resync requests a snapshot in place of the next watch.
	resync bool
}

// Reread cancels the pending watch and makes the follower read a new snapshot.
func (f *Follower) Reread() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.resync = true
	if f.cancel != nil {
		f.cancel()
	}
}

// watchContext returns a context for the next request, which Reread cancels, and
// whether a snapshot has been requested.
func (f *Follower) watchContext(ctx context.Context) (context.Context, context.CancelFunc, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	ctx, f.cancel = context.WithCancel(ctx)
	resync := f.resync
	f.resync = false
	return ctx, f.cancel, resync
}

// Run follows the objects until the context ends.
func (f *Follower) Run(ctx context.Context) {
	backoff := Backoff{Min: followerBackoffMin, Max: followerBackoffMax}
	revision, failed := int64(-1), false
	for ctx.Err() == nil {
		watchCtx, cancel, resync := f.watchContext(ctx)
		if resync {
			revision = -1
		}
		next, err := f.poll(watchCtx, revision, failed)
		interrupted := watchCtx.Err() != nil && ctx.Err() == nil
		cancel()
		if interrupted && err != nil {
			continue
		}
		switch {
		case err == nil:
			backoff.Reset()
			failed = false
			f.OnReached()
			revision = next
			if Pause(ctx, minWatchInterval) != nil {
				return
			}
			continue
		case Compacted.Has(err) && revision >= 0:
			// A snapshot includes the changes that the history no longer holds.
			revision = -1
			continue
		}
		if ctx.Err() != nil {
			return
		}
		failed = true
		f.OnLost(err)
		if backoff.Wait(ctx) != nil {
			return
		}
	}
}

// poll makes one request: for changes after the revision, or for a snapshot when
// the revision is negative. If immediate is set, which is the case after a failure,
// it does not wait for changes, so that a recovery of the platform is noticed at
// once.
func (f *Follower) poll(ctx context.Context, revision int64, immediate bool) (int64, error) {
	if revision < 0 {
		objects, next, err := f.Feed.Snapshot(ctx, f.Kind)
		if err != nil {
			return 0, err
		}
		f.OnSnapshot(objects, next)
		return next, nil
	}
	wait := defaultWatchWait
	if immediate {
		wait = 0
	} else if f.Wait != nil {
		wait = f.Wait()
	}
	changes, next, err := f.Feed.Changes(ctx, f.Kind, revision, wait)
	if err != nil {
		return 0, err
	}
	if len(changes) == 0 {
		// The platform may have missed changes during the watch. The next watch
		// from the same revision returns them, or fails with Compacted.
		return revision, nil
	}
	f.OnChanges(changes, next)
	return next, nil
}
