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
	// readBuffer holds an ordinary header, in bytes.
	readBuffer = 4 << 10
	// maxIdle is how long an unused connection is kept when the upstream does not
	// say how long it keeps it itself. Upstreams may drop connections sooner
	// than they say, so that short is safer.
	maxIdle = 4 * time.Second
	// idleMargin is how much sooner than the upstream a connection is given up: a
	// round trip between regions and a busy processor.
	idleMargin = time.Second
)

// connection is one connection to an upstream. One attempt uses it at a time.
type connection struct {
	bounded
	reader *bufio.Reader
	// used is set once a request was sent on it.
	used bool
	// keep is how long it may stay unused, since when it was put back.
	keep  time.Duration
	since time.Time
}

// discard closes the connection. Its errors say nothing about the request.
func (c *connection) discard() { _ = c.Close() }

// abandon ends a connection whose request is not over. It is reset, since what a
// cut link holds back would otherwise reach the upstream once the link is whole,
// long after the request was answered.
func (c *connection) abandon() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		// It fails only where the connection has ended already.
		_ = tcp.SetLinger(0)
	}
	c.discard()
}

// connections are the unused connections to upstreams, by address.
type connections struct {
	dialer net.Dialer
	mu     sync.Mutex
	idle   map[string][]*connection
}

// take returns an unused connection that looks sound, or nil.
func (p *connections) take(address string, now time.Time) *connection {
	for {
		p.mu.Lock()
		list := p.idle[address]
		if len(list) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := list[len(list)-1]
		p.idle[address] = list[:len(list)-1]
		p.mu.Unlock()
		if now.Sub(c.since) < c.keep && c.quiet() {
			return c
		}
		c.discard()
	}
}

// put keeps a connection for later use.
func (p *connections) put(address string, c *connection, now time.Time) {
	c.since = now
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[address] = append(p.idle[address], c)
}

// sweep closes connections that have been unused for too long.
func (p *connections) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.since) < c.keep {
				kept = append(kept, c)
			} else {
				c.discard()
			}
		}
		if len(kept) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = kept
		}
	}
}

// forget closes the unused connections to an address.
func (p *connections) forget(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		c.discard()
	}
}

// dial opens a connection.
func (p *connections) dial(ctx context.Context, address string) (*connection, error) {
	conn, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c := &connection{bounded: bounded{Conn: conn}}
	c.reader = bufio.NewReaderSize(&c.bounded, readBuffer)
	return c, nil
}

// quiet reports whether nothing has arrived on an unused connection: neither
// its end nor bytes that belong to no request.
func (c *connection) quiet() bool {
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
	quiet := false
	err = control.Read(func(fd uintptr) bool {
		var one [1]byte
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = n <= 0 && (err == syscall.EAGAIN || err == syscall.EWOULDBLOCK)
		return true
	})
	return err == nil && quiet
}

// lasts returns how long a connection may stay unused after an answer, or 0
// when it must not be used again.
func lasts(resp *http.Response) time.Duration {
	if resp.Close || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return 0
	}
	for _, line := range resp.Header["Keep-Alive"] {
		for _, part := range strings.Split(line, ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
			if n, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
				return max(time.Duration(n)*time.Second-idleMargin, 0)
			}
		}
	}
	return maxIdle
}
