package api

import (
	"net"
	"sync"
	"sync/atomic"
)

// limitedListener closes the connections over its limit at once, so that the
// process keeps file descriptors for its peers and upstreams.
type limitedListener struct {
	net.Listener
	limit int64
	open  atomic.Int64
}

func newLimitedListener(ln net.Listener, limit int64) net.Listener {
	return &limitedListener{Listener: ln, limit: limit}
}

// Accept returns the next connection within the limit.
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
		conn.Close() //nolint:errcheck // refused
	}
}

// limitedConn gives its place back when it is closed.
type limitedConn struct {
	net.Conn
	listener *limitedListener
	once     sync.Once
}

// Close closes the connection.
func (c *limitedConn) Close() error {
	c.once.Do(func() { c.listener.open.Add(-1) })
	return c.Conn.Close()
}

// CloseWrite ends the sending side. The HTTP server uses it after an early
// answer, so that the peer reads the answer before the connection is reset.
func (c *limitedConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
