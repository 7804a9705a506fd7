package event

import (
	"sync"
	"time"
)

const (
	// burstEvents is how many events of one kind are written at once.
	burstEvents = 50
	// eventsPerSecond is how many events of one kind are written in the long run.
	eventsPerSecond = 5
)

// bucket is a token bucket that limits one kind of event.
type bucket struct {
	mu         sync.Mutex
	tokens     float64
	at         time.Time
	suppressed uint64
}

func newBucket() bucket { return bucket{tokens: burstEvents} }

// take reports whether an event may be written now, and how many were
// suppressed since the last one that was.
func (b *bucket) take(now time.Time) (suppressed uint64, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if b.tokens < 1 {
		b.suppressed++
		return 0, false
	}
	b.tokens--
	suppressed = b.suppressed
	b.suppressed = 0
	return suppressed, true
}

func (b *bucket) refill(now time.Time) {
	if !b.at.IsZero() {
		elapsed := max(0, now.Sub(b.at).Seconds())
		b.tokens = min(burstEvents, b.tokens+elapsed*eventsPerSecond)
	}
	b.at = now
}
