package peer_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/quic-go/quic-go"

	"sycamoreledge.example/internal/peer"
	"sycamoreledge.example/internal/pki"
	"sycamoreledge.example/internal/work"
)

func TestStreamsOverTheLimitAreNotRun(t *testing.T) {
	g := gomega.NewWithT(t)
	f := makeQUICFixture(t)
	release := make(chan struct{})
	started := make(chan struct{}, 10)
	config := f.config("b", 1, handler{serve: func(context.Context, peer.Role, *work.Request) *work.Response {
		started <- struct{}{}
		<-release
		return text("x")
	}})
	config.Limits.Streams = 2
	f.startWith(config)
	a := f.start("a", 1, handler{})
	answers := make(chan *work.Response, 2)
	for range 2 {
		go func() { answers <- a.Do(context.Background(), "b", peer.RolePool, lookup(nil, 0)) }()
	}
	<-started
	<-started
	over := a.Do(context.Background(), "b", peer.RolePool, lookup(nil, 0))
	g.Expect(over).To(gomega.Equal(work.Refuse(work.ReasonPeerUnreachable, 0)))
	close(release)
	for range 2 {
		expectBody(g, <-answers, "x")
	}
}

func TestOversizedInputOfThisSideIsRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	f := makeQUICFixture(t)
	huge := strings.Repeat("x", headLimit)
	f.start("b", 1, handler{serve: func(context.Context, peer.Role, *work.Request) *work.Response {
		resp := text("x")
		resp.Explain = huge
		return resp
	}})
	config := f.config("a", 1, handler{})
	config.Limits.KeysBytes = 10
	a := f.startWith(config)

	g.Expect(a.GiveKeys(context.Background(), "b", make([]byte, 11))).
		To(gomega.MatchError(gomega.ContainSubstring("oversized")))

	req := lookup(nil, 0)
	req.Path = huge
	g.Expect(a.Do(context.Background(), "b", peer.RolePool, req)).
		To(gomega.Equal(work.Refuse(work.ReasonBadRequest, 0)))

	g.Expect(a.Do(context.Background(), "b", peer.RolePool, lookup(nil, 0))).
		To(gomega.Equal(work.Uncertain(work.ReasonPeerBroken)))
}

// TestRefusingPeerIsDialedAfterGrowingPauses sends requests to a peer that
// refuses this instance after each handshake. The handshakes are as far apart
// as the pauses, however slow the machine is: the last pause is at least half a
// second long.
func TestRefusingPeerIsDialedAfterGrowingPauses(t *testing.T) {
	// The pauses between the handshakes are at least 25, 50, 100, 200, 400 and
	// 500 ms long.
	const handshakes, pauses = 7, 1275 * time.Millisecond
	g := gomega.NewWithT(t)
	f := makeQUICFixture(t)
	config := f.config("b", 1, handler{serve: echo})
	config.Peers = map[string]string{"c": "127.0.0.1:1"}
	f.startWith(config)
	a := f.startWith(f.config("a", 1, handler{}))
	request := func() {
		resp := a.Do(context.Background(), "b", peer.RolePool, lookup(nil, 0))
		g.Expect(resp).To(gomega.Equal(work.Refuse(work.ReasonPeerUnreachable, 0)))
	}
	began := time.Now()
	g.Eventually(func() uint64 {
		request()
		return a.Stats().Events[peer.Connected]
	}, testTimeout).Should(gomega.BeNumerically(">=", handshakes))
	g.Expect(time.Since(began)).To(gomega.BeNumerically(">=", pauses))
}

// TestPeerThatHangsUpHoldsNobodyUp runs requests against a peer that closes
// each connection as soon as it stands.
func TestPeerThatHangsUpHoldsNobodyUp(t *testing.T) {
	const workers, requests = 8, 50
	g := gomega.NewWithT(t)
	f := makeQUICFixture(t)
	transport := &quic.Transport{Conn: f.gates["b"]}
	listener, err := transport.Listen(
		f.source("b", f.authority).PeerServer(func(string) bool { return true }, pki.Protocol), &quic.Config{})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = transport.Close() })
	go func() {
		for {
			conn, err := listener.Accept(context.Background())
			if err != nil {
				return
			}
			_ = conn.CloseWithError(3, "not a declared instance")
		}
	}()
	a := f.start("a", 1, handler{})
	answers := make(chan *work.Response)
	for range workers {
		go func() {
			for range requests {
				answers <- a.Do(context.Background(), "b", peer.RolePool, lookup(nil, 0))
			}
		}()
	}
	for range workers * requests {
		g.Expect(<-answers).To(gomega.Equal(work.Refuse(work.ReasonPeerUnreachable, 0)))
	}
}
