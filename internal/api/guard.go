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

// acceptRetryDelay is the delay after a failed accept, for example if the process has
// run out of file descriptors.
const acceptRetryDelay = 50 * time.Millisecond

// guardListener limits the number of connections and the time in which each must send
// the header of a request, and counts the requests in flight. The HTTP library limits
// single reads only, so that a peer which sends one byte at a time could hold a
// connection forever.
type guardListener struct {
	net.Listener
	limit int

	mu       sync.Mutex
	conns    map[*guardConn]struct{}
	inFlight int
	idle     chan struct{} // wakes shutdown when inFlight has dropped to 0
	stopped  bool
}

func newGuardListener(ln net.Listener, limit int) *guardListener {
	return &guardListener{
		Listener: ln,
		limit:    limit,
		conns:    make(map[*guardConn]struct{}),
		idle:     make(chan struct{}, 1),
	}
}

// Accept returns the next connection and closes those over the limit. It returns an
// error only if the listener is closed, and retries after any other error.
func (l *guardListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		if guarded := l.add(conn); guarded != nil {
			return guarded, nil
		}
		conn.Close() //nolint:errcheck // rejected
	}
}

func (l *guardListener) add(conn net.Conn) *guardConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) >= l.limit || l.stopped {
		return nil
	}
	guarded := &guardConn{Conn: conn, listener: l, headerDeadline: time.Now().Add(headerTimeout)}
	guarded.applyReadDeadline() //nolint:errcheck // the first read fails then
	l.conns[guarded] = struct{}{}
	return guarded
}

func (l *guardListener) remove(c *guardConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// requestStarted counts a request in flight until requestEnded is called.
func (l *guardListener) requestStarted() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight++
}

func (l *guardListener) requestEnded() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
	l.signalIdle()
}

// signalIdle wakes shutdown if no request is in flight. The caller must hold l.mu.
func (l *guardListener) signalIdle() {
	if !l.stopped || l.inFlight > 0 {
		return
	}
	select {
	case l.idle <- struct{}{}:
	default:
	}
}

// shutdown rejects new connections, waits until no request is in flight or ctx ends,
// and closes the remaining connections. It returns the number of requests that were
// aborted.
func (l *guardListener) shutdown(ctx context.Context) int {
	l.Close() //nolint:errcheck // may be closed already
	l.mu.Lock()
	l.stopped = true
	l.signalIdle()
	l.mu.Unlock()
	for {
		select {
		case <-l.idle:
		case <-ctx.Done():
		}
		aborted, open := l.remaining()
		if aborted > 0 && ctx.Err() == nil {
			continue
		}
		for _, c := range open {
			c.Close() //nolint:errcheck // there is no remedy
		}
		return aborted
	}
}

// remaining returns the number of requests in flight and the open connections.
func (l *guardListener) remaining() (int, []*guardConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inFlight, slices.Collect(maps.Keys(l.conns))
}

// guardConn is one accepted connection.
type guardConn struct {
	net.Conn
	listener *guardListener

	mu sync.Mutex
	// handlerRunning is set while a handler runs, and flushPending from its end
	// until its response has been flushed, which is known to be the case at the
	// next read or close.
	handlerRunning, flushPending bool
	// headerDeadline is the time by which the request header must be complete. It
	// is zero while the connection is idle.
	headerDeadline time.Time
	readDeadline   time.Time
	closed         bool
}

// Read implements net.Conn. The first byte of a request starts its header timeout.
func (c *guardConn) Read(p []byte) (int, error) {
	c.finishFlushed()
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 && !c.handlerRunning && c.headerDeadline.IsZero() {
		c.headerDeadline = time.Now().Add(headerTimeout)
		c.applyReadDeadline() //nolint:errcheck // the next read fails then
	}
	return n, err
}

// Write implements net.Conn. It fails if the peer does not accept the data within
// writeTimeout.
func (c *guardConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// SetReadDeadline implements net.Conn. While a request header is expected, the earlier
// of this deadline and the header deadline applies.
func (c *guardConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	return c.applyReadDeadline()
}

func (c *guardConn) applyReadDeadline() error {
	effective := c.readDeadline
	headerAwaited := !c.handlerRunning && !c.headerDeadline.IsZero()
	if headerAwaited && (effective.IsZero() || effective.After(c.headerDeadline)) {
		effective = c.headerDeadline
	}
	return c.Conn.SetReadDeadline(effective)
}

// Close implements net.Conn. Further calls have no effect.
func (c *guardConn) Close() error {
	c.finishFlushed()
	c.mu.Lock()
	closed := c.closed
	c.closed = true
	handlerRunning := c.handlerRunning
	c.handlerRunning = false
	c.mu.Unlock()
	if closed {
		return nil
	}
	if handlerRunning {
		c.listener.requestEnded()
	}
	c.listener.remove(c)
	return c.Conn.Close()
}

// beginRequest marks the start of a handler.
func (c *guardConn) beginRequest() {
	c.finishFlushed()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.handlerRunning = true
	c.headerDeadline = time.Time{}
	c.listener.requestStarted()
}

// endRequest marks the end of a handler. Its response may not have been flushed yet.
func (c *guardConn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.handlerRunning {
		return
	}
	c.handlerRunning = false
	c.flushPending = true
}

// finishFlushed stops counting a request as in flight once its response has been
// flushed.
func (c *guardConn) finishFlushed() {
	c.mu.Lock()
	flushed := c.flushPending
	c.flushPending = false
	c.mu.Unlock()
	if flushed {
		c.listener.requestEnded()
	}
}
