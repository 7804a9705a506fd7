// Package limit provides token bucket rate limits, which admit at most
// rate*w + burst requests in any window of w seconds, and ramps that increase a
// rate gradually. The caller passes the time in.
package limit

import "time"

// Bucket is a token bucket. The zero value is a full bucket. It is not safe for
// concurrent use.
type Bucket struct {
	tokens float64
	last   time.Time
}

// refill adds the tokens that have accrued since the last call.
func (b *Bucket) refill(now time.Time, rate, burst float64) {
	if b.last.IsZero() {
		b.tokens, b.last = burst, now
	}
	if elapsed := now.Sub(b.last); elapsed > 0 {
		b.tokens += rate * elapsed.Seconds()
		b.last = now
	}
	b.tokens = min(b.tokens, burst)
}

// Take takes n tokens, or none and reports false if fewer are available. The bucket
// refills at the given rate in tokens per second, up to burst tokens.
func (b *Bucket) Take(now time.Time, n, rate, burst float64) bool {
	b.refill(now, rate, burst)
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}

// Borrow takes n tokens even if fewer are available, as long as the debt stays within
// limit tokens. The debt is repaid from later refills.
func (b *Bucket) Borrow(now time.Time, n, rate, burst, limit float64) bool {
	b.refill(now, rate, burst)
	if b.tokens-n < -limit {
		return false
	}
	b.tokens -= n
	return true
}

// Wait returns the time until n tokens are available if none are taken before. It
// is one hour if the bucket does not refill.
func (b *Bucket) Wait(now time.Time, n, rate, burst float64) time.Duration {
	b.refill(now, rate, burst)
	if b.tokens >= n {
		return 0
	}
	if rate <= 0 {
		return time.Hour
	}
	return time.Duration((n - b.tokens) / rate * float64(time.Second))
}

const (
	// rampStart is the fraction of the full rate at which a ramp starts.
	rampStart = 0.05
	// rampIdle is the time without use after which a ramp decays.
	rampIdle = time.Second
)

// Ramp is a slow start: a fraction of a rate that grows linearly from rampStart to 1
// while it is in use, and decays when it is idle. It is not safe for concurrent use.
type Ramp struct {
	level    float64
	lastUsed time.Time
}

// Level records a use and returns the current fraction of the full rate. The growth
// from rampStart to 1 takes rampTime, as does the decay from 1 to rampStart.
func (r *Ramp) Level(now time.Time, rampTime time.Duration) float64 {
	if rampTime <= 0 {
		r.level, r.lastUsed = 1, now
		return 1
	}
	if r.lastUsed.IsZero() {
		r.level, r.lastUsed = rampStart, now
		return r.level
	}
	elapsed := now.Sub(r.lastUsed)
	step := (1 - rampStart) * float64(elapsed) / float64(rampTime)
	if elapsed > rampIdle {
		step = -step
	}
	r.level = min(max(r.level+step, rampStart), 1)
	r.lastUsed = now
	return r.level
}

const (
	// shiftBurstTime is the time whose requests at the full rate may arrive at once.
	shiftBurstTime = 100 * time.Millisecond
	minShiftBurst  = 1
)

// ShiftBurst returns the burst of a Shift with the given rate per second, in requests.
func ShiftBurst(rate float64) float64 {
	return max(rate*shiftBurstTime.Seconds(), minShiftBurst)
}

// Shift limits the requests that one instance sends to one region. In any window
// of w seconds it admits at most rate*w + ShiftBurst(rate) requests. It is not
// safe for concurrent use.
type Shift struct {
	bucket Bucket
	ramp   Ramp
}

// Allow reports whether one more request may be sent now. The rate in requests per
// second is reached at the end of the ramp; with a rate of 0 nothing is admitted.
func (s *Shift) Allow(now time.Time, rate float64, ramp time.Duration) bool {
	if rate <= 0 {
		return false
	}
	rate *= s.ramp.Level(now, ramp)
	return s.bucket.Take(now, 1, rate, ShiftBurst(rate))
}
