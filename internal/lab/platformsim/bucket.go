package platformsim

import (
	"sync"
	"time"
)

// burstFraction is how much of a second's calls may come at once.
const burstFraction = 0.25

// bucket is a token bucket.
type bucket struct {
	mu     sync.Mutex
	rate   float64
	tokens float64
	filled time.Time
}

func newBucket(rate float64) *bucket {
	return &bucket{rate: rate, tokens: burst(rate)}
}

func burst(rate float64) float64 { return max(1, rate*burstFraction) }

func (b *bucket) setRate(rate float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rate = rate
	b.tokens = min(b.tokens, burst(rate))
}

// take reports whether one more call is within the rate.
func (b *bucket) take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.filled.IsZero() {
		b.tokens += now.Sub(b.filled).Seconds() * b.rate
		b.tokens = min(b.tokens, burst(b.rate))
	}
	b.filled = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
