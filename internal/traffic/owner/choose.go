package owner

import (
	"math"
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

// avoided returns the upstream to avoid, or nil when no other one takes work.
func (p *pool) avoided(may permit, avoid *row) *row {
	if avoid == nil {
		return nil
	}
	for _, r := range p.rows {
		if r != avoid && r.allowed(may) > 0 {
			return avoid
		}
	}
	return nil
}

// choose returns the upstream for the next request, or nil when none is free or
// waiting for a faster one takes less time. queued is the number of requests
// that wait.
func (p *pool) choose(may permit, except *row, queued int) *row {
	var best, slow *row
	var bestScore, slowScore float64
	limit := p.slowLimit(may)
	for _, r := range p.rows {
		if r == except || r.free(may) == 0 {
			continue
		}
		score := p.score(r, may)
		if r.expected(may.now) > limit {
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
	if p.betterToWait(may, slow, queued, limit) {
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

// slowLimit is the expected duration above which an upstream counts as slow: a
// multiple of the median of all.
func (p *pool) slowLimit(may permit) time.Duration {
	if p.kind == work.Upload {
		return math.MaxInt64
	}
	expected := p.scratch[:0]
	for _, r := range p.rows {
		if r.service.count > 0 && r.allowed(may) > 0 {
			expected = append(expected, r.expected(may.now))
		}
	}
	p.scratch = expected
	if len(expected) == 0 {
		return math.MaxInt64
	}
	fastest, slowest := slices.Min(expected), slices.Max(expected)
	if slowest <= slowFactor*fastest {
		return slowest // none is slow, whatever the median
	}
	slices.Sort(expected)
	return slowFactor * expected[(len(expected)-1)/2]
}

// betterToWait compares the wait for an upstream that is not slow with the
// duration at a slow one.
func (p *pool) betterToWait(may permit, slow *row, queued int, limit time.Duration) bool {
	slots := 0
	var fastest time.Duration
	for _, r := range p.rows {
		n, d := r.allowed(may), r.expected(may.now)
		if n == 0 || d > limit {
			continue
		}
		slots += n
		if fastest == 0 || d < fastest {
			fastest = d
		}
	}
	if slots == 0 {
		return false
	}
	wait := time.Duration(queued+1) * fastest / time.Duration(slots)
	return wait+fastest < slow.expected(may.now)
}
