package owner

import (
	"container/list"
	"sync"
	"sync/atomic"
	"time"

	"sycamoreledge.example/internal/settings"
	"sycamoreledge.example/internal/work"
)

// pool is the upstreams of one service in one zone and the queue of requests for
// them. The mutex guards all fields below it.
type pool struct {
	owner  *Owner
	id     work.PoolID
	kind   work.Kind
	policy atomic.Pointer[cachedPolicy]

	mu              sync.Mutex
	upstreams       []*upstreamEntry
	waiting         *list.List       // of *waiter, in order of arrival
	durations       durationEstimate // over all upstreams
	retries         attemptBudget
	hedges          attemptBudget
	expectedScratch []time.Duration // reused by slowThreshold
}

// cachedPolicy is the policy of the pool's service in one preset.
type cachedPolicy struct {
	preset *settings.Preset
	policy *settings.ServicePolicy
}

func newPool(o *Owner, id work.PoolID, kind work.Kind, declared []settings.Upstream) *pool {
	p := &pool{owner: o, id: id, kind: kind, waiting: list.New()}
	for _, u := range declared {
		entry := newUpstreamEntry(u)
		entry.onStateChange = p.emitStateChange
		p.upstreams = append(p.upstreams, entry)
	}
	return p
}

// policyOf returns the policy of the pool's service in the preset, or nil.
func (p *pool) policyOf(preset *settings.Preset) *settings.ServicePolicy {
	if c := p.policy.Load(); c != nil && c.preset == preset {
		return c.policy
	}
	c := &cachedPolicy{preset: preset, policy: preset.Service(p.id.Service)}
	p.policy.Store(c)
	return c.policy
}

// busy returns the number of occupied slots, including those held after an attempt
// without an answer.
func (p *pool) busy() int {
	n := 0
	for _, u := range p.upstreams {
		n += u.inUse()
	}
	return n
}

// slots returns the number of slots that may be occupied now.
func (p *pool) slots(perm permissions) int {
	n := 0
	for _, u := range p.upstreams {
		n += u.allowedSlots(perm)
	}
	return n
}

// waiter is a queued request. The queue sends at most one value, to granted or to
// refused.
type waiter struct {
	deadline time.Time
	// latestDispatch is the time by which it must be dispatched to end, most
	// likely, before its deadline.
	latestDispatch time.Time
	failed         *upstreamEntry // upstream of the previous attempt, or nil
	granted        chan *slot
	refused        chan *work.Response
}

// slot is the permission to have one request in flight at an upstream.
type slot struct {
	pool     *pool
	upstream *upstreamEntry
	start    time.Time
}

// occupySlot occupies a slot of the upstream. The caller must hold the mutex.
func (p *pool) occupySlot(u *upstreamEntry, now time.Time) *slot {
	u.startTimes = append(u.startTimes, now)
	return &slot{pool: p, upstream: u, start: now}
}

// attemptEnd describes how an attempt ended.
type attemptEnd struct {
	// answered is set if the upstream gave a complete response.
	answered bool
	// silent is set if the upstream may still be working on the request.
	silent bool
	// cutOff is set if the attempt was ended before its response was complete, so
	// that its duration is a lower bound of the service time.
	cutOff bool
}

// release frees the slot, or holds it if the upstream may still be working, and
// assigns free slots to waiters.
func (s *slot) release(end attemptEnd) {
	now := time.Now()
	p := s.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	perm := p.owner.permissions(p)
	s.upstream.removeStart(s.start)
	p.record(s.upstream, now.Sub(s.start), end)
	if end.answered {
		s.upstream.recordResponse(now)
	}
	if end.silent {
		s.upstream.hold(now)
		p.owner.stats.HeldSlots.Add(1)
		p.startProbe(s.upstream, now)
	}
	p.serveQueue(perm)
}

// cutOffFactor is the factor by which the duration of an attempt that was cut off
// is multiplied to estimate its full duration.
const cutOffFactor = 2

// record adds the duration of an attempt to the estimates. An attempt that was cut
// off counts for its upstream only, and only if it took longer than the typical
// duration.
func (p *pool) record(u *upstreamEntry, duration time.Duration, end attemptEnd) {
	switch {
	case end.answered:
		u.durations.add(duration)
		p.durations.add(duration)
	case end.cutOff && duration > p.durations.typical():
		u.durations.add(cutOffFactor * duration)
	}
}

// serveQueue assigns free slots to waiters in the order of arrival, and refuses
// those that can't be served any more. The caller must hold the mutex.
func (p *pool) serveQueue(perm permissions) {
	for front := p.waiting.Front(); front != nil; front = p.waiting.Front() {
		w := front.Value.(*waiter)
		if refusal := p.waiterRefusal(perm, w); refusal != nil {
			p.waiting.Remove(front)
			w.refused <- refusal
			continue
		}
		if !perm.snapshotFresh {
			return
		}
		u := p.chooseUpstream(perm, p.upstreamToAvoid(perm, w.failed), p.waiting.Len())
		if u == nil {
			return
		}
		p.waiting.Remove(front)
		w.granted <- p.occupySlot(u, perm.now)
	}
}

// waiterRefusal returns the refusal of a waiter if the pool is no longer owned or
// the waiter's latest dispatch time has passed, and nil otherwise.
func (p *pool) waiterRefusal(perm permissions, w *waiter) *work.Response {
	switch {
	case !perm.owned:
		return work.Refuse(work.ReasonNotOwner, 0)
	case perm.now.After(w.latestDispatch):
		return work.Refuse(work.ReasonDeadline, p.expectedWait(perm, p.waiting.Len()))
	default:
		return nil
	}
}
