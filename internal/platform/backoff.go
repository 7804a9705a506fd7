package platform

import (
	"context"
	"math/rand/v2"
	"time"
)

// Backoff spaces out retries: the delay doubles from Min to Max, and each one
// is drawn at random from its upper half so that clients do not retry in step.
// The zero value never waits.
type Backoff struct {
	Min time.Duration
	Max time.Duration
	// delay is the last delay before jitter.
	delay time.Duration
}

// Next returns the delay before the next retry.
func (b *Backoff) Next() time.Duration {
	b.delay = min(max(2*b.delay, b.Min), b.Max)
	half := b.delay / 2
	if half <= 0 {
		return b.delay
	}
	return half + rand.N(half)
}

// Reset makes the next delay the shortest one.
func (b *Backoff) Reset() { b.delay = 0 }

// Wait waits for the next delay. It returns the context's error when that ends
// first.
func (b *Backoff) Wait(ctx context.Context) error { return Pause(ctx, b.Next()) }

// Pause waits for a time. It returns the context's error when that ends first.
func Pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
