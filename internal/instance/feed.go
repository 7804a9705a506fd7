package instance

import (
	"context"
	"time"

	"sycamoreledge.example/internal/event"
	"sycamoreledge.example/internal/fleet"
	store "sycamoreledge.example/internal/platform"
)

// sharedFeed reads a topic from the platform where this instance is a watcher,
// and from peers otherwise.
type sharedFeed struct {
	store.Feed
	instance *Instance
	topic    fleet.Topic
	// full holds all objects when a peer gave them; Snapshot returns them.
	full *fleet.ChangeSet
	// read is set once all objects were read; fromPeer tells from whom the last
	// reading came.
	read     bool
	fromPeer bool
	// catching is what is to be read from a watcher.
	catching catchUp
}

// holds reports whether objects that are missing in the last reading may come back.
func (f *sharedFeed) holds() bool {
	return f.topic == fleet.TopicUpstreams && !f.fromPeer && time.Now().Before(f.instance.lapseEnds())
}

// Snapshot implements store.Feed.
func (f *sharedFeed) Snapshot(ctx context.Context, kind string) ([]store.Object, int64, error) {
	if !f.read {
		f.full = f.start(ctx)
	}
	if f.full == nil {
		objects, revision, err := f.Feed.Snapshot(ctx, kind)
		f.instance.reach.noteAnswer(err)
		f.fromPeer = false
		f.read = f.read || err == nil
		return objects, revision, err
	}
	full := f.full
	f.full, f.fromPeer, f.read = nil, true, true
	objects := make([]store.Object, len(full.Changes))
	for i, c := range full.Changes {
		objects[i] = c.Object
	}
	return objects, full.Revision, nil
}

// Changes implements store.Feed. What a peer knows comes first, also for a
// watcher, whose own way to the platform may be worse. A wait of 0 asks whether
// the platform answers again.
func (f *sharedFeed) Changes(ctx context.Context, kind string, after int64, wait time.Duration) ([]store.Change, int64, error) {
	w := &f.instance.watching
	began, failed := time.Now(), false
	for {
		w.mu.Lock()
		chosen, h, wanted := w.chosen[f.topic], w.hints[f.topic], w.wanted[f.topic]
		if wanted <= after {
			w.wanted[f.topic] = 0
		}
		w.mu.Unlock()
		switch {
		case h.revision > after && !failed:
			changes, revision, err := f.ask(ctx, kind, h, after)
			switch {
			case err == nil && len(changes) == 0:
				// The peer has read further and found nothing for this topic.
				f.instance.read(f.topic, revision)
				continue
			case err == nil, store.Compacted.Has(err):
				return changes, revision, err
			}
			f.instance.events.Log(event.PeerUnreachable, "peer", h.peer, "error", err)
			failed = true
		case wanted > after && chosen && wait > 0:
			w.fulfilled(f.topic, wanted)
			return nil, 0, store.Compacted.New("%s: a watcher reads up to revision %d itself", kind, wanted)
		case wanted > after && !failed && f.catching.isDue(time.Now(), wanted):
			if changes, revision, done, err := f.catchUp(ctx, kind, after); done {
				return changes, revision, err
			}
		case failed, chosen && wait > 0:
			changes, revision, err := f.watch(ctx, kind, after, min(wait, f.instance.watchWait(f.topic)))
			if err != nil && ctx.Err() == nil && f.hinted(after) {
				failed = false
				continue
			}
			return changes, revision, err
		case wait == 0 && f.mayProbe(kind, chosen, time.Since(began)):
			return f.direct(ctx, kind, after, 0)
		default:
			if err := f.sleep(ctx, wait == 0 || wanted > after); err != nil {
				return nil, 0, store.Unavailable.Wrap(err)
			}
		}
	}
}

// watch asks the platform itself. A hint of a peer ends it, but not before an
// answer had the time to come: a series of changes must not end every call.
func (f *sharedFeed) watch(ctx context.Context, kind string, after int64, wait time.Duration) ([]store.Change, int64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		if store.Pause(ctx, watchLeast) != nil {
			return
		}
		for ctx.Err() == nil {
			select {
			case <-ctx.Done():
			case <-f.instance.watching.wake[f.topic]:
				if f.hinted(after) {
					cancel()
				}
			}
		}
	}()
	return f.direct(ctx, kind, after, wait)
}

// direct asks the platform.
func (f *sharedFeed) direct(ctx context.Context, kind string, after int64, wait time.Duration) ([]store.Change, int64, error) {
	changes, revision, err := f.Feed.Changes(ctx, kind, after, wait)
	f.instance.reach.noteAnswer(err)
	f.fromPeer = false
	return changes, revision, err
}

