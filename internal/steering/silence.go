package steering

import (
	"slices"
	"time"

	"sycamoreledge.example/internal/deployment"
	"sycamoreledge.example/internal/exchange"
	"sycamoreledge.example/internal/work"
)

const (
	// silentLeast is how many upstreams of a zone must leave a request unanswered
	// for too long before the zone counts as out of reach: one alone may be at fault
	// itself.
	silentLeast = 2
	// silentBlock is for how long such a zone is left alone at first; it doubles up
	// to maxSilentBlock, a small part of the time for which a zone is usually cut.
	silentBlock    = 250 * time.Millisecond
	maxSilentBlock = time.Second
	// maxUnanswered bounds the requests that are noted for a zone.
	maxUnanswered = 64
)

// zone is what is known of the way to the upstreams of a zone.
type zone struct {
	name   string
	change func(zone string, reached bool, silences int)
	// unanswered are the requests that were sent there since the last answer.
	unanswered []*Ticket
	// silences counts how often in a row the zone was out of reach. It is left
	// alone until retry, and then gets one request at a time.
	silences int
	retry    time.Time
	probe    *Ticket
}

func (c *Core) zoneOf(p deployment.Place) *zone {
	z := c.zones[p.Zone]
	if z == nil {
		z = &zone{name: p.Zone, change: c.config.ZoneReach}
		c.zones[p.Zone] = z
	}
	return z
}

// sent notes a request.
func (z *zone) sent(t *Ticket) {
	if len(z.unanswered) < maxUnanswered {
		z.unanswered = append(z.unanswered, t)
	}
	if z.silences > 0 {
		z.probe = t
	}
}

// ended takes over what became of a request.
func (z *zone) ended(now time.Time, t *Ticket, r exchange.Result) {
	switch {
	case r.Outcome == work.Run, r.Reason == work.ReasonUpstreamShed, r.Reason == work.ReasonNotOwner:
		if z.silences > 0 {
			z.change(z.name, true, z.silences)
		}
		z.unanswered, z.probe, z.silences = nil, nil, 0
	case t == z.probe:
		// Also one that was canceled had no answer.
		z.block(now)
	}
}

// block leaves the zone alone for a while.
func (z *zone) block(now time.Time) {
	z.retry = now.Add(min(silentBlock<<min(z.silences, 10), maxSilentBlock))
	z.silences++
	z.unanswered, z.probe = nil, nil
	z.change(z.name, false, z.silences)
}

// isSilent reports whether no request should be sent to the zone now. It notices when
// the zone falls silent.
func (z *zone) isSilent(now time.Time) bool {
	if z.silences > 0 {
		return now.Before(z.retry) || z.probe != nil
	}
	var owing []*upstream
	for _, t := range z.unanswered {
		late := now.Sub(t.sent) > max(overdueFactor*t.expected, overdueLeast)
		if late && !slices.Contains(owing, t.upstream) {
			owing = append(owing, t.upstream)
		}
	}
	if len(owing) < silentLeast {
		return false
	}
	z.block(now)
	return true
}
