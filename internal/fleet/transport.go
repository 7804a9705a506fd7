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

// Transport sends and receives the UDP datagrams of a Gossip.
type Transport struct {
	*Gossip
	// OnRefused is called for every datagram that is malformed or fails authentication, and for every
	// peer whose address cannot be parsed.
	OnRefused func(err error)

	conn *net.UDPConn
	// sendRequested asks Run to send this instance's datagrams at once, tickRequested to call Tick
	// before the time that it gave.
	sendRequested chan struct{}
	tickRequested chan struct{}
}

// Listen opens the UDP socket at the address of the local registration.
func (t *Transport) Listen() error {
	address, err := netip.ParseAddrPort(t.Self.Peers)
	if err != nil {
		return Error.Wrap(err)
	}
	if t.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address)); err != nil {
		return Error.Wrap(err)
	}
	t.sendRequested, t.tickRequested = make(chan struct{}, 1), make(chan struct{}, 1)
	return nil
}

// SendNow sends the present state to the peers without waiting for the send interval.
func (t *Transport) SendNow() { trySignal(t.sendRequested) }

func trySignal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Run sends and receives datagrams until the context ends, and closes the socket.
func (t *Transport) Run(ctx context.Context) {
	go t.receive()
	defer func() { _ = t.conn.Close() }()
	timer := time.NewTimer(0)
	defer timer.Stop()
	immediate := true
	for {
		datagrams, next := t.Tick(time.Now(), immediate)
		t.send(datagrams)
		timer.Reset(time.Until(next))
		immediate = false
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-t.tickRequested:
		case <-t.sendRequested:
			immediate = true
		}
	}
}

func (t *Transport) send(datagrams []Datagram) {
	for _, d := range datagrams {
		address, err := netip.ParseAddrPort(d.To)
		if err != nil {
			t.OnRefused(Error.New("address of a peer is not IP:port, no datagram sent: %w", err))
			continue
		}
		// Send errors are ignored: the protocol tolerates lost datagrams.
		_, _ = t.conn.WriteToUDPAddrPort(d.Data, address)
	}
}

func (t *Transport) receive() {
	// The extra byte makes a datagram that is too long detectable.
	buffer := make([]byte, maxDatagram+1)
	for {
		n, _, err := t.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		tickNow, err := t.Receive(time.Now(), buffer[:n])
		if err != nil {
			t.OnRefused(err)
		}
		if tickNow {
			trySignal(t.tickRequested)
		}
	}
}
