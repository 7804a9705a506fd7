package owner_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/upstream"
	"sycamoreledge.example/internal/work"
)

func TestRetriesOnlyWhenSafe(t *testing.T) {
	cases := []struct {
		kind    work.Kind
		fault   work.Reason
		budget  float64
		outcome work.Outcome
		runs    int // at the healthy upstream
	}{
		{work.Order, work.ReasonUpstreamConnect, 1, work.Run, 1},
		{work.Order, work.ReasonUpstreamShed, 1, work.Run, 1},
		{work.Order, work.ReasonUpstreamShed, 0, work.NotRun, 0},
		{work.Order, work.ReasonUpstreamBroken, 1, work.Unknown, 0},
		{work.Upload, work.ReasonUpstreamBroken, 1, work.Unknown, 0},
		{work.Lookup, work.ReasonUpstreamBroken, 1, work.Run, 1},
		{work.Lookup, work.ReasonUpstreamBroken, 0, work.Unknown, 0},
	}
	for _, c := range cases {
		t.Run(string(c.kind)+" "+string(c.fault), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				tp := newTestPool(c.kind, 2, 1)
				tp.policy.RetryBudget = c.budget
				tp.upstreams.all["u1"].fault = c.fault
				resp := tp.owner.Serve(t.Context(), tp.request(time.Second))
				g.Expect(resp.Outcome).To(gomega.Equal(c.outcome))
				g.Expect(tp.upstreams.runsOf("u2")).To(gomega.Equal(c.runs))
			})
		})
	}
}

// Guards against a retry at the upstream that just failed, which answers probes
// but breaks all requests.
func TestRetryAvoidsTheUpstreamThatFailed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		tp := newTestPool(work.Lookup, 2, 1)
		tp.upstreams.all["u2"].fault = work.ReasonUpstreamBroken
		tp.upstreams.all["u2"].answersProbes = true
		first := tp.start(t.Context(), tp.request(time.Second)) // takes u1
		synctest.Wait()
		resp := tp.owner.Serve(t.Context(), tp.request(time.Second))
		g.Expect(resp.Outcome).To(gomega.Equal(work.Run))
		g.Expect(resp.Upstream).To(gomega.Equal("u1"))
		g.Expect((<-first).Upstream).To(gomega.Equal("u1"))
		g.Expect(tp.upstreams.runsOf("u2")).To(gomega.Equal(1))
	})
}

func TestRefusalAfterUnknownStaysUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		tp := newTestPool(work.Lookup, 1, 1)
		tp.upstreams.all["u1"].fault = work.ReasonUpstreamBroken
		req := tp.request(time.Second)
		req.Queue = false
		resp := tp.owner.Serve(t.Context(), req)
		g.Expect(resp.Outcome).To(gomega.Equal(work.Unknown))
		g.Expect(tp.upstreams.runs()).To(gomega.Equal(1))
	})
}

func TestCancellationDuringAttempt(t *testing.T) {
	for kind, ended := range map[work.Kind]time.Duration{
		work.Lookup: 5 * time.Millisecond,
		work.Order:  serviceTime,
		work.Upload: serviceTime,
	} {
		t.Run(string(kind), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				tp := newTestPool(kind, 1, 1)
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Millisecond)
				defer cancel()
				start := time.Now()
				resp := tp.owner.Serve(ctx, tp.request(time.Second))
				g.Expect(time.Since(start)).To(gomega.Equal(ended))
				want := work.Run
				if kind == work.Lookup {
					want = work.Unknown
				}
				g.Expect(resp.Outcome).To(gomega.Equal(want))
			})
		})
	}
}

func TestCancellationWhileQueued(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		tp := newTestPool(work.Order, 1, 1)
		first := tp.start(t.Context(), tp.request(time.Second))
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Millisecond)
		defer cancel()
		resp := tp.owner.Serve(ctx, tp.request(time.Second))
		g.Expect(resp.Outcome).To(gomega.Equal(work.NotRun))
		g.Expect(resp.Reason).To(gomega.Equal(work.ReasonCanceled))
		g.Expect((<-first).Outcome).To(gomega.Equal(work.Run))
		g.Expect(tp.upstreams.runs()).To(gomega.Equal(1))
		g.Expect(tp.owner.InFlight(tp.pool)).To(gomega.BeZero())
	})
}

