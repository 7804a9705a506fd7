package exchange

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// readBufferBytes holds an ordinary header.
	readBufferBytes = 4 << 10
	// defaultIdleTimeout applies when the upstream does not declare a keep-alive
	// timeout. It is short because upstreams may close idle connections early.
	defaultIdleTimeout = 4 * time.Second
	// keepAliveMargin is subtracted from the upstream's keep-alive timeout. It
	// allows for a round trip between regions and a busy processor.
	keepAliveMargin = time.Second
)

// connection is a connection to an upstream. Only one attempt uses it at a time.
type connection struct {
	limitedConn
	reader *bufio.Reader
	// used is set once the connection was taken for an attempt.
	used bool
	// idleTimeout is how long the connection may stay idle, and idleSince is when
	// it was put into the pool.
	idleTimeout time.Duration
	idleSince   time.Time
}

// discard closes the connection. A close error has no bearing on the request.
func (c *connection) discard() { _ = c.Close() }

// reset resets a connection whose request is unfinished. An orderly close would
// let the kernel retransmit unsent data after a network partition, so that the
// request would reach the upstream long after the attempt was given up.
func (c *connection) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		// SetLinger fails only when the connection is already closed.
		_ = tcp.SetLinger(0)
	}
	c.discard()
}

// connectionPool holds the idle connections to upstreams by address.
type connectionPool struct {
	dialer net.Dialer
	mu     sync.Mutex
	idle   map[string][]*connection
}

// get removes and returns a usable idle connection, or nil when there is none.
func (p *connectionPool) get(address string, now time.Time) *connection {
	for {
		p.mu.Lock()
		idle := p.idle[address]
		if len(idle) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := idle[len(idle)-1]
		p.idle[address] = idle[:len(idle)-1]
		p.mu.Unlock()
		if now.Sub(c.idleSince) < c.idleTimeout && c.usable() {
			return c
		}
		c.discard()
	}
}

// put adds an idle connection to the pool.
func (p *connectionPool) put(address string, c *connection, now time.Time) {
	c.idleSince = now
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[address] = append(p.idle[address], c)
}

// closeExpired closes the connections that have exceeded their idle timeout.
func (p *connectionPool) closeExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, idle := range p.idle {
		unexpired := idle[:0]
		for _, c := range idle {
			if now.Sub(c.idleSince) < c.idleTimeout {
				unexpired = append(unexpired, c)
			} else {
				c.discard()
			}
		}
		if len(unexpired) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = unexpired
		}
	}
}

// closeIdle closes the idle connections to an address.
func (p *connectionPool) closeIdle(address string) {
	p.mu.Lock()
	idle := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range idle {
		c.discard()
	}
}

func (p *connectionPool) dial(ctx context.Context, address string) (*connection, error) {
	conn, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c := &connection{limitedConn: limitedConn{Conn: conn}}
	c.reader = bufio.NewReaderSize(&c.limitedConn, readBufferBytes)
	return c, nil
}

// usable reports whether an idle connection is still open and has received no
// unsolicited bytes.
func (c *connection) usable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	usable := false
	err = control.Read(func(fd uintptr) bool {
		var buffer [1]byte
		n, _, err := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		usable = n <= 0 && (err == syscall.EAGAIN || err == syscall.EWOULDBLOCK)
		return true
	})
	return err == nil && usable
}

// idleTimeout returns how long a connection may stay idle after a response, or 0
// when it must not be reused.
func idleTimeout(resp *http.Response) time.Duration {
	if isLast(resp) {
		return 0
	}
	for _, line := range resp.Header["Keep-Alive"] {
		for _, part := range strings.Split(line, ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
			if n, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
				return max(time.Duration(n)*time.Second-keepAliveMargin, 0)
			}
		}
	}
	return defaultIdleTimeout
}

// isLast reports whether no further response can follow on the connection.
func isLast(resp *http.Response) bool {
	return resp.Close || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}
