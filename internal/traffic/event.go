package traffic

import (
	"sync"
	"time"
)

// EventKind is the kind of change of a shift.
type EventKind uint8

// The kinds of events.
const (
	// ShiftStarted: a request was sent after none for shiftIdleTimeout.
	ShiftStarted EventKind = iota + 1
	// ShiftEnded: no request was sent for shiftIdleTimeout.
	ShiftEnded
	// ShiftCapped: a request was refused because this instance's share of the
	// shift cap is used up. It is emitted at most once per shiftIdleTimeout.
	ShiftCapped
)

// Event is a change of a service's shift from this instance to another region.
type Event struct {
	Kind    EventKind
	Service string
	Region  string
}

// shiftIdleTimeout is the time without a request after which a shift has ended.
const shiftIdleTimeout = 5 * time.Second

// shiftTracker tracks one shift and emits its events.
type shiftTracker struct {
	key    shiftKey
	notify func(Event)

	mu         sync.Mutex
	lastSent   time.Time // when the last request was sent
	active     bool
	lastCapped time.Time // when ShiftCapped was last emitted
}

// observe records a request that was allowed or refused, and emits an event if it
// changes the shift.
func (t *shiftTracker) observe(now time.Time, allowed bool) {
	if t.notify == nil {
		return
	}
	t.mu.Lock()
	kind := t.update(now, allowed)
	t.mu.Unlock()
	if kind != 0 {
		t.emit(kind)
	}
}

func (t *shiftTracker) update(now time.Time, allowed bool) EventKind {
	if !allowed {
		if now.Sub(t.lastCapped) < shiftIdleTimeout {
			return 0
		}
		t.lastCapped = now
		return ShiftCapped
	}
	t.lastSent = now
	if t.active {
		return 0
	}
	t.active = true
	time.AfterFunc(shiftIdleTimeout, t.checkIdle)
	return ShiftStarted
}

// checkIdle ends the shift once it has been idle for shiftIdleTimeout, and
// otherwise schedules the next check.
func (t *shiftTracker) checkIdle() {
	t.mu.Lock()
	remaining := shiftIdleTimeout - time.Since(t.lastSent)
	if remaining > 0 {
		time.AfterFunc(remaining, t.checkIdle)
		t.mu.Unlock()
		return
	}
	t.active = false
	t.mu.Unlock()
	t.emit(ShiftEnded)
}

func (t *shiftTracker) emit(kind EventKind) {
	t.notify(Event{Kind: kind, Service: t.key.service, Region: t.key.remote})
}
