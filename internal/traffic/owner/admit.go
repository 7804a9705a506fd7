package owner

import (
	"context"
	"time"

	"sycamoreledge.example/internal/work"
)

const (
	// minRetryAfter is the shortest advice for a later try.
	minRetryAfter = 10 * time.Millisecond
	// waitPart is the part of its time that a request may be expected to wait,
	// as a divisor. The wait can turn out longer than expected, and a refusal
	// at the end of it helps nobody.
	waitPart = 3
)

// admit returns a slot, or the refusal of a request that did not run. A further
// attempt avoids the upstream of the one before.
func (p *pool) admit(ctx context.Context, req *work.Request, avoid *row) (*slot, *work.Response) {
	p.mu.Lock()
	may := p.owner.permit(p)
	s, w, refusal := p.enter(may, req, avoid)
	p.mu.Unlock()
	if w == nil {
		return s, refusal
	}
	p.owner.stats.Queued.Add(1)
	return p.wait(ctx, w)
}

// enter gives a slot, queues the request, or refuses it.
func (p *pool) enter(may permit, req *work.Request, avoid *row) (*slot, *waiter, *work.Response) {
	if refusal := p.refuse(may, req); refusal != nil {
		return nil, nil, refusal
	}
	if may.fresh && p.waiting.Len() == 0 {
		if r := p.choose(may, p.avoided(may, avoid), 0); r != nil {
			return p.take(r, may.now), nil, nil
		}
	}
	wait := p.expectedWait(may, p.waiting.Len())
	advice := max(wait, minRetryAfter)
	latest := p.latest(may, req)
	switch {
	case !req.Queue || req.Origin != p.id.Zone:
		return nil, nil, work.Refuse(work.ReasonQueueFull, advice)
	case p.waiting.Len() >= may.policy.Queue:
		return nil, nil, work.Refuse(work.ReasonQueueFull, advice)
	case wait > req.Deadline.Sub(may.now)/waitPart, may.now.Add(wait).After(latest):
		return nil, nil, work.Refuse(work.ReasonDeadline, advice)
	}
	w := &waiter{
		deadline: req.Deadline,
		latest:   latest,
		avoid:    avoid,
		granted:  make(chan *slot, 1),
		refused:  make(chan *work.Response, 1),
	}
	p.waiting.PushBack(w)
	return nil, w, nil
}

// latest is when a request must leave the queue. It keeps half of its time for
// the upstream, or what is most likely enough: for work with an effect that
// includes stragglers, since a timeout would leave its outcome unknown.
func (p *pool) latest(may permit, req *work.Request) time.Time {
	need := p.service.high()
	if !p.kind.Idempotent() {
		need = p.service.long()
	}
	half := req.Deadline.Sub(may.now) / 2
	return req.Deadline.Add(-min(need, half))
}

// refuse returns the refusal of a request that must not be run here at all.
func (p *pool) refuse(may permit, req *work.Request) *work.Response {
	switch {
	case !may.owned:
		return work.Refuse(work.ReasonNotOwner, 0)
	case may.drained, !p.anyUsable(may):
		return work.Refuse(work.ReasonNoUpstream, p.owner.probeInterval)
	case !may.now.Before(req.Deadline):
		return work.Refuse(work.ReasonDeadline, 0)
	case req.Origin == p.id.Zone:
		return nil
	}
	limit := float64(p.slots(may)) * (1 - may.headroom)
	if float64(p.busy()) >= limit {
		return work.Refuse(work.ReasonHeadroom, max(p.expectedWait(may, p.waiting.Len()), minRetryAfter))
	}
	return nil
}

// wait returns what the queue decides, or a refusal when the caller leaves or
// the time left is too short to be served.
func (p *pool) wait(ctx context.Context, w *waiter) (*slot, *work.Response) {
	timer := time.NewTimer(time.Until(w.latest))
	defer timer.Stop()
	var late *work.Response
	select {
	case s := <-w.granted:
		return s, nil
	case refusal := <-w.refused:
		p.owner.stats.Withdrawn.Add(1)
		return nil, refusal
	case <-ctx.Done():
		late = work.Refuse(work.ReasonCanceled, 0)
	case <-timer.C:
		late = work.Refuse(work.ReasonDeadline, minRetryAfter)
	}
	p.owner.stats.Withdrawn.Add(1)
	p.leave(w)
	return nil, late
}

// leave takes a waiter out of the queue and returns a slot that it was given
// meanwhile.
func (p *pool) leave(w *waiter) {
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
		s.release(ending{})
	default:
	}
}

// expectedWait estimates how long a request waits behind queued others.
func (p *pool) expectedWait(may permit, queued int) time.Duration {
	slots := p.slots(may)
	if slots == 0 {
		return 0
	}
	return time.Duration(queued+1) * p.service.mean() / time.Duration(slots)
}
