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
		return textResponse("x")
	}})
	config.Limits.Streams = 2
	f.startWith(config)
	a := f.start("a", 1, handler{})
	responses := make(chan *work.Response, 2)
	for range 2 {
		go func() { responses <- a.Do(context.Background(), "b", peer.RolePool, lookupRequest(nil, 0)) }()
	}
	<-started
	<-started
	overLimit := a.Do(context.Background(), "b", peer.RolePool, lookupRequest(nil, 0))
	g.Expect(overLimit).To(gomega.Equal(work.Refuse(work.ReasonPeerUnreachable, 0)))
	close(release)
	for range 2 {
		expectBody(g, <-responses, "x")
	}
}

func TestOversizedLocalInputIsRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	f := makeQUICFixture(t)
	huge := strings.Repeat("x", headLimit)
	f.start("b", 1, handler{serve: func(context.Context, peer.Role, *work.Request) *work.Response {
		resp := textResponse("x")
		resp.Explain = huge
		return resp
	}})
	config := f.config("a", 1, handler{})
	config.Limits.KeysBytes = 10
	a := f.startWith(config)

	g.Expect(a.HandOverKeys(context.Background(), "b", make([]byte, 11))).
		To(gomega.MatchError(gomega.ContainSubstring("oversized")))

	req := lookupRequest(nil, 0)
	req.Path = huge
	g.Expect(a.Do(context.Background(), "b", peer.RolePool, req)).
		To(gomega.Equal(work.Refuse(work.ReasonBadRequest, 0)))

	g.Expect(a.Do(context.Background(), "b", peer.RolePool, lookupRequest(nil, 0))).
		To(gomega.Equal(work.UnknownOutcome(work.ReasonPeerBroken)))
}

// TestRefusingPeerIsRedialedWithBackoff sends requests to a peer that closes each
// connection after the handshake because it does not declare this instance. Such a
// handshake must count as a failed dial; else the peer is dialed again without
// backoff. A slow machine only lengthens the time between the handshakes. The last
// backoff is at least half a second long.
func TestRefusingPeerIsRedialedWithBackoff(t *testing.T) {
	// The backoffs between the handshakes are at least 25, 50, 100, 200, 400 and
	// 500 ms long, 1275 ms in total.
	const handshakes, minElapsed = 7, 1275 * time.Millisecond
	g := gomega.NewWithT(t)
	f := makeQUICFixture(t)
	config := f.config("b", 1, handler{serve: echo})
	config.Peers = map[string]string{"c": "127.0.0.1:1"}
	f.startWith(config)
	a := f.startWith(f.config("a", 1, handler{}))
	request := func() {
		resp := a.Do(context.Background(), "b", peer.RolePool, lookupRequest(nil, 0))
		g.Expect(resp).To(gomega.Equal(work.Refuse(work.ReasonPeerUnreachable, 0)))
	}
	start := time.Now()
	g.Eventually(func() uint64 {
		request()
		return a.Stats().Events[peer.Connected]
	}, testTimeout).Should(gomega.BeNumerically(">=", handshakes))
	g.Expect(time.Since(start)).To(gomega.BeNumerically(">=", minElapsed))
}

// TestPeerThatClosesConnectionsDoesNotBlockRequests sends requests to a peer that
// closes each connection right after the handshake. Each request must be refused
// rather than block.
func TestPeerThatClosesConnectionsDoesNotBlockRequests(t *testing.T) {
	const workers, requests = 8, 50
	g := gomega.NewWithT(t)
	f := makeQUICFixture(t)
	transport := &quic.Transport{Conn: f.sockets["b"]}
	listener, err := transport.Listen(
		f.keySource("b", f.authority).PeerServer(func(string) bool { return true }, pki.Protocol), &quic.Config{})
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
	responses := make(chan *work.Response)
	for range workers {
		go func() {
			for range requests {
				responses <- a.Do(context.Background(), "b", peer.RolePool, lookupRequest(nil, 0))
			}
		}()
	}
	for range workers * requests {
		g.Expect(<-responses).To(gomega.Equal(work.Refuse(work.ReasonPeerUnreachable, 0)))
	}
}
