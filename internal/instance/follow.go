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

// kindInstances is the product's own kind of objects, in which instances
// register themselves.
const kindInstances = "steering-instances"

// scout is the kind whose follower finds out when the store answers again. The
// others wait for it, so that an outage costs few calls.
const scout = platform.KindUpstreams

// reach notes when the store stops and starts to answer.
type reach struct {
	mu   sync.Mutex
	lost map[string]time.Time
	// returned is when the last outage ended that was long enough for entries of
	// living upstreams to lapse.
	returned time.Time
	// answered is when the platform itself answered last; nil when it never did.
	answered atomic.Pointer[time.Time]
	// rereading is set while a reading of all upstreams is due after an outage.
	rereading atomic.Bool
}

func (i *Instance) storeLost(kind string, err error) {
	i.events.Log(event.PlatformCallFailed, "kind", kind, "error", err)
	i.reach.mu.Lock()
	defer i.reach.mu.Unlock()
	if i.reach.lost == nil {
		i.reach.lost = make(map[string]time.Time)
	}
	if len(i.reach.lost) == 0 {
		i.events.Log(event.PlatformUnreachable, "error", err)
	}
	if _, ok := i.reach.lost[kind]; !ok {
		i.reach.lost[kind] = time.Now()
	}
}

func (i *Instance) storeReached(kind string) {
	i.reach.mu.Lock()
	defer i.reach.mu.Unlock()
	since, ok := i.reach.lost[kind]
	if !ok {
		return
	}
	delete(i.reach.lost, kind)
	if time.Since(since) >= lapseOutage {
		i.reach.returned = time.Now()
	}
	if len(i.reach.lost) == 0 {
		i.events.Log(event.PlatformBack, "after", time.Since(since))
	}
}

// inTouchFor is how long after an answer of the platform an instance counts as in
// touch with it: a watcher asks again within 0.4 of the bounds, which are some
// seconds, and one answer may be lost.
const inTouchFor = 4 * time.Second

// inTouch reports whether the platform has answered lately.
func (r *reach) inTouch(now time.Time) bool {
	at := r.answered.Load()
	return at != nil && now.Sub(*at) < inTouchFor
}

// noteAnswer notes an answer of the platform itself.
func (r *reach) noteAnswer(err error) {
	if err == nil || store.Compacted.Has(err) {
		now := time.Now()
		r.answered.Store(&now)
	}
}

// scoutLost reports whether the scout does not reach the store.
func (i *Instance) scoutLost() bool {
	i.reach.mu.Lock()
	defer i.reach.mu.Unlock()
	_, lost := i.reach.lost[scout]
	return lost
}

// lapseEnds returns when the entries of living upstreams that lapsed during the
// last outage of the store must be back.
func (i *Instance) lapseEnds() time.Time {
	i.reach.mu.Lock()
	defer i.reach.mu.Unlock()
	return i.reach.returned.Add(lapseGrace)
}

const (
	// lapseOutage is how long an outage of the store lasts at least for entries to
	// lapse in it: upstreams renew them every 1.5 s, and three times may fail.
	lapseOutage = 2 * time.Second
	// lapseGrace is for how long after it upstreams stay in use whose entries are
	// missing: living ones register again within about 2 s.
	lapseGrace = 2200 * time.Millisecond
)

// follow runs the follower of a topic.
func (i *Instance) follow(ctx context.Context, topic fleet.Topic, kind string,
	snapshot func(objects []store.Object, revision int64, fromPeer bool),
	changes func(list []store.Change, revision int64, fromPeer bool)) {
	feed := &sharedFeed{Feed: i.store, instance: i, topic: topic}
	f := &store.Follower{
		Feed: feed, Kind: kind,
		OnSnapshot: func(objects []store.Object, revision int64) {
			snapshot(objects, revision, feed.fromPeer)
			i.news.Logs[topic].Replace(objects, revision, feed.holds())
			i.read(topic, revision)
		},
		OnChanges: func(list []store.Change, revision int64) {
			changes(list, revision, feed.fromPeer)
			i.news.Logs[topic].Append(list, revision, feed.holds())
			i.read(topic, revision)
		},
		OnLost:    func(err error) { i.storeLost(kind, err) },
		OnReached: func() { i.storeReached(kind) },
	}
	i.watching.add(topic, f)
	f.Run(ctx)
}

// absent returns those of the keys that have no object.
func absent(keys []string, objects []store.Object) []string {
	present := make(map[string]bool, len(objects))
	for _, o := range objects {
		present[o.Key] = true
	}
	return slices.DeleteFunc(keys, func(key string) bool { return present[key] })
}

func (i *Instance) followUpstreams(ctx context.Context) {
	i.follow(ctx, fleet.TopicUpstreams, platform.KindUpstreams, func(objects []store.Object, revision int64, fromPeer bool) {
		for _, o := range objects {
			i.takeUpstream(o)
		}
		for _, id := range absent(i.core.Upstreams(), objects) {
			i.dropUpstream(ctx, id, revision, fromPeer)
		}
		i.upstreamsRead(revision)
	}, func(list []store.Change, revision int64, fromPeer bool) {
		for _, c := range list {
			if c.Deleted {
				i.dropUpstream(ctx, c.Object.Key, revision, fromPeer)
			} else {
				i.takeUpstream(c.Object)
			}
		}
		i.upstreamsRead(revision)
	})
}

