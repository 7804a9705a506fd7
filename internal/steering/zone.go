package steering

import (
	"slices"
	"time"

	"sycamoreledge.example/internal/deployment"
	"sycamoreledge.example/internal/exchange"
	"sycamoreledge.example/internal/work"
)

const (
	// minOverdueUpstreams is how many upstreams of a zone must have overdue requests
	// before the zone counts as unreachable: a single one may have failed itself.
	minOverdueUpstreams = 2
	// initialZoneBackoff is the first backoff of an unreachable zone; it doubles up to
	// maxZoneBackoff, which is short compared to a typical network partition.
	initialZoneBackoff = 250 * time.Millisecond
	maxZoneBackoff     = time.Second
	// maxUnanswered bounds the unanswered requests that are tracked for a zone.
	maxUnanswered = 64
)

// zone is the reachability of the upstreams of a zone.
type zone struct {
	name     string
	onChange func(zone string, reachable bool, failures int)
	// unanswered are the requests sent to the zone since its last response.
	unanswered []*Ticket
	// failures counts the consecutive times that the zone was found unreachable. The
	// zone gets no requests until retryAt, and then one probe at a time.
	failures int
	retryAt  time.Time
	probe    *Ticket
}

func (c *Core) zoneState(p deployment.Place) *zone {
	z := c.zones[p.Zone]
	if z == nil {
		z = &zone{name: p.Zone, onChange: c.config.OnZoneReachability}
		c.zones[p.Zone] = z
	}
	return z
}

// requestSent records a request to the zone; it is the probe when the zone is
// unreachable.
func (z *zone) requestSent(t *Ticket) {
	if len(z.unanswered) < maxUnanswered {
		z.unanswered = append(z.unanswered, t)
	}
	if z.failures > 0 {
		z.probe = t
	}
}

// requestEnded records the result of a request: any response makes the zone
// reachable, and a failed probe extends the backoff.
func (z *zone) requestEnded(now time.Time, t *Ticket, r exchange.Result) {
	switch {
	case r.Outcome == work.Run, r.Reason == work.ReasonUpstreamShed, r.Reason == work.ReasonNotOwner:
		if z.failures > 0 {
			z.onChange(z.name, true, z.failures)
		}
		z.unanswered, z.probe, z.failures = nil, nil, 0
	case t == z.probe:
		// A canceled probe had no response either.
		z.backOff(now)
	}
}

// backOff keeps requests from the zone until the backoff has passed.
func (z *zone) backOff(now time.Time) {
	z.retryAt = now.Add(min(initialZoneBackoff<<min(z.failures, 10), maxZoneBackoff))
	z.failures++
	z.unanswered, z.probe = nil, nil
	z.onChange(z.name, false, z.failures)
}

// isUnreachable reports whether no request should be sent to the zone now. It also
// detects that the zone has become unreachable.
func (z *zone) isUnreachable(now time.Time) bool {
	if z.failures > 0 {
		return now.Before(z.retryAt) || z.probe != nil
	}
	var overdueUpstreams []*upstream
	for _, t := range z.unanswered {
		overdue := now.Sub(t.sentAt) > max(overdueFactor*t.expected, minOverdue)
		if overdue && !slices.Contains(overdueUpstreams, t.upstream) {
			overdueUpstreams = append(overdueUpstreams, t.upstream)
		}
	}
	if len(overdueUpstreams) < minOverdueUpstreams {
		return false
	}
	z.backOff(now)
	return true
}
