package owner

import (
	"slices"
	"time"

	"sycamoreledge.example/internal/work"
)

const (
	// slowFactor is how many times the median of the others an upstream's
	// expected duration is when it counts as slow.
	slowFactor = 3
	// trialInterval is the time between requests to a slow upstream that test
	// whether it recovered.
	trialInterval = 250 * time.Millisecond
	// loadWeight is how much a full upstream counts above an idle one.
	loadWeight = 0.5
)

// anyUsable reports whether an upstream may take work, now or when a slot gets
// free.
func (p *pool) anyUsable(may permit) bool {
	if !may.fresh {
		return true
	}
	for _, r := range p.rows {
		if r.state.takesWork() && !may.leaving[r.target.Name] {
			return true
		}
	}
	return false
}

// choose returns the upstream for the next request, or nil when none is free or
// waiting for a faster one takes less time. queued is the number of requests
// that wait.
func (p *pool) choose(may permit, except *row, queued int) *row {
	var best, slow *row
	var bestScore, slowScore float64
	for _, r := range p.rows {
		if r == except || r.free(may) == 0 {
			continue
		}
		score := p.score(r, may)
		if p.slow(r, may) {
			if slow == nil || score < slowScore {
				slow, slowScore = r, score
			}
			continue
		}
		if best == nil || score < bestScore {
			best, bestScore = r, score
		}
	}
	if slow != nil && may.now.Sub(slow.tried) >= trialInterval {
		slow.tried = may.now
		return slow
	}
	if best != nil || slow == nil {
		return best
	}
	if p.betterToWait(may, slow, queued) {
		return nil
	}
	return slow
}

// score orders free upstreams, lowest first.
func (p *pool) score(r *row, may permit) float64 {
	load := float64(r.inUse()) / float64(r.target.Slots)
	if p.kind == work.Upload {
		return load // durations of uploads depend on their size
	}
	d := max(r.expected(may.now), time.Microsecond)
	return float64(d) * (1 + loadWeight*load)
}

// slow reports whether the upstream is clearly slower than the others.
func (p *pool) slow(r *row, may permit) bool {
	if p.kind == work.Upload {
		return false
	}
	var others []time.Duration
	for _, o := range p.rows {
		if o != r && o.allowed(may) > 0 && o.service.count > 0 {
			others = append(others, o.expected(may.now))
		}
	}
	if len(others) == 0 {
		return false
	}
	slices.Sort(others)
	return r.expected(may.now) > slowFactor*others[(len(others)-1)/2]
}

// betterToWait compares the wait for an upstream that is not slow with the
// duration at a slow one.
func (p *pool) betterToWait(may permit, slow *row, queued int) bool {
	slots := 0
	var fastest time.Duration
	for _, r := range p.rows {
		n := r.allowed(may)
		if n == 0 || p.slow(r, may) {
			continue
		}
		slots += n
		if d := r.expected(may.now); fastest == 0 || d < fastest {
			fastest = d
		}
	}
	if slots == 0 {
		return false
	}
	wait := time.Duration(queued+1) * fastest / time.Duration(slots)
	return wait+fastest < slow.expected(may.now)
}
