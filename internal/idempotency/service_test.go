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

// keysOfBothKinds returns a key issued by a and a caller-chosen key.
func keysOfBothKinds(t *testing.T, a *idempotency.Service) map[string]string {
	return map[string]string{"issued": issueKey(t, a), "caller-chosen key": "mine"}
}

func TestConcurrentRepeatsThroughTwoInstancesRunOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		cl := newCluster()
		a, b := cl.start(g, "a", 1), cl.start(g, "b", 1)
		for name, key := range keysOfBothKinds(t, a) {
			answers := make(chan string, 20)
			for i := range 20 {
				instance := []*idempotency.Service{a, b}[i%2]
				go func() { answers <- responseBody(g, instance.Serve(t.Context(), orderRequest(key, name))) }()
			}
			first := <-answers
			for range 19 {
				g.Expect(<-answers).To(gomega.Equal(first))
			}
			g.Expect(cl.runs(name)).To(gomega.Equal(1), name)
		}
	})
}

func TestRepeatOutcomes(t *testing.T) {
	refuse := func(*work.Request) *work.Response { return work.Refuse(work.ReasonQueueFull, time.Second) }
	unknown := func(*work.Request) *work.Response { return work.UnknownOutcome(work.ReasonUpstreamTimeout) }
	cases := []struct {
		name       string
		first      func(*work.Request) *work.Response
		secondBody string
		outcome    work.Outcome
		reason     work.Reason
		runs       int
	}{
		{"run, same body", nil, "one", work.Run, "", 1},
		{"run, other body", nil, "two", work.Unknown, work.ReasonKeyConflict, 1},
		{"not run, same body", refuse, "one", work.Run, "", 1},
		{"not run, other body", refuse, "two", work.NotRun, work.ReasonKeyConflict, 0},
		{"unknown, same body", unknown, "one", work.Unknown, work.ReasonUpstreamTimeout, 0},
		{"unknown, other body", unknown, "two", work.Unknown, work.ReasonKeyConflict, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				cl := newCluster()
				a, b := cl.start(g, "a", 1), cl.start(g, "b", 1)
				for name, key := range keysOfBothKinds(t, a) {
					cl.update(func() { cl.upstreamResponse = c.first; clear(cl.runsByBody) })
					a.Serve(t.Context(), orderRequest(key, "one"))
					cl.update(func() { cl.upstreamResponse = nil })
					resp := b.Serve(t.Context(), orderRequest(key, c.secondBody))
					g.Expect(resp.Outcome).To(gomega.Equal(c.outcome), name)
					g.Expect(resp.Reason).To(gomega.Equal(c.reason), name)
					g.Expect(cl.runs("one") + cl.runs("two")).To(gomega.Equal(c.runs))
				}
			})
		})
	}
}

func TestUnreachableHomeGivesUnknownOutcome(t *testing.T) {
	for name, fail := range map[string]func(*cluster){
		"cut":        func(cl *cluster) { cl.unreachable["a"] = true },
		"reply lost": func(cl *cluster) { cl.loseReplies = true },
		"dead":       func(cl *cluster) { delete(cl.services, "a") },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				cl := newCluster()
				a, b := cl.start(g, "a", 1), cl.start(g, "b", 1)
				for _, key := range keysOfBothKinds(t, a) {
					responseBody(g, a.Serve(t.Context(), orderRequest(key, key)))
					cl.update(func() { fail(cl) })
					resp := b.Serve(t.Context(), orderRequest(key, key))
					g.Expect(resp.Outcome).To(gomega.Equal(work.Unknown))
					g.Expect(resp.Reason).To(gomega.Equal(work.ReasonHomeUnreachable))
					cl.update(func() { cl.unreachable = map[string]bool{}; cl.loseReplies = false; cl.services["a"] = a })
				}
			})
		})
	}
}

func TestRestartedHomeRunsNoEarlierKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		cl := newCluster()
		a, b := cl.start(g, "a", 1), cl.start(g, "b", 1)
		for name, key := range keysOfBothKinds(t, a) {
			responseBody(g, a.Serve(t.Context(), orderRequest(key, name)))
			restarted := cl.start(g, "a", 2)
			for _, instance := range []*idempotency.Service{restarted, b} {
				resp := instance.Serve(t.Context(), orderRequest(key, name))
				g.Expect(resp.Outcome).To(gomega.Equal(work.Unknown))
				g.Expect(resp.Reason).To(gomega.Equal(work.ReasonHomeReplaced))
			}
			g.Expect(cl.runs(name)).To(gomega.Equal(1))
			cl.update(func() { cl.services["a"] = a })
		}
	})
}

func TestPlatformOutageAffectsOnlyNewCallerKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		cl := newCluster()
		a := cl.start(g, "a", 1)
		responseBody(g, a.Serve(t.Context(), orderRequest("known", "one")))
		cl.update(func() { cl.platformDown = true })
		resp := a.Serve(t.Context(), orderRequest("new", "two"))
		g.Expect(resp.Outcome).To(gomega.Equal(work.Unknown))
		g.Expect(resp.Reason).To(gomega.Equal(work.ReasonPlatformUnreachable))
		responseBody(g, a.Serve(t.Context(), orderRequest("known", "one")))
		responseBody(g, a.Serve(t.Context(), orderRequest(issueKey(t, a), "three")))
		cl.update(func() { cl.platformDown = false })
		responseBody(g, a.Serve(t.Context(), orderRequest("new", "two")))
		g.Expect(cl.runs("two")).To(gomega.Equal(1))
	})
}

func TestKeyExpiry(t *testing.T) {
	cases := []struct {
		name    string
		used    bool
		elapsed time.Duration
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
				cl := newCluster()
				a := cl.start(g, "a", 1)
				key := issueKey(t, a)
				if c.used {
					responseBody(g, a.Serve(t.Context(), orderRequest(key, "one")))
				}
				<-time.After(c.elapsed)
				resp := a.Serve(t.Context(), orderRequest(key, "one"))
				g.Expect(resp.Outcome).To(gomega.Equal(c.outcome))
				if c.outcome != work.Run {
					g.Expect(resp.Reason).To(gomega.Equal(work.ReasonKeyExpired))
				}
				g.Expect(cl.runs("one")).To(gomega.BeNumerically("<=", 1))
				if !c.used {
					g.Expect(cl.runs("one")).To(gomega.BeZero())
				}
			})
		})
	}
}

func TestFullTableRefusesNewKeysAndKeepsStoredOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		cl := newCluster()
		cl.maxKeys = 3
		a := cl.start(g, "a", 1)
		var storedKeys []string
		for range 3 {
			storedKeys = append(storedKeys, issueKey(t, a))
			responseBody(g, a.Serve(t.Context(), orderRequest(storedKeys[len(storedKeys)-1], "x")))
		}
		resp := a.Serve(t.Context(), orderRequest(issueKey(t, a), "y"))
		g.Expect(resp.Outcome).To(gomega.Equal(work.NotRun))
		g.Expect(resp.Reason).To(gomega.Equal(work.ReasonTableFull))
		g.Expect(a.Serve(t.Context(), orderRequest("own", "y")).Outcome).To(gomega.Equal(work.Unknown))
		for _, key := range storedKeys {
			responseBody(g, a.Serve(t.Context(), orderRequest(key, "x")))
		}
		g.Expect(cl.runs("x")).To(gomega.Equal(3))
		<-time.After(3 * time.Minute)
		responseBody(g, a.Serve(t.Context(), orderRequest(issueKey(t, a), "y")))
		n, _ := a.Size()
		g.Expect(n).To(gomega.Equal(1))
	})
}

func TestAttemptContinuesAfterCallerCancels(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		cl := newCluster()
		a, b := cl.start(g, "a", 1), cl.start(g, "b", 1)
		key := issueKey(t, a)
		ctx, cancel := context.WithTimeout(t.Context(), upstreamDelay/2)
		defer cancel()
		b.Serve(ctx, orderRequest(key, "one"))
		responseBody(g, b.Serve(t.Context(), orderRequest(key, "one")))
		g.Expect(cl.runs("one")).To(gomega.Equal(1))
	})
}

