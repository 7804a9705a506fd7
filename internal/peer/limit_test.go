package peer_test

import (
	"context"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/peer"
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
