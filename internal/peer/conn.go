package peer

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
)

// conn is one connection to a peer, in either direction.
type conn struct {
	remote *remote
	node   *Node
	quic   *quic.Conn
	class  class
	// dialed is set on connections that this end has made.
	dialed bool
	// heard is set once the peer has sent anything after the handshake. Before
	// that a failure of the handshake proves that the peer handled nothing.
	heard atomic.Bool

	mu       sync.Mutex
	retired  bool
	inFlight int
	lastUsed time.Time
}

func newConn(r *remote, q *quic.Conn, kind class, dialed bool) *conn {
	return &conn{remote: r, node: r.node, quic: q, class: kind, dialed: dialed, lastUsed: time.Now()}
}

// acquire counts a stream in use. It fails on a connection that is being
// closed as unused.
func (c *conn) acquire() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.retired {
		return false
	}
	c.inFlight++
	return true
}

// release ends the use of a stream.
func (c *conn) release() {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight--
	c.lastUsed = now
}

// used marks the connection as used for a control message.
func (c *conn) used() {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastUsed = now
}

// retire marks an unused connection, so that no stream is handled any more.
func (c *conn) retire(before time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.retired || c.inFlight > 0 || !c.lastUsed.Before(before) {
		return false
	}
	c.retired = true
	return true
}

// open opens a stream for a request. The caller must release the connection.
func (c *conn) open() (*quic.Stream, error) {
	if !c.acquire() {
		return nil, Error.New("connection is being closed")
	}
	stream, err := c.quic.OpenStream()
	if err != nil {
		c.release()
		return nil, Error.Wrap(err)
	}
	return stream, nil
}

// address is the remote address.
func (c *conn) address() string { return c.quic.RemoteAddr().String() }

// refused reports input that was not accepted.
func (c *conn) refused(err error) {
	c.node.refused(c.remote.name, c.address(), Error.Wrap(err))
}

// serve takes what the peer sends until the connection ends.
func (c *conn) serve() {
	var loops sync.WaitGroup
	loops.Go(c.acceptRequests)
	loops.Go(c.acceptDatagrams)
	loops.Go(c.acceptControl)
	loops.Wait()
	// The loops may see the end of the connection before its cause is set.
	<-c.quic.Context().Done()
	cause := context.Cause(c.quic.Context())
	if c.dialed {
		c.settle(cause)
	}
	c.remote.remove(c)
	c.node.report(Event{Kind: Disconnected, Peer: c.remote.name, Address: c.address(), Err: cause})
}

// settle decides whether the dial has succeeded in the end. A peer that does
// not accept this instance says so only after the handshake.
func (c *conn) settle(cause error) {
	if !c.heard.Load() && c.notHandled(cause) {
		c.remote.failed(c.class, Error.Wrap(cause))
		return
	}
	c.remote.succeeded(c.class)
}

func (c *conn) acceptRequests() {
	for {
		stream, err := c.quic.AcceptStream(c.node.ctx)
		if err != nil {
			return
		}
		c.heard.Store(true)
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

// notHandled reports whether the error proves that the peer did not handle the
// stream.
func (c *conn) notHandled(err error) bool {
	var stream *quic.StreamError
	if errors.As(err, &stream) && stream.Remote {
		return stream.ErrorCode == codeRefused ||
			stream.ErrorCode == codeVersion ||
			stream.ErrorCode == codeMalformed
	}
	var application *quic.ApplicationError
	if errors.As(err, &application) && application.Remote {
		return application.ErrorCode == codeIdle || application.ErrorCode == codeUnwanted
	}
	var transport *quic.TransportError
	if errors.As(err, &transport) && transport.Remote {
		return transport.ErrorCode.IsCryptoError() && !c.heard.Load()
	}
	return false
}
