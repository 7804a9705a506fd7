package instance

import (
	"context"
	"time"

	"sycamoreledge.example/internal/event"
	"sycamoreledge.example/internal/fleet"
	store "sycamoreledge.example/internal/platform"
)

// sharedFeed is the feed of one topic. It reads from the platform if this instance is a watcher
// of the topic, and from peers otherwise.
type sharedFeed struct {
	store.Feed
	instance *Instance
	topic    fleet.Topic
	// full holds all objects when a peer returned them; the next Snapshot returns them.
	full *fleet.ChangeSet
	// loaded is set once a snapshot was read; fromPeer is set if the last read was from a
	// peer.
	loaded   bool
	fromPeer bool
	// skipped is set if the last changes came from a peer that has skipped some revisions.
	skipped bool
	// knownRevision is the highest revision of an object that was read since the last
	// snapshot. It is above the revision of the topic after changes of a peer that
	// withholds deletions.
	knownRevision int64
	// catchUpState is the progress of reading a wanted revision from a peer.
	catchUpState catchUpState
}

// ignoreDeletions reports whether objects missing in the last read may come back, as entries of
// upstreams may after an outage of the store, so that their deletion must not take effect or be
// reported to peers yet. Deletions read from a peer take effect at once: the peer has waited already.
func (f *sharedFeed) ignoreDeletions() bool {
	return f.topic == fleet.TopicUpstreams && !f.fromPeer && f.instance.inLapseGrace()
}

// Snapshot implements store.Feed. The first snapshot is read from a peer if one has it.
func (f *sharedFeed) Snapshot(ctx context.Context, kind string) ([]store.Object, int64, error) {
	if !f.loaded {
		f.full = f.initialFromPeers(ctx)
	}
	if full := f.full; full != nil {
		f.full, f.fromPeer, f.loaded = nil, true, true
		objects := make([]store.Object, len(full.Changes))
		for i, c := range full.Changes {
			objects[i] = c.Object
		}
		f.recordObjects(objects)
		return objects, full.Revision, nil
	}
	objects, revision, err := f.Feed.Snapshot(ctx, kind)
	f.instance.platformStatus.recordAnswer(err)
	f.fromPeer = false
	if err == nil {
		f.loaded = true
		f.recordObjects(objects)
	}
	return objects, revision, err
}

// recordObjects records the revisions of the objects of a snapshot.
func (f *sharedFeed) recordObjects(objects []store.Object) {
	f.knownRevision = 0
	for _, o := range objects {
		f.knownRevision = max(f.knownRevision, o.Version)
	}
}

// recordChanges records the revisions of changed objects.
func (f *sharedFeed) recordChanges(changes []store.Change) {
	for _, c := range changes {
		f.knownRevision = max(f.knownRevision, c.Object.Version)
	}
}

// Changes implements store.Feed. Changes that a peer has read are fetched from it first, also by a
// watcher, whose own connection to the platform may be worse. A wait of 0 checks whether the
// platform answers again.
func (f *sharedFeed) Changes(ctx context.Context, kind string, after int64, wait time.Duration) ([]store.Change, int64, error) {
	w := &f.instance.coordinator
	began, fetchFailed := time.Now(), false
	for {
		w.mu.Lock()
		isWatcher, wanted := w.isWatcher[f.topic], w.wantedRevisions[f.topic]
		if wanted <= after {
			w.wantedRevisions[f.topic] = 0
		}
		w.mu.Unlock()
		h, hinted := w.pendingHint(f.topic, after)
		switch {
		case hinted && !fetchFailed:
			changes, revision, err := f.fetch(ctx, kind, h, after)
			switch {
			case err == nil && len(changes) == 0:
				// The peer has read further and found no change of this topic.
				f.instance.recordRead(f.topic, revision)
				continue
			case err == nil, store.Compacted.Has(err):
				return changes, revision, err
			}
			f.instance.events.Log(event.PeerUnreachable, "peer", h.peer, "error", err)
			fetchFailed = true
		case wanted > after && isWatcher && wait > 0:
			w.clearWanted(f.topic, wanted)
			return nil, 0, store.Compacted.New("%s: this watcher reads all objects from the platform, at least up to revision %d", kind, wanted)
		case wanted > after && !fetchFailed && f.catchUpState.isDue(time.Now(), wanted):
			if changes, revision, done, err := f.catchUp(ctx, kind, after); done {
				return changes, revision, err
			}
		case fetchFailed, isWatcher && wait > 0:
			changes, revision, err := f.watchPlatform(ctx, kind, after, min(wait, f.instance.watchTimeout(f.topic)))
			if err != nil && ctx.Err() == nil && f.hasHint(after) {
				fetchFailed = false
				continue
			}
			return changes, revision, err
		case wait == 0 && f.mayProbe(kind, isWatcher, time.Since(began)):
			return f.callPlatform(ctx, kind, after, 0)
		default:
			if err := f.waitForWake(ctx, wait == 0 || wanted > after); err != nil {
				return nil, 0, store.Unavailable.Wrap(err)
			}
		}
	}
}

