package peer

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"sycamoreledge.example/internal/control"
)

const (
	// minBackoff and maxBackoff bound the pause after a failed dial.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
)

// remote is a declared peer with the connections to and from it.
type remote struct {
	node    *Node
	name    string
	address string

	mu      sync.Mutex
	closed  bool
	lanes   [classCount]lane
	queue   []control.Message
	sending bool
}

// lane holds the connections of one class to a peer.
type lane struct {
	// conns are the present connections, the newest last. Streams are opened
	// on the newest; more than one exist when both ends dial at once.
	conns    []*conn
	dialing  bool
	failures int
	// retryAt ends the pause after a failed dial, and failure is its cause.
	retryAt time.Time
	failure error
	// changed is closed when one of the above changes.
	changed chan struct{}
}

func (l *lane) signal() {
	close(l.changed)
	l.changed = make(chan struct{})
}

func newRemote(node *Node, name, address string) *remote {
	r := &remote{node: node, name: name, address: address}
	for i := range r.lanes {
		r.lanes[i].changed = make(chan struct{})
	}
	return r
}

// connect returns a connection, which it dials when there is none. It fails at
// once during the pause after a failed dial.
func (r *remote) connect(ctx context.Context, kind class) (*conn, error) {
	for {
		c, changed, err := r.attempt(kind)
		if c != nil || err != nil {
			return c, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, Error.Wrap(context.Cause(ctx))
		}
	}
}

// attempt returns a connection, an error, or a channel to wait on while one is
// dialed.
func (r *remote) attempt(kind class) (*conn, <-chan struct{}, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := &r.lanes[kind]
	if r.closed {
		return nil, nil, Error.New("transport is closed")
	}
	if len(l.conns) > 0 {
		return l.conns[len(l.conns)-1], nil, nil
	}
	if l.dialing {
		return nil, l.changed, nil
	}
	if time.Now().Before(l.retryAt) {
		return nil, nil, l.failure
	}
	l.dialing = true
	r.node.tasks.Go(func() { r.dial(kind) })
	return nil, l.changed, nil
}

// dial makes one attempt to connect.
func (r *remote) dial(kind class) {
	ctx, cancel := context.WithTimeout(r.node.ctx, r.node.config.Timing.Dial)
	defer cancel()
	c, err := r.dialOnce(ctx, kind)
	if err != nil {
		err = Error.Wrap(err)
		r.failed(kind, err)
		r.node.report(Event{Kind: DialFailed, Peer: r.name, Address: r.address, Err: err})
		return
	}
	r.add(c, kind, true)
}

func (r *remote) dialOnce(ctx context.Context, kind class) (*quic.Conn, error) {
	address, err := net.ResolveUDPAddr("udp", r.address)
	if err != nil {
		return nil, err
	}
	keys := r.node.config.Keys.PeerClient(r.name, kind.protocol())
	return r.node.transport.Dial(ctx, address, keys, r.node.quic)
}

// failed starts the pause after a failed dial. It doubles with each failure.
func (r *remote) failed(kind class, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := &r.lanes[kind]
	l.dialing = false
	l.failure = err
	l.retryAt = time.Now().Add(backoff(l.failures))
	l.failures++
	l.signal()
}

// backoff returns the pause after the given number of earlier failures, with
// half of it at random.
func backoff(failures int) time.Duration {
	pause := maxBackoff
	if failures < 10 {
		pause = min(maxBackoff, minBackoff<<failures)
	}
	return pause/2 + rand.N(pause/2)
}

// succeeded ends the count of failed dials.
func (r *remote) succeeded(kind class) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lanes[kind].failures = 0
	r.lanes[kind].retryAt = time.Time{}
}

// add registers a connection, which this end has dialed or accepted, and
// serves it.
func (r *remote) add(q *quic.Conn, kind class, dialed bool) {
	c := newConn(r, q, kind, dialed)
	r.mu.Lock()
	l := &r.lanes[kind]
	if dialed {
		l.dialing = false
	}
	if r.closed {
		r.mu.Unlock()
		_ = q.CloseWithError(codeShutdown, "shutdown")
		return
	}
	l.conns = append(l.conns, c)
	if !dialed {
		l.failures = 0
		l.retryAt = time.Time{}
	}
	l.signal()
	r.node.tasks.Go(c.serve)
	r.mu.Unlock()
	r.node.report(Event{Kind: Connected, Peer: r.name, Address: q.RemoteAddr().String()})
}

// remove forgets a connection that has ended.
func (r *remote) remove(c *conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := &r.lanes[c.class]
	l.conns = slices.DeleteFunc(l.conns, func(other *conn) bool { return other == c })
	l.signal()
}

// present returns the connections of all classes.
func (r *remote) present() []*conn {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []*conn
	for i := range r.lanes {
		all = append(all, r.lanes[i].conns...)
	}
	return all
}

func (r *remote) count() int { return len(r.present()) }

// closeUnused closes the connections that were last used before the time.
func (r *remote) closeUnused(before time.Time) {
	for _, c := range r.present() {
		if c.retire(before) {
			r.remove(c)
			_ = c.quic.CloseWithError(codeIdle, "unused")
		}
	}
}

// closeAll closes all connections and refuses new ones.
func (r *remote) closeAll(code quic.ApplicationErrorCode, text string) {
	r.mu.Lock()
	r.closed = true
	for i := range r.lanes {
		r.lanes[i].signal()
	}
	r.mu.Unlock()
	for _, c := range r.present() {
		_ = c.quic.CloseWithError(code, text)
	}
}
