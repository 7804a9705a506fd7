package link

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// chunkBytes is the most that is forwarded at once.
	chunkBytes = 16 << 10
	// chunksInFlight bounds the bytes on the way in one direction of a
	// connection.
	chunksInFlight = 160
	// maxDatagram is the largest datagram.
	maxDatagram = 64 << 10
	// datagramsInFlight bounds the datagrams on the way of one session.
	datagramsInFlight = 4096
	// sessionIdle ends a UDP session without datagrams.
	sessionIdle = 60 * time.Second
)

// parcel is a piece of data with the time at which it arrives. The zero data
// marks the end of a stream.
type parcel struct {
	data []byte
	at   time.Time
}

func forwardTCP(ln net.Listener, target string, there, back *pipe) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		go connectTCP(conn.(*net.TCPConn), target, there, back)
	}
}

// connectTCP holds the first bytes for a round trip, which the handshake of a
// connection over the link would take.
func connectTCP(near *net.TCPConn, target string, there, back *pipe) {
	defer func() { _ = near.Close() }()
	holdWhileCut(there)
	if broken(near) {
		// It was given up during a cut. What it sent would still be readable.
		return
	}
	conn, err := net.Dial("tcp", target)
	if err != nil {
		near.SetLinger(0) //nolint:errcheck // the connection ends anyway
		return
	}
	far := conn.(*net.TCPConn)
	defer func() { _ = far.Close() }()
	w := &wire{near: near, far: far}
	there.wires.add(w)
	defer there.wires.remove(w)
	handshake := there.latency() + back.latency()
	var both sync.WaitGroup
	both.Go(func() { w.carry(near, far, there, handshake) })
	both.Go(func() { w.carry(far, near, back, 0) })
	both.Wait()
}

// carry moves the bytes of one direction and closes it behind them.
func (w *wire) carry(from, to *net.TCPConn, p *pipe, extra time.Duration) {
	way := make(chan parcel, chunksInFlight)
	var reset atomic.Bool
	var done sync.WaitGroup
	done.Go(func() { w.deliver(way, to, p, &reset) })
	start := time.Now()
	for {
		buf := make([]byte, chunkBytes)
		n, err := from.Read(buf)
		if n > 0 {
			at, _ := p.arrival(time.Now(), n)
			if early := start.Add(extra + p.latency()); at.Before(early) {
				at = early
			}
			way <- parcel{data: buf[:n], at: at}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				reset.Store(true)
				to.SetLinger(0) //nolint:errcheck // a reset is passed on
			}
			break
		}
	}
	close(way)
	done.Wait()
	if reset.Load() {
		// A reset ends both directions.
		to.Close() //nolint:errcheck // the other side may be gone
		return
	}
	to.CloseWrite()  //nolint:errcheck // likewise
	from.CloseRead() //nolint:errcheck // likewise
}

// deliver writes each parcel at its time; during a cut all wait. What a cut holds
// back is lost when its sender resets the connection meanwhile, as a sender
// drops what was not acknowledged.
func (w *wire) deliver(way <-chan parcel, to *net.TCPConn, p *pipe, reset *atomic.Bool) {
	broken := false
	for next := range way {
		time.Sleep(time.Until(next.at))
		held := p.cut.Load()
		holdWhileCut(p)
		if broken || w.silent.Load() || held && reset.Load() {
			continue
		}
		if _, err := to.Write(next.data); err != nil {
			broken = true
		}
	}
}

func holdWhileCut(p *pipe) {
	for p.cut.Load() {
		time.Sleep(cutPoll)
	}
}

// forwardUDP gives each client address a socket of its own towards the target.
func forwardUDP(conn net.PacketConn, target string, there, back *pipe) {
	sessions := &sessions{idle: sessionIdle, byClient: map[string]*session{}}
	for {
		buf := make([]byte, maxDatagram)
		n, client, err := conn.ReadFrom(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		s := sessions.get(conn, client, target, there, back)
		if s != nil {
			push(s.way, buf[:n], there)
		}
	}
}

type sessions struct {
	idle     time.Duration
	mu       sync.Mutex
	byClient map[string]*session
}

type session struct {
	far *net.UDPConn
	way chan parcel
	// ended is closed when the session ends; way never is, since datagrams of
	// the client may come at the same moment.
	ended chan struct{}
}

// get returns the session of a client, or nil when there is no socket for it.
func (t *sessions) get(near net.PacketConn, client net.Addr, target string, there, back *pipe) *session {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := client.String()
	if s, ok := t.byClient[key]; ok {
		return s
	}
	conn, err := net.Dial("udp", target)
	if err != nil {
		return nil
	}
	s := &session{far: conn.(*net.UDPConn), way: make(chan parcel, datagramsInFlight), ended: make(chan struct{})}
	t.byClient[key] = s
	go sendAll(s.way, s.ended, there, func(data []byte) { s.far.Write(data) }) //nolint:errcheck // datagrams may be lost
	go func() {
		s.receive(near, client, back, t.idle)
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.byClient, key)
		close(s.ended)
	}()
	return s
}

// receive passes the target's datagrams back until the session is idle.
func (s *session) receive(near net.PacketConn, client net.Addr, back *pipe, idle time.Duration) {
	way := make(chan parcel, datagramsInFlight)
	defer func() { _ = s.far.Close() }()
	go sendAll(way, s.ended, back, func(data []byte) { near.WriteTo(data, client) }) //nolint:errcheck // likewise
	for {
		s.far.SetReadDeadline(time.Now().Add(idle)) //nolint:errcheck // an open socket takes it
		buf := make([]byte, maxDatagram)
		n, err := s.far.Read(buf)
		var timeout net.Error
		switch {
		case err == nil:
			push(way, buf[:n], back)
		case errors.Is(err, net.ErrClosed), errors.As(err, &timeout) && timeout.Timeout():
			return
		default:
			// Nothing listens at the target at the moment.
			time.Sleep(cutPoll)
		}
	}
}

// push puts a datagram on its way, or drops it during a cut or when the link
// is full.
func push(way chan parcel, data []byte, p *pipe) {
	now := time.Now()
	if p.loses() || p.overloaded(now) {
		return
	}
	at, _ := p.arrival(now, len(data))
	select {
	case way <- parcel{data: data, at: at}:
	default:
	}
}

// sendAll sends the datagrams at their times; those on the way at a cut vanish.
// The end of the session ends it.
func sendAll(way <-chan parcel, ended <-chan struct{}, p *pipe, send func([]byte)) {
	for {
		select {
		case next := <-way:
			time.Sleep(time.Until(next.at))
			if !p.loses() {
				send(next.data)
			}
		case <-ended:
			return
		}
	}
}
