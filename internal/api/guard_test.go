package api

import (
	"errors"
	"net"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

// pipeListener is a listener that accepts in-memory connections from a channel.
type pipeListener struct{ conns chan net.Conn }

func (l pipeListener) Accept() (net.Conn, error) {
	conn, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}

func (l pipeListener) Close() error   { return nil }
func (l pipeListener) Addr() net.Addr { return nil }

// accept opens a connection and returns its accepted end and the peer's end.
func accept(t *testing.T, guard *guardListener, l pipeListener) (*guardConn, net.Conn) {
	t.Helper()
	server, peer := net.Pipe()
	go func() { l.conns <- server }()
	conn, err := guard.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return conn.(*guardConn), peer
}

func TestHeaderSentByteByByteTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		l := pipeListener{make(chan net.Conn)}
		conn, peer := accept(t, newGuardListener(l, 10), l)
		start := time.Now()
		ended := make(chan bool)
		go func() {
			defer close(ended)
			tick := time.NewTicker(time.Second)
			defer tick.Stop()
			for range tick.C {
				if _, err := peer.Write([]byte("x")); err != nil {
					return
				}
			}
		}()
		var err error
		for err == nil {
			// The HTTP library sets a new deadline before every read.
			g.Expect(conn.SetReadDeadline(time.Now().Add(idleTimeout))).To(gomega.Succeed())
			_, err = conn.Read(make([]byte, 1))
		}
		g.Expect(errors.Is(err, os.ErrDeadlineExceeded)).To(gomega.BeTrue(), "%v", err)
		g.Expect(time.Since(start)).To(gomega.Equal(headerTimeout))
		g.Expect(conn.Close()).To(gomega.Succeed())
		<-ended
	})
}

func TestConnectionsOverTheLimitAreClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		l := pipeListener{make(chan net.Conn)}
		guard := newGuardListener(l, 1)
		first, _ := accept(t, guard, l)
		accepted := make(chan error, 1)
		go func() {
			_, err := guard.Accept()
			accepted <- err
		}()
		server, refused := net.Pipe()
		l.conns <- server
		_, err := refused.Read(make([]byte, 1))
		g.Expect(err).To(gomega.HaveOccurred())
		g.Expect(first.Close()).To(gomega.Succeed())
		server, _ = net.Pipe()
		l.conns <- server
		g.Expect(<-accepted).To(gomega.Succeed(), "closing a connection must make room for another")
	})
}

func TestShutdownWaitsForTheResponseFlush(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		l := pipeListener{make(chan net.Conn)}
		guard := newGuardListener(l, 10)
		conn, peer := accept(t, guard, l)
		conn.beginRequest()
		finished := make(chan int, 1)
		go func() { finished <- guard.shutdown(t.Context()) }()
		synctest.Wait()
		g.Expect(finished).NotTo(gomega.Receive())
		conn.endRequest()
		synctest.Wait()
		g.Expect(finished).NotTo(gomega.Receive(), "the response may still be buffered")
		go conn.Read(make([]byte, 1)) //nolint:errcheck // no further request arrives
		synctest.Wait()
		g.Expect(finished).To(gomega.Receive(gomega.BeZero()))
		g.Expect(peer.Close()).To(gomega.Succeed())
	})
}
