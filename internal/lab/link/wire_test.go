package link_test

import (
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/lab/link"
)

func TestBrokenConnections(t *testing.T) {
	for name, c := range map[string]struct {
		breaks func(l *link.Links)
		resets bool
	}{
		"reset":  {func(l *link.Links) { l.Reset("a", "b") }, true},
		"silent": {func(l *link.Links) { l.Silence("b", "a") }, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			links, conn := start(t, link.TCP, echoTCP(t), 0)
			_, err := roundTrip(conn, patience)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			c.breaks(links)
			_, err = roundTrip(conn, 10*oneWay)
			var cause net.Error
			g.Expect(errors.As(err, &cause)).To(gomega.BeTrue(), "%v", err)
			g.Expect(cause.Timeout()).To(gomega.Equal(!c.resets), "only a reset tells of it: %v", err)
			again, err := net.Dial("tcp", conn.RemoteAddr().String())
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer func() { _ = again.Close() }()
			_, err = roundTrip(again, patience)
			g.Expect(err).NotTo(gomega.HaveOccurred(), "new connections work")
		})
	}
}

// TestResetDropsWhatACutHoldsBack has a sender give up during a cut: its bytes must
// not arrive after it, while those of one that closes do.
func TestResetDropsWhatACutHoldsBack(t *testing.T) {
	cases := []struct {
		name            string
		resets, dialing bool
		arrive          int
	}{
		{"reset", true, false, 0},
		{"closed", false, false, 1},
		{"reset, opened in the cut", true, true, 0},
		{"closed, opened in the cut", false, true, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			target, got := countTCP(t)
			links, conn := start(t, link.TCP, target, 0)
			_, err := conn.Write([]byte("x"))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Eventually(got.Load, patience).Should(gomega.BeEquivalentTo(1))
			g.Expect(links.Apply(link.Change{A: "a", B: "b", Cut: link.CutBoth})).To(gomega.Succeed())
			if c.dialing {
				conn, err = net.Dial("tcp", conn.RemoteAddr().String())
				g.Expect(err).NotTo(gomega.HaveOccurred())
			}
			_, err = conn.Write([]byte("y"))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			if c.resets {
				g.Expect(conn.(*net.TCPConn).SetLinger(0)).To(gomega.Succeed())
			}
			g.Expect(conn.Close()).To(gomega.Succeed())
			<-time.After(5 * oneWay)
			g.Expect(links.Apply(link.Change{A: "a", B: "b", Cut: link.CutNone})).To(gomega.Succeed())
			if c.arrive > 0 {
				g.Eventually(got.Load, patience).Should(gomega.BeEquivalentTo(1 + c.arrive))
			}
			g.Consistently(got.Load, 10*oneWay).Should(gomega.BeEquivalentTo(1 + c.arrive))
		})
	}
}

// countTCP counts the bytes that arrive.
func countTCP(t *testing.T) (string, *atomic.Int64) {
	var got atomic.Int64
	address := serveTCP(t, func(conn net.Conn) {
		for {
			n, err := conn.Read(make([]byte, 8))
			got.Add(int64(n))
			if err != nil {
				return
			}
		}
	})
	return address, &got
}
