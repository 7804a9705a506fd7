package instance

import (
	"slices"
	"sync"
	"time"

	"sycamoreledge.example/internal/fleet"
	store "sycamoreledge.example/internal/platform"
)

const (
	// watcherCount is how many instances watch a topic on the platform. One is enough; the
	// second covers its failure.
	watcherCount = 2
	// watchFraction is the fraction of the bound within which changes must be in force that a
	// watcher waits before it calls again. The rest is for a watcher that is cut off from the
	// platform to notice that, and for another to be selected and to read.
	watchFraction = 0.4
	// defaultReadBound is that bound if the platform sets none.
	defaultReadBound = 2500 * time.Millisecond
	// probeInterval is how often an instance that is no watcher checks whether the platform
	// answers again.
	probeInterval = 3 * time.Second
	// minWatchTime is how long a watch lasts at least before a hint of a peer ends it.
	minWatchTime = 300 * time.Millisecond
	// probePollInterval is how often an instance checks whether it is due to probe.
	probePollInterval = 50 * time.Millisecond
)

// hint says that a peer has a later change of a topic.
type hint struct {
	peer     string
	revision int64
}

// watchCoordinator divides the work of watching the platform between this instance and its
// peers.
type watchCoordinator struct {
	mu        sync.Mutex
	followers map[fleet.Topic]*store.Follower
	// readRevisions are the revisions up to which this instance has read the topics.
	readRevisions [fleet.TopicCount]int64
	// isWatcher is set for the topics of which this instance is a watcher.
	isWatcher [fleet.TopicCount]bool
	hints     [fleet.TopicCount]hint
	// partialHints are hints of peers that withhold deletions. updateRevisions are the
	// revisions up to which all changes but deletions were read from such peers.
	partialHints    [fleet.TopicCount]hint
	updateRevisions [fleet.TopicCount]int64
	// remoteRevisions are the latest complete changes that other zones have reported, by topic.
	remoteRevisions [fleet.TopicCount]int64
	// wantedRevisions are the revisions up to which topics must be read from a watcher, 0 for
	// none. watchers are the names of the watchers.
	wantedRevisions [fleet.TopicCount]int64
	watchers        [fleet.TopicCount][]string
	// wake is signalled when a hint arrives, this instance becomes or ceases to be a watcher,
	// or a revision is wanted.
	wake [fleet.TopicCount]chan struct{}
	startup
}

func (w *watchCoordinator) init(firstStart bool) {
	w.followers = make(map[fleet.Topic]*store.Follower)
	for topic := range w.wake {
		w.wake[topic] = make(chan struct{}, 1)
	}
	w.startup.init(firstStart)
}

func (w *watchCoordinator) addFollower(topic fleet.Topic, f *store.Follower) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.followers[topic] = f
}

// reread has the follower of a topic read all objects from the platform at once.
func (w *watchCoordinator) reread(topic fleet.Topic) {
	w.mu.Lock()
	f := w.followers[topic]
	w.mu.Unlock()
	if f != nil {
		f.Reread()
	}
}

// requireRevision has a topic read at least up to a revision: a watcher reads all objects from the
// platform, the other instances fetch them from a watcher.
func (w *watchCoordinator) requireRevision(topic fleet.Topic, revision int64) {
	w.mu.Lock()
	isWatcher := w.isWatcher[topic]
	if !isWatcher {
		w.wantedRevisions[topic] = max(w.wantedRevisions[topic], revision)
	}
	w.mu.Unlock()
	if isWatcher {
		w.reread(topic)
	} else {
		w.wakeFollower(topic)
	}
}

func (w *watchCoordinator) wakeFollower(topic fleet.Topic) {
	select {
	case w.wake[topic] <- struct{}{}:
	default:
	}
}

// pendingHint returns the hint to follow for changes of a topic after a revision. One of a peer that
// has all changes goes first.
func (w *watchCoordinator) pendingHint(topic fleet.Topic, after int64) (h hint, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if h = w.hints[topic]; h.revision > after {
		return h, true
	}
	h = w.partialHints[topic]
	return h, h.revision > max(after, w.updateRevisions[topic])
}

// clearHint removes a hint once it was used, so that the same peer may give it again.
func (w *watchCoordinator) clearHint(topic fleet.Topic, h hint) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.hints[topic] == h {
		w.hints[topic] = hint{}
	}
	if w.partialHints[topic] == h {
		w.partialHints[topic] = hint{}
	}
}

// recordPartialRead records that all changes but deletions were read up to a revision.
func (w *watchCoordinator) recordPartialRead(topic fleet.Topic, revision int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.updateRevisions[topic] = max(w.updateRevisions[topic], revision)
}

