package peer_test

import (
	"context"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/peer"
	"sycamoreledge.example/internal/work"
)

func TestKilledPeerIsNoticedAndItsReplacementReached(t *testing.T) {
	g := gomega.NewWithT(t)
	f := makeQUICFixture(t)
	a, started, ended := hold(f)
	done := make(chan struct{})
	go func() {
		defer close(done)
		<-started
		f.kill("b")
		f.start("b", 2, handler{serve: echo})
	}()
	resp := a.Do(context.Background(), "b", peer.RolePool, lookup(nil, 0))
	g.Expect(resp).To(gomega.Equal(work.Uncertain(work.ReasonPeerBroken)))
	<-done
	g.Expect(ended).To(gomega.Receive())
	g.Eventually(func() work.Outcome {
		return a.Do(context.Background(), "b", peer.RolePool, lookup(strings.NewReader("x"), 1)).Outcome
	}, testTimeout).Should(gomega.Equal(work.Run))
}
