package instance

import (
	"slices"
	"sync"
	"time"

	"sycamoreledge.example/internal/fleet"
	store "sycamoreledge.example/internal/platform"
)

const (
	// watchers is how many instances ask the platform for changes. One is enough;
	// the other stands in for it when it fails.
	watchers = 2
	// watchPart is the part of the time within which changes must be in force that
	// a watcher waits before it asks again. What is left is for a watcher that is cut
	// off from the platform to notice, and for another to be chosen and to read.
	watchPart = 0.4
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
	revisions [fleet.TopicCount]int64
	// chosen are the topics for which this instance is a watcher.
	chosen [fleet.TopicCount]bool
	hints  [fleet.TopicCount]hint
	// far are the last changes that other zones know.
	far [fleet.TopicCount]int64
	// wanted are the revisions as of which a topic must be read once more, from a
	// watcher; watchers are those of the others.
	wanted   [fleet.TopicCount]int64
	watchers [fleet.TopicCount][]string
	// wake is signalled when a hint arrives, the choice changes or a revision is
	// wanted.
	wake [fleet.TopicCount]chan struct{}
	starting
}

func (w *watching) init(firstStart bool) {
	w.followers = make(map[fleet.Topic]*store.Follower)
	for topic := range w.wake {
		w.wake[topic] = make(chan struct{}, 1)
	}
	w.starting.init(firstStart)
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

// refresh has a topic read as of a revision at least: a watcher asks the platform
// for all objects, and the others ask it.
func (w *watching) refresh(topic fleet.Topic, revision int64) {
	w.mu.Lock()
	chosen := w.chosen[topic]
	if !chosen {
		w.wanted[topic] = max(w.wanted[topic], revision)
	}
	w.mu.Unlock()
	if chosen {
		w.reread(topic)
	} else {
		w.signal(topic)
	}
}

func (w *watching) signal(topic fleet.Topic) {
	select {
	case w.wake[topic] <- struct{}{}:
	default:
	}
}

// read notes as of which revision a topic was read. A watcher tells its zone at
// once, and a speaker other zones, too.
func (i *Instance) read(topic fleet.Topic, revision int64) {
	w := &i.watching
	w.mu.Lock()
	newer := revision > w.revisions[topic]
	if newer {
		w.revisions[topic] = revision
	}
	chosen := w.chosen[topic]
	w.mu.Unlock()
	if newer && (chosen || i.beats.IsSpeaker()) {
		i.beats.SendNow()
	}
}

// report is what this instance tells its peers.
func (i *Instance) report() fleet.Report {
	i.reach.mu.Lock()
	cut := len(i.reach.lost) > 0
	i.reach.mu.Unlock()
	r := fleet.Report{State: i.currentState(), PlatformUnreachable: cut, PlatformAnswered: i.reach.inTouch(time.Now())}
	for topic, log := range i.news.Logs {
		r.Revisions[topic] = log.LastChange()
	}
	return r
}

// farHint is after how long an instance asks another zone for a change that nobody of
// its own zone has told it: its speakers need a round trip between regions and a new
// connection.
const farHint = 400 * time.Millisecond

// heard takes over a report of a peer. One of another zone that was passed on counts
// only once those of the own zone had time to read what it hints at.
func (i *Instance) heard(peer string, r fleet.Report, near bool) {
	if near {
		i.hint(peer, r)
		return
	}
	w := &i.watching
	w.mu.Lock()
	newer := false
	for topic, revision := range r.Revisions {
		newer = newer || revision > w.revisions[topic] && revision > w.far[topic]
		w.far[topic] = max(w.far[topic], revision)
	}
	w.mu.Unlock()
	if newer {
		time.AfterFunc(farHint, func() { i.hint(peer, r) })
	}
}

// hint notes that a peer knows a change that this instance has not read.
func (i *Instance) hint(peer string, r fleet.Report) {
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
func (i *Instance) chooseWatchers(now time.Time, all []fleet.Peer) {
	w := &i.watching
	if !w.knowsPeers(now.Sub(i.began)) {
		return
	}
	for topic := range fleet.TopicCount {
		names := fleet.SelectWatchers(topic, all, watchers)
		chosen := slices.Contains(names, i.self.Name)
		w.mu.Lock()
		changed := chosen != w.chosen[topic]
		w.chosen[topic], w.watchers[topic] = chosen, names
		w.mu.Unlock()
		if changed {
			w.signal(topic)
		}
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

// fulfilled notes that a topic has been read up to a revision, or will be.
func (w *watching) fulfilled(topic fleet.Topic, wanted int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.wanted[topic] <= wanted {
		w.wanted[topic] = 0
	}
}
