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
	// minBackoff and maxBackoff are the limits of the backoff after a failed
	// dial, before jitter.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
)

// remotePeer is a declared peer with its connections and the queue of control
// messages to it.
type remotePeer struct {
	node    *Node
	name    string
	address string

	mu             sync.Mutex
	closed         bool
	connSets       [classCount]connSet
	controlQueue   []control.Message
	controlSending bool
}

// connSet holds the connections of one class with a peer.
type connSet struct {
	// conns are the open connections, the newest last. Streams are opened on
	// the newest; there is more than one if both sides dial at the same time.
	conns               []*conn
	dialing             bool
	consecutiveFailures int
	// retryAt is the end of the backoff after a failed dial; dialErr is the
	// error of that dial.
	retryAt time.Time
	dialErr error
	// changed is closed and replaced when one of the fields above changes.
	changed chan struct{}
}

func (s *connSet) notifyWaiters() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func newRemotePeer(node *Node, name, address string) *remotePeer {
	r := &remotePeer{node: node, name: name, address: address}
	for i := range r.connSets {
		r.connSets[i].changed = make(chan struct{})
	}
	return r
}

// connect returns a connection of the class and dials one if there is none.
// During the backoff after a failed dial it fails at once.
func (r *remotePeer) connect(ctx context.Context, class connClass) (*conn, error) {
	for {
		c, changed, err := r.connOrDial(class)
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

// connOrDial returns a connection, an error, or, while a dial is in progress, a
// channel that is closed on the next change. It starts a dial if necessary.
func (r *remotePeer) connOrDial(class connClass) (*conn, <-chan struct{}, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	set := &r.connSets[class]
	if r.closed {
		return nil, nil, Error.New("transport is closed, no connection dialed")
	}
	if len(set.conns) > 0 {
		return set.conns[len(set.conns)-1], nil, nil
	}
	if set.dialing {
		return nil, set.changed, nil
	}
	if time.Now().Before(set.retryAt) {
		return nil, nil, set.dialErr
	}
	set.dialing = true
	r.node.tasks.Go(func() { r.dial(class) })
	return nil, set.changed, nil
}

// dial makes one attempt to connect and records its result.
func (r *remotePeer) dial(class connClass) {
	ctx, cancel := context.WithTimeout(r.node.ctx, r.node.config.Timing.Dial)
	defer cancel()
	c, err := r.dialQUIC(ctx, class)
	if err != nil {
		err = Error.Wrap(err)
		r.recordDialFailure(class, err)
		r.node.report(Event{Kind: DialFailed, Peer: r.name, Address: r.address, Err: err})
		return
	}
	r.add(c, class, true)
}

func (r *remotePeer) dialQUIC(ctx context.Context, class connClass) (*quic.Conn, error) {
	address, err := net.ResolveUDPAddr("udp", r.address)
	if err != nil {
		return nil, err
	}
	keys := r.node.config.Keys.PeerClient(r.name, class.protocol())
	return r.node.transport.Dial(ctx, address, keys, r.node.quic)
}

// recordDialFailure starts the backoff after a dial that failed with err.
func (r *remotePeer) recordDialFailure(class connClass, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	set := &r.connSets[class]
	set.dialing = false
	set.dialErr = err
	set.retryAt = time.Now().Add(backoff(set.consecutiveFailures))
	set.consecutiveFailures++
	set.notifyWaiters()
}

// backoff returns the wait after a failed dial that followed the given number of
// consecutive failures. It doubles from minBackoff up to maxBackoff; its second
// half is random (jitter).
func backoff(failures int) time.Duration {
	delay := maxBackoff
	if failures < 10 {
		delay = min(maxBackoff, minBackoff<<failures)
	}
	return delay/2 + rand.N(delay/2)
}

// recordDialSuccess resets the backoff.
func (r *remotePeer) recordDialSuccess(class connClass) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.connSets[class].consecutiveFailures = 0
	r.connSets[class].retryAt = time.Time{}
}

// add registers a connection that this side has dialed or accepted, and starts to
// serve it. On a closed remotePeer it closes the connection.
func (r *remotePeer) add(q *quic.Conn, class connClass, dialed bool) {
	c := newConn(r, q, class, dialed)
	r.mu.Lock()
	set := &r.connSets[class]
	if dialed {
		set.dialing = false
	}
	if r.closed {
		r.mu.Unlock()
		_ = q.CloseWithError(codeShutdown, "shutdown")
		return
	}
	set.conns = append(set.conns, c)
	if !dialed {
		set.consecutiveFailures = 0
		set.retryAt = time.Time{}
	}
	set.notifyWaiters()
	r.node.tasks.Go(c.serve)
	r.mu.Unlock()
	r.node.report(Event{Kind: Connected, Peer: r.name, Address: q.RemoteAddr().String()})
}

// remove unregisters a connection.
func (r *remotePeer) remove(c *conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	set := &r.connSets[c.class]
	set.conns = slices.DeleteFunc(set.conns, func(other *conn) bool { return other == c })
	set.notifyWaiters()
}

// connections returns the open connections of all classes.
func (r *remotePeer) connections() []*conn {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []*conn
	for i := range r.connSets {
		all = append(all, r.connSets[i].conns...)
	}
	return all
}

func (r *remotePeer) connectionCount() int { return len(r.connections()) }

// closeUnused closes the connections that have no open streams and were last used
// before unusedSince.
func (r *remotePeer) closeUnused(unusedSince time.Time) {
	for _, c := range r.connections() {
		if c.markClosing(unusedSince) {
			r.remove(c)
			_ = c.quic.CloseWithError(codeUnused, "unused")
		}
	}
}

// closeAll closes all connections and refuses new ones. The code and the reason
// are sent to the peer.
func (r *remotePeer) closeAll(code quic.ApplicationErrorCode, reason string) {
	r.mu.Lock()
	r.closed = true
	for i := range r.connSets {
		r.connSets[i].notifyWaiters()
	}
	r.mu.Unlock()
	for _, c := range r.connections() {
		_ = c.quic.CloseWithError(code, reason)
	}
}
