package traffic

import (
	"sync"
	"time"
)

// EventKind says what happened to a shift.
type EventKind uint8

// The kinds of events.
const (
	// ShiftStarted: a first request was sent after shiftQuiet without one.
	ShiftStarted EventKind = iota + 1
	// ShiftEnded: none was sent for shiftQuiet.
	ShiftEnded
	// ShiftCapped: a request found the share of the cap used up; told at most
	// once in shiftQuiet.
	ShiftCapped
)

// Event is a change of the shift of a service from this instance to a region.
type Event struct {
	Kind    EventKind
	Service string
	Region  string
}

// shiftQuiet is the time without a request after which a shift has ended.
const shiftQuiet = 5 * time.Second

// shiftLog follows one shift and tells of its changes.
type shiftLog struct {
	key    shiftKey
	notify func(Event)

	mu     sync.Mutex
	last   time.Time // of the last request that was sent
	active bool
	capped time.Time // when the cap was last told
}

// note follows a request that was allowed or not.
func (l *shiftLog) note(now time.Time, allowed bool) {
	if l.notify == nil {
		return
	}
	l.mu.Lock()
	kind := l.follow(now, allowed)
	l.mu.Unlock()
	if kind != 0 {
		l.tell(kind)
	}
}

func (l *shiftLog) follow(now time.Time, allowed bool) EventKind {
	if !allowed {
		if now.Sub(l.capped) < shiftQuiet {
			return 0
		}
		l.capped = now
		return ShiftCapped
	}
	l.last = now
	if l.active {
		return 0
	}
	l.active = true
	time.AfterFunc(shiftQuiet, l.check)
	return ShiftStarted
}

// check ends the shift when it is quiet, and looks again later when not.
func (l *shiftLog) check() {
	l.mu.Lock()
	left := shiftQuiet - time.Since(l.last)
	if left > 0 {
		time.AfterFunc(left, l.check)
		l.mu.Unlock()
		return
	}
	l.active = false
	l.mu.Unlock()
	l.tell(ShiftEnded)
}

func (l *shiftLog) tell(kind EventKind) {
	l.notify(Event{Kind: kind, Service: l.key.service, Region: l.key.place})
}