// recordRead records the revision up to which a topic was read. A watcher reports it to its zone at
// once, and a speaker to other zones too.
func (i *Instance) recordRead(topic fleet.Topic, revision int64) {
	w := &i.coordinator
	w.mu.Lock()
	newer := revision > w.readRevisions[topic]
	if newer {
		w.readRevisions[topic] = revision
	}
	w.mu.Unlock()
	if newer {
		i.announce(topic)
	}
}

// announce has a watcher of a topic, or a speaker, report to its peers at once.
func (i *Instance) announce(topic fleet.Topic) {
	w := &i.coordinator
	w.mu.Lock()
	isWatcher := w.isWatcher[topic]
	w.mu.Unlock()
	if isWatcher || i.transport.IsSpeaker() {
		i.transport.SendNow()
	}
}

// localReport returns the report of this instance to its peers.
func (i *Instance) localReport() fleet.Report {
	i.platformStatus.mu.Lock()
	unreachable := len(i.platformStatus.lostSince) > 0
	i.platformStatus.mu.Unlock()
	r := fleet.Report{State: i.currentState(), PlatformUnreachable: unreachable, PlatformAnswered: i.platformStatus.answeredRecently(time.Now())}
	for topic, log := range i.peerSync.Logs {
		r.Revisions[topic] = log.LastChange()
	}
	r.Revisions[fleet.TopicUpstreams], r.UpstreamsPartial = i.peerSync.Logs[fleet.TopicUpstreams].LastReport()
	return r
}

// remoteHintDelay is after how long an instance asks a peer of another zone for a change that no
// instance of its own zone has reported. The speakers of its zone need a round trip between regions
// and a new connection to read it.
const remoteHintDelay = 400 * time.Millisecond

// receiveReport applies the report of a peer. A report of another zone that was forwarded takes effect
// only after remoteHintDelay, so that instances of the own zone have time to read the change.
func (i *Instance) receiveReport(peer string, r fleet.Report, direct bool) {
	if direct {
		i.recordHint(peer, r)
		return
	}
	w := &i.coordinator
	w.mu.Lock()
	newer := false
	for topic, revision := range r.Revisions {
		if r.IsPartial(fleet.Topic(topic)) {
			newer = newer || revision > max(w.readRevisions[topic], w.updateRevisions[topic])
			continue
		}
		newer = newer || revision > w.readRevisions[topic] && revision > w.remoteRevisions[topic]
		w.remoteRevisions[topic] = max(w.remoteRevisions[topic], revision)
	}
	w.mu.Unlock()
	if newer {
		time.AfterFunc(remoteHintDelay, func() { i.recordHint(peer, r) })
	}
}

// recordHint records that a peer has a change that this instance has not read.
func (i *Instance) recordHint(peer string, r fleet.Report) {
	w := &i.coordinator
	for topic, revision := range r.Revisions {
		w.mu.Lock()
		hints, known := &w.hints, w.readRevisions[topic]
		if r.IsPartial(fleet.Topic(topic)) {
			hints, known = &w.partialHints, max(known, w.updateRevisions[topic])
		}
		newer := revision > known && revision > hints[topic].revision
		if newer {
			hints[topic] = hint{peer, revision}
		}
		w.mu.Unlock()
		if newer {
			w.wakeFollower(fleet.Topic(topic))
		}
	}
}

// updateWatchers decides of which topics this instance is a watcher, given all instances.
func (i *Instance) updateWatchers(now time.Time, all []fleet.Peer) {
	w := &i.coordinator
	if !w.knowsPeers(now.Sub(i.startedAt)) {
		return
	}
	for topic := range fleet.TopicCount {
		names := fleet.SelectWatchers(topic, all, watcherCount)
		isWatcher := slices.Contains(names, i.self.Name)
		w.mu.Lock()
		changed := isWatcher != w.isWatcher[topic]
		w.isWatcher[topic], w.watchers[topic] = isWatcher, names
		w.mu.Unlock()
		if changed {
			w.wakeFollower(topic)
		}
	}
}

// watchTimeout returns how long a watcher of a topic waits for changes before it calls again.
func (i *Instance) watchTimeout(topic fleet.Topic) time.Duration {
	bounds := i.currentDeployment().Bounds
	readBound := map[fleet.Topic]time.Duration{
		fleet.TopicUpstreams:     bounds.Drain,
		fleet.TopicConfiguration: bounds.ApplyConfig,
		fleet.TopicEvacuations:   bounds.Evacuate,
		fleet.TopicInstances:     bounds.StableAfter,
	}[topic]
	if readBound <= 0 {
		readBound = defaultReadBound
	}
	return time.Duration(watchFraction * float64(readBound))
}

// clearWanted records that a topic has been read up to a revision, or is about to be.
func (w *watchCoordinator) clearWanted(topic fleet.Topic, revision int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.wantedRevisions[topic] <= revision {
		w.wantedRevisions[topic] = 0
	}
}
