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
	// loadMaxAge is the age at which the known load of a pool says nothing.
	loadMaxAge = 2 * time.Second
	// shiftGain is how many round trips to another region the wait in the own
	// zone must exceed before a request is shifted instead of queued.
	shiftGain = 1.5
	// lookupShare is the part of the time left that one attempt of a lookup at
	// a peer may take, so that a silent one leaves time for another.
	lookupShare = 0.5
	// roundPause is the time between two rounds of asking, maxPatience that in
	// which rounds may start.
	roundPause  = 25 * time.Millisecond
	maxPatience = time.Second
	// drainedPatience is the time for rounds of a drained zone, while its
	// neighbour expects a wait below shortWait.
	drainedPatience = 300 * time.Millisecond
	shortWait       = 100 * time.Millisecond
	// maxExplain bounds the explanation, in bytes.
	maxExplain = 1 << 10
	// minAdvice is the advice for a later try when nothing better is known.
	minAdvice = 100 * time.Millisecond
	// overdue is how long after its deadline the answer of a peer is awaited,
	// beside the travel time between regions.
	overdue = 50 * time.Millisecond
	// maxShiftAsks bounds the pools of other regions that are asked.
	maxShiftAsks = 3
)

// trip is one request on its way through the candidates.
type trip struct {
	router  *Router
	service *service
	snap    *control.Snapshot
	policy  *settings.ServicePolicy
	req     *work.Request
	body    *replay.Body
	explain strings.Builder

	// unknown is the first answer of an attempt that may have run.
	unknown *work.Response
	// refusal is the refusal to give when nothing runs the request.
	refusal *work.Response
	// wait is the shortest wait that a refusing pool of the region expects.
	wait time.Duration
	asks int
	// drained is set when the own zone is drained, so that nothing queues there.
	drained bool
	// unowned is set when a pool of the region had no owner in this round.
	unowned bool
}

// run asks the candidates in turn until one runs the request. While the own
// zone's pool has no owner, such as between two, it tries again, and for a short
// time also while the zone is drained and the neighbour's slots are taken.
func (t *trip) run(ctx context.Context) *work.Response {
	start := time.Now()
	for {
		if resp := t.round(ctx); resp != nil {
			return resp
		}
		patience := min(t.patience(), t.req.Deadline.Sub(start)/2)
		if !t.body.Replayable() || time.Since(start) >= patience || !t.pause(ctx) {
			return t.last()
		}
	}
}

// patience is how long further rounds may start.
func (t *trip) patience() time.Duration {
	switch {
	case t.unowned:
		return maxPatience
	case t.drained && t.wait > 0 && t.wait < shortWait:
		return drainedPatience
	default:
		return 0
	}
}

// round asks the candidates once.
func (t *trip) round(ctx context.Context) *work.Response {
	t.unowned, t.drained, t.wait, t.refusal = false, false, 0, nil
	stages := []func(context.Context) *work.Response{t.askRegion, t.askFar, t.queue, t.askFarAtLast}
	for _, stage := range stages {
		if resp := stage(ctx); resp != nil {
			return resp
		}
	}
	return nil
}

// pause waits for the next round, which sees a new snapshot.
func (t *trip) pause(ctx context.Context) bool {
	timer := time.NewTimer(roundPause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
	}
	t.snap = t.router.snapshot()
	t.router.stats.Rounds.Add(1)
	return true
}

// last returns the answer when nothing ran the request.
func (t *trip) last() *work.Response {
	if t.unknown != nil {
		return t.unknown
	}
	if t.refusal == nil {
		return work.Refuse(work.ReasonNoOwner, minAdvice)
	}
	if t.refusal.RetryAfter == 0 {
		t.refusal.RetryAfter = minAdvice
	}
	return t.refusal
}

// askRegion asks the pools of the region for a free slot, the own zone first.
func (t *trip) askRegion(ctx context.Context) *work.Response {
	for _, r := range t.service.routes {
		if r.tier == otherRegion {
			break
		}
		if r.tier == ownRegion && !t.mayBeFree(r) {
			t.note(r, "", "no free slot known")
			t.full(r)
			continue
		}
		if resp := t.ask(ctx, r, false); resp != nil {
			return resp
		}
	}
	return nil
}

// askFar shifts the request to another region when the wait in the own one is
// longer than the way.
func (t *trip) askFar(ctx context.Context) *work.Response {
	nearest := t.nearestFar()
	if nearest == nil || float64(t.wait) <= shiftGain*float64(nearest.roundTrip) {
		return nil
	}
	return t.shift(ctx)
}

// queue lets the request wait in its own zone.
func (t *trip) queue(ctx context.Context) *work.Response {
	for _, r := range t.service.routes {
		if r.tier != ownZone {
			break
		}
		if resp := t.ask(ctx, r, true); resp != nil {
			return resp
		}
	}
	return nil
}

// askFarAtLast shifts a request that the region can't run at all.
func (t *trip) askFarAtLast(ctx context.Context) *work.Response {
	if t.asks >= maxShiftAsks {
		return nil
	}
	return t.shift(ctx)
}

// shift asks pools of other regions for a free slot, within the caps.
func (t *trip) shift(ctx context.Context) *work.Response {
	for _, r := range t.service.routes {
		if r.tier != otherRegion || !t.mayBeFree(r) || !t.reachable(r) {
			continue
		}
		if t.asks >= maxShiftAsks {
			return nil
		}
		now := time.Now()
		if now.Add(r.roundTrip).After(t.req.Deadline) {
			continue
		}
		if resp := t.askOther(ctx, r, now); resp != nil {
			return resp
		}
	}
	return nil
}

