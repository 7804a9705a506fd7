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

func TestRetriesOnlyWhereItIsSafe(t *testing.T) {
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
				b := newBench(c.kind, 2, 1)
				b.policy.RetryBudget = c.budget
				b.upstreams.all["u1"].fault = c.fault
				resp := b.owner.Serve(t.Context(), b.request(time.Second))
				g.Expect(resp.Outcome).To(gomega.Equal(c.outcome))
				g.Expect(b.upstreams.runsOf("u2")).To(gomega.Equal(c.runs))
			})
		})
	}
}

// An upstream that answers probes and breaks all requests must not get the
// second attempt as well.
func TestRetryAvoidsTheUpstreamThatFailed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newBench(work.Lookup, 2, 1)
		b.upstreams.all["u2"].fault = work.ReasonUpstreamBroken
		b.upstreams.all["u2"].healthy = true
		first := b.start(t.Context(), b.request(time.Second)) // takes u1
		synctest.Wait()
		resp := b.owner.Serve(t.Context(), b.request(time.Second))
		g.Expect(resp.Outcome).To(gomega.Equal(work.Run))
		g.Expect(resp.Upstream).To(gomega.Equal("u1"))
		g.Expect((<-first).Upstream).To(gomega.Equal("u1"))
		g.Expect(b.upstreams.runsOf("u2")).To(gomega.Equal(1))
	})
}

func TestRefusalAfterUnknownStaysUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newBench(work.Lookup, 1, 1)
		b.upstreams.all["u1"].fault = work.ReasonUpstreamBroken
		req := b.request(time.Second)
		req.Queue = false
		resp := b.owner.Serve(t.Context(), req)
		g.Expect(resp.Outcome).To(gomega.Equal(work.Unknown))
		g.Expect(b.upstreams.runs()).To(gomega.Equal(1))
	})
}

func TestCallerGone(t *testing.T) {
	for kind, ended := range map[work.Kind]time.Duration{
		work.Lookup: 5 * time.Millisecond,
		work.Order:  serviceTime,
		work.Upload: serviceTime,
	} {
		t.Run(string(kind), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				b := newBench(kind, 1, 1)
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Millisecond)
				defer cancel()
				start := time.Now()
				resp := b.owner.Serve(ctx, b.request(time.Second))
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

func TestCallerGoneWhileQueued(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newBench(work.Order, 1, 1)
		first := b.start(t.Context(), b.request(time.Second))
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Millisecond)
		defer cancel()
		resp := b.owner.Serve(ctx, b.request(time.Second))
		g.Expect(resp.Outcome).To(gomega.Equal(work.NotRun))
		g.Expect(resp.Reason).To(gomega.Equal(work.ReasonCanceled))
		g.Expect((<-first).Outcome).To(gomega.Equal(work.Run))
		g.Expect(b.upstreams.runs()).To(gomega.Equal(1))
		g.Expect(b.owner.InFlight(b.pool)).To(gomega.BeZero())
	})
}

// An upstream that accepted a request and never answered keeps its slot until
// it answers a probe that started after the connection was closed.
func TestSilentUpstreamKeepsItsSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newBench(work.Order, 1, 1)
		b.upstreams.all["u1"].silent = true
		ctx, cancel := context.WithCancel(t.Context())
		go b.owner.Run(ctx)
		resp := b.owner.Serve(t.Context(), b.request(2*time.Second))
		g.Expect(resp.Outcome).To(gomega.Equal(work.Unknown))
		g.Expect(resp.Reason).To(gomega.Equal(work.ReasonUpstreamTimeout))
		<-time.After(5 * time.Second)
		g.Expect(b.owner.InFlight(b.pool)).To(gomega.Equal(1))
		resp = b.owner.Serve(t.Context(), b.request(time.Second))
		g.Expect(resp.Reason).To(gomega.Equal(work.ReasonNoUpstream))
		b.upstreams.change("u1", func(u *fakeUpstream) { u.silent = false })
		<-time.After(time.Second)
		g.Expect(b.owner.InFlight(b.pool)).To(gomega.BeZero())
		g.Expect(b.owner.Serve(t.Context(), b.request(time.Second)).Outcome).To(gomega.Equal(work.Run))
		cancel()
		synctest.Wait()
	})
}

func TestColdUpstreamStartsSlowly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newBench(work.Order, 1, 4)
		b.upstreams.all["u1"].health = upstream.Cold
		ctx, cancel := context.WithCancel(t.Context())
		go b.owner.Run(ctx)
		<-time.After(time.Second)
		b.upstreams.change("u1", func(u *fakeUpstream) { u.health = upstream.Live })
		var pending []chan *work.Response
		for range 8 {
			pending = append(pending, b.start(t.Context(), b.request(2*time.Second)))
		}
		var most []int
		for range 4 {
			synctest.Wait()
			most = append(most, b.owner.InFlight(b.pool))
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

// Of two upstreams one is slowed 10 times: it gets a trickle of work and the
// other the rest, as long as that one has slots.
func TestSlowUpstreamGetsATrickle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newBench(work.Lookup, 2, 4)
		b.upstreams.all["u1"].service = func() time.Duration { return 10 * serviceTime }
		serve := func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); {
				b.start(t.Context(), b.request(2*time.Second))
				<-time.After(10 * time.Millisecond)
			}
		}
		serve(time.Second)
		before := b.upstreams.runsOf("u1")
		serve(2 * time.Second)
		slowed := b.upstreams.runsOf("u1") - before
		g.Expect(slowed).To(gomega.BeNumerically(">=", 4), "recovery must be noticed")
		g.Expect(slowed).To(gomega.BeNumerically("<=", 10))
		b.upstreams.change("u1", func(u *fakeUpstream) { u.service = func() time.Duration { return serviceTime } })
		serve(2 * time.Second)
		before = b.upstreams.runsOf("u1")
		serve(time.Second)
		g.Expect(b.upstreams.runsOf("u1")-before).To(gomega.BeNumerically(">", 25), "it recovered")
		<-time.After(time.Second)
	})
}

// A request that runs out of time says nothing of an upstream that answers
// others meanwhile.
func TestTimeoutOfOneRequestKeepsTheUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newBench(work.Order, 1, 2)
		first := true
		b.upstreams.all["u1"].service = func() time.Duration {
			if first {
				first = false
				return time.Second
			}
			return serviceTime
		}
		straggler := b.start(t.Context(), b.request(100*time.Millisecond))
		synctest.Wait()
		for range 4 {
			g.Expect(b.owner.Serve(t.Context(), b.request(time.Second)).Outcome).To(gomega.Equal(work.Run))
		}
		g.Expect((<-straggler).Outcome).To(gomega.Equal(work.Unknown))
		g.Expect(b.owner.Serve(t.Context(), b.request(time.Second)).Outcome).To(gomega.Equal(work.Run))
		synctest.Wait()
		g.Expect(b.owner.InFlight(b.pool)).To(gomega.BeZero(), "the probe freed the slot")
	})
}
