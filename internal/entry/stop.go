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
	// handoverTimeout bounds one handover of the idempotency keys; half of it is
	// available for requests in flight to finish first.
	handoverTimeout = 30 * time.Second
	// finalMessageWait is the time allowed for the last messages to be sent.
	finalMessageWait = 300 * time.Millisecond
	// recordStopTimeout bounds the call that records a clean stop on the platform.
	recordStopTimeout = 2 * time.Second
	// pollInterval is the time between checks for requests in flight and for
	// changes of readiness.
	pollInterval = 20 * time.Millisecond
)

// serve runs all components until the planned stop is complete.
func (e *entryInstance) serve(ctx context.Context) {
	// The components outlive ctx, since the planned stop needs them.
	componentsCtx, cancelComponents := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelComponents()
	go e.loop.run(componentsCtx)
	go e.owner.Run(componentsCtx)
	go e.watchWhenElected(componentsCtx)
	if len(e.uncleanRuns) > 0 {
		go e.retryRegistration(componentsCtx)
	}
	e.callers.Start()
	e.operators.Start()
	e.events.Log(event.Started, "instance", e.identity.Instance,
		"zone", e.bundle.Topology.ZoneOf(e.identity.Instance), "incarnation", e.identity.Incarnation)
	go e.logReadinessChanges(componentsCtx)
	reason := "operator"
	select {
	case <-ctx.Done():
		reason = "signal"
	case <-e.leaveRequested:
	}
	stopStart := time.Now()
	e.events.Log(event.Stopping, "instance", e.identity.Instance, "reason", reason)
	e.shutDown(componentsCtx)
	e.events.Log(event.Stopped, "instance", e.identity.Instance, "after", time.Since(stopStart))
	cancelComponents()
	<-e.loop.done
	e.close()
}

// shutDown stops the instance in an order that aborts no request: other instances
// remove it from their lists of entries, it keeps serving until cached lists have
// expired, hands over its idempotency keys, finishes the requests in flight,
// releases its pools and announces that it has left.
func (e *entryInstance) shutDown(ctx context.Context) {
	e.loop.Do(func(c *control.Core) { c.Leave() })
	_ = platform.Pause(ctx, e.advertisedDuration())
	e.handOverKeys(ctx)
	longest := e.longestRequestTime()
	boundedCtx, cancel := context.WithTimeout(ctx, longest)
	defer cancel()
	aborted := e.callers.Stop(boundedCtx)
	e.loop.Do(func(c *control.Core) { c.ReleaseAllPools() })
	busy := e.awaitIdle(boundedCtx)
	if aborted+busy > 0 {
		e.events.Log(event.StopForced, "reason", "deadline", "busy", aborted+busy)
	}
	e.loop.Do(func(c *control.Core) { c.Finish() })
	_ = platform.Pause(ctx, finalMessageWait)
	if aborted+busy == 0 {
		e.recordCleanStop(ctx)
	}
	e.operators.Stop(boundedCtx)
}

// advertisedDuration returns how long callers may still hold a list that contains
// this instance. Other instances remove it when they learn that it is leaving, or,
// if they are partitioned from it, after the remote timeout. Callers then cache the
// list for its maximum age.
func (e *entryInstance) advertisedDuration() time.Duration {
	timing := e.bundle.Settings.Control
	return control.RemoteInstanceTimeout(e.bundle.Topology, timing) + timing.MaxAge
}

// handOverKeys transfers the idempotency keys to the successor, if there is one.
func (e *entryInstance) handOverKeys(ctx context.Context) {
	successor := e.successor()
	if successor == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	keys, _ := e.idempotency.Size()
	if err := e.idempotency.HandOver(ctx, successor, handoverTimeout/2); err != nil {
		e.events.Log(event.HandoverFailed, "to", successor, "error", err)
		return
	}
	e.events.Log(event.KeysHandedOver, "to", successor, "keys", keys)
}

// successor returns the serving instance that is closest: one in the same zone,
// else one in the same region, else any. It returns "" if there is none.
func (e *entryInstance) successor() string {
	s := e.loop.Snapshot()
	best, bestRank := "", 0
	for _, candidate := range s.Instances {
		if candidate.Name == s.Self || !candidate.Alive || candidate.State != control.Serving {
			continue
		}
		rank := 1
		if candidate.Region == s.Region {
			rank = 2
		}
		if candidate.Zone == s.Zone {
			rank = 3
		}
		if rank > bestRank {
			best, bestRank = candidate.Name, rank
		}
	}
	return best
}

// longestRequestTime returns how long a request accepted now may run.
func (e *entryInstance) longestRequestTime() time.Duration {
	longest := time.Duration(0)
	for _, policy := range e.loop.Snapshot().Preset.Services {
		longest = max(longest, policy.Deadline, policy.DispatchTimeout)
	}
	return longest
}

// awaitIdle waits until no request is in flight at an upstream and no response is
// being sent to a peer. It returns the number left when ctx ends.
func (e *entryInstance) awaitIdle(ctx context.Context) int {
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

// recordCleanStop marks this run as cleanly stopped, unless an earlier unclean run
// may still have requests in flight.
func (e *entryInstance) recordCleanStop(ctx context.Context) {
	uncleanRunsEnded := false
	e.loop.Do(func(c *control.Core) { uncleanRunsEnded = c.UncleanRunsEnded() })
	if !uncleanRunsEnded {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, recordStopTimeout)
	defer cancel()
	if err := instances.RecordStop(ctx, e.platform, e.recordName(), e.identity.Incarnation); err != nil {
		e.events.Log(event.PlatformUnreachable, "error", err)
	}
}

// retryRegistration registers this run after the platform could not be reached at
// startup. It retries until it succeeds or ctx is cancelled.
func (e *entryInstance) retryRegistration(ctx context.Context) {
	for ctx.Err() == nil {
		boundedCtx, cancel := context.WithTimeout(ctx, registerTimeout)
		last, err := instances.LastRun(boundedCtx, e.platform, e.recordName())
		if err == nil && last.Incarnation < e.identity.Incarnation {
			_, _, err = instances.RecordStart(boundedCtx, e.platform, e.recordName(), e.identity.Incarnation)
		}
		cancel()
		if err == nil {
			return
		}
		_ = platform.Pause(ctx, registerRetryInterval)
	}
}

// logReadinessChanges logs when the instance becomes ready and when it no longer is.
func (e *entryInstance) logReadinessChanges(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	ready := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		err := e.checkReady()
		if ready == (err == nil) {
			continue
		}
		ready = err == nil
		if ready {
			e.events.Log(event.Ready, "instance", e.identity.Instance, "after", time.Since(e.startedAt))
		} else {
			e.events.Log(event.NotReady, "instance", e.identity.Instance, "reason", err)
		}
	}
}

// close releases the components that were created. It may be called after a failed
// start.
func (e *entryInstance) close() {
	if e.peerNode != nil {
		_ = e.peerNode.Close()
	}
	if e.upstreams != nil {
		e.upstreams.Close()
	}
	if e.metrics != nil {
		e.metrics.Close(context.Background()) //nolint:errcheck // the process ends
	}
}