// askOther asks a pool of another region. One that did not take the last request
// is asked by one request at a time.
func (t *trip) askOther(ctx context.Context, r *route, now time.Time) *work.Response {
	if !r.open.Load() {
		if !r.asking.CompareAndSwap(false, true) {
			t.note(r, "", "another request asks")
			t.refuse(work.Refuse(work.ReasonShiftCap, r.roundTrip))
			t.wait = cmp.Or(t.wait, r.roundTrip)
			return nil
		}
		defer r.asking.Store(false)
	}
	if !t.router.shifts.allow(now, t.policy, r.region) {
		t.note(r, "", string(work.ReasonShiftCap))
		t.refuse(work.Refuse(work.ReasonShiftCap, minAdvice))
		return nil
	}
	t.asks++
	t.router.stats.Shifted.Add(1)
	return t.ask(ctx, r, false)
}

// ask sends the request to the owners of the pool in turn. It returns nil when
// the next candidate may be asked.
func (t *trip) ask(ctx context.Context, r *route, queue bool) *work.Response {
	if !t.reachable(r) {
		t.note(r, "", "drained or without owner")
		if r.tier == ownZone {
			t.drained = t.snap.DrainedZones[r.pool.Zone]
			t.unowned = t.unowned || !t.drained
		}
		return nil
	}
	if t.empty(r) {
		t.note(r, "", "no upstream takes work")
		t.refuse(work.Refuse(work.ReasonNoUpstream, minAdvice))
		return nil
	}
	for _, name := range t.owners(r) {
		if ctx.Err() != nil {
			t.refuse(work.Refuse(work.ReasonCanceled, 0))
			return t.settled()
		}
		resp, sent := t.send(ctx, r, name, queue)
		if !sent {
			return t.settled()
		}
		t.note(r, name, verdict(resp))
		if done := t.judge(r, resp); done != nil {
			return done
		}
	}
	return nil
}

// owners returns the owners of a pool, this instance first, then the one in the
// pool's own zone.
func (t *trip) owners(r *route) []string {
	all := t.snap.Pools[r.pool].Owners
	if len(all) == 1 {
		return []string{all[0].Instance}
	}
	var first, rest []string
	for _, o := range all {
		if o.Instance == t.router.self || t.router.zones[o.Instance] == r.pool.Zone {
			first = append(first, o.Instance)
		} else {
			rest = append(rest, o.Instance)
		}
	}
	return append(first, rest...)
}

// judge returns the response when it is final, and nil when a further attempt is
// safe.
func (t *trip) judge(r *route, resp *work.Response) *work.Response {
	switch resp.Outcome {
	case work.Run:
		r.ran()
		return resp
	case work.NotRun:
		t.learn(r, resp)
		t.refuse(resp)
		t.unowned = t.unowned || r.tier == ownZone && ownerless(resp.Reason)
		if resp.Reason == work.ReasonCanceled || resp.Reason == work.ReasonBadRequest {
			return t.settled()
		}
		return nil
	}
	if t.unknown == nil {
		t.unknown = resp
	}
	if !t.req.Kind.Idempotent() || !t.service.spend() {
		return t.settled()
	}
	t.router.stats.Retries.Add(1)
	return nil
}

// ownerless reports whether a refusal means that the pool has no owner that can
// be reached now.
func ownerless(reason work.Reason) bool {
	switch reason {
	case work.ReasonNotOwner, work.ReasonNotReady, work.ReasonPeerUnreachable:
		return true
	default:
		return false
	}
}

// learn notes what a refusal tells of the pool.
func (t *trip) learn(r *route, resp *work.Response) {
	switch resp.Reason {
	case work.ReasonQueueFull, work.ReasonHeadroom, work.ReasonDeadline:
	default:
		return
	}
	r.refused(time.Now(), resp.RetryAfter)
	t.expect(r, resp.RetryAfter)
}

// expect notes the wait that a refusing pool of the region expects.
func (t *trip) expect(r *route, wait time.Duration) {
	if r.tier != otherRegion && (t.wait == 0 || wait < t.wait) {
		t.wait = wait
	}
}

// full takes the last refusal of a pool, a moment ago, for that of this request.
func (t *trip) full(r *route) {
	wait := time.Duration(r.wait.Load())
	if wait == 0 || !t.reachable(r) {
		return
	}
	t.refuse(work.Refuse(work.ReasonHeadroom, wait))
	t.expect(r, wait)
}

// refuse keeps the refusal that the caller gets if nothing runs the request: the
// first one of the nearest pool that has upstreams, or the cap that kept the
// request from going there, with the shortest advice.
func (t *trip) refuse(resp *work.Response) {
	if t.refusal == nil || t.refusal.Reason == work.ReasonNoUpstream && resp.Reason != work.ReasonNoUpstream {
		t.refusal = resp
		return
	}
	if resp.RetryAfter > 0 && (t.refusal.RetryAfter == 0 || resp.RetryAfter < t.refusal.RetryAfter) {
		t.refusal.RetryAfter = resp.RetryAfter
	}
}

// settled returns what the attempts so far amount to.
func (t *trip) settled() *work.Response {
	if t.unknown == nil && t.refusal == nil {
		return work.Refuse(work.ReasonBadRequest, 0)
	}
	return t.last()
}
