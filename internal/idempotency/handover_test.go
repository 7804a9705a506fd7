package idempotency_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/control"
	"sycamoreledge.example/internal/work"
)

var identityA = control.Identity{Instance: "a", Incarnation: 1}

func TestHandoverPreservesOutcomesAndRunsUnusedKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		cl := newCluster()
		a, b, c := cl.start(g, "a", 1), cl.start(g, "b", 1), cl.start(g, "c", 1)
		usedKey, unusedKey := issueKey(t, a), issueKey(t, a)
		first := responseBody(g, a.Serve(t.Context(), orderRequest(usedKey, "used")))
		responseBody(g, a.Serve(t.Context(), orderRequest("own", "own")))
		g.Expect(a.HandOver(t.Context(), "b", time.Second)).To(gomega.Succeed())
		cl.update(func() { cl.successors[identityA] = "b" })
		_, _, err := a.Issue("orders")
		g.Expect(err).To(gomega.HaveOccurred())
		for _, instance := range []string{"a", "b", "c"} {
			s := cl.services[instance]
			g.Expect(responseBody(g, s.Serve(t.Context(), orderRequest(usedKey, "used")))).To(gomega.Equal(first), instance)
			responseBody(g, s.Serve(t.Context(), orderRequest(unusedKey, "unused")))
			responseBody(g, s.Serve(t.Context(), orderRequest("own", "own")))
		}
		for _, body := range []string{"used", "unused", "own"} {
			g.Expect(cl.runs(body)).To(gomega.Equal(1), body)
		}
		// The successor leaves too: c inherits the keys of both.
		g.Expect(b.HandOver(t.Context(), "c", time.Second)).To(gomega.Succeed())
		g.Expect(responseBody(g, c.Serve(t.Context(), orderRequest(usedKey, "used")))).To(gomega.Equal(first))
		g.Expect(responseBody(g, a.Serve(t.Context(), orderRequest(usedKey, "used")))).To(gomega.Equal(first))
		g.Expect(cl.runs("used")).To(gomega.Equal(1))
	})
}

// Guards against duplicate execution after a failed handover: wherever the
// handover fails, a key must not run at both instances, and no caller may be
// told that a request did not run although it did.
func TestFailedHandoverNeverRunsAKeyTwice(t *testing.T) {
	for name, fail := range map[string]func(*cluster){
		"successor unreachable": func(cl *cluster) { cl.unreachable["b"] = true },
		"reply lost":            func(cl *cluster) { cl.loseReplies = true },
		"successor stopped":     func(cl *cluster) { delete(cl.services, "b") },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				cl := newCluster()
				a, b := cl.start(g, "a", 1), cl.start(g, "b", 1)
				cl.start(g, "c", 1)
				usedKey, unusedKey := issueKey(t, a), issueKey(t, a)
				responseBody(g, a.Serve(t.Context(), orderRequest(usedKey, "used")))
				cl.update(func() { fail(cl) })
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				g.Expect(a.HandOver(ctx, "b", time.Second)).NotTo(gomega.Succeed())
				g.Expect(a.HandOver(t.Context(), "c", time.Second)).NotTo(gomega.Succeed(), "keys must never be offered to a second instance")
				cl.update(func() { cl.unreachable = map[string]bool{}; cl.loseReplies = false; cl.services["b"] = b })
				for range 2 {
					for _, instance := range []string{"a", "b", "c"} {
						for body, key := range map[string]string{"used": usedKey, "unused": unusedKey} {
							resp := cl.services[instance].Serve(t.Context(), orderRequest(key, body))
							g.Expect(resp.Outcome).NotTo(gomega.Equal(work.NotRun))
						}
					}
				}
				g.Expect(cl.runs("used")).To(gomega.Equal(1))
				g.Expect(cl.runs("unused")).To(gomega.BeNumerically("<=", 1))
			})
		})
	}
}

func TestHandoverWaitsForRunningAttempts(t *testing.T) {
	for name, c := range map[string]struct {
		settleTimeout time.Duration
		outcome       work.Outcome
	}{
		"attempt ends before the settle timeout": {time.Second, work.Run},
		"attempt outlasts the settle timeout":    {upstreamDelay / 2, work.Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				cl := newCluster()
				a, b := cl.start(g, "a", 1), cl.start(g, "b", 1)
				key, lateKey := issueKey(t, a), issueKey(t, a)
				first := make(chan *work.Response, 1)
				go func() { first <- a.Serve(t.Context(), orderRequest(key, "one")) }()
				synctest.Wait()
				handoverResult := make(chan error, 1)
				go func() { handoverResult <- a.HandOver(t.Context(), "b", c.settleTimeout) }()
				synctest.Wait()
				// This request waits for the handover and runs at the successor.
				responseBody(g, a.Serve(t.Context(), orderRequest(lateKey, "late")))
				g.Expect(<-handoverResult).To(gomega.Succeed())
				g.Expect((<-first).Outcome).To(gomega.Equal(work.Run))
				g.Expect(b.Serve(t.Context(), orderRequest(key, "one")).Outcome).To(gomega.Equal(c.outcome))
				g.Expect(cl.runs("one")).To(gomega.Equal(1))
				g.Expect(cl.runs("late")).To(gomega.Equal(1))
			})
		})
	}
}

func TestMalformedHandoverIsRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	b := newCluster().start(g, "b", 1)
	g.Expect(b.Import(identityA, []byte("what"))).NotTo(gomega.Succeed())
	g.Expect(b.Import(identityA, []byte{0xa0})).NotTo(gomega.Succeed())
}