const (
	// catchUpPause is the time between two questions to a watcher, which needs some
	// 300 ms to read all upstreams itself from a distant region.
	catchUpPause = 250 * time.Millisecond
	// catchUpFor is after how long the platform is asked: time for two watchers that
	// fail to be replaced.
	catchUpFor = 3 * time.Second
)

// catchUp is a topic that must be read as of a revision at least.
type catchUp struct {
	wanted int64
	since  time.Time
	next   time.Time
	tries  int
}

// isDue reports whether a peer should be asked now for what is wanted.
func (c *catchUp) isDue(now time.Time, wanted int64) bool {
	if wanted != c.wanted {
		*c = catchUp{wanted: wanted, since: now, next: now.Add(catchUpPause)}
	}
	return !now.Before(c.next)
}

// catchUp asks one peer for what changed up to a revision: a watcher, or an instance
// of the region that may have asked one. It reports whether the topic is up to date or
// has changed; all objects are read from the platform when no peer can tell in time.
func (f *sharedFeed) catchUp(ctx context.Context, kind string, after int64) (changes []store.Change, revision int64, done bool, err error) {
	w, c := &f.instance.watching, &f.catching
	now := time.Now()
	c.tries++
	c.next = now.Add(catchUpPause)
	if peer := f.instance.teller(f.topic, c.tries); peer != "" {
		changes, revision, err = f.ask(ctx, kind, hint{peer: peer}, after)
		switch {
		case store.Compacted.Has(err), err == nil && len(changes) > 0:
			// What is still wanted then is asked for again.
			return changes, revision, true, err
		case err == nil && revision >= c.wanted:
			w.fulfilled(f.topic, c.wanted)
			f.instance.readAsOf(f.topic, revision)
			return nil, revision, true, nil
		case err != nil:
			f.instance.events.Log(event.PeerUnreachable, "peer", peer, "error", err)
		}
	}
	if now.Sub(c.since) < catchUpFor {
		return nil, 0, false, nil
	}
	w.fulfilled(f.topic, c.wanted)
	return nil, 0, true, store.Compacted.New("%s: no peer has read up to revision %d", kind, c.wanted)
}

// teller returns the peer to ask in a try for what watchers have read, or "".
func (i *Instance) teller(topic fleet.Topic, try int) string {
	if try%3 == 0 {
		for _, p := range i.startPeers() {
			if p.State == fleet.Serving {
				return p.Name
			}
		}
	}
	i.watching.mu.Lock()
	defer i.watching.mu.Unlock()
	names := i.watching.watchers[topic]
	if len(names) == 0 || names[try%len(names)] == i.self.Name {
		return ""
	}
	return names[try%len(names)]
}

// hinted reports whether a peer knows more.
func (f *sharedFeed) hinted(after int64) bool {
	w := &f.instance.watching
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.hints[f.topic].revision > after
}

// mayProbe reports whether it is this instance's turn to look whether the
// platform answers again, after it has waited for a while.
func (f *sharedFeed) mayProbe(kind string, chosen bool, waited time.Duration) bool {
	if kind != scout && f.instance.scoutLost() {
		return false
	}
	return chosen || waited >= probeInterval
}

// sleep waits for a hint, a change of the choice, or the end of the context.
func (f *sharedFeed) sleep(ctx context.Context, probing bool) error {
	var probe <-chan time.Time
	if probing {
		timer := time.NewTimer(probePoll)
		defer timer.Stop()
		probe = timer.C
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-probe:
	case <-f.instance.watching.wake[f.topic]:
	}
	return nil
}

// ask reads from a peer what it knows after a revision.
func (f *sharedFeed) ask(ctx context.Context, kind string, h hint, after int64) ([]store.Change, int64, error) {
	news, err := f.instance.news.Fetch(ctx, h.peer, f.topic, after)
	if ctx.Err() == nil {
		f.clear(h)
	}
	if err != nil {
		return nil, 0, err
	}
	f.fromPeer = true
	if news.Full {
		f.full = &news
		return nil, 0, store.Compacted.New("%s: %s gave all objects", kind, h.peer)
	}
	return news.Changes, news.Revision, nil
}

// clear forgets a hint that was followed, so that the same peer may give it again.
func (f *sharedFeed) clear(h hint) {
	w := &f.instance.watching
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.hints[f.topic] == h {
		w.hints[f.topic] = hint{}
	}
}
