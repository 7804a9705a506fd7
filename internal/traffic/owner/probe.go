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
)

// sweep refuses waiters of a lost pool, hands out slots that became free
// without a release, and starts the probes that are due.
func (p *pool) sweep(ctx context.Context) {
	may := p.owner.permit(p)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pump(may)
	if !may.owned && p.busy() == 0 {
		return
	}
	for _, r := range p.rows {
		if r.probing || !r.probeDue(may.now, p.owner.probeInterval) {
			continue
		}
		r.probing = true
		r.probed = may.now
		go p.probe(ctx, r)
	}
}

// probeDue reports whether the interval has passed, or a held slot waits for a
// probe that started after it.
func (r *row) probeDue(now time.Time, interval time.Duration) bool {
	if now.Sub(r.probed) >= interval {
		return true
	}
	return len(r.held) > 0 && r.held[len(r.held)-1].After(r.probed) && r.probeLosses == 0
}

// probe asks the upstream for its health and applies the answer.
func (p *pool) probe(ctx context.Context, r *row) {
	start := time.Now()
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	p.owner.stats.Probes.Add(1)
	health, err := p.owner.upstreams.Probe(probeCtx, r.target)
	if ctx.Err() != nil {
		return
	}
	may := p.owner.permit(p)
	p.mu.Lock()
	defer p.mu.Unlock()
	r.probing = false
	r.apply(health, err, start)
	p.pump(may)
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

// freeHeld frees the slots that were held before an upstream answered a probe:
// it has seen by then that their connections are closed.
func (r *row) freeHeld(before time.Time) {
	kept := r.held[:0]
	for _, since := range r.held {
		if !since.Before(before) {
			kept = append(kept, since)
		}
	}
	r.held = kept
}
