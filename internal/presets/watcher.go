package presets

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"sycamoreledge.example/internal/platform"
	"sycamoreledge.example/internal/settings"
)

// DefaultPollInterval is the default mean time between two polls of a Watcher.
const DefaultPollInterval = 2 * time.Second

// Backoff of a Watcher after failed calls. The maxima stay below 5 s, the time
// within which a change must be in force after the platform has recovered.
const (
	watchBackoffMin = 100 * time.Millisecond
	watchBackoffMax = 2 * time.Second
	pollBackoffMax  = 4 * time.Second
)

// Watcher follows the configuration on the platform with a long-poll watch, and
// with periodic reads in case the watch stops reporting changes. It runs only on
// the few instances that are chosen to watch.
type Watcher struct {
	Client platform.Client
	// Interval is the mean time between two reads; 0 means DefaultPollInterval.
	Interval time.Duration
	// OnConfig is called with each configuration newer than the last, in order of
	// version. Calls are never concurrent.
	OnConfig func(cfg *settings.Config)
	// OnError is called with the error of each failed read or watch, including
	// Corrupt. Calls may be concurrent. It may be nil.
	OnError func(err error)

	// deliveryMu serializes calls of OnConfig.
	deliveryMu sync.Mutex
	mu         sync.Mutex
	// newest is the highest version delivered or observed.
	newest int64
}

// Observe records a version that is known from another source. From then on,
// only newer versions are delivered.
func (w *Watcher) Observe(version int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.newest = max(w.newest, version)
}

// Run watches and polls until the context ends. It may be called again after it
// has returned.
func (w *Watcher) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { w.watch(ctx) })
	loops.Go(func() { w.poll(ctx) })
	loops.Wait()
}

func (w *Watcher) newestKnown() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.newest
}

// watch follows the configuration with long polls until the context ends.
func (w *Watcher) watch(ctx context.Context) {
	backoff := platform.Backoff{Min: watchBackoffMin, Max: watchBackoffMax}
	for ctx.Err() == nil {
		obj, err := w.Client.Watch(ctx, ConfigKey, w.newestKnown())
		if err == nil {
			err = w.deliver(obj)
		}
		if err == nil {
			backoff.Reset()
			continue
		}
		w.reportError(ctx, err)
		_ = backoff.Wait(ctx)
	}
}

// poll reads the configuration at jittered intervals, and with exponential
// backoff while reads fail.
func (w *Watcher) poll(ctx context.Context) {
	interval := w.interval()
	backoff := platform.Backoff{Min: interval, Max: max(interval, pollBackoffMax)}
	for {
		err := w.readOnce(ctx)
		delay := jitter(interval)
		if err == nil {
			backoff.Reset()
		} else {
			w.reportError(ctx, err)
			delay = backoff.Next()
		}
		if platform.Pause(ctx, delay) != nil {
			return
		}
	}
}

func (w *Watcher) interval() time.Duration {
	if w.Interval > 0 {
		return w.Interval
	}
	return DefaultPollInterval
}

// jitter returns a random duration between 0.75 and 1.25 times d.
func jitter(d time.Duration) time.Duration {
	return d*3/4 + rand.N(max(1, d/2))
}

// readOnce reads the configuration once and delivers it. It is not an error if
// the platform holds none.
func (w *Watcher) readOnce(ctx context.Context) error {
	obj, err := w.Client.Get(ctx, ConfigKey)
	if platform.NotFound.Has(err) {
		return nil
	}
	if err != nil {
		return err
	}
	return w.deliver(obj)
}

// deliver passes a configuration to OnConfig if it is newer than any known
// version.
func (w *Watcher) deliver(obj platform.Object) error {
	w.deliveryMu.Lock()
	defer w.deliveryMu.Unlock()
	if obj.Version <= w.newestKnown() {
		return nil
	}
	cfg, err := decodeConfig(obj)
	if err != nil {
		return err
	}
	w.Observe(obj.Version)
	w.OnConfig(cfg)
	return nil
}

func (w *Watcher) reportError(ctx context.Context, err error) {
	if w.OnError != nil && ctx.Err() == nil {
		w.OnError(err)
	}
}
