package traffic

import (
	"cmp"
	"context"
	"strings"
	"time"

	"sycamoreledge.example/internal/control"
	"sycamoreledge.example/internal/replay"
	"sycamoreledge.example/internal/settings"
	"sycamoreledge.example/internal/work"
)

const (
	// loadMaxAge is the age from which the reported load of a pool is ignored.
	loadMaxAge = 2 * time.Second
	// shiftWaitRoundTrips is the number of round trips to another region that the
	// expected wait in the region must exceed before a request is shifted instead
	// of queued.
	shiftWaitRoundTrips = 1.5
	// lookupAttemptShare is the part of the remaining time that one attempt of an
	// idempotent request at a peer may take, so that a peer that does not answer
	// leaves time for another attempt.
	lookupAttemptShare = 0.5
	// roundInterval is the time between two rounds over the candidates. New rounds
	// start for up to noOwnerRetryWindow while the pool of the instance's own zone
	// has no owner.
	roundInterval      = 25 * time.Millisecond
	noOwnerRetryWindow = time.Second
	// drainedRetryWindow is how long new rounds start while the instance's own
	// zone is drained and a neighbouring pool expects a wait below shortQueueWait.
	drainedRetryWindow  = 300 * time.Millisecond
	shortQueueWait      = 100 * time.Millisecond
	maxExplanationBytes = 1 << 10
	// defaultRetryAfter is the Retry-After of a refusal for which no wait is
	// known.
	defaultRetryAfter = 100 * time.Millisecond
	// responseGrace is how long after its deadline the answer of a peer is still
	// awaited; the declared round trip between regions is added.
	responseGrace = 50 * time.Millisecond
	// maxShiftAttempts is the maximum number of attempts at pools of other
	// regions.
	maxShiftAttempts = 3
)

// traversal tries the candidate pools for one request.
type traversal struct {
	router      *Router
	service     *service
	snap        *control.Snapshot
	policy      *settings.ServicePolicy
	req         *work.Request
	body        *replay.Body
	explanation strings.Builder

	// firstUnknown is the first response of an attempt that may have run.
	firstUnknown *work.Response
	// refusal is the response to give if no pool runs the request.
	refusal *work.Response
	// shortestWait is the shortest wait that a refusing pool of the region
	// expects.
	shortestWait  time.Duration
	shiftAttempts int
	// ownZoneDrained is set if the own zone is drained, so that nothing is queued
	// there.
	ownZoneDrained bool
	// ownPoolUnowned is set if the own zone's pool had no reachable owner in this
	// round.
	ownPoolUnowned bool
}

// run tries the candidates in turn until one runs the request. It starts further
// rounds while the own zone's pool has no owner, for example between two owners,
// and for a short time while the own zone is drained and the slots of the
// neighbouring pool are taken.
func (t *traversal) run(ctx context.Context) *work.Response {
	start := time.Now()
	for {
		if resp := t.tryCandidates(ctx); resp != nil {
			return resp
		}
		window := min(t.retryWindow(), t.req.Deadline.Sub(start)/2)
		if !t.body.Replayable() || time.Since(start) >= window || !t.waitForNextRound(ctx) {
			return t.finalResponse()
		}
	}
}

// retryWindow returns how long after the start further rounds may begin.
func (t *traversal) retryWindow() time.Duration {
	switch {
	case t.ownPoolUnowned:
		return noOwnerRetryWindow
	case t.ownZoneDrained && t.shortestWait > 0 && t.shortestWait < shortQueueWait:
		return drainedRetryWindow
	default:
		return 0
	}
}

// tryCandidates runs one round over the candidates. It returns nil if no response
// is final.
func (t *traversal) tryCandidates(ctx context.Context) *work.Response {
	t.ownPoolUnowned, t.ownZoneDrained, t.shortestWait, t.refusal = false, false, 0, nil
	stages := []func(context.Context) *work.Response{t.tryOwnRegion, t.shiftIfFaster, t.queueInOwnZone, t.shiftAsLastResort}
	for _, stage := range stages {
		if resp := stage(ctx); resp != nil {
			return resp
		}
	}
	return nil
}

// waitForNextRound waits for the next round and reads a new snapshot for it. It
// returns false if the context ends first.
func (t *traversal) waitForNextRound(ctx context.Context) bool {
	timer := time.NewTimer(roundInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
	}
	t.snap = t.router.snapshot()
	t.router.stats.RetryRounds.Add(1)
	return true
}

