package entry

import (
	"context"
	"time"

	"sycamoreledge.example/internal/control"
	"sycamoreledge.example/internal/event"
	"sycamoreledge.example/internal/instances"
	"sycamoreledge.example/internal/platform"
)

const (
	// handoverTimeout bounds one handover of the idempotency keys, and settle
	// the wait for attempts under way before it.
	handoverTimeout = 30 * time.Second
	// farewell is how long the last messages may take to leave.
	farewell = 300 * time.Millisecond
	// stopTimeout bounds the recording of the clean stop.
	stopTimeout = 2 * time.Second
	// pollInterval is the time between looks at what is still in flight.
	pollInterval = 20 * time.Millisecond
)

// serve runs all parts until the planned stop is done.
func (e *entry) serve(ctx context.Context) {
	// The parts outlive the context: a planned stop needs them to its end.
	parts, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	go e.loop.run(parts)
	go e.owner.Run(parts)
	go e.watch(parts)
	if len(e.unclean) > 0 {
		go e.registerLater(parts)
	}
	e.callers.Start()
	e.operators.Start()
	e.events.Log(event.Started, "instance", e.identity.Instance,
		"zone", e.bundle.Topology.ZoneOf(e.identity.Instance), "incarnation", e.identity.Incarnation)
	go e.logReady(parts)
	reason := "operator"
	select {
	case <-ctx.Done():
		reason = "signal"
	case <-e.leave:
	}
	began := time.Now()
	e.events.Log(event.Stopping, "instance", e.identity.Instance, "reason", reason)
	e.stop(parts)
	e.events.Log(event.Stopped, "instance", e.identity.Instance, "after", time.Since(began))
	end()
	<-e.loop.done
	e.close()
}

// stop leaves in an order in which no request is cut: the instance is left out
// of lists, serves until the cached ones have expired, hands over its keys,
// finishes what is in flight, gives up its pools and says that it left.
func (e *entry) stop(ctx context.Context) {
	e.loop.Do(func(c *control.Core) { c.Leave() })
	_ = platform.Pause(ctx, e.listedFor())
	e.handOver(ctx)
	longest := e.longestDeadline()
	bounded, cancel := context.WithTimeout(ctx, longest)
	defer cancel()
	cut := e.callers.Stop(bounded)
	e.loop.Do(func(c *control.Core) { c.ReleaseAllPools() })
	busy := e.awaitIdle(bounded)
	if cut+busy > 0 {
		e.events.Log(event.StopForced, "reason", "deadline", "busy", cut+busy)
	}
	e.loop.Do(func(c *control.Core) { c.Finish() })
	_ = platform.Pause(ctx, farewell)
	if cut+busy == 0 {
		e.recordStop(ctx)
	}
	e.operators.Stop(bounded)
}

// listedFor is how long callers may still hold a list that names this
// instance: other instances leave it out when they hear of its leaving, or, when
// they are cut off, after the silence of a remote timeout, and callers keep a
// list for its age.
func (e *entry) listedFor() time.Duration {
	timing := e.bundle.Settings.Control
	return control.RemoteInstanceTimeout(e.bundle.Topology, timing) + timing.MaxAge
}

// handOver gives the idempotency keys to an instance of the zone, or of the
// region where the zone has no other.
func (e *entry) handOver(ctx context.Context) {
	to := e.successor()
	if to == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	keys, _ := e.once.Size()
	if err := e.once.HandOver(ctx, to, handoverTimeout/2); err != nil {
		e.events.Log(event.HandoverFailed, "to", to, "error", err)
		return
	}
	e.events.Log(event.KeysHandedOver, "to", to, "keys", keys)
}

// successor picks the live instance that is closest.
func (e *entry) successor() string {
	s := e.loop.Snapshot()
	best, bestRank := "", 0
	for _, entry := range s.Instances {
		if entry.Name == s.Self || !entry.Alive || entry.State != control.Serving {
			continue
		}
		rank := 1
		if entry.Region == s.Region {
			rank = 2
		}
		if entry.Zone == s.Zone {
			rank = 3
		}
		if rank > bestRank {
			best, bestRank = entry.Name, rank
		}
	}
	return best
}

// longestDeadline is how long a request that was just taken may run.
func (e *entry) longestDeadline() time.Duration {
	longest := time.Duration(0)
	for _, policy := range e.loop.Snapshot().Preset.Services {
		longest = max(longest, policy.Deadline, policy.DispatchTimeout)
	}
	return longest
}

// awaitIdle waits until no request is in flight at an upstream and no answer on
// its way to a peer, and returns how many were left at the end of the context.
func (e *entry) awaitIdle(ctx context.Context) int {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		busy := int(e.handler.active.Load())
		for _, status := range e.owner.Load() {
			busy += status.Busy
		}
		if busy == 0 {
			return 0
		}
		select {
		case <-ctx.Done():
			return busy
		case <-ticker.C:
		}
	}
}

// recordStop marks this run as clean, unless a former run that was not may
// still have requests in flight.
func (e *entry) recordStop(ctx context.Context) {
	settled := false
	e.loop.Do(func(c *control.Core) { settled = c.UncleanRunsEnded() })
	if !settled {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	if err := instances.Stop(ctx, e.platform, e.recordName(), e.identity.Incarnation); err != nil {
		e.events.Log(event.PlatformUnreachable, "error", err)
	}
}

// registerLater records a run that started without the platform.
func (e *entry) registerLater(ctx context.Context) {
	for ctx.Err() == nil {
		bounded, cancel := context.WithTimeout(ctx, registerTimeout)
		last, err := instances.Last(bounded, e.platform, e.recordName())
		if err == nil && last.Incarnation < e.identity.Incarnation {
			_, _, err = instances.Start(bounded, e.platform, e.recordName(), e.identity.Incarnation)
		}
		cancel()
		if err == nil {
			return
		}
		_ = platform.Pause(ctx, registerPause)
	}
}

// logReady reports when callers may use the instance, and when not.
func (e *entry) logReady(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	ready := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		err := e.ready()
		if ready == (err == nil) {
			continue
		}
		ready = err == nil
		if ready {
			e.events.Log(event.Ready, "instance", e.identity.Instance, "after", time.Since(e.began))
		} else {
			e.events.Log(event.NotReady, "instance", e.identity.Instance, "reason", err)
		}
	}
}

// close ends what is open, after a failed start as after a stop.
func (e *entry) close() {
	if e.node != nil {
		_ = e.node.Close()
	}
	if e.upstreams != nil {
		e.upstreams.Close()
	}
	if e.metrics != nil {
		e.metrics.Close(context.Background()) //nolint:errcheck // the process ends
	}
}
