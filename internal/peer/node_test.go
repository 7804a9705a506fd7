package peer_test

import (
	"context"
	"runtime/pprof"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/peer"
	"sycamoreledge.example/internal/work"
)

func TestKilledPeerIsDetectedAndItsReplacementReached(t *testing.T) {
	g := gomega.NewWithT(t)
	f := makeQUICFixture(t)
	f.setTiming(shortIdleTiming)
	a, started, ended := startBlockingPair(f)
	done := make(chan struct{})
	go func() {
		defer close(done)
		<-started
		f.kill("b")
		f.start("b", 2, handler{serve: echo})
	}()
	resp := a.Do(context.Background(), "b", peer.RolePool, lookupRequest(nil, 0))
	g.Expect(resp).To(gomega.Equal(work.UnknownOutcome(work.ReasonPeerBroken)))
	<-done
	g.Expect(ended).To(gomega.Receive())
	g.Eventually(func() work.Outcome {
		return a.Do(context.Background(), "b", peer.RolePool, lookupRequest(strings.NewReader("x"), 1)).Outcome
	}, testTimeout).Should(gomega.Equal(work.Run))
}

// peerGoroutines returns the number of goroutines that run code of package peer or
// quic-go.
func peerGoroutines() int {
	var profile strings.Builder
	_ = pprof.Lookup("goroutine").WriteTo(&profile, 2)
	count := 0
	for stack := range strings.SplitSeq(profile.String(), "\n\n") {
		if strings.Contains(stack, "internal/peer.(*") || strings.Contains(stack, "quic-go.(*") {
			count++
		}
	}
	return count
}

func TestClosedNodesLeaveNoGoroutines(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Eventually(peerGoroutines, testTimeout).Should(gomega.BeZero(), "goroutines of earlier tests have not ended")
	f := makeQUICFixture(t)
	a, started, ended := startBlockingPair(f)
	f.nodes["a"].SendControl("b", heartbeat("a", 1))
	response := make(chan *work.Response, 1)
	go func() { response <- a.Do(context.Background(), "b", peer.RolePool, lookupRequest(nil, 0)) }()
	<-started
	g.Expect(peerGoroutines()).To(gomega.BeNumerically(">", 0))
	f.close()
	g.Expect(ended).To(gomega.Receive())
	g.Eventually(response, testTimeout).Should(gomega.Receive())
	g.Eventually(peerGoroutines, testTimeout).Should(gomega.BeZero())

	g.Expect(a.Do(context.Background(), "b", peer.RolePool, lookupRequest(nil, 0))).
		To(gomega.Equal(work.Refuse(work.ReasonPeerUnreachable, 0)))
	a.SendControl("b", heartbeat("a", 2))
}

func TestUnusedConnectionsAreClosedAndReestablished(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	f := makeQUICFixture(t)
	f.start("b", 1, handler{serve: echo})
	config := f.config("a", 1, handler{})
	config.Timing = peer.Timing{Dial: testTimeout, Idle: shortTimeout, Unused: 4 * shortTimeout}
	a := f.startWith(config)
	for range 2 {
		resp := a.Do(context.Background(), "b", peer.RolePool, lookupRequest(strings.NewReader("x"), 1))
		expectBody(g, resp, "x")
		g.Expect(a.Stats().Connections).To(gomega.Equal(1))
		g.Eventually(func() int { return a.Stats().Connections }, testTimeout).Should(gomega.BeZero())
	}
	g.Expect(a.Stats().Events[peer.Connected]).To(gomega.Equal(uint64(2)))
}
