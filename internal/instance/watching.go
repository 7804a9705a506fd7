package instance

import (
	"context"
	"slices"
	"sync"
	"time"

	"sycamoreledge.example/internal/event"
	"sycamoreledge.example/internal/fleet"
	store "sycamoreledge.example/internal/platform"
)

const (
	// watchers is how many instances ask the platform for changes. One is enough;
	// the other stands in for it when it fails.
	watchers = 2
	// watchPart is the part of the time within which changes must be in force that
	// a watcher waits before it asks again.
	watchPart = 0.6
	// watchDefault is that time when the platform states none.
	watchDefault = 2500 * time.Millisecond
	// probeInterval is how often an instance that is no watcher looks whether the
	// platform answers again.
	probeInterval = 3 * time.Second
	// watchLeast is how long a watch lasts at least before the news of a peer end it.
	watchLeast = 300 * time.Millisecond
	// probePoll is how often it looks whether its turn has come.
	probePoll = 50 * time.Millisecond
)

// hint is that a peer knows more of a topic.
type hint struct {
	peer     string
	revision int64
}

// watching is how this instance and its peers share the work of asking the
// platform for changes.
type watching struct {
	mu        sync.Mutex
	followers map[fleet.Topic]*store.Follower
	// revisions are those up to which this instance has read each topic.
	revisions [fleet.Topics]int64
	// chosen are the topics for which this instance is a watcher.
	chosen [fleet.Topics]bool
	hints  [fleet.Topics]hint
	// wake is signalled when a hint arrives or the choice changes.
	wake [fleet.Topics]chan struct{}
}

func (w *watching) init() {
	w.followers = make(map[fleet.Topic]*store.Follower)
	for topic := range w.wake {
		w.wake[topic] = make(chan struct{}, 1)
	}
}

func (w *watching) add(topic fleet.Topic, f *store.Follower) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.followers[topic] = f
}

// reread asks the platform for all objects of a topic at once.
func (w *watching) reread(topic fleet.Topic) {
	w.mu.Lock()
	f := w.followers[topic]
	w.mu.Unlock()
	if f != nil {
		f.Reread()
	}
}

func (w *watching) signal(topic fleet.Topic) {
	select {
	case w.wake[topic] <- struct{}{}:
	default:
	}
}

// read notes as of which revision a topic was read. A watcher tells its peers at
// once.
func (i *Instance) read(topic fleet.Topic, revision int64) {
	w := &i.watching
	w.mu.Lock()
	newer := revision > w.revisions[topic]
	if newer {
		w.revisions[topic] = revision
	}
	chosen := w.chosen[topic]
	w.mu.Unlock()
	if newer && chosen {
		i.beats.Prompt()
	}
}

// report is what this instance tells its peers.
func (i *Instance) report() fleet.Report {
	i.reach.mu.Lock()
	cut := len(i.reach.lost) > 0
	i.reach.mu.Unlock()
	r := fleet.Report{State: i.currentState(), Cut: cut, InTouch: i.reach.inTouch(time.Now())}
	for topic, log := range i.news.Logs {
		r.Revisions[topic] = log.LastChange()
	}
	return r
}

// heard notes that a peer knows a change that this instance has not read.
func (i *Instance) heard(peer string, r fleet.Report) {
	w := &i.watching
	for topic, revision := range r.Revisions {
		w.mu.Lock()
		newer := revision > w.revisions[topic] && revision > w.hints[topic].revision
		if newer {
			w.hints[topic] = hint{peer, revision}
		}
		w.mu.Unlock()
		if newer {
			w.signal(fleet.Topic(topic))
		}
	}
}

// chooseWatchers decides whether this instance is a watcher, given all instances.
func (i *Instance) chooseWatchers(all []fleet.Peer) {
	w := &i.watching
	for topic := range fleet.Topics {
		chosen := slices.Contains(fleet.Watchers(topic, all, watchers), i.self.Name)
		w.mu.Lock()
		changed := chosen != w.chosen[topic]
		w.chosen[topic] = chosen
		w.mu.Unlock()
		if changed {
			w.signal(topic)
		}
	}
}

// sharedFeed reads a topic from the platform where this instance is a watcher,
// and from peers otherwise.
type sharedFeed struct {
	store.Feed
	instance *Instance
	topic    fleet.Topic
	// full holds all objects when a peer gave them; Snapshot returns them.
	full *fleet.News
}

// Snapshot implements store.Feed.
func (f *sharedFeed) Snapshot(ctx context.Context, kind string) ([]store.Object, int64, error) {
	if f.full == nil {
		objects, revision, err := f.Feed.Snapshot(ctx, kind)
		f.instance.reach.noteAnswer(err)
		return objects, revision, err
	}
	full := f.full
	f.full = nil
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
		chosen, h := w.chosen[f.topic], w.hints[f.topic]
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
			if err := f.sleep(ctx, wait == 0); err != nil {
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
	return changes, revision, err
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
	news, err := f.instance.news.Ask(ctx, h.peer, f.topic, after)
	if ctx.Err() == nil {
		f.clear(h)
	}
	if err != nil {
		return nil, 0, err
	}
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

// watchWait is how long a watcher waits for changes before it asks again.
func (i *Instance) watchWait(topic fleet.Topic) time.Duration {
	bounds := i.place().Bounds
	within := map[fleet.Topic]time.Duration{
		fleet.TopicUpstreams:     bounds.Drain,
		fleet.TopicConfiguration: bounds.ApplyConfig,
		fleet.TopicEvacuations:   bounds.Evacuate,
		fleet.TopicInstances:     bounds.StableAfter,
	}[topic]
	if within <= 0 {
		within = watchDefault
	}
	return time.Duration(watchPart * float64(within))
}
