package idempotency_test

import (
	"context"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/control"
	"sycamoreledge.example/internal/idempotency"
	"sycamoreledge.example/internal/replay"
	"sycamoreledge.example/internal/work"
)

// keys are the two ways to a home: an issued key of a, and a caller's own key.
func keys(t *testing.T, a *idempotency.Service) map[string]string {
	return map[string]string{"issued": issue(t, a), "caller's own": "mine"}
}

func TestRepeatsAtOnceThroughTwoEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		w := newWorld()
		a, b := w.join(g, "a", 1), w.join(g, "b", 1)
		for name, key := range keys(t, a) {
			answers := make(chan string, 20)
			for i := range 20 {
				entry := []*idempotency.Service{a, b}[i%2]
				go func() { answers <- text(g, entry.Serve(t.Context(), order(key, name))) }()
			}
			first := <-answers
			for range 19 {
				g.Expect(<-answers).To(gomega.Equal(first))
			}
			g.Expect(w.runs(name)).To(gomega.Equal(1), name)
		}
	})
}

func TestOutcomesUnderOneKey(t *testing.T) {
	refuse := func(*work.Request) *work.Response { return work.Refuse(work.ReasonQueueFull, time.Second) }
	unknown := func(*work.Request) *work.Response { return work.Uncertain(work.ReasonUpstreamTimeout) }
	cases := []struct {
		name    string
		first   func(*work.Request) *work.Response
		second  string // body
		outcome work.Outcome
		reason  work.Reason
		runs    int
	}{
		{"run, same again", nil, "one", work.Run, "", 1},
		{"run, other body", nil, "two", work.Unknown, work.ReasonKeyConflict, 1},
		{"not run, same again", refuse, "one", work.Run, "", 1},
		{"not run, other body", refuse, "two", work.NotRun, work.ReasonKeyConflict, 0},
		{"unknown, same again", unknown, "one", work.Unknown, work.ReasonUpstreamTimeout, 0},
		{"unknown, other body", unknown, "two", work.Unknown, work.ReasonKeyConflict, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				w := newWorld()
				a, b := w.join(g, "a", 1), w.join(g, "b", 1)
				for name, key := range keys(t, a) {
					w.set(func() { w.answer = c.first; clear(w.ran) })
					a.Serve(t.Context(), order(key, "one"))
					w.set(func() { w.answer = nil })
					resp := b.Serve(t.Context(), order(key, c.second))
					g.Expect(resp.Outcome).To(gomega.Equal(c.outcome), name)
					g.Expect(resp.Reason).To(gomega.Equal(c.reason), name)
					g.Expect(w.runs("one") + w.runs("two")).To(gomega.Equal(c.runs))
				}
			})
		})
	}
}

func TestHomeOutOfReachIsUnknown(t *testing.T) {
	for name, fail := range map[string]func(*world){
		"cut":         func(w *world) { w.cut["a"] = true },
		"answer lost": func(w *world) { w.lost = true },
		"dead":        func(w *world) { delete(w.services, "a") },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				w := newWorld()
				a, b := w.join(g, "a", 1), w.join(g, "b", 1)
				for _, key := range keys(t, a) {
					text(g, a.Serve(t.Context(), order(key, key)))
					w.set(func() { fail(w) })
					resp := b.Serve(t.Context(), order(key, key))
					g.Expect(resp.Outcome).To(gomega.Equal(work.Unknown))
					g.Expect(resp.Reason).To(gomega.Equal(work.ReasonHomeUnreachable))
					w.set(func() { w.cut = map[string]bool{}; w.lost = false; w.services["a"] = a })
				}
			})
		})
	}
}

func TestReplacedHomeRunsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		w := newWorld()
		a, b := w.join(g, "a", 1), w.join(g, "b", 1)
		for name, key := range keys(t, a) {
			text(g, a.Serve(t.Context(), order(key, name)))
			next := w.join(g, "a", 2)
			for _, entry := range []*idempotency.Service{next, b} {
				resp := entry.Serve(t.Context(), order(key, name))
				g.Expect(resp.Outcome).To(gomega.Equal(work.Unknown))
				g.Expect(resp.Reason).To(gomega.Equal(work.ReasonHomeReplaced))
			}
			g.Expect(w.runs(name)).To(gomega.Equal(1))
			w.set(func() { w.services["a"] = a })
		}
	})
}

func TestPlatformOutOfReach(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		w := newWorld()
		a := w.join(g, "a", 1)
		text(g, a.Serve(t.Context(), order("known", "one")))
		w.set(func() { w.down = true })
		resp := a.Serve(t.Context(), order("new", "two"))
		g.Expect(resp.Outcome).To(gomega.Equal(work.Unknown))
		g.Expect(resp.Reason).To(gomega.Equal(work.ReasonPlatformUnreachable))
		text(g, a.Serve(t.Context(), order("known", "one")))
		text(g, a.Serve(t.Context(), order(issue(t, a), "three")))
		w.set(func() { w.down = false })
		text(g, a.Serve(t.Context(), order("new", "two")))
		g.Expect(w.runs("two")).To(gomega.Equal(1))
	})
}

