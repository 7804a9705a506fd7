package upstream

import (
	"net"
	"sync"
	"time"
)

// listener counts the connections of an upstream, closes those over the limit
// and charges new ones for their set-up.
type listener struct {
	net.Listener
	u *Upstream
}

// Accept returns the next connection within the limit.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.u.connected() {
			return &conn{Conn: c, u: l.u, setUp: l.u.world.ConnectTime}, nil
		}
		_ = c.Close()
	}
}

// connected counts a new connection, or reports that there are too many.
func (u *Upstream) connected() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.world.Connections > 0 && u.counts.Connections >= u.world.Connections {
		u.counts.Rejected++
		return false
	}
	u.counts.Connections++
	u.counts.MaxConnections = max(u.counts.MaxConnections, u.counts.Connections)
	return true
}

// disconnected counts a closed connection.
func (u *Upstream) disconnected() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.counts.Connections--
}

// conn is a counted connection.
type conn struct {
	net.Conn
	u      *Upstream
	setUp  time.Duration
	first  sync.Once
	closed sync.Once
}

// Read takes the set-up time before the first byte.
func (c *conn) Read(b []byte) (int, error) {
	c.first.Do(func() { time.Sleep(c.setUp) })
	return c.Conn.Read(b)
}

// Close closes the connection.
func (c *conn) Close() error {
	c.closed.Do(c.u.disconnected)
	return c.Conn.Close()
}
