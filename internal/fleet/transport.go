package fleet

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("fleet")

// Beats sends and receives the datagrams of a Spread.
type Beats struct {
	*Spread
	// Refused is told of datagrams that prove nothing.
	Refused func(err error)

	conn *net.UDPConn
	// prompt asks for datagrams of this instance at once, soon for a look at what is
	// due.
	prompt chan struct{}
	soon   chan struct{}
}

// Listen opens the socket.
func (b *Beats) Listen() error {
	address, err := netip.ParseAddrPort(b.Self.Peers)
	if err != nil {
		return Error.Wrap(err)
	}
	if b.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address)); err != nil {
		return Error.Wrap(err)
	}
	b.prompt, b.soon = make(chan struct{}, 1), make(chan struct{}, 1)
	return nil
}

// Prompt tells the peers the present state without waiting for the interval.
func (b *Beats) Prompt() { signal(b.prompt) }

func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Run sends and receives until the context ends.
func (b *Beats) Run(ctx context.Context) {
	go b.receive()
	defer func() { _ = b.conn.Close() }()
	timer := time.NewTimer(0)
	defer timer.Stop()
	prompt := true
	for {
		datagrams, next := b.Tick(time.Now(), prompt)
		b.send(datagrams)
		timer.Reset(time.Until(next))
		prompt = false
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-b.soon:
		case <-b.prompt:
			prompt = true
		}
	}
}

func (b *Beats) send(datagrams []Datagram) {
	for _, d := range datagrams {
		address, err := netip.ParseAddrPort(d.To)
		if err != nil {
			b.Refused(Error.New("address of a peer: %w", err))
			continue
		}
		// A datagram that cannot be sent is like one that is lost.
		_, _ = b.conn.WriteToUDPAddrPort(d.Data, address)
	}
}

func (b *Beats) receive() {
	// One byte more shows a datagram that is too long.
	buffer := make([]byte, maxDatagram+1)
	for {
		n, _, err := b.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		soon, err := b.Receive(time.Now(), buffer[:n])
		if err != nil {
			b.Refused(err)
		}
		if soon {
			signal(b.soon)
		}
	}
}
