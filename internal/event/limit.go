package event

import (
	"sync"
	"time"
)

const (
	// burstEvents is the largest burst of events of one kind that is written.
	burstEvents = 50
	// eventsPerSecond is the sustained rate at which events of one kind are written.
	eventsPerSecond = 5
)

// requestEventRates are the rates, in events per second, of events that concern a single
// request. The rate of failed, refused and late requests is the request rate of an
// instance on an ordinary day, so that normally each of them is logged. Requests
// served in time have a lower rate.
var requestEventRates = map[ID]float64{
	RequestFailed: 100, RequestRefused: 100, AttemptFailed: 100, RequestLate: 100, RequestServed: 10,
}

// bucket is a token bucket that limits one kind of event.
type bucket struct {
	mu         sync.Mutex
	rate       float64
	tokens     float64
	refilledAt time.Time
	suppressed uint64
}

func newBucket(id ID) bucket {
	rate, ok := requestEventRates[id]
	if !ok {
		rate = eventsPerSecond
	}
	return bucket{rate: rate, tokens: burstEvents}
}

// allow reports whether an event may be written now, and how many were suppressed
// since the last one that was written.
func (b *bucket) allow(now time.Time) (suppressed uint64, ok bool) {
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
	if !b.refilledAt.IsZero() {
		elapsed := max(0, now.Sub(b.refilledAt).Seconds())
		b.tokens = min(burstEvents, b.tokens+elapsed*b.rate)
	}
	b.refilledAt = now
}