func (i *Instance) upstreamsRead(revision int64) {
	i.core.ReportedAsOf(revision)
	i.seen.mu.Lock()
	i.seen.upstreams = true
	i.seen.mu.Unlock()
	i.updateState()
}

// readAsOf notes that a topic was read up to a revision without a change.
func (i *Instance) readAsOf(topic fleet.Topic, revision int64) {
	if topic == fleet.TopicUpstreams {
		i.upstreamsRead(revision)
	}
	// Peers may ask this instance in place of a watcher.
	i.news.Logs[topic].Append(nil, revision, false)
	i.read(topic, revision)
}

func (i *Instance) takeUpstream(o store.Object) {
	u, err := platform.DecodeUpstream(o.Key, o.Value, i.place())
	if err != nil {
		i.events.Log(event.EntryUnreadable, "kind", platform.KindUpstreams, "entry", o.Key, "error", err)
		return
	}
	u.Revision = o.Version
	i.events.Log(event.UpstreamReported, "upstream", u.ID, "service", u.Service, "zone", u.Place.Zone,
		"address", u.Address, "incarnation", u.Incarnation, "leaving", u.Leaving, "cold", u.ColdFor, "revision", o.Version)
	i.core.SetUpstream(time.Now(), u)
}

// dropUpstream forgets an upstream whose entry is gone. Right after an outage
// of the store it waits whether the entry comes back: once the time for that is
// over, all entries are read again, which is tried until it succeeds. A peer that
// read it from the store has waited already.
func (i *Instance) dropUpstream(ctx context.Context, id string, revision int64, fromPeer bool) {
	wait := time.Until(i.lapseEnds())
	if wait <= 0 || fromPeer {
		i.removeUpstream(id, revision)
		return
	}
	if !i.reach.rereading.CompareAndSwap(false, true) {
		return
	}
	go func() {
		err := store.Pause(ctx, wait)
		// Reset first: what the reading finds may have to wait again.
		i.reach.rereading.Store(false)
		if err == nil {
			i.watching.reread(fleet.TopicUpstreams)
		}
	}()
}

func (i *Instance) removeUpstream(id string, revision int64) {
	if address := i.core.RemoveUpstream(id); address != "" {
		i.events.Log(event.UpstreamGone, "upstream", id, "revision", revision)
		i.exchange.Forget(address)
	}
}

func (i *Instance) followConfiguration(ctx context.Context) {
	take := func(o store.Object) {
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
			take(o)
		}
		i.updateState()
	}, func(list []store.Change, _ int64, _ bool) {
		for _, c := range list {
			if !c.Deleted {
				take(c.Object)
			}
		}
		i.updateState()
	})
}

func (i *Instance) followEvacuations(ctx context.Context) {
	begin := func(zone string) {
		i.events.Log(event.DrainStarted, "kind", "zone", "name", zone)
		i.core.Evacuate(zone)
	}
	finish := func(zone string, revision int64) {
		i.events.Log(event.DrainEnded, "kind", "zone", "name", zone)
		i.core.EndEvacuation(zone, revision)
		i.watching.refresh(fleet.TopicUpstreams, revision)
	}
	i.follow(ctx, fleet.TopicEvacuations, platform.KindEvacuations, func(objects []store.Object, revision int64, _ bool) {
		for _, o := range objects {
			begin(o.Key)
		}
		for _, zone := range absent(i.core.Evacuated(), objects) {
			finish(zone, revision)
		}
		i.seen.mu.Lock()
		i.seen.evacuations = true
		i.seen.mu.Unlock()
		i.updateState()
	}, func(list []store.Change, revision int64, _ bool) {
		for _, c := range list {
			if c.Deleted {
				finish(c.Object.Key, revision)
			} else {
				begin(c.Object.Key)
			}
		}
	})
}

// updateState lets the instance serve once it knows what it needs.
func (i *Instance) updateState() {
	i.seen.mu.Lock()
	complete := i.seen.upstreams && i.seen.evacuations && i.core.Table() != nil
	i.seen.mu.Unlock()
	if complete && i.state.CompareAndSwap(uint32(fleet.Starting), uint32(fleet.Serving)) {
		i.events.Log(event.Ready, "instance", i.self.Name, "after", time.Since(i.began))
		i.beats.SendNow()
	}
}

func (i *Instance) followInstances(ctx context.Context) {
	take := func(o store.Object) {
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
			i.watching.formerRun.Store(true)
		}
	}
	i.follow(ctx, fleet.TopicInstances, kindInstances, func(objects []store.Object, _ int64, _ bool) {
		for _, o := range objects {
			take(o)
		}
		for _, name := range absent(i.table.Names(), objects) {
			i.table.Remove(name)
		}
		i.watching.peersRead()
	}, func(list []store.Change, _ int64, _ bool) {
		for _, c := range list {
			if c.Deleted {
				i.table.Remove(c.Object.Key)
			} else {
				take(c.Object)
			}
		}
	})
}