// Guards against exceeding the slots of an upstream that accepted a request and
// never answered: the slot must stay occupied until the upstream answers a probe
// that started after the connection was closed.
func TestSilentUpstreamKeepsItsSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		tp := newTestPool(work.Order, 1, 1)
		tp.upstreams.all["u1"].silent = true
		ctx, cancel := context.WithCancel(t.Context())
		go tp.owner.Run(ctx)
		resp := tp.owner.Serve(t.Context(), tp.request(2*time.Second))
		g.Expect(resp.Outcome).To(gomega.Equal(work.Unknown))
		g.Expect(resp.Reason).To(gomega.Equal(work.ReasonUpstreamTimeout))
		<-time.After(5 * time.Second)
		g.Expect(tp.owner.InFlight(tp.pool)).To(gomega.Equal(1))
		resp = tp.owner.Serve(t.Context(), tp.request(time.Second))
		g.Expect(resp.Reason).To(gomega.Equal(work.ReasonNoUpstream))
		tp.upstreams.change("u1", func(u *fakeUpstream) { u.silent = false })
		<-time.After(time.Second)
		g.Expect(tp.owner.InFlight(tp.pool)).To(gomega.BeZero())
		g.Expect(tp.owner.Serve(t.Context(), tp.request(time.Second)).Outcome).To(gomega.Equal(work.Run))
		cancel()
		synctest.Wait()
	})
}

func TestColdUpstreamStartsSlowly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		tp := newTestPool(work.Order, 1, 4)
		tp.upstreams.all["u1"].health = upstream.Cold
		ctx, cancel := context.WithCancel(t.Context())
		go tp.owner.Run(ctx)
		<-time.After(time.Second)
		tp.upstreams.change("u1", func(u *fakeUpstream) { u.health = upstream.Live })
		var pending []chan *work.Response
		for range 8 {
			pending = append(pending, tp.start(t.Context(), tp.request(2*time.Second)))
		}
		var most []int
		for range 4 {
			synctest.Wait()
			most = append(most, tp.owner.InFlight(tp.pool))
			<-time.After(serviceTime)
		}
		g.Expect(most).To(gomega.Equal([]int{1, 2, 4, 1}))
		for _, p := range pending {
			g.Expect((<-p).Outcome).To(gomega.Equal(work.Run))
		}
		cancel()
		synctest.Wait()
	})
}

// Guards against queueing at a slow upstream and against never noticing its
// recovery. One of two upstreams is 10 times slower: it must get only trial
// requests as long as the other one has free slots.
func TestSlowUpstreamGetsTrialRequestsOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		tp := newTestPool(work.Lookup, 2, 4)
		tp.upstreams.all["u1"].serviceTime = func() time.Duration { return 10 * serviceTime }
		serve := func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); {
				tp.start(t.Context(), tp.request(2*time.Second))
				<-time.After(10 * time.Millisecond)
			}
		}
		serve(time.Second)
		before := tp.upstreams.runsOf("u1")
		serve(2 * time.Second)
		slowed := tp.upstreams.runsOf("u1") - before
		g.Expect(slowed).To(gomega.BeNumerically(">=", 4), "trial requests, without which recovery is not noticed")
		g.Expect(slowed).To(gomega.BeNumerically("<=", 10))
		tp.upstreams.change("u1", func(u *fakeUpstream) { u.serviceTime = func() time.Duration { return serviceTime } })
		serve(2 * time.Second)
		before = tp.upstreams.runsOf("u1")
		serve(time.Second)
		g.Expect(tp.upstreams.runsOf("u1")-before).To(gomega.BeNumerically(">", 25), "requests per second at the recovered upstream")
		<-time.After(time.Second)
	})
}

// Guards against suspending an upstream because one request timed out while others
// were answered.
func TestSingleTimeoutDoesNotSuspendUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		tp := newTestPool(work.Order, 1, 2)
		first := true
		tp.upstreams.all["u1"].serviceTime = func() time.Duration {
			if first {
				first = false
				return time.Second
			}
			return serviceTime
		}
		straggler := tp.start(t.Context(), tp.request(100*time.Millisecond))
		synctest.Wait()
		for range 4 {
			g.Expect(tp.owner.Serve(t.Context(), tp.request(time.Second)).Outcome).To(gomega.Equal(work.Run))
		}
		g.Expect((<-straggler).Outcome).To(gomega.Equal(work.Unknown))
		g.Expect(tp.owner.Serve(t.Context(), tp.request(time.Second)).Outcome).To(gomega.Equal(work.Run))
		synctest.Wait()
		g.Expect(tp.owner.InFlight(tp.pool)).To(gomega.BeZero(), "slots after the probe that must free the held one")
	})
}
