package instance

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"sycamoreledge.example/internal/event"
	"sycamoreledge.example/internal/fleet"
	store "sycamoreledge.example/internal/platform"
	"sycamoreledge.example/platform"
)

// kindInstances is the kind of the platform objects in which instances register. It belongs to
// this product.
const kindInstances = "steering-instances"

// probeKind is the kind whose follower probes whether the store answers again. The followers of
// other kinds wait for it, so that an outage causes few calls.
const probeKind = platform.KindUpstreams

// platformStatus tracks outages of the store.
type platformStatus struct {
	mu        sync.Mutex
	lostSince map[string]time.Time
	// recoveredAt is when the last outage ended that was long enough for the entries of
	// running upstreams to lapse.
	recoveredAt time.Time
	// lastAnswer is when the platform itself last answered; nil if it never did.
	lastAnswer atomic.Pointer[time.Time]
	// rereadPending is set while a read of all upstreams after an outage is scheduled.
	rereadPending atomic.Bool
}

func (i *Instance) storeLost(kind string, err error) {
	i.events.Log(event.PlatformCallFailed, "kind", kind, "error", err)
	i.platformStatus.mu.Lock()
	defer i.platformStatus.mu.Unlock()
	if i.platformStatus.lostSince == nil {
		i.platformStatus.lostSince = make(map[string]time.Time)
	}
	if len(i.platformStatus.lostSince) == 0 {
		i.events.Log(event.PlatformUnreachable, "error", err)
	}
	if _, ok := i.platformStatus.lostSince[kind]; !ok {
		i.platformStatus.lostSince[kind] = time.Now()
	}
}

func (i *Instance) storeReached(kind string) {
	i.platformStatus.mu.Lock()
	defer i.platformStatus.mu.Unlock()
	since, ok := i.platformStatus.lostSince[kind]
	if !ok {
		return
	}
	delete(i.platformStatus.lostSince, kind)
	if time.Since(since) >= minLapseOutage {
		i.platformStatus.recoveredAt = time.Now()
	}
	if len(i.platformStatus.lostSince) == 0 {
		i.events.Log(event.PlatformBack, "after", time.Since(since))
	}
}

// recentAnswerWindow is how long an answer of the platform counts as recent. A watcher asks again
// after 0.4 of the bounds, which are a few seconds, and one answer may be lost.
const recentAnswerWindow = 4 * time.Second

// answeredRecently reports whether the platform has answered within recentAnswerWindow.
func (s *platformStatus) answeredRecently(now time.Time) bool {
	at := s.lastAnswer.Load()
	return at != nil && now.Sub(*at) < recentAnswerWindow
}

// recordAnswer records the result of a call to the platform itself.
func (s *platformStatus) recordAnswer(err error) {
	if err == nil || store.Compacted.Has(err) {
		now := time.Now()
		s.lastAnswer.Store(&now)
	}
}

// probeKindLost reports whether the follower of probeKind does not reach the store.
func (i *Instance) probeKindLost() bool {
	i.platformStatus.mu.Lock()
	defer i.platformStatus.mu.Unlock()
	_, lost := i.platformStatus.lostSince[probeKind]
	return lost
}

// lapseGraceEnd returns when running upstreams must have renewed the entries that lapsed during the
// last outage of the store.
func (i *Instance) lapseGraceEnd() time.Time {
	i.platformStatus.mu.Lock()
	defer i.platformStatus.mu.Unlock()
	return i.platformStatus.recoveredAt.Add(lapseGrace)
}

// inLapseGrace reports whether running upstreams may still renew such entries.
func (i *Instance) inLapseGrace() bool { return time.Now().Before(i.lapseGraceEnd()) }

const (
	// minLapseOutage is the shortest outage of the store in which entries may lapse: upstreams
	// renew them every 1.5 s, and three renewals may fail.
	minLapseOutage = 2 * time.Second
	// lapseGrace is how long after such an outage upstreams with missing entries stay in use:
	// running upstreams register again within about 2 s.
	lapseGrace = 2200 * time.Millisecond
)

