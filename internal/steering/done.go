package steering

import (
	"time"

	"sycamoreledge.example/internal/exchange"
	"sycamoreledge.example/internal/work"
)

// Done records the result of an attempt. Only the first call for a ticket counts.
func (c *Core) Done(now time.Time, t *Ticket, r exchange.Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.done {
		return
	}
	t.done = true
	u := t.upstream
	delete(u.inFlight, t)
	u.zone.requestEnded(now, t, r)
	if r.DialTime > 0 && r.Reason != work.ReasonUpstreamConnect && r.Reason != work.ReasonCanceled {
		e := c.connectRTT[u.Place]
		e.add(r.DialTime.Seconds(), rttAlpha)
		c.connectRTT[u.Place] = e
	}
	switch {
	case r.Outcome == work.Run:
		c.recordResponse(now, t, r)
	case r.Reason == work.ReasonUpstreamShed:
		u.lastResponse, u.failures = now, 0
		u.recordShed(now, true)
		c.recordLoad(now, u, r)
		delete(u.lastSent, t.object)
	case r.Reason == work.ReasonNotOwner:
		// The upstream is gone, and another one uses its address.
		u.Leaving = true
	case r.Reason == work.ReasonCanceled:
		// Another attempt was faster, or the caller disconnected. The response would
		// have taken at least this long.
		if ratio := float64(now.Sub(t.sentAt)) / float64(max(t.expected, 1)); ratio > 1 {
			u.recordSlowdown(now, ratio)
		}
	case r.Reason == work.ReasonUpstreamOverlong:
		u.recordFailure(now)
		delete(u.lastSent, t.object)
	default:
		if u.lastResponse.Before(t.sentAt) || r.Reason == work.ReasonUpstreamConnect {
			u.recordFailure(now)
		}
		if r.Reason == work.ReasonUpstreamConnect && u.failures >= unreachableFailures {
			u.unreachable = true
		}
		delete(u.lastSent, t.object)
	}
}

// ResponseTruncated records that an upstream did not complete a streamed response
// whose beginning had been counted as a successful response.
func (c *Core) ResponseTruncated(now time.Time, t *Ticket) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t.upstream.recordFailure(now)
	delete(t.upstream.lastSent, t.object)
}

// recordResponse updates the estimates from a complete response.
func (c *Core) recordResponse(now time.Time, t *Ticket, r exchange.Result) {
	u := t.upstream
	if u.unreachable && c.table != nil {
		// An upstream that responds again may have restarted, and its report may not
		// have arrived yet.
		u.unreachable = false
		u.setCold(now, c.table.Services[u.Service].ColdFor)
	}
	u.lastResponse, u.failures = now, 0
	u.recordShed(now, false)
	c.recordLoad(now, u, r)
	u.setCold(now, r.Info.ColdRemaining)
	if r.Status >= 500 {
		return
	}
	t.route.responseBytes.add(float64(len(r.Body)), serviceTimeAlpha)
	elapsed := now.Sub(t.sentAt)
	if t.expected > 0 {
		u.recordSlowdown(now, float64(elapsed)/float64(t.expected))
	}
	if t.cold || r.Info.LoadKnown && r.Info.Load.Waiting > 0 {
		return
	}
	serviceTime := max(elapsed-c.rtt(u), 0).Seconds()
	if t.cached {
		t.route.hitTime.add(serviceTime, serviceTimeAlpha)
	} else {
		t.route.missTime.add(serviceTime, serviceTimeAlpha)
	}
}

func (c *Core) recordLoad(now time.Time, u *upstream, r exchange.Result) {
	if r.Info.LoadKnown {
		u.recordLoad(now, r.Info.Load.Running+r.Info.Load.Waiting)
	}
}