// finalResponse returns the response for a request that no pool ran.
func (t *traversal) finalResponse() *work.Response {
	if t.firstUnknown != nil {
		return t.firstUnknown
	}
	if t.refusal == nil {
		return work.Refuse(work.ReasonNoOwner, defaultRetryAfter)
	}
	if t.refusal.RetryAfter == 0 {
		t.refusal.RetryAfter = defaultRetryAfter
	}
	return t.refusal
}

// tryOwnRegion tries the pools of the region for a free slot, the own zone first.
func (t *traversal) tryOwnRegion(ctx context.Context) *work.Response {
	for _, r := range t.service.routes {
		if r.tier == otherRegion {
			break
		}
		if r.tier == ownRegion && !t.mayHaveFreeSlot(r) {
			t.explain(r, "", "no free slot known")
			t.reuseLastRefusal(r)
			continue
		}
		if resp := t.tryPool(ctx, r, false); resp != nil {
			return resp
		}
	}
	return nil
}

// shiftIfFaster shifts the request to another region if the expected wait in its
// own region exceeds shiftWaitRoundTrips round trips.
func (t *traversal) shiftIfFaster(ctx context.Context) *work.Response {
	nearest := t.nearestRemoteRoute()
	if nearest == nil || float64(t.shortestWait) <= shiftWaitRoundTrips*float64(nearest.roundTrip) {
		return nil
	}
	return t.shift(ctx)
}

// queueInOwnZone lets the request wait in the queue of the own zone's pool.
func (t *traversal) queueInOwnZone(ctx context.Context) *work.Response {
	for _, r := range t.service.routes {
		if r.tier != ownZone {
			break
		}
		if resp := t.tryPool(ctx, r, true); resp != nil {
			return resp
		}
	}
	return nil
}

// shiftAsLastResort shifts a request that no pool of the region can run.
func (t *traversal) shiftAsLastResort(ctx context.Context) *work.Response {
	if t.shiftAttempts >= maxShiftAttempts {
		return nil
	}
	return t.shift(ctx)
}

// shift tries pools of other regions for a free slot, within the shift caps.
func (t *traversal) shift(ctx context.Context) *work.Response {
	for _, r := range t.service.routes {
		if r.tier != otherRegion || !t.mayHaveFreeSlot(r) || !t.available(r) {
			continue
		}
		if t.shiftAttempts >= maxShiftAttempts {
			return nil
		}
		now := time.Now()
		if now.Add(r.roundTrip).After(t.req.Deadline) {
			continue
		}
		if resp := t.shiftTo(ctx, r, now); resp != nil {
			return resp
		}
	}
	return nil
}

// shiftTo tries a pool of another region. A pool that refused its last request
// gets only one trial request at a time.
func (t *traversal) shiftTo(ctx context.Context, r *route, now time.Time) *work.Response {
	if !r.accepting.Load() {
		if !r.trialInFlight.CompareAndSwap(false, true) {
			t.explain(r, "", "trial request in flight")
			t.keepRefusal(work.Refuse(work.ReasonShiftCap, r.roundTrip))
			t.shortestWait = cmp.Or(t.shortestWait, r.roundTrip)
			return nil
		}
		defer r.trialInFlight.Store(false)
	}
	if !t.router.shifts.allow(now, t.policy, r.region) {
		t.explain(r, "", string(work.ReasonShiftCap))
		t.keepRefusal(work.Refuse(work.ReasonShiftCap, defaultRetryAfter))
		return nil
	}
	t.shiftAttempts++
	t.router.stats.Shifted.Add(1)
	return t.tryPool(ctx, r, false)
}

// tryPool sends the request to the owners of the pool in turn. It returns nil if
// the next candidate may be tried.
func (t *traversal) tryPool(ctx context.Context, r *route, queue bool) *work.Response {
	if !t.available(r) {
		t.explain(r, "", "drained or without owner")
		if r.tier == ownZone {
			t.ownZoneDrained = t.snap.DrainedZones[r.pool.Zone]
			t.ownPoolUnowned = t.ownPoolUnowned || !t.ownZoneDrained
		}
		return nil
	}
	if t.reportedWithoutSlots(r) {
		t.explain(r, "", "no upstream takes work")
		t.keepRefusal(work.Refuse(work.ReasonNoUpstream, defaultRetryAfter))
		return nil
	}
	for _, instance := range t.orderedOwners(r) {
		if ctx.Err() != nil {
			t.keepRefusal(work.Refuse(work.ReasonCanceled, 0))
			return t.responseSoFar()
		}
		resp, sent := t.send(ctx, r, instance, queue)
		if !sent {
			return t.responseSoFar()
		}
		t.explain(r, instance, describeResponse(resp))
		if final := t.handleResponse(r, resp); final != nil {
			return final
		}
	}
	return nil
}