// follow runs the follower of a topic until the context ends. The callbacks are told whether missing
// or deleted objects may come back; see ignoreDeletions.
func (i *Instance) follow(ctx context.Context, topic fleet.Topic, kind string,
	onSnapshot func(objects []store.Object, revision int64, mayReturn bool),
	onChanges func(changes []store.Change, revision int64, mayReturn bool)) {
	feed := &sharedFeed{Feed: i.store, instance: i, topic: topic}
	log := i.peerSync.Logs[topic]
	f := &store.Follower{
		Feed: feed, Kind: kind,
		OnSnapshot: func(objects []store.Object, revision int64) {
			// Asked once: deletions that this instance waits for must be the ones that it withholds.
			mayReturn := feed.ignoreDeletions()
			onSnapshot(objects, revision, mayReturn)
			i.updateLog(ctx, topic, revision, mayReturn, func() { log.Replace(objects, revision, mayReturn) })
		},
		OnChanges: func(changes []store.Change, revision int64) {
			mayReturn := feed.ignoreDeletions()
			onChanges(changes, revision, mayReturn)
			i.updateLog(ctx, topic, revision, mayReturn, func() { feed.appendTo(log, changes, revision, mayReturn) })
		},
		OnLost:    func(err error) { i.storeLost(kind, err) },
		OnReached: func() { i.storeReached(kind) },
	}
	i.coordinator.addFollower(topic, f)
	f.Run(ctx)
}

// updateLog updates the change log of a topic that was read up to a revision, and reports to peers
// what is new. Deletions that the log then withholds are confirmed at the end of the grace period.
func (i *Instance) updateLog(ctx context.Context, topic fleet.Topic, revision int64, mayReturn bool, update func()) {
	log := i.peerSync.Logs[topic]
	withheld := log.Withholding()
	update()
	if mayReturn && log.Withholding() {
		i.rereadAfterGrace(ctx)
	}
	i.recordRead(topic, revision)
	if withheld && !log.Withholding() {
		// The revision may be an old one, but only now is the log complete up to it.
		i.announce(topic)
	}
}

// missingKeys returns the keys that have no object.
func missingKeys(keys []string, objects []store.Object) []string {
	present := make(map[string]bool, len(objects))
	for _, o := range objects {
		present[o.Key] = true
	}
	return slices.DeleteFunc(keys, func(key string) bool { return present[key] })
}

func (i *Instance) followUpstreams(ctx context.Context) {
	i.follow(ctx, fleet.TopicUpstreams, platform.KindUpstreams, func(objects []store.Object, revision int64, mayReturn bool) {
		for _, o := range objects {
			i.applyUpstream(o)
		}
		for _, id := range missingKeys(i.core.Upstreams(), objects) {
			i.dropUpstream(ctx, id, revision, mayReturn)
		}
		i.recordUpstreamsRead(revision)
	}, func(list []store.Change, revision int64, mayReturn bool) {
		for _, c := range list {
			if c.Deleted {
				i.dropUpstream(ctx, c.Object.Key, revision, mayReturn)
			} else {
				i.applyUpstream(c.Object)
			}
		}
		i.recordUpstreamsRead(revision)
	})
}

func (i *Instance) recordUpstreamsRead(revision int64) {
	i.core.SetReportRevision(revision)
	i.initialReads.mu.Lock()
	i.initialReads.upstreams = true
	i.initialReads.mu.Unlock()
	i.updateState()
}

func (i *Instance) applyUpstream(o store.Object) {
	u, err := platform.DecodeUpstream(o.Key, o.Value, i.currentDeployment())
	if err != nil {
		i.events.Log(event.EntryUnreadable, "kind", platform.KindUpstreams, "entry", o.Key, "error", err)
		return
	}
	u.Revision = o.Version
	i.events.Log(event.UpstreamReported, "upstream", u.ID, "service", u.Service, "zone", u.Place.Zone,
		"address", u.Address, "incarnation", u.Incarnation, "leaving", u.Leaving, "cold", u.ColdFor, "revision", o.Version)
	i.core.SetUpstream(time.Now(), u)
}

// dropUpstream removes an upstream whose entry is gone. An upstream that may return is kept until the
// end of the grace period.
func (i *Instance) dropUpstream(ctx context.Context, id string, revision int64, mayReturn bool) {
	if mayReturn {
		i.rereadAfterGrace(ctx)
		return
	}
	i.removeUpstream(id, revision)
}

