package api

import (
	"net"
	"sync"
	"sync/atomic"
)

// limitedListener closes connections over its limit immediately, so that the process
// keeps file descriptors for connections to peers and upstreams.
type limitedListener struct {
	net.Listener
	limit int64
	open  atomic.Int64
}

func newLimitedListener(ln net.Listener, limit int64) net.Listener {
	return &limitedListener{Listener: ln, limit: limit}
}

// Accept returns the next connection and closes those over the limit.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.limit {
			return &limitedConn{Conn: conn, listener: l}, nil
		}
		l.open.Add(-1)
		conn.Close() //nolint:errcheck // rejected
	}
}

// limitedConn stops counting towards the limit when it is closed.
type limitedConn struct {
	net.Conn
	listener *limitedListener
	once     sync.Once
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.once.Do(func() { c.listener.open.Add(-1) })
	return c.Conn.Close()
}

// CloseWrite closes the sending side. The HTTP server calls it after an early response,
// so that the peer reads the response before the connection is reset.
func (c *limitedConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}
