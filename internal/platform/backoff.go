package platform

import (
	"context"
	"math/rand/v2"
	"time"
)

// Backoff computes exponential backoff with jitter: the nominal delay doubles from
// Min to Max, and each delay is drawn at random from between half the nominal delay
// and all of it, so that clients do not retry in lockstep. The zero value does not
// delay.
type Backoff struct {
	Min time.Duration
	Max time.Duration
	// nominalDelay is the last delay before jitter was applied.
	nominalDelay time.Duration
}

// Next returns the delay before the next retry.
func (b *Backoff) Next() time.Duration {
	b.nominalDelay = min(max(2*b.nominalDelay, b.Min), b.Max)
	half := b.nominalDelay / 2
	if half <= 0 {
		return b.nominalDelay
	}
	return half + rand.N(half)
}

// Reset starts the backoff again at Min.
func (b *Backoff) Reset() { b.nominalDelay = 0 }

// Wait sleeps for the next delay. It returns the context's error if the context
// ends first.
func (b *Backoff) Wait(ctx context.Context) error { return Pause(ctx, b.Next()) }

// Pause sleeps for the given time. It returns the context's error if the context
// ends first.
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