// watchPlatform waits for changes on the platform. A hint of a peer ends the wait, but not before
// minWatchTime has passed: otherwise a series of changes would end every call before its answer.
func (f *sharedFeed) watchPlatform(ctx context.Context, kind string, after int64, wait time.Duration) ([]store.Change, int64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		if store.Pause(ctx, minWatchTime) != nil {
			return
		}
		for ctx.Err() == nil {
			select {
			case <-ctx.Done():
			case <-f.instance.coordinator.wake[f.topic]:
				if f.hasHint(after) {
					cancel()
				}
			}
		}
	}()
	return f.callPlatform(ctx, kind, after, wait)
}

// callPlatform reads changes from the platform.
func (f *sharedFeed) callPlatform(ctx context.Context, kind string, after int64, wait time.Duration) ([]store.Change, int64, error) {
	changes, revision, err := f.Feed.Changes(ctx, kind, after, wait)
	f.instance.platformStatus.recordAnswer(err)
	f.fromPeer, f.skipped = false, false
	f.recordChanges(changes)
	return changes, revision, err
}

// appendTo appends the last changes to a change log.
func (f *sharedFeed) appendTo(log *fleet.ChangeLog, changes []store.Change, revision int64, ignoreDeletions bool) {
	if f.skipped {
		log.AppendDifferences(changes, revision)
		return
	}
	log.Append(changes, revision, ignoreDeletions)
}

const (
	// catchUpInterval is the time between two requests to peers. A watcher needs some 300 ms
	// to read all upstreams itself from a distant region.
	catchUpInterval = 250 * time.Millisecond
	// catchUpTimeout is after how long all objects are read from the platform instead. It
	// leaves time for two failed watchers to be replaced.
	catchUpTimeout = 3 * time.Second
)

// catchUpState is the progress of reading a topic at least up to a revision.
type catchUpState struct {
	revision  int64
	startedAt time.Time
	nextTry   time.Time
	tries     int
}

// isDue reports whether a peer should be asked now for a revision.
func (c *catchUpState) isDue(now time.Time, revision int64) bool {
	if revision != c.revision {
		*c = catchUpState{revision: revision, startedAt: now, nextTry: now.Add(catchUpInterval)}
	}
	return !now.Before(c.nextTry)
}

// catchUp fetches the changes up to the wanted revision from one peer: a watcher, or an instance of
// the region that may have fetched them. It reports whether the call of Changes is done, because the
// topic is up to date, has changed, or no peer had the revision in time. In the last case the error
// is store.Compacted, so that all objects are read from the platform.
func (f *sharedFeed) catchUp(ctx context.Context, kind string, after int64) (changes []store.Change, revision int64, done bool, err error) {
	w, c := &f.instance.coordinator, &f.catchUpState
	now := time.Now()
	c.tries++
	c.nextTry = now.Add(catchUpInterval)
	if peer := f.instance.catchUpPeer(f.topic, c.tries); peer != "" {
		changes, revision, err = f.fetch(ctx, kind, hint{peer: peer}, after)
		switch {
		case store.Compacted.Has(err), err == nil && len(changes) > 0:
			// If the revision is still wanted then, the next call asks again.
			return changes, revision, true, err
		case err == nil && revision >= c.revision:
			w.clearWanted(f.topic, c.revision)
			f.recordReadWithoutChange(revision)
			return nil, revision, true, nil
		case err != nil:
			f.instance.events.Log(event.PeerUnreachable, "peer", peer, "error", err)
		}
	}
	if now.Sub(c.startedAt) < catchUpTimeout {
		return nil, 0, false, nil
	}
	w.clearWanted(f.topic, c.revision)
	return nil, 0, true, store.Compacted.New("%s: no peer has read up to revision %d in time; reading all objects from the platform", kind, c.revision)
}

