package owner

import (
	"context"
	"time"

	"sycamoreledge.example/internal/upstream"
)

const (
	// probeTimeout bounds one probe.
	probeTimeout = time.Second
	// maxProbeLosses is how many probes in a row are lost before an upstream
	// counts as down.
	maxProbeLosses = 2
	// cancelGrace is how long an upstream may take to notice that the
	// connection of a request was closed and to end its work.
	cancelGrace = 20 * time.Millisecond
)

// sweep refuses waiters of a lost pool, hands out slots that became free
// without a release, and starts the probes that are due.
func (p *pool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	may := p.owner.permit(p)
	p.pump(may)
	if !may.owned && p.busy() == 0 {
		return
	}
	for _, r := range p.rows {
		p.followDrain(may, r)
		if may.now.Sub(r.probed) >= p.owner.probeInterval {
			p.startProbe(r, may.now)
		}
	}
}

// startProbe starts a probe unless one is under way; the mutex is held.
func (p *pool) startProbe(r *row, now time.Time) {
	if r.probing {
		return
	}
	r.probing = true
	r.probed = now
	go p.probe(r)
}

// probe asks the upstream for its health and applies the answer.
func (p *pool) probe(r *row) {
	start := time.Now()
	ctx, cancel := context.WithTimeout(p.owner.life, probeTimeout)
	defer cancel()
	p.owner.stats.Probes.Add(1)
	health, err := p.owner.upstreams.Probe(ctx, r.target)
	if p.owner.life.Err() != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	may := p.owner.permit(p)
	r.probing = false
	r.apply(health, err, start)
	if err == nil && len(r.held) > 0 {
		time.AfterFunc(cancelGrace, func() { p.probeAgain(r) })
	}
	p.pump(may)
}

// probeAgain starts a probe for slots that are still held.
func (p *pool) probeAgain(r *row) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(r.held) > 0 {
		p.startProbe(r, time.Now())
	}
}

// apply changes the row after a probe that started at the given time.
func (r *row) apply(health upstream.Health, err error, start time.Time) {
	if err != nil {
		r.probeLosses++
		if r.probeLosses >= maxProbeLosses {
			r.fire(triggerProbesLost)
			return
		}
		r.fire(triggerProbeLost)
		return
	}
	r.probeLosses = 0
	r.freeHeld(start)
	switch health {
	case upstream.Leaving:
		r.fire(triggerProbeLeaving)
	case upstream.Cold:
		r.fire(triggerProbeCold)
	default:
		r.fire(triggerProbeLive)
	}
}

// freeHeld frees the slots that were held some time before a probe started that
// the upstream answered: it has seen by then that their connections are closed.
func (r *row) freeHeld(before time.Time) {
	kept := r.held[:0]
	for _, since := range r.held {
		if since.Add(cancelGrace).After(before) {
			kept = append(kept, since)
		}
	}
	r.held = kept
}
