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

func TestHandoverKeepsWhatRanAndRunsTheRest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		w := newWorld()
		a, b, c := w.join(g, "a", 1), w.join(g, "b", 1), w.join(g, "c", 1)
		used, unused := issue(t, a), issue(t, a)
		first := text(g, a.Serve(t.Context(), order(used, "used")))
		text(g, a.Serve(t.Context(), order("own", "own")))
		g.Expect(a.HandOver(t.Context(), "b", time.Second)).To(gomega.Succeed())
		w.set(func() { w.after[identityA] = "b" })
		_, _, err := a.Issue("orders")
		g.Expect(err).To(gomega.HaveOccurred())
		for _, entry := range []string{"a", "b", "c"} {
			s := w.services[entry]
			g.Expect(text(g, s.Serve(t.Context(), order(used, "used")))).To(gomega.Equal(first), entry)
			text(g, s.Serve(t.Context(), order(unused, "unused")))
			text(g, s.Serve(t.Context(), order("own", "own")))
		}
		for _, body := range []string{"used", "unused", "own"} {
			g.Expect(w.runs(body)).To(gomega.Equal(1), body)
		}
		// The successor leaves as well.
		g.Expect(b.HandOver(t.Context(), "c", time.Second)).To(gomega.Succeed())
		g.Expect(text(g, c.Serve(t.Context(), order(used, "used")))).To(gomega.Equal(first))
		g.Expect(text(g, a.Serve(t.Context(), order(used, "used")))).To(gomega.Equal(first))
		g.Expect(w.runs("used")).To(gomega.Equal(1))
	})
}

// The handover fails at each step; whatever happened to it, no key is run by
// both, and nobody is told that a key did not run which did.
func TestHandoverLostAtEachStep(t *testing.T) {
	for name, fail := range map[string]func(*world){
		"successor cut off": func(w *world) { w.cut["b"] = true },
		"answer lost":       func(w *world) { w.lost = true },
		"successor dead":    func(w *world) { delete(w.services, "b") },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				w := newWorld()
				a, b := w.join(g, "a", 1), w.join(g, "b", 1)
				w.join(g, "c", 1)
				used, unused := issue(t, a), issue(t, a)
				text(g, a.Serve(t.Context(), order(used, "used")))
				w.set(func() { fail(w) })
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				g.Expect(a.HandOver(ctx, "b", time.Second)).NotTo(gomega.Succeed())
				g.Expect(a.HandOver(t.Context(), "c", time.Second)).NotTo(gomega.Succeed(), "never a second one")
				w.set(func() { w.cut = map[string]bool{}; w.lost = false; w.services["b"] = b })
				for range 2 {
					for _, s := range []string{"a", "b", "c"} {
						for body, key := range map[string]string{"used": used, "unused": unused} {
							resp := w.services[s].Serve(t.Context(), order(key, body))
							g.Expect(resp.Outcome).NotTo(gomega.Equal(work.NotRun))
						}
					}
				}
				g.Expect(w.runs("used")).To(gomega.Equal(1))
				g.Expect(w.runs("unused")).To(gomega.BeNumerically("<=", 1))
			})
		})
	}
}

func TestHandoverWaitsForAttemptsUnderWay(t *testing.T) {
	for name, c := range map[string]struct {
		settle  time.Duration
		outcome work.Outcome
	}{
		"long enough": {time.Second, work.Run},
		"too short":   {runTime / 2, work.Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				w := newWorld()
				a, b := w.join(g, "a", 1), w.join(g, "b", 1)
				key, late := issue(t, a), issue(t, a)
				first := make(chan *work.Response, 1)
				go func() { first <- a.Serve(t.Context(), order(key, "one")) }()
				synctest.Wait()
				given := make(chan error, 1)
				go func() { given <- a.HandOver(t.Context(), "b", c.settle) }()
				synctest.Wait()
				// It waits for the handover and runs at the successor.
				text(g, a.Serve(t.Context(), order(late, "late")))
				g.Expect(<-given).To(gomega.Succeed())
				g.Expect((<-first).Outcome).To(gomega.Equal(work.Run))
				g.Expect(b.Serve(t.Context(), order(key, "one")).Outcome).To(gomega.Equal(c.outcome))
				g.Expect(w.runs("one")).To(gomega.Equal(1))
				g.Expect(w.runs("late")).To(gomega.Equal(1))
			})
		})
	}
}

func TestForeignHandoverIsRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	b := newWorld().join(g, "b", 1)
	g.Expect(b.Import(identityA, []byte("what"))).NotTo(gomega.Succeed())
	g.Expect(b.Import(identityA, []byte{0xa0})).NotTo(gomega.Succeed())
}