func TestLargeRequestBodiesAreCompared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		cl := newCluster()
		a, b := cl.start(g, "a", 1), cl.start(g, "b", 1)
		head := strings.Repeat("x", replay.Limit+1000)
		key := issueKey(t, a)
		first := responseBody(g, b.Serve(t.Context(), orderRequest(key, head+"1")))
		g.Expect(responseBody(g, b.Serve(t.Context(), orderRequest(key, head+"1")))).To(gomega.Equal(first))
		resp := b.Serve(t.Context(), orderRequest(key, head+"2"))
		g.Expect(resp.Outcome).To(gomega.Equal(work.Unknown))
		g.Expect(resp.Reason).To(gomega.Equal(work.ReasonKeyConflict))
		g.Expect(cl.runs(head + "1")).To(gomega.Equal(1))
		g.Expect(cl.runs(head + "2")).To(gomega.BeZero())
	})
}

func TestLargeResponseBodyIsNotStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		cl := newCluster()
		a := cl.start(g, "a", 1)
		large := strings.Repeat("y", 100<<10)
		cl.upstreamResponse = func(*work.Request) *work.Response {
			return &work.Response{Outcome: work.Run, Status: 200, Body: io.NopCloser(strings.NewReader(large))}
		}
		key := issueKey(t, a)
		g.Expect(responseBody(g, a.Serve(t.Context(), orderRequest(key, "one")))).To(gomega.Equal(large))
		resp := a.Serve(t.Context(), orderRequest(key, "one"))
		g.Expect(resp.Status).To(gomega.Equal(200))
		g.Expect(resp.Header.Get(idempotency.HeaderBodyOmitted)).To(gomega.Equal("true"))
		g.Expect(responseBody(g, resp)).To(gomega.BeEmpty())
	})
}

func TestInvalidKeysAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		cl := newCluster()
		a := cl.start(g, "a", 1)
		otherIssuer := newIssuer(g, control.Identity{Instance: "a", Incarnation: 1}, newSecret("gone", 9))
		rotatedKey, _, _ := otherIssuer.Issue("orders")
		paymentsKey, _, _ := a.Issue("payments")
		for name, c := range map[string]struct {
			key     string
			outcome work.Outcome
		}{
			"forged":                           {"sl1-AAAA", work.NotRun},
			"too long":                         {strings.Repeat("k", 600), work.NotRun},
			"signed with a rotated-out secret": {rotatedKey, work.Unknown},
			"issued for another service":       {paymentsKey, work.Unknown},
		} {
			resp := a.Serve(t.Context(), orderRequest(c.key, "one"))
			g.Expect(resp.Outcome).To(gomega.Equal(c.outcome), name)
			g.Expect(resp.Reason).To(gomega.Equal(work.ReasonKeyInvalid), name)
		}
		g.Expect(cl.runs("one")).To(gomega.BeZero())
	})
}

// Guards against a repeat being lost: a request that waited for an attempt with
// the same key must itself run, with its complete body, when that attempt did
// not run.
func TestRepeatRunsAfterAttemptThatDidNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		cl := newCluster()
		a := cl.start(g, "a", 1)
		body := strings.Repeat("x", replay.Limit+10)
		for name, key := range keysOfBothKinds(t, a) {
			refused := false
			cl.update(func() {
				clear(cl.runsByBody)
				cl.upstreamResponse = func(*work.Request) *work.Response {
					<-time.After(upstreamDelay)
					if refused {
						return nil
					}
					refused = true
					return work.Refuse(work.ReasonQueueFull, time.Second)
				}
			})
			first := make(chan *work.Response, 1)
			go func() { first <- a.Serve(t.Context(), orderRequest(key, body)) }()
			synctest.Wait()
			responseBody(g, a.Serve(t.Context(), orderRequest(key, body)))
			g.Expect((<-first).Outcome).To(gomega.Equal(work.NotRun), name)
			g.Expect(cl.runs(body)).To(gomega.Equal(1), name)
		}
	})
}
