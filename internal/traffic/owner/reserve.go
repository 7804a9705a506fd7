package owner

import (
	"context"
	"time"

	"sycamoreledge.example/internal/work"
)

// reserveFor is how long a slot is held for a request whose body is on its way.
const reserveFor = 500 * time.Millisecond

// reservation is a slot that waits for its request.
type reservation struct {
	slot  *slot
	timer *time.Timer
}

// Reserve admits a request as Serve does and holds the slot for a short time
// until Serve is called with a request of the same identity. It returns the
// refusal, or nil when a slot is held.
func (o *Owner) Reserve(ctx context.Context, req *work.Request) *work.Response {
	p := o.pools[req.Pool]
	if p == nil {
		return work.Refuse(work.ReasonUnknownService, 0)
	}
	s, refusal := p.admit(ctx, req, nil)
	if refusal != nil {
		return refusal
	}
	held := &reservation{slot: s}
	p.mu.Lock()
	earlier := p.reserved[req.ID]
	p.reserved[req.ID] = held
	held.timer = time.AfterFunc(reserveFor, func() { p.expire(req.ID, held) })
	p.mu.Unlock()
	if earlier != nil && earlier.timer.Stop() {
		earlier.slot.release(ending{})
	}
	return nil
}

// Holds reports whether a slot is held for the request.
func (o *Owner) Holds(req *work.Request) bool {
	p := o.pools[req.Pool]
	if p == nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reserved[req.ID] != nil
}

// expire frees a slot whose request did not come.
func (p *pool) expire(id string, held *reservation) {
	p.mu.Lock()
	if p.reserved[id] == held {
		delete(p.reserved, id)
	}
	p.mu.Unlock()
	held.slot.release(ending{})
}

// redeem returns the slot that is held for a request, or nil. Its time counts
// from now.
func (p *pool) redeem(id string) *slot {
	p.mu.Lock()
	defer p.mu.Unlock()
	held := p.reserved[id]
	if held == nil {
		return nil
	}
	delete(p.reserved, id)
	if !held.timer.Stop() {
		return nil // it is being freed
	}
	held.slot.row.remove(held.slot.start)
	return p.take(held.slot.row, time.Now())
}
