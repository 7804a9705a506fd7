package owner

import (
	"container/list"
	"sync"
	"sync/atomic"
	"time"

	"sycamoreledge.example/internal/settings"
	"sycamoreledge.example/internal/work"
)

// pool is the table of the upstreams of one service in one zone, with the
// requests that wait for them. The mutex guards everything below it.
type pool struct {
	owner  *Owner
	id     work.PoolID
	kind   work.Kind
	policy atomic.Pointer[cachedPolicy]

	mu      sync.Mutex
	rows    []*row
	waiting *list.List // of *waiter, in order of arrival
	service estimate   // of all upstreams together
	retries budget
	hedges  budget
	scratch []time.Duration // for slowLimit
}

// cachedPolicy is the policy of the pool's service in one preset.
type cachedPolicy struct {
	preset *settings.Preset
	policy *settings.ServicePolicy
}

func newPool(o *Owner, id work.PoolID, kind work.Kind, declared []settings.Upstream) *pool {
	p := &pool{owner: o, id: id, kind: kind, waiting: list.New()}
	for _, u := range declared {
		r := newRow(u)
		r.changed = p.changed
		p.rows = append(p.rows, r)
	}
	return p
}

// policyOf returns the policy of the pool's service, or nil.
func (p *pool) policyOf(preset *settings.Preset) *settings.ServicePolicy {
	if c := p.policy.Load(); c != nil && c.preset == preset {
		return c.policy
	}
	c := &cachedPolicy{preset: preset, policy: preset.Service(p.id.Service)}
	p.policy.Store(c)
	return c.policy
}

// busy is the number of slots in use, those held after a silent attempt
// included.
func (p *pool) busy() int {
	n := 0
	for _, r := range p.rows {
		n += r.inUse()
	}
	return n
}

// slots is the number of slots that may be in use now.
func (p *pool) slots(may permit) int {
	n := 0
	for _, r := range p.rows {
		n += r.allowed(may)
	}
	return n
}

// waiter is a request in the queue. Its channel receives one grant or refusal.
type waiter struct {
	deadline time.Time
	// latest is when it must be dispatched, so that it most likely ends before
	// its deadline.
	latest  time.Time
	avoid   *row // the upstream of the attempt before, or nil
	granted chan *slot
	refused chan *work.Response
}

// slot is the right to have one request in flight at an upstream.
type slot struct {
	pool  *pool
	row   *row
	start time.Time
}

// take occupies a slot of the row.
func (p *pool) take(r *row, now time.Time) *slot {
	r.started = append(r.started, now)
	return &slot{pool: p, row: r, start: now}
}

// ending says how an attempt ended, for the estimates and the slot.
type ending struct {
	// answered is set when the upstream gave a whole answer.
	answered bool
	// silent is set when the upstream may still be working.
	silent bool
	// late is set when the attempt was cut off, so that its duration is a
	// lower bound of the service time.
	late bool
}

// release ends the use of a slot and gives it to the next waiter.
func (s *slot) release(end ending) {
	now := time.Now()
	p := s.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	may := p.owner.permit(p)
	s.row.remove(s.start)
	p.record(s.row, now.Sub(s.start), end)
	if end.answered {
		s.row.answered(now)
	}
	if end.silent {
		s.row.hold(now)
		p.owner.stats.Held.Add(1)
		p.startProbe(s.row, now)
	}
	p.pump(may)
}

// lateFactor is how many times longer than until its end an attempt that was
// cut off is taken to last.
const lateFactor = 2

// record adds the duration of an attempt to the estimates. One that was cut off
// counts for its upstream only, and only when it was longer than usual.
func (p *pool) record(r *row, took time.Duration, end ending) {
	switch {
	case end.answered:
		r.service.add(took)
		p.service.add(took)
	case end.late && took > p.service.typical():
		r.service.add(lateFactor * took)
	}
}

// pump gives free slots to waiters in the order of their arrival, and refuses
// those that can't be served any more.
func (p *pool) pump(may permit) {
	for front := p.waiting.Front(); front != nil; front = p.waiting.Front() {
		w := front.Value.(*waiter)
		if refusal := p.withdraw(may, w); refusal != nil {
			p.waiting.Remove(front)
			w.refused <- refusal
			continue
		}
		if !may.fresh {
			return
		}
		r := p.choose(may, p.avoided(may, w.avoid), p.waiting.Len())
		if r == nil {
			return
		}
		p.waiting.Remove(front)
		w.granted <- p.take(r, may.now)
	}
}

// withdraw returns a refusal for a waiter that must not or need not wait on.
func (p *pool) withdraw(may permit, w *waiter) *work.Response {
	switch {
	case !may.owned:
		return work.Refuse(work.ReasonNotOwner, 0)
	case may.now.After(w.latest):
		return work.Refuse(work.ReasonDeadline, p.expectedWait(may, p.waiting.Len()))
	default:
		return nil
	}
}
