package firm

import (
	"fmt"
	"io"
	"net"
)

// ports finds free ports of loopback addresses. The kernel gives each port;
// all stay taken until release, so that no two are the same.
type ports struct {
	held []io.Closer
	err  error
}

// tcp returns a free TCP address at the IP address.
func (p *ports) tcp(ip string) string {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		p.fail(err)
		return ""
	}
	p.held = append(p.held, l)
	return l.Addr().String()
}

// udp returns a free UDP address at the IP address.
func (p *ports) udp(ip string) string {
	c, err := net.ListenPacket("udp", net.JoinHostPort(ip, "0"))
	if err != nil {
		p.fail(err)
		return ""
	}
	p.held = append(p.held, c)
	return c.LocalAddr().String()
}

// fail keeps the first error.
func (p *ports) fail(err error) {
	if p.err == nil {
		p.err = Error.Wrap(err)
	}
}

// release frees all ports for the processes that will use them.
func (p *ports) release() {
	for _, c := range p.held {
		c.Close()
	}
	p.held = nil
}

// loopback returns the address 127.a.b.c.
func loopback(a, b, c int) string { return fmt.Sprintf("127.%d.%d.%d", a, b, c) }