// recordReadWithoutChange records that a topic was read up to a revision and has not changed.
func (f *sharedFeed) recordReadWithoutChange(revision int64) {
	if f.topic == fleet.TopicUpstreams {
		f.instance.recordUpstreamsRead(revision)
	}
	// Peers may fetch the topic from this instance instead of a watcher.
	f.appendTo(f.instance.peerSync.Logs[f.topic], nil, revision, false)
	f.instance.recordRead(f.topic, revision)
}

// catchUpPeer returns the name of the peer to ask in a try of catchUp, or "" if there is none.
func (i *Instance) catchUpPeer(topic fleet.Topic, try int) string {
	if try%3 == 0 {
		for _, p := range i.startPeers() {
			if p.State == fleet.Serving {
				return p.Name
			}
		}
	}
	i.coordinator.mu.Lock()
	defer i.coordinator.mu.Unlock()
	names := i.coordinator.watchers[topic]
	if len(names) == 0 || names[try%len(names)] == i.self.Name {
		return ""
	}
	return names[try%len(names)]
}

// hasHint reports whether a peer has changes after a revision.
func (f *sharedFeed) hasHint(after int64) bool {
	_, ok := f.instance.coordinator.pendingHint(f.topic, after)
	return ok
}

// mayProbe reports whether the follower of a kind may check whether the platform answers again, given
// how long it has waited. A watcher may at once. The followers of other kinds than probeKind may only
// when that of probeKind reaches the platform.
func (f *sharedFeed) mayProbe(kind string, isWatcher bool, waited time.Duration) bool {
	if kind != probeKind && f.instance.probeKindLost() {
		return false
	}
	return isWatcher || waited >= probeInterval
}

// waitForWake waits for a hint, a change of the watchers, a wanted revision, the next check whether
// to probe, or the end of the context.
func (f *sharedFeed) waitForWake(ctx context.Context, probing bool) error {
	var probe <-chan time.Time
	if probing {
		timer := time.NewTimer(probePollInterval)
		defer timer.Stop()
		probe = timer.C
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-probe:
	case <-f.instance.coordinator.wake[f.topic]:
	}
	return nil
}

// fetch fetches the changes after a revision from a peer. If the peer returns all objects instead,
// the error is store.Compacted and the next Snapshot returns them.
func (f *sharedFeed) fetch(ctx context.Context, kind string, h hint, after int64) ([]store.Change, int64, error) {
	set, err := f.instance.peerSync.Fetch(ctx, h.peer, f.topic, after, max(after, f.knownRevision))
	if ctx.Err() == nil {
		f.instance.coordinator.clearHint(f.topic, h)
	}
	if err != nil {
		return nil, 0, err
	}
	f.fromPeer, f.skipped = true, set.Skipped
	if set.Revision < h.revision {
		f.instance.events.Log(event.ChangesPartial, "peer", h.peer, "topic", int(f.topic), "reported", h.revision, "complete", set.Revision)
		if set.Revision <= after {
			f.instance.coordinator.recordPartialRead(f.topic, h.revision)
		}
	}
	if set.Full {
		f.full = &set
		return nil, 0, store.Compacted.New("%s: %s returned all objects instead of changes", kind, h.peer)
	}
	f.recordChanges(set.Changes)
	return set.Changes, set.Revision, nil
}