func TestExpiry(t *testing.T) {
	cases := []struct {
		name    string
		used    bool
		after   time.Duration
		outcome work.Outcome
	}{
		{"unused, just expired", false, 61 * time.Second, work.NotRun},
		{"unused, long expired", false, 3 * time.Minute, work.Unknown},
		{"used, just expired", true, 61 * time.Second, work.Run},
		{"used, long expired", true, 3 * time.Minute, work.Unknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				w := newWorld()
				a := w.join(g, "a", 1)
				key := issue(t, a)
				if c.used {
					text(g, a.Serve(t.Context(), order(key, "one")))
				}
				<-time.After(c.after)
				resp := a.Serve(t.Context(), order(key, "one"))
				g.Expect(resp.Outcome).To(gomega.Equal(c.outcome))
				if c.outcome != work.Run {
					g.Expect(resp.Reason).To(gomega.Equal(work.ReasonKeyExpired))
				}
				g.Expect(w.runs("one")).To(gomega.BeNumerically("<=", 1))
				if !c.used {
					g.Expect(w.runs("one")).To(gomega.BeZero())
				}
			})
		})
	}
}

func TestFullTableRefusesNewKeysAndKeepsTheOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		w := newWorld()
		w.limit = 3
		a := w.join(g, "a", 1)
		var held []string
		for range 3 {
			held = append(held, issue(t, a))
			text(g, a.Serve(t.Context(), order(held[len(held)-1], "x")))
		}
		resp := a.Serve(t.Context(), order(issue(t, a), "y"))
		g.Expect(resp.Outcome).To(gomega.Equal(work.NotRun))
		g.Expect(resp.Reason).To(gomega.Equal(work.ReasonTableFull))
		g.Expect(a.Serve(t.Context(), order("own", "y")).Outcome).To(gomega.Equal(work.Unknown))
		for _, key := range held {
			text(g, a.Serve(t.Context(), order(key, "x")))
		}
		g.Expect(w.runs("x")).To(gomega.Equal(3))
		<-time.After(3 * time.Minute)
		text(g, a.Serve(t.Context(), order(issue(t, a), "y")))
		n, _ := a.Size()
		g.Expect(n).To(gomega.Equal(1))
	})
}

func TestCallerGoneWhileItsKeyRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		w := newWorld()
		a, b := w.join(g, "a", 1), w.join(g, "b", 1)
		key := issue(t, a)
		ctx, cancel := context.WithTimeout(t.Context(), runTime/2)
		defer cancel()
		b.Serve(ctx, order(key, "one"))
		text(g, b.Serve(t.Context(), order(key, "one")))
		g.Expect(w.runs("one")).To(gomega.Equal(1))
	})
}

func TestLargeBodies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		w := newWorld()
		a, b := w.join(g, "a", 1), w.join(g, "b", 1)
		head := strings.Repeat("x", replay.Limit+1000)
		key := issue(t, a)
		first := text(g, b.Serve(t.Context(), order(key, head+"1")))
		g.Expect(text(g, b.Serve(t.Context(), order(key, head+"1")))).To(gomega.Equal(first))
		resp := b.Serve(t.Context(), order(key, head+"2"))
		g.Expect(resp.Outcome).To(gomega.Equal(work.Unknown))
		g.Expect(resp.Reason).To(gomega.Equal(work.ReasonKeyConflict))
		g.Expect(w.runs(head + "1")).To(gomega.Equal(1))
		g.Expect(w.runs(head + "2")).To(gomega.BeZero())
	})
}

func TestLargeAnswerIsNotKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		w := newWorld()
		a := w.join(g, "a", 1)
		large := strings.Repeat("y", 100<<10)
		w.answer = func(*work.Request) *work.Response {
			return &work.Response{Outcome: work.Run, Status: 200, Body: io.NopCloser(strings.NewReader(large))}
		}
		key := issue(t, a)
		g.Expect(text(g, a.Serve(t.Context(), order(key, "one")))).To(gomega.Equal(large))
		resp := a.Serve(t.Context(), order(key, "one"))
		g.Expect(resp.Status).To(gomega.Equal(200))
		g.Expect(resp.Header.Get(idempotency.HeaderOmitted)).To(gomega.Equal("true"))
		g.Expect(text(g, resp)).To(gomega.BeEmpty())
	})
}

func TestKeysThatAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		w := newWorld()
		a := w.join(g, "a", 1)
		stranger := issuer(g, control.Identity{Instance: "a", Incarnation: 1}, secret("gone", 9))
		rotated, _, _ := stranger.Issue("orders")
		other, _, _ := a.Issue("payments")
		for name, c := range map[string]struct {
			key     string
			outcome work.Outcome
		}{
			"forged":              {"sl1-AAAA", work.NotRun},
			"too long":            {strings.Repeat("k", 600), work.NotRun},
			"of a rotated secret": {rotated, work.Unknown},
			"of another service":  {other, work.Unknown},
		} {
			resp := a.Serve(t.Context(), order(c.key, "one"))
			g.Expect(resp.Outcome).To(gomega.Equal(c.outcome), name)
			g.Expect(resp.Reason).To(gomega.Equal(work.ReasonKeyInvalid), name)
		}
		g.Expect(w.runs("one")).To(gomega.BeZero())
	})
}

// A repeat that waited for an attempt which did not run is run itself, with its
// whole body.
func TestRepeatRunsWhenTheFirstDidNot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		w := newWorld()
		a := w.join(g, "a", 1)
		body := strings.Repeat("x", replay.Limit+10)
		for name, key := range keys(t, a) {
			refused := false
			w.set(func() {
				clear(w.ran)
				w.answer = func(*work.Request) *work.Response {
					<-time.After(runTime)
					if refused {
						return nil
					}
					refused = true
					return work.Refuse(work.ReasonQueueFull, time.Second)
				}
			})
			first := make(chan *work.Response, 1)
			go func() { first <- a.Serve(t.Context(), order(key, body)) }()
			synctest.Wait()
			text(g, a.Serve(t.Context(), order(key, body)))
			g.Expect((<-first).Outcome).To(gomega.Equal(work.NotRun), name)
			g.Expect(w.runs(body)).To(gomega.Equal(1), name)
		}
	})
}