// rereadAfterGrace has all entries of upstreams read again at the end of the grace period, which the
// follower retries until it succeeds.
func (i *Instance) rereadAfterGrace(ctx context.Context) {
	if !i.platformStatus.rereadPending.CompareAndSwap(false, true) {
		return
	}
	go func() {
		err := store.Pause(ctx, time.Until(i.lapseGraceEnd()))
		// Reset before the read, which may find further missing entries that have to wait.
		i.platformStatus.rereadPending.Store(false)
		if err == nil {
			i.coordinator.reread(fleet.TopicUpstreams)
		}
	}()
}

func (i *Instance) removeUpstream(id string, revision int64) {
	if address := i.core.RemoveUpstream(id); address != "" {
		i.events.Log(event.UpstreamGone, "upstream", id, "revision", revision)
		i.exchange.CloseIdle(address)
	}
}

func (i *Instance) followConfiguration(ctx context.Context) {
	apply := func(o store.Object) {
		if o.Key != platform.CurrentConfiguration {
			return
		}
		table, err := platform.DecodeConfig(o.Value)
		if err != nil {
			i.events.Log(event.ConfigInvalid, "version", o.Version, "error", err)
			return
		}
		table.Revision = o.Version
		if i.core.SetTable(table) {
			i.events.Log(event.ConfigInForce, "version", table.Version, "source", "platform")
		}
	}
	i.follow(ctx, fleet.TopicConfiguration, platform.KindConfiguration, func(objects []store.Object, _ int64, _ bool) {
		for _, o := range objects {
			apply(o)
		}
		i.updateState()
	}, func(list []store.Change, _ int64, _ bool) {
		for _, c := range list {
			if !c.Deleted {
				apply(c.Object)
			}
		}
		i.updateState()
	})
}

func (i *Instance) followEvacuations(ctx context.Context) {
	startDrain := func(zone string) {
		i.events.Log(event.DrainStarted, "kind", "zone", "name", zone)
		i.core.Evacuate(zone)
	}
	endDrain := func(zone string, revision int64) {
		i.events.Log(event.DrainEnded, "kind", "zone", "name", zone)
		i.core.EndEvacuation(zone, revision)
		i.coordinator.requireRevision(fleet.TopicUpstreams, revision)
	}
	i.follow(ctx, fleet.TopicEvacuations, platform.KindEvacuations, func(objects []store.Object, revision int64, _ bool) {
		for _, o := range objects {
			startDrain(o.Key)
		}
		for _, zone := range missingKeys(i.core.EvacuatedZones(), objects) {
			endDrain(zone, revision)
		}
		i.initialReads.mu.Lock()
		i.initialReads.evacuations = true
		i.initialReads.mu.Unlock()
		i.updateState()
	}, func(list []store.Change, revision int64, _ bool) {
		for _, c := range list {
			if c.Deleted {
				endDrain(c.Object.Key, revision)
			} else {
				startDrain(c.Object.Key)
			}
		}
	})
}

// updateState switches the instance to serving once it has read everything that it needs.
func (i *Instance) updateState() {
	i.initialReads.mu.Lock()
	complete := i.initialReads.upstreams && i.initialReads.evacuations && i.core.Table() != nil
	i.initialReads.mu.Unlock()
	if complete && i.state.CompareAndSwap(uint32(fleet.Starting), uint32(fleet.Serving)) {
		i.events.Log(event.Ready, "instance", i.self.Name, "after", time.Since(i.startedAt))
		i.transport.SendNow()
	}
}

func (i *Instance) followInstances(ctx context.Context) {
	apply := func(o store.Object) {
		var r fleet.Registration
		if err := json.Unmarshal(o.Value, &r); err != nil || r.Name != o.Key {
			i.events.Log(event.EntryUnreadable, "kind", kindInstances, "entry", o.Key, "error", err)
			return
		}
		if r.Name != i.self.Name {
			i.table.Register(time.Now(), r)
			return
		}
		if r.Incarnation != i.self.Incarnation {
			i.coordinator.previousRunListed.Store(true)
		}
	}
	i.follow(ctx, fleet.TopicInstances, kindInstances, func(objects []store.Object, _ int64, _ bool) {
		for _, o := range objects {
			apply(o)
		}
		for _, name := range missingKeys(i.table.Names(), objects) {
			i.table.Remove(name)
		}
		i.coordinator.recordPeersListed()
	}, func(list []store.Change, _ int64, _ bool) {
		for _, c := range list {
			if c.Deleted {
				i.table.Remove(c.Object.Key)
			} else {
				apply(c.Object)
			}
		}
	})
}
