package owner

import (
	"math"
	"slices"
	"time"

	"sycamoreledge.example/internal/work"
)

const (
	// slowFactor is the multiple of the median expected duration above which an
	// upstream counts as slow.
	slowFactor = 3
	// trialInterval is the time between trial requests to a slow upstream, which
	// show whether it has recovered.
	trialInterval = 250 * time.Millisecond
	// loadWeight is how much being full increases the score of an upstream, as a
	// fraction of its score when idle.
	loadWeight = 0.5
)

// anyAcceptsWork reports whether any upstream may run requests, now or once a slot
// becomes free. It returns true if the snapshot is stale.
func (p *pool) anyAcceptsWork(perm permissions) bool {
	if !perm.snapshotFresh {
		return true
	}
	for _, u := range p.upstreams {
		if u.state.acceptsWork() && !perm.leaving[u.target.Name] {
			return true
		}
	}
	return false
}

// upstreamToAvoid returns failed, or nil if no other upstream has slots.
func (p *pool) upstreamToAvoid(perm permissions, failed *upstreamEntry) *upstreamEntry {
	if failed == nil {
		return nil
	}
	for _, u := range p.upstreams {
		if u != failed && u.allowedSlots(perm) > 0 {
			return failed
		}
	}
	return nil
}

// chooseUpstream returns the upstream for the next request. It returns nil if no
// upstream has a free slot, or if waiting for a faster upstream behind the queued
// requests is expected to take less time than running at a slow one.
func (p *pool) chooseUpstream(perm permissions, excluded *upstreamEntry, queued int) *upstreamEntry {
	var best, slow *upstreamEntry
	var bestScore, slowScore float64
	limit := p.slowThreshold(perm)
	for _, u := range p.upstreams {
		if u == excluded || u.freeSlots(perm) == 0 {
			continue
		}
		score := p.score(u, perm)
		if u.expectedDuration(perm.now) > limit {
			if slow == nil || score < slowScore {
				slow, slowScore = u, score
			}
			continue
		}
		if best == nil || score < bestScore {
			best, bestScore = u, score
		}
	}
	if slow != nil && perm.now.Sub(slow.lastTrial) >= trialInterval {
		slow.lastTrial = perm.now
		return slow
	}
	if best != nil || slow == nil {
		return best
	}
	if p.betterToWait(perm, slow, queued, limit) {
		return nil
	}
	return slow
}

// score ranks upstreams with free slots; the lowest is best.
func (p *pool) score(u *upstreamEntry, perm permissions) float64 {
	load := float64(u.inUse()) / float64(u.target.Slots)
	if p.kind == work.Upload {
		return load // the duration of an upload depends on its size, not on the upstream alone
	}
	d := max(u.expectedDuration(perm.now), time.Microsecond)
	return float64(d) * (1 + loadWeight*load)
}

// slowThreshold returns the expected duration above which an upstream counts as
// slow: slowFactor times the median of all upstreams. Uploads have no such
// threshold.
func (p *pool) slowThreshold(perm permissions) time.Duration {
	if p.kind == work.Upload {
		return math.MaxInt64
	}
	expected := p.expectedScratch[:0]
	for _, u := range p.upstreams {
		if u.durations.count > 0 && u.allowedSlots(perm) > 0 {
			expected = append(expected, u.expectedDuration(perm.now))
		}
	}
	p.expectedScratch = expected
	if len(expected) == 0 {
		return math.MaxInt64
	}
	fastest, slowest := slices.Min(expected), slices.Max(expected)
	if slowest <= slowFactor*fastest {
		return slowest // no upstream can exceed slowFactor times the median
	}
	slices.Sort(expected)
	return slowFactor * expected[(len(expected)-1)/2]
}

// betterToWait reports whether waiting for an upstream that is not slow, and
// running there, is expected to take less time than running at the slow one.
func (p *pool) betterToWait(perm permissions, slow *upstreamEntry, queued int, limit time.Duration) bool {
	slots := 0
	var fastest time.Duration
	for _, u := range p.upstreams {
		n, d := u.allowedSlots(perm), u.expectedDuration(perm.now)
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
	return wait+fastest < slow.expectedDuration(perm.now)
}
