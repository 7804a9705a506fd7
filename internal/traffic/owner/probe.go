package owner

import (
	"context"
	"time"

	"sycamoreledge.example/internal/upstream"
)

const (
	probeTimeout = time.Second
	// maxLostProbes is the number of consecutive failed probes after which an
	// upstream counts as down.
	maxLostProbes = 2
	// cancelGrace is how long an upstream may take to notice that a request's
	// connection was closed and to stop working on it.
	cancelGrace = 20 * time.Millisecond
)

// sweep refuses waiters if the pool is no longer owned, assigns slots that became
// free without a release, and starts the probes that are due.
func (p *pool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	perm := p.owner.permissions(p)
	p.serveQueue(perm)
	if !perm.owned && p.busy() == 0 {
		return
	}
	for _, u := range p.upstreams {
		p.trackDrain(perm, u)
		if perm.now.Sub(u.lastProbe) >= p.owner.probeInterval {
			p.startProbe(u, perm.now)
		}
	}
}

// startProbe starts a probe unless one is in flight. The caller must hold the
// mutex.
func (p *pool) startProbe(u *upstreamEntry, now time.Time) {
	if u.probeInFlight {
		return
	}
	u.probeInFlight = true
	u.lastProbe = now
	go p.probe(u)
}

// probe requests the health of the upstream and applies the result.
func (p *pool) probe(u *upstreamEntry) {
	start := time.Now()
	ctx, cancel := context.WithTimeout(p.owner.probeContext, probeTimeout)
	defer cancel()
	p.owner.stats.Probes.Add(1)
	health, err := p.owner.upstreams.Probe(ctx, u.target)
	if p.owner.probeContext.Err() != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	perm := p.owner.permissions(p)
	u.probeInFlight = false
	u.applyProbe(health, err, start)
	if err == nil && len(u.heldSince) > 0 {
		time.AfterFunc(cancelGrace, func() { p.probeAgain(u) })
	}
	p.serveQueue(perm)
}

// probeAgain starts another probe if slots are still held.
func (p *pool) probeAgain(u *upstreamEntry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(u.heldSince) > 0 {
		p.startProbe(u, time.Now())
	}
}

// applyProbe applies the result of a probe that started at the given time.
func (u *upstreamEntry) applyProbe(health upstream.Health, err error, start time.Time) {
	if err != nil {
		u.lostProbes++
		if u.lostProbes >= maxLostProbes {
			u.trigger(triggerProbesLost)
			return
		}
		u.trigger(triggerProbeLost)
		return
	}
	u.lostProbes = 0
	u.releaseHeld(start)
	switch health {
	case upstream.Leaving:
		u.trigger(triggerProbeLeaving)
	case upstream.Cold:
		u.trigger(triggerProbeCold)
	default:
		u.trigger(triggerProbeLive)
	}
}

// releaseHeld frees the slots that had been held for cancelGrace when the probe
// started. Since the upstream answered the probe, it has noticed by now that the
// connections of those requests were closed.
func (u *upstreamEntry) releaseHeld(before time.Time) {
	kept := u.heldSince[:0]
	for _, since := range u.heldSince {
		if since.Add(cancelGrace).After(before) {
			kept = append(kept, since)
		}
	}
	u.heldSince = kept
}
