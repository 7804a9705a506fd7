package peer_test

import (
	"bytes"
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/control"
	"sycamoreledge.example/internal/peer"
	"sycamoreledge.example/internal/work"
)

func testUnknownPeer(_ *testing.T, g gomega.Gomega, n network) {
	a := startPair(n, echo)
	unreachable := work.Refuse(work.ReasonPeerUnreachable, 0)
	g.Expect(a.Do(context.Background(), "x", peer.RolePool, lookupRequest(nil, 0))).To(gomega.Equal(unreachable))
	g.Expect(a.Do(context.Background(), "a", peer.RolePool, lookupRequest(nil, 0))).To(gomega.Equal(unreachable))
	g.Expect(a.HandOverKeys(context.Background(), "x", nil)).NotTo(gomega.Succeed())
	a.SendControl("x", heartbeat("a", 1))
}

func testCutBeforeRequest(_ *testing.T, g gomega.Gomega, n network) {
	n.setTiming(peer.Timing{Dial: shortTimeout, Idle: testTimeout})
	a := startPair(n, echo)
	cutBoth(n, "a", "b")
	resp := a.Do(context.Background(), "b", peer.RolePool, lookupRequest(strings.NewReader("x"), 1))
	g.Expect(resp).To(gomega.Equal(work.Refuse(work.ReasonPeerUnreachable, 0)))
}

func testCutWhileRunning(_ *testing.T, g gomega.Gomega, n network) {
	n.setTiming(shortIdleTiming)
	a, started, ended := startBlockingPair(n)
	go func() {
		<-started
		cutBoth(n, "a", "b")
	}()
	resp := a.Do(context.Background(), "b", peer.RolePool, lookupRequest(nil, 0))
	g.Expect(resp).To(gomega.Equal(work.UnknownOutcome(work.ReasonPeerBroken)))
	g.Eventually(ended, testTimeout).Should(gomega.Receive(gomega.MatchError(context.Canceled)))
}

func testResponseLost(_ *testing.T, g gomega.Gomega, n network) {
	n.setTiming(shortIdleTiming)
	ran := make(chan struct{}, 1)
	a := startPair(n, func(context.Context, peer.Role, *work.Request) *work.Response {
		n.cutOneWay("b", "a")
		ran <- struct{}{}
		return textResponse("lost")
	})
	resp := a.Do(context.Background(), "b", peer.RolePool, lookupRequest(nil, 0))
	g.Expect(resp).To(gomega.Equal(work.UnknownOutcome(work.ReasonPeerBroken)))
	g.Expect(ran).To(gomega.Receive())
}

func testCutResponseBody(_ *testing.T, g gomega.Gomega, n network) {
	n.setTiming(shortIdleTiming)
	reader, writer := io.Pipe()
	a := startPair(n, func(context.Context, peer.Role, *work.Request) *work.Response {
		return &work.Response{Outcome: work.Run, Status: 200, Length: -1, Body: reader}
	})
	go func() { _, _ = writer.Write([]byte("begin")) }()
	resp := a.Do(context.Background(), "b", peer.RolePool, lookupRequest(nil, 0))
	g.Expect(resp.Outcome).To(gomega.Equal(work.Run), "reason %s", resp.Reason)
	_, err := io.ReadFull(resp.Body, make([]byte, 5))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	cutBoth(n, "a", "b")
	expectIncomplete(g, resp)
	// The body that the handler returned is closed, so that writes to it fail.
	g.Eventually(func() error {
		_, err := writer.Write([]byte("more"))
		return err
	}, testTimeout).Should(gomega.MatchError(io.ErrClosedPipe))
}

func testCutRequestBody(_ *testing.T, g gomega.Gomega, n network) {
	n.setTiming(shortIdleTiming)
	bodyStarted, readErr := make(chan struct{}, 1), make(chan error, 1)
	a := startPair(n, func(_ context.Context, _ peer.Role, req *work.Request) *work.Response {
		_, _ = io.ReadFull(req.Body, make([]byte, 5))
		bodyStarted <- struct{}{}
		_, err := io.ReadAll(req.Body)
		readErr <- err
		return work.Refuse(work.ReasonBadRequest, 0)
	})
	reader, writer := io.Pipe()
	go func() {
		_, _ = writer.Write([]byte("begin"))
		<-bodyStarted
		cutBoth(n, "a", "b")
	}()
	resp := a.Do(context.Background(), "b", peer.RolePool, lookupRequest(reader, -1))
	g.Expect(resp).To(gomega.Equal(work.UnknownOutcome(work.ReasonPeerBroken)))
	var err error
	g.Eventually(readErr, testTimeout).Should(gomega.Receive(&err))
	g.Expect(err).To(gomega.HaveOccurred())
	_ = writer.Close()
}

