package presets

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"sycamoreledge.example/internal/platform"
	"sycamoreledge.example/internal/settings"
)

// DefaultInterval is the mean time between two reads of a Watcher.
const DefaultInterval = 2 * time.Second

// Backoff of a watcher. The caps leave room for the 5 s in which a change must
// be in force after the platform has come back.
const (
	watchRetryMin = 100 * time.Millisecond
	watchRetryMax = 2 * time.Second
	readRetryMax  = 4 * time.Second
)

// Watcher follows the configuration on the platform: by a watch, and by reads
// in case the watch has gone silent. It runs on the few instances that are
// chosen to watch.
type Watcher struct {
	Client platform.Client
	// Interval is the mean time between two reads; 0 means DefaultInterval.
	Interval time.Duration
	// OnConfig is called with each newer configuration, never with an older one
	// and never concurrently.
	OnConfig func(cfg *settings.Config)
	// OnError is called with each failed call; it may run concurrently. It may
	// be nil.
	OnError func(err error)

	// delivery serializes the calls of OnConfig.
	delivery sync.Mutex
	mu       sync.Mutex
	// newest is the highest version that was handed on or observed.
	newest int64
}

// Observe tells the watcher of a version that is known from elsewhere. Only
// newer ones are handed on from then on.
func (w *Watcher) Observe(version int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.newest = max(w.newest, version)
}

// Run watches until the context ends. It may be called again after that.
func (w *Watcher) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { w.watch(ctx) })
	loops.Go(func() { w.poll(ctx) })
	loops.Wait()
}

func (w *Watcher) known() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.newest
}

// watch repeats long polls.
func (w *Watcher) watch(ctx context.Context) {
	backoff := platform.Backoff{Min: watchRetryMin, Max: watchRetryMax}
	for ctx.Err() == nil {
		obj, err := w.Client.Watch(ctx, ConfigKey, w.known())
		if err == nil {
			err = w.deliver(obj)
		}
		if err == nil {
			backoff.Reset()
			continue
		}
		w.report(ctx, err)
		_ = backoff.Wait(ctx)
	}
}

// poll reads the object at intervals, which grow while reads fail.
func (w *Watcher) poll(ctx context.Context) {
	interval := w.interval()
	backoff := platform.Backoff{Min: interval, Max: max(interval, readRetryMax)}
	for {
		err := w.readOnce(ctx)
		pause := jitter(interval)
		if err == nil {
			backoff.Reset()
		} else {
			w.report(ctx, err)
			pause = backoff.Next()
		}
		if platform.Pause(ctx, pause) != nil {
			return
		}
	}
}

func (w *Watcher) interval() time.Duration {
	if w.Interval > 0 {
		return w.Interval
	}
	return DefaultInterval
}

// jitter returns a time between three and five quarters of d.
func jitter(d time.Duration) time.Duration {
	return d*3/4 + rand.N(max(1, d/2))
}

// readOnce reads the object. A platform without a configuration is no error.
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

// deliver hands a configuration on if it is newer than what is known.
func (w *Watcher) deliver(obj platform.Object) error {
	w.delivery.Lock()
	defer w.delivery.Unlock()
	if obj.Version <= w.known() {
		return nil
	}
	cfg, err := decode(obj)
	if err != nil {
		return err
	}
	w.Observe(obj.Version)
	w.OnConfig(cfg)
	return nil
}

func (w *Watcher) report(ctx context.Context, err error) {
	if w.OnError != nil && ctx.Err() == nil {
		w.OnError(err)
	}
}
