package peer

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
)

// conn is a connection with a peer, dialed by either side.
type conn struct {
	remote *remotePeer
	node   *Node
	quic   *quic.Conn
	class  connClass
	// dialed is true if this side dialed the connection.
	dialed bool
	// receivedAny is set once the peer has sent anything after the handshake.
	// Before that, a TLS error from the peer proves that it handled nothing.
	receivedAny atomic.Bool

	mu          sync.Mutex
	closing     bool
	openStreams int
	lastUsed    time.Time
}

func newConn(r *remotePeer, q *quic.Conn, class connClass, dialed bool) *conn {
	return &conn{remote: r, node: r.node, quic: q, class: class, dialed: dialed, lastUsed: time.Now()}
}

// acquire registers an open stream. It returns false if the connection is being
// closed as unused.
func (c *conn) acquire() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.openStreams++
	return true
}

// release unregisters a stream that was registered with acquire.
func (c *conn) release() {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.openStreams--
	c.lastUsed = now
}

// markUsed records that the connection was used for a control message.
func (c *conn) markUsed() {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastUsed = now
}

// markClosing marks the connection as closing, after which no stream is handled
// any more, if it has no open streams and was last used before unusedSince. It
// reports whether it did so.
func (c *conn) markClosing(unusedSince time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing || c.openStreams > 0 || !c.lastUsed.Before(unusedSince) {
		return false
	}
	c.closing = true
	return true
}

// openStream opens a stream and registers it. After success the caller must call
// release.
func (c *conn) openStream() (*quic.Stream, error) {
	if !c.acquire() {
		return nil, Error.New("connection is being closed as unused, no stream opened")
	}
	stream, err := c.quic.OpenStream()
	if err != nil {
		c.release()
		return nil, Error.Wrap(err)
	}
	return stream, nil
}

func (c *conn) remoteAddress() string { return c.quic.RemoteAddr().String() }

// reportRefusedInput reports input on this connection that was refused with err.
func (c *conn) reportRefusedInput(err error) {
	c.node.reportRefusedInput(c.remote.name, c.remoteAddress(), Error.Wrap(err))
}

// serve handles incoming streams and datagrams until the connection ends.
func (c *conn) serve() {
	var loops sync.WaitGroup
	loops.Go(c.acceptRequests)
	loops.Go(c.acceptDatagrams)
	loops.Go(c.acceptControlStreams)
	loops.Wait()
	// The loops may end before the cause of the connection's end is set.
	<-c.quic.Context().Done()
	cause := context.Cause(c.quic.Context())
	if c.dialed {
		c.recordDialOutcome(cause)
	}
	c.remote.remove(c)
	c.node.report(Event{Kind: Disconnected, Peer: c.remote.name, Address: c.remoteAddress(), Err: cause})
}

// recordDialOutcome records whether the dial of a connection that ended with
// cause has succeeded. A peer that refuses this instance closes the connection
// only after the handshake, which counts as a failed dial.
func (c *conn) recordDialOutcome(cause error) {
	if !c.receivedAny.Load() && c.provesNotHandled(cause) {
		c.remote.recordDialFailure(c.class, Error.Wrap(cause))
		return
	}
	c.remote.recordDialSuccess(c.class)
}

func (c *conn) acceptRequests() {
	for {
		stream, err := c.quic.AcceptStream(c.node.ctx)
		if err != nil {
			return
		}
		c.receivedAny.Store(true)
		if !c.acquire() {
			reset(stream, codeRefused)
			continue
		}
		c.node.tasks.Go(func() {
			defer c.release()
			c.serveStream(stream)
		})
	}
}

// reset ends both directions of a stream.
func reset(stream *quic.Stream, code quic.StreamErrorCode) {
	stream.CancelRead(code)
	stream.CancelWrite(code)
}

// provesNotHandled reports whether err, with which a stream or the connection
// ended, proves that the peer did not handle the stream.
func (c *conn) provesNotHandled(err error) bool {
	var stream *quic.StreamError
	if errors.As(err, &stream) && stream.Remote {
		return stream.ErrorCode == codeRefused ||
			stream.ErrorCode == codeVersion ||
			stream.ErrorCode == codeMalformed
	}
	var application *quic.ApplicationError
	if errors.As(err, &application) && application.Remote {
		return application.ErrorCode == codeUnused || application.ErrorCode == codeNotDeclared
	}
	var transport *quic.TransportError
	if errors.As(err, &transport) && transport.Remote {
		return transport.ErrorCode.IsCryptoError() && !c.receivedAny.Load()
	}
	return false
}
