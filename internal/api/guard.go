package api

import (
	"context"
	"errors"
	"maps"
	"net"
	"slices"
	"sync"
	"time"
)

// acceptPause is the pause after a failed accept, such as one for the lack of
// file descriptors.
const acceptPause = 50 * time.Millisecond

// guardListener limits the number of connections and the time that each may
// take to send the header of a request, and it knows which connections are
// idle. The HTTP library bounds only single reads, so that a peer that sends
// one byte at a time would hold a connection forever.
type guardListener struct {
	net.Listener
	limit int

	mu      sync.Mutex
	conns   map[*guardConn]struct{}
	busy    int
	idle    chan struct{} // wakes drain when busy has become 0
	stopped bool
}

func newGuardListener(ln net.Listener, limit int) *guardListener {
	return &guardListener{
		Listener: ln,
		limit:    limit,
		conns:    make(map[*guardConn]struct{}),
		idle:     make(chan struct{}, 1),
	}
}

// Accept returns the next connection within the limit. It survives errors
// other than the closing of the listener.
func (l *guardListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		if err != nil {
			time.Sleep(acceptPause)
			continue
		}
		if guarded := l.add(conn); guarded != nil {
			return guarded, nil
		}
		conn.Close() //nolint:errcheck // refused
	}
}

func (l *guardListener) add(conn net.Conn) *guardConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) >= l.limit || l.stopped {
		return nil
	}
	guarded := &guardConn{Conn: conn, listener: l, headerUntil: time.Now().Add(headerTimeout)}
	guarded.applyReadDeadline() //nolint:errcheck // the first read shows it
	l.conns[guarded] = struct{}{}
	return guarded
}

func (l *guardListener) remove(c *guardConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// begin and end count the connections that run a request.
func (l *guardListener) begin() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.busy++
}

func (l *guardListener) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.busy--
	l.signalIdle()
}

// signalIdle wakes drain. The listener is locked.
func (l *guardListener) signalIdle() {
	if !l.stopped || l.busy > 0 {
		return
	}
	select {
	case l.idle <- struct{}{}:
	default:
	}
}

// drain refuses new connections, waits until no connection runs a request or
// the context ends, and closes what is left. It reports the number of requests
// that were cut off.
func (l *guardListener) drain(ctx context.Context) int {
	l.Close() //nolint:errcheck // closed twice at worst
	l.mu.Lock()
	l.stopped = true
	l.signalIdle()
	l.mu.Unlock()
	for {
		select {
		case <-l.idle:
		case <-ctx.Done():
		}
		cut, open := l.left()
		if cut > 0 && ctx.Err() == nil {
			continue
		}
		for _, c := range open {
			c.Close() //nolint:errcheck // nothing can be done about it
		}
		return cut
	}
}

// left returns the number of running requests and the open connections.
func (l *guardListener) left() (int, []*guardConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.busy, slices.Collect(maps.Keys(l.conns))
}

// guardConn is one accepted connection.
type guardConn struct {
	net.Conn
	listener *guardListener

	mu sync.Mutex
	// handling is set while a handler runs; answered from then until the
	// answer has left, which the next read or the close shows.
	handling, answered bool
	// headerUntil is when the header must be complete; it is zero while the
	// connection is idle.
	headerUntil time.Time
	requested   time.Time
	closed      bool
}

// Read reads from the connection. The first byte of a request starts the
// timeout of its header.
func (c *guardConn) Read(p []byte) (int, error) {
	c.answerLeft()
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 && !c.handling && c.headerUntil.IsZero() {
		c.headerUntil = time.Now().Add(headerTimeout)
		c.applyReadDeadline() //nolint:errcheck // the next read shows it
	}
	return n, err
}

// Write writes to the connection, and fails when the peer takes nothing for
// the write timeout.
func (c *guardConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// SetReadDeadline bounds reads; while a header is awaited the earlier of this
// deadline and that of the header holds.
func (c *guardConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requested = t
	return c.applyReadDeadline()
}

func (c *guardConn) applyReadDeadline() error {
	t := c.requested
	awaited := !c.handling && !c.headerUntil.IsZero()
	if awaited && (t.IsZero() || t.After(c.headerUntil)) {
		t = c.headerUntil
	}
	return c.Conn.SetReadDeadline(t)
}

// Close closes the connection.
func (c *guardConn) Close() error {
	c.answerLeft()
	c.mu.Lock()
	closed := c.closed
	c.closed = true
	handling := c.handling
	c.handling = false
	c.mu.Unlock()
	if closed {
		return nil
	}
	if handling {
		c.listener.end()
	}
	c.listener.remove(c)
	return c.Conn.Close()
}

// beginRequest marks the start of a handler.
func (c *guardConn) beginRequest() {
	c.answerLeft()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.handling = true
	c.headerUntil = time.Time{}
	c.listener.begin()
}

// endRequest marks the end of a handler; the answer may still be buffered.
func (c *guardConn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.handling {
		return
	}
	c.handling = false
	c.answered = true
}

// answerLeft ends the accounting of a request whose answer has been written.
func (c *guardConn) answerLeft() {
	c.mu.Lock()
	answered := c.answered
	c.answered = false
	c.mu.Unlock()
	if answered {
		c.listener.end()
	}
}
