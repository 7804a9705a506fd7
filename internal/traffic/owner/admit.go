package owner

import (
	"context"
	"time"

	"sycamoreledge.example/internal/work"
)

const (
	// minRetryAfter is the shortest Retry-After of a refusal.
	minRetryAfter = 10 * time.Millisecond
	// maxWaitDivisor limits the expected wait of a queued request to
	// 1/maxWaitDivisor of the time until its deadline. The actual wait can be
	// longer than expected, and a refusal after most of the time has passed is of
	// no use to the caller.
	maxWaitDivisor = 3
)

// admit returns a slot, or the refusal of a request that did not run. failed is
// the upstream of the previous attempt, which is avoided, or nil.
func (p *pool) admit(ctx context.Context, req *work.Request, failed *upstreamEntry) (*slot, *work.Response) {
	p.mu.Lock()
	perm := p.owner.permissions(p)
	s, w, refusal := p.tryAdmit(perm, req, failed)
	p.mu.Unlock()
	if w == nil {
		return s, refusal
	}
	p.owner.stats.Queued.Add(1)
	return p.awaitSlot(ctx, w)
}

// tryAdmit assigns a slot, queues the request, or refuses it. The caller must hold
// the mutex.
func (p *pool) tryAdmit(perm permissions, req *work.Request, failed *upstreamEntry) (*slot, *waiter, *work.Response) {
	if refusal := p.precheck(perm, req); refusal != nil {
		return nil, nil, refusal
	}
	if perm.snapshotFresh && p.waiting.Len() == 0 {
		if u := p.chooseUpstream(perm, p.upstreamToAvoid(perm, failed), 0); u != nil {
			return p.occupySlot(u, perm.now), nil, nil
		}
	}
	wait := p.expectedWait(perm, p.waiting.Len())
	retryAfter := max(wait, minRetryAfter)
	latest := p.latestDispatch(perm, req)
	switch {
	case !req.Queue || req.Origin != p.id.Zone:
		return nil, nil, work.Refuse(work.ReasonQueueFull, retryAfter)
	case p.waiting.Len() >= perm.policy.Queue:
		return nil, nil, work.Refuse(work.ReasonQueueFull, retryAfter)
	case wait > req.Deadline.Sub(perm.now)/maxWaitDivisor, perm.now.Add(wait).After(latest):
		return nil, nil, work.Refuse(work.ReasonDeadline, retryAfter)
	}
	w := &waiter{
		deadline:       req.Deadline,
		latestDispatch: latest,
		failed:         failed,
		granted:        make(chan *slot, 1),
		refused:        make(chan *work.Response, 1),
	}
	p.waiting.PushBack(w)
	return nil, w, nil
}

// latestDispatch returns the time by which a request must leave the queue. It
// reserves time for the upstream: a duration that few requests exceed, but at most
// half of the time until the deadline. For non-idempotent work that duration
// includes stragglers, since a timeout would leave the outcome unknown.
func (p *pool) latestDispatch(perm permissions, req *work.Request) time.Time {
	reserved := p.durations.high()
	if !p.kind.Idempotent() {
		reserved = p.durations.tail()
	}
	half := req.Deadline.Sub(perm.now) / 2
	return req.Deadline.Add(-min(reserved, half))
}

// precheck returns the refusal of a request that must not run here, whether or not
// a slot is free, or nil. A request from another zone must leave the headroom
// free.
func (p *pool) precheck(perm permissions, req *work.Request) *work.Response {
	switch {
	case !perm.owned:
		return work.Refuse(work.ReasonNotOwner, 0)
	case perm.drained, !p.anyAcceptsWork(perm):
		return work.Refuse(work.ReasonNoUpstream, p.owner.probeInterval)
	case !perm.now.Before(req.Deadline):
		return work.Refuse(work.ReasonDeadline, 0)
	case req.Origin == p.id.Zone:
		return nil
	}
	limit := float64(p.slots(perm)) * (1 - perm.headroom)
	if float64(p.busy()) >= limit {
		return work.Refuse(work.ReasonHeadroom, max(p.expectedWait(perm, p.waiting.Len()), minRetryAfter))
	}
	return nil
}

// awaitSlot returns the slot or refusal that the queue assigns, or a refusal if
// the request is cancelled or its latest dispatch time passes.
func (p *pool) awaitSlot(ctx context.Context, w *waiter) (*slot, *work.Response) {
	timer := time.NewTimer(time.Until(w.latestDispatch))
	defer timer.Stop()
	var refusal *work.Response
	select {
	case s := <-w.granted:
		return s, nil
	case refusal := <-w.refused:
		p.owner.stats.Withdrawn.Add(1)
		return nil, refusal
	case <-ctx.Done():
		refusal = work.Refuse(work.ReasonCanceled, 0)
	case <-timer.C:
		refusal = work.Refuse(work.ReasonDeadline, minRetryAfter)
	}
	p.owner.stats.Withdrawn.Add(1)
	p.removeWaiter(w)
	return nil, refusal
}

// removeWaiter removes a waiter from the queue. If it was given a slot in the
// meantime, the slot is released.
func (p *pool) removeWaiter(w *waiter) {
	p.mu.Lock()
	for e := p.waiting.Front(); e != nil; e = e.Next() {
		if e.Value.(*waiter) == w {
			p.waiting.Remove(e)
			break
		}
	}
	p.mu.Unlock()
	select {
	case s := <-w.granted:
		s.release(attemptEnd{})
	default:
	}
}

// expectedWait estimates how long a request waits behind the given number of
// queued requests.
func (p *pool) expectedWait(perm permissions, queued int) time.Duration {
	slots := p.slots(perm)
	if slots == 0 {
		return 0
	}
	return time.Duration(queued+1) * p.durations.mean() / time.Duration(slots)
}
