package promises

import (
	"context"
	"sync"
	"time"

	"sycamoreledge.example/internal/client"
	"sycamoreledge.example/internal/lab/trial"
)

// Times of the promise about configuration.
const (
	// inForceLimit is how long an accepted change may take to be in force.
	inForceLimit = 5 * time.Second
	// sampleInterval is the time between two looks at one entry.
	sampleInterval = 200 * time.Millisecond
	// sampleTimeout bounds one look.
	sampleTimeout = time.Second
)

// sample is the configuration of one entry at a time.
type sample struct {
	entry       string
	incarnation uint64
	version     int64
	preset      string
	// at is when the entry was asked.
	at time.Time
}

// watcher looks at the configuration of every entry again and again.
type watcher struct {
	mu      sync.Mutex
	samples []sample
	cancel  context.CancelFunc
	all     sync.WaitGroup
}

// watch starts a watcher.
func watch(ctx context.Context, t *trial.Trial) (*watcher, error) {
	ctx, cancel := context.WithCancel(ctx)
	w := &watcher{cancel: cancel}
	for _, e := range t.Plan.Entries {
		c, err := t.Operator("first", e.Name)
		if err != nil {
			cancel()
			return nil, err
		}
		w.all.Go(func() { w.follow(ctx, e.Name, c) })
	}
	return w, nil
}

// follow looks at one entry until ctx ends.
func (w *watcher) follow(ctx context.Context, entry string, c *client.Client) {
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	for {
		w.look(ctx, entry, c)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// look takes one sample, unless the entry does not answer.
func (w *watcher) look(ctx context.Context, entry string, c *client.Client) {
	ctx, cancel := context.WithTimeout(ctx, sampleTimeout)
	defer cancel()
	asked := time.Now()
	status, err := c.Status(ctx, false)
	if err != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.samples = append(w.samples, sample{entry, status.Incarnation, status.ConfigVersion, status.Preset, asked})
}

// stop ends the watcher and returns all samples in order of time.
func (w *watcher) stop() []sample {
	w.cancel()
	w.all.Wait()
	return w.samples
}

// has reports whether every entry was seen with the version.
func (w *watcher) has(entries []string, version int64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	reached := map[string]bool{}
	for _, s := range w.samples {
		if s.version >= version {
			reached[s.entry] = true
		}
	}
	for _, entry := range entries {
		if !reached[entry] {
			return false
		}
	}
	return true
}

// change is an accepted change of the configuration.
type change struct {
	version int64
	preset  string
	// accepted is when the operator was told so.
	accepted time.Time
	// healed is when the last fault had ended.
	healed time.Time
	// hurt are the entries that a fault kept from learning it before.
	hurt map[string]bool
}

// limit is when the change must be in force on an entry.
func (c change) limit(entry string) time.Time {
	if c.hurt[entry] && c.healed.After(c.accepted) {
		return c.healed.Add(inForceLimit)
	}
	return c.accepted.Add(inForceLimit)
}

// checkSamples finds entries that went back to an older version.
func checkSamples(r *Report, samples []sample) {
	type run struct {
		entry       string
		incarnation uint64
	}
	last := map[run]int64{}
	for _, s := range samples {
		key := run{s.entry, s.incarnation}
		if s.version < last[key] {
			r.broken(Config, "%s went back from version %d to %d", s.entry, last[key], s.version)
		}
		last[key] = s.version
	}
}

// checkChange finds entries that got a change late or never.
func checkChange(r *Report, entries []string, samples []sample, c change) {
	reached, late := map[string]bool{}, map[string]bool{}
	for _, s := range samples {
		limit := c.limit(s.entry)
		switch {
		case s.version >= c.version:
			reached[s.entry] = true
		case s.at.After(limit) && !late[s.entry]:
			late[s.entry] = true
			r.broken(Config, "%s still had version %d instead of %d, %s after the limit", s.entry, s.version, c.version, s.at.Sub(limit).Round(time.Millisecond))
		}
	}
	for _, entry := range entries {
		if !reached[entry] {
			r.broken(Config, "%s was never seen with version %d", entry, c.version)
		}
	}
}