// orderedOwners returns the owners of a pool. This instance and those in the
// pool's zone come first.
func (t *traversal) orderedOwners(r *route) []string {
	all := t.snap.Pools[r.pool].Owners
	if len(all) == 1 {
		return []string{all[0].Instance}
	}
	var first, rest []string
	for _, o := range all {
		if o.Instance == t.router.self || t.router.zoneOf[o.Instance] == r.pool.Zone {
			first = append(first, o.Instance)
		} else {
			rest = append(rest, o.Instance)
		}
	}
	return append(first, rest...)
}

// handleResponse returns the response if it is final, and nil if a further attempt
// is safe.
func (t *traversal) handleResponse(r *route, resp *work.Response) *work.Response {
	switch resp.Outcome {
	case work.Run:
		r.recordRun()
		return resp
	case work.NotRun:
		t.applyRefusal(r, resp)
		t.keepRefusal(resp)
		t.ownPoolUnowned = t.ownPoolUnowned || r.tier == ownZone && meansNoOwner(resp.Reason)
		if resp.Reason == work.ReasonCanceled || resp.Reason == work.ReasonBadRequest {
			return t.responseSoFar()
		}
		return nil
	}
	if t.firstUnknown == nil {
		t.firstUnknown = resp
	}
	if !t.req.Kind.Idempotent() || !t.service.spendRetry() {
		return t.responseSoFar()
	}
	t.router.stats.Retries.Add(1)
	return nil
}

// meansNoOwner reports whether a refusal means that the pool currently has no
// reachable owner.
func meansNoOwner(reason work.Reason) bool {
	switch reason {
	case work.ReasonNotOwner, work.ReasonNotReady, work.ReasonPeerUnreachable:
		return true
	default:
		return false
	}
}

// applyRefusal records what a refusal says about the load of the pool.
func (t *traversal) applyRefusal(r *route, resp *work.Response) {
	switch resp.Reason {
	case work.ReasonQueueFull, work.ReasonHeadroom, work.ReasonDeadline:
	default:
		return
	}
	r.recordRefusal(time.Now(), resp.RetryAfter)
	t.recordExpectedWait(r, resp.RetryAfter)
}

// recordExpectedWait records the wait that a refusing pool expects, if it is in
// this region.
func (t *traversal) recordExpectedWait(r *route, wait time.Duration) {
	if r.tier != otherRegion && (t.shortestWait == 0 || wait < t.shortestWait) {
		t.shortestWait = wait
	}
}

// reuseLastRefusal treats the last refusal of a pool as one of this request,
// without sending it.
func (t *traversal) reuseLastRefusal(r *route) {
	wait := time.Duration(r.lastWait.Load())
	if wait == 0 || !t.available(r) {
		return
	}
	t.keepRefusal(work.Refuse(work.ReasonHeadroom, wait))
	t.recordExpectedWait(r, wait)
}

// keepRefusal chooses the refusal that the caller gets if no pool runs the
// request. The first one counts, which is that of the nearest pool, unless it has
// no upstreams: then a refusal for any other reason, such as the shift cap,
// replaces it. Its RetryAfter is the shortest of all refusals.
func (t *traversal) keepRefusal(resp *work.Response) {
	if t.refusal == nil || t.refusal.Reason == work.ReasonNoUpstream && resp.Reason != work.ReasonNoUpstream {
		t.refusal = resp
		return
	}
	if resp.RetryAfter > 0 && (t.refusal.RetryAfter == 0 || resp.RetryAfter < t.refusal.RetryAfter) {
		t.refusal.RetryAfter = resp.RetryAfter
	}
}

// responseSoFar returns the response to the attempts made so far, when no further
// one is possible.
func (t *traversal) responseSoFar() *work.Response {
	if t.firstUnknown == nil && t.refusal == nil {
		return work.Refuse(work.ReasonBadRequest, 0)
	}
	return t.finalResponse()
}
