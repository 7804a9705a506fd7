package steering

import (
	"time"

	"sycamoreledge.example/internal/exchange"
	"sycamoreledge.example/internal/work"
)

// Done takes over what became of an attempt.
func (c *Core) Done(now time.Time, t *Ticket, r exchange.Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.settled {
		return
	}
	t.settled = true
	u := t.upstream
	delete(u.inFlight, t)
	u.zone.ended(now, t, r)
	if r.Opened > 0 && r.Reason != work.ReasonUpstreamConnect && r.Reason != work.ReasonCanceled {
		e := c.opening[u.Place]
		e.add(r.Opened.Seconds(), tripFraction)
		c.opening[u.Place] = e
	}
	switch {
	case r.Outcome == work.Run:
		c.answered(now, t, r)
	case r.Reason == work.ReasonUpstreamShed:
		u.answered, u.faults = now, 0
		u.noteShed(now, true)
		c.takeLoad(now, u, r)
		delete(u.warm, t.object)
	case r.Reason == work.ReasonNotOwner:
		// The upstream is gone, and another has its address.
		u.Leaving = true
	case r.Reason == work.ReasonCanceled:
		// Overtaken by another attempt, or its caller left: it took this long at least.
		if ratio := float64(now.Sub(t.sent)) / float64(max(t.expected, 1)); ratio > 1 {
			u.measure(now, ratio)
		}
	case r.Reason == work.ReasonUpstreamOverlong:
		u.failed(now)
		delete(u.warm, t.object)
	default:
		if u.answered.Before(t.sent) || r.Reason == work.ReasonUpstreamConnect {
			u.failed(now)
		}
		if r.Reason == work.ReasonUpstreamConnect && u.faults >= absentFaults {
			u.absent = true
		}
		delete(u.warm, t.object)
	}
}

// BrokeOff takes over that an upstream did not bring a long answer to its end,
// whose beginning was taken for an answer.
func (c *Core) BrokeOff(now time.Time, t *Ticket) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t.upstream.failed(now)
	delete(t.upstream.warm, t.object)
}

// answered learns from an answer.
func (c *Core) answered(now time.Time, t *Ticket, r exchange.Result) {
	u := t.upstream
	if u.absent && c.table != nil {
		// No report says so yet, but an upstream that is back may have started again.
		u.absent = false
		u.cold(now, c.table.Services[u.Service].ColdFor)
	}
	u.answered, u.faults = now, 0
	u.noteShed(now, false)
	c.takeLoad(now, u, r)
	u.cold(now, r.Verdict.ColdFor)
	if r.Status >= 500 {
		return
	}
	t.route.answer.add(float64(len(r.Body)), workFraction)
	took := now.Sub(t.sent)
	if t.expected > 0 {
		u.measure(now, float64(took)/float64(t.expected))
	}
	if t.cold || r.Verdict.LoadKnown && r.Verdict.Load.Waiting > 0 {
		return
	}
	own := max(took-c.trip(u), 0).Seconds()
	if t.warm {
		t.route.warm.add(own, workFraction)
	} else {
		t.route.fresh.add(own, workFraction)
	}
}

func (c *Core) takeLoad(now time.Time, u *upstream, r exchange.Result) {
	if r.Verdict.LoadKnown {
		u.observe(now, r.Verdict.Load.Running+r.Verdict.Load.Waiting)
	}
}
