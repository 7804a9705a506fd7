// Package limit holds rate limits whose count in any window of length w never
// exceeds rate*w plus a fixed burst, and ramps that let a rate grow slowly. The
// caller passes the time in.
package limit

import "time"

// Bucket is a token bucket. It starts full. It is not safe for concurrent use.
type Bucket struct {
	tokens float64
	last   time.Time
}

// refill adds the tokens earned since the last call.
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

// Take takes n tokens if there are as many, at the given rate per second.
func (b *Bucket) Take(now time.Time, n, rate, burst float64) bool {
	b.refill(now, rate, burst)
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}

// Borrow takes n tokens even if fewer are left, as long as the debt stays within
// the limit. Later takers pay it back.
func (b *Bucket) Borrow(now time.Time, n, rate, burst, limit float64) bool {
	b.refill(now, rate, burst)
	if b.tokens-n < -limit {
		return false
	}
	b.tokens -= n
	return true
}

// Wait is the time until n tokens are there, if nobody else takes any.
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
	// rampStart is the fraction of the full rate that a ramp starts with.
	rampStart = 0.05
	// rampIdle is the time without use after which a ramp decays.
	rampIdle = time.Second
)

// Ramp is a fraction that grows from rampStart to 1 while it is used, and falls
// back when it is not. It is not safe for concurrent use.
type Ramp struct {
	level float64
	used  time.Time
}

// Level notes a use and returns the fraction of the full rate for it. The whole
// growth takes the given time, and so does the whole decay.
func (r *Ramp) Level(now time.Time, whole time.Duration) float64 {
	if whole <= 0 {
		r.level, r.used = 1, now
		return 1
	}
	if r.used.IsZero() {
		r.level, r.used = rampStart, now
		return r.level
	}
	elapsed := now.Sub(r.used)
	step := (1 - rampStart) * float64(elapsed) / float64(whole)
	if elapsed > rampIdle {
		step = -step
	}
	r.level = min(max(r.level+step, rampStart), 1)
	r.used = now
	return r.level
}

const (
	// shiftBurstTime is the time whose requests may come at once.
	shiftBurstTime = 100 * time.Millisecond
	minShiftBurst  = 1
)

// ShiftBurst is the burst of a share of a shift, in requests.
func ShiftBurst(rate float64) float64 {
	return max(rate*shiftBurstTime.Seconds(), minShiftBurst)
}

// Shift limits the requests that one instance sends to one region. In any window
// of w seconds it passes at most rate*w + ShiftBurst(rate) requests. It is not
// safe for concurrent use.
type Shift struct {
	bucket Bucket
	ramp   Ramp
}

// Allow reports whether one more request may be sent now, at a full rate per
// second that is reached within the ramp's time.
func (s *Shift) Allow(now time.Time, rate float64, ramp time.Duration) bool {
	if rate <= 0 {
		return false
	}
	rate *= s.ramp.Level(now, ramp)
	return s.bucket.Take(now, 1, rate, ShiftBurst(rate))
}
