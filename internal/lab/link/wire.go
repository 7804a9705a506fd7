package link

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
)

// wire is one forwarded TCP connection.
type wire struct {
	near, far *net.TCPConn
	// silent drops all that is sent from now on, without a word to either side.
	silent atomic.Bool
}

// reset ends the connection on both sides.
func (w *wire) reset() {
	for _, c := range []*net.TCPConn{w.near, w.far} {
		c.SetLinger(0) //nolint:errcheck // the connection may have ended
		c.Close()      //nolint:errcheck // likewise
	}
}

// broken reports whether a connection was reset.
func broken(conn *net.TCPConn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	code := 0
	controlErr := raw.Control(func(fd uintptr) {
		code, err = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR)
	})
	return controlErr != nil || err != nil || code != 0
}

// wires are the open connections in one direction.
type wires struct {
	mu   sync.Mutex
	open map[*wire]struct{}
}

func (s *wires) add(w *wire) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		s.open = map[*wire]struct{}{}
	}
	s.open[w] = struct{}{}
}

func (s *wires) remove(w *wire) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, w)
}

// Reset ends the connections that are open between two zones, in both
// directions. New ones work. Names are those of Change.
func (l *Links) Reset(a, b string) { l.each(a, b, (*wire).reset) }

// Silence lets the connections that are open between two zones stay open and
// carry nothing more. New ones work.
func (l *Links) Silence(a, b string) { l.each(a, b, func(w *wire) { w.silent.Store(true) }) }

func (l *Links) each(a, b string, do func(*wire)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, p := range l.pipes {
		if !l.matches(id, a, b) && !l.matches(pipeID{id.to, id.from, id.platform}, a, b) {
			continue
		}
		p.wires.mu.Lock()
		for w := range p.wires.open {
			do(w)
		}
		p.wires.mu.Unlock()
	}
}
