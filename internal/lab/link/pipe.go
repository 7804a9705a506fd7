package link

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// window is the span in which forwarded bytes are counted.
	window = 100 * time.Millisecond
	// keptWindows is how many windows are remembered.
	keptWindows = 3000
	// maxQueueDelay bounds how long a datagram waits for the rate of a link;
	// more are dropped.
	maxQueueDelay = 250 * time.Millisecond
	// cutPoll is how often held bytes look whether a cut has ended.
	cutPoll = 5 * time.Millisecond
)

// pipe is one direction between two zones.
type pipe struct {
	delay atomic.Int64 // nanoseconds
	cut   atomic.Bool
	// cutDatagrams cuts UDP alone.
	cutDatagrams atomic.Bool
	shaper       *shaper
	counter      counter
	wires        wires
}

func newPipe(delay time.Duration, s *shaper) *pipe {
	p := &pipe{shaper: s}
	p.delay.Store(int64(delay))
	return p
}

// setCut begins or ends a cut. The end of a cut of everything also ends one of
// UDP alone.
func (p *pipe) setCut(network string, cut bool) {
	if network != UDP {
		p.cut.Store(cut)
	}
	if network == UDP || !cut {
		p.cutDatagrams.Store(cut)
	}
}

// loses reports whether datagrams vanish.
func (p *pipe) loses() bool { return p.cut.Load() || p.cutDatagrams.Load() }

func (p *pipe) latency() time.Duration { return time.Duration(p.delay.Load()) }

// arrival returns when bytes that are sent now arrive, and how long they wait
// for the rate of the link.
func (p *pipe) arrival(now time.Time, bytes int) (at time.Time, queued time.Duration) {
	if p.shaper != nil {
		queued = p.shaper.reserve(now, bytes)
	}
	p.counter.add(now, bytes)
	return now.Add(queued + p.latency()), queued
}

// overloaded reports whether the queue of the link is full.
func (p *pipe) overloaded(now time.Time) bool {
	return p.shaper != nil && p.shaper.backlog(now) > maxQueueDelay
}

// shaper is the shared rate of the links between two regions, as the time at
// which the link becomes free.
type shaper struct {
	rate float64 // bytes per second

	mu   sync.Mutex
	free time.Time
}

// reserve takes the link for some bytes and returns the time until they left.
func (s *shaper) reserve(now time.Time, bytes int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.free.Before(now) {
		s.free = now
	}
	s.free = s.free.Add(time.Duration(float64(bytes) / s.rate * float64(time.Second)))
	return s.free.Sub(now)
}

func (s *shaper) backlog(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.free.Sub(now)
}

// counter counts bytes in windows.
type counter struct {
	mu      sync.Mutex
	total   int64
	windows map[int64]int64 // by start in units of window
}

func (c *counter) add(now time.Time, bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.windows == nil {
		c.windows = map[int64]int64{}
	}
	slot := now.UnixNano() / int64(window)
	if _, known := c.windows[slot]; !known {
		delete(c.windows, slot-keptWindows)
	}
	c.windows[slot] += int64(bytes)
	c.total += int64(bytes)
}

// snapshot returns the total and a copy of the windows.
func (c *counter) snapshot() (int64, map[int64]int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	windows := make(map[int64]int64, len(c.windows))
	for slot, bytes := range c.windows {
		windows[slot] = bytes
	}
	return c.total, windows
}