func testCutHealed(_ *testing.T, g gomega.Gomega, n network) {
	n.setTiming(peer.Timing{Dial: shortTimeout, Idle: testTimeout})
	a := startPair(n, echo)
	cutBoth(n, "a", "b")
	resp := a.Do(context.Background(), "b", peer.RolePool, lookupRequest(strings.NewReader("x"), 1))
	g.Expect(resp.Outcome).To(gomega.Equal(work.NotRun))
	n.heal("a", "b")
	g.Eventually(func() work.Outcome {
		return a.Do(context.Background(), "b", peer.RolePool, lookupRequest(strings.NewReader("x"), 1)).Outcome
	}, testTimeout).Should(gomega.Equal(work.Run))
}

func testPeerRestart(_ *testing.T, g gomega.Gomega, n network) {
	n.setTiming(shortIdleTiming)
	a, started, ended := startBlockingPair(n)
	restarted := make(chan struct{})
	go func() {
		defer close(restarted)
		<-started
		n.start("b", 2, handler{serve: echo})
	}()
	resp := a.Do(context.Background(), "b", peer.RolePool, lookupRequest(nil, 0))
	g.Expect(resp).To(gomega.Equal(work.UnknownOutcome(work.ReasonPeerBroken)))
	<-restarted
	g.Eventually(ended, testTimeout).Should(gomega.Receive())
	g.Eventually(func() work.Outcome {
		return a.Do(context.Background(), "b", peer.RolePool, lookupRequest(strings.NewReader("x"), 1)).Outcome
	}, testTimeout).Should(gomega.Equal(work.Run))
}

func testKeyHandover(_ *testing.T, g gomega.Gomega, n network) {
	from, received := make(chan control.Identity, 1), make(chan []byte, 1)
	n.start("b", 1, handler{keys: func(_ context.Context, id control.Identity, value []byte) error {
		from <- id
		received <- value
		return nil
	}})
	a := n.start("a", 7, handler{})
	for _, size := range []int{0, 1, 2 << 20} {
		value := make([]byte, size)
		_, _ = rand.Read(value)
		g.Expect(a.HandOverKeys(context.Background(), "b", value)).To(gomega.Succeed())
		g.Expect(<-from).To(gomega.Equal(control.Identity{Instance: "a", Incarnation: 7}))
		g.Expect(bytes.Equal(<-received, value)).To(gomega.BeTrue())
	}
}

func testKeyHandoverRefused(_ *testing.T, g gomega.Gomega, n network) {
	n.setTiming(shortIdleTiming)
	n.start("b", 1, handler{keys: func(context.Context, control.Identity, []byte) error { return errBodyRead }})
	a := n.start("a", 1, handler{})
	err := a.HandOverKeys(context.Background(), "b", []byte("x"))
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(errBodyRead.Error())))
	cutBoth(n, "a", "b")
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	g.Expect(a.HandOverKeys(ctx, "b", []byte("x"))).NotTo(gomega.Succeed())
	g.Expect(ctx.Err()).NotTo(gomega.HaveOccurred())
}

func heartbeat(from string, version int64) control.Message {
	return control.Message{From: from, Incarnation: 1, Heartbeat: &control.Heartbeat{ConfigVersion: version}}
}

func testControlSizes(_ *testing.T, g gomega.Gomega, n network) {
	handled := make(chan control.Message, 10)
	n.start("b", 1, handler{control: func(msg control.Message) { handled <- msg }})
	a := n.start("a", 1, handler{})
	for _, rows := range []int{1, 10, 100, 5000} {
		sent := control.Message{From: "a", Incarnation: 3, Digest: &control.Digest{}}
		for i := range rows {
			sent.Digest.Rows = append(sent.Digest.Rows, control.DigestRow{
				Instance: fmt.Sprintf("instance-%d", i), Sequence: uint64(i),
				Pools: []control.PoolStatus{{Pool: work.PoolID{Service: "s", Zone: "z"}, Slots: 3}},
			})
		}
		a.SendControl("b", sent)
		var received control.Message
		g.Eventually(handled, testTimeout).Should(gomega.Receive(&received))
		g.Expect(received).To(gomega.Equal(sent))
	}
}

func testWrongSender(_ *testing.T, g gomega.Gomega, n network) {
	handled := make(chan control.Message, 10)
	n.start("b", 1, handler{control: func(msg control.Message) { handled <- msg }})
	a := n.start("a", 1, handler{})
	a.SendControl("b", heartbeat("x", 1))
	a.SendControl("b", heartbeat("a", 2))
	var received control.Message
	g.Eventually(handled, testTimeout).Should(gomega.Receive(&received))
	g.Expect(received).To(gomega.Equal(heartbeat("a", 2)))
}
