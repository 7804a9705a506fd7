package owner_test

import (
	"context"
	"io"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/work"
)

// serviceTimeWithStragglers returns a source of service times of which one in a
// hundred is 20 times longer.
func serviceTimeWithStragglers(seed uint64) func() time.Duration {
	source := rand.New(rand.NewPCG(seed, 1))
	return func() time.Duration {
		d := serviceTime/2 + time.Duration(source.Int64N(int64(serviceTime)))
		if source.IntN(100) == 0 {
			return 20 * d
		}
		return d
	}
}

// replayLookups sends lookups at a constant rate and returns their latencies in
// ascending order. Each response must be that of its own request.
func replayLookups(t *testing.T, g *gomega.WithT, tp *testPool, count int, interval time.Duration) []time.Duration {
	ctx, cancel := context.WithCancel(t.Context())
	go tp.owner.Run(ctx)
	type result struct {
		took       time.Duration
		resp       *work.Response
		want, body string
	}
	results := make(chan result, count)
	for range count {
		req := tp.request(2 * time.Second)
		start := time.Now()
		go func() {
			r := result{resp: tp.owner.Serve(t.Context(), req), want: req.ID}
			r.took = time.Since(start)
			if r.resp.Body != nil {
				body, _ := io.ReadAll(r.resp.Body)
				r.body = string(body)
			}
			results <- r
		}()
		<-time.After(interval)
	}
	var all []time.Duration
	for range count {
		r := <-results
		g.Expect(r.resp.Outcome).To(gomega.Equal(work.Run), string(r.resp.Reason))
		g.Expect(r.body).To(gomega.Equal(r.want))
		all = append(all, r.took)
	}
	cancel()
	synctest.Wait()
	slices.Sort(all)
	return all
}

func TestHedgesReduceTailLatencyWithinBudget(t *testing.T) {
	const seed, count = 7, 3000
	t.Logf("seed %d", seed)
	p995 := func(quantile float64) (time.Duration, int64) {
		var result time.Duration
		var hedges int64
		synctest.Test(t, func(t *testing.T) {
			g := gomega.NewWithT(t)
			tp := newTestPool(work.Lookup, 3, 5)
			tp.policy.HedgeQuantile = quantile
			tp.policy.HedgeBudget = 0.05
			for _, u := range tp.upstreams.all {
				u.serviceTime = serviceTimeWithStragglers(seed)
			}
			all := replayLookups(t, g, tp, count, 4*time.Millisecond)
			for _, u := range tp.upstreams.all {
				g.Expect(u.maxRunning).To(gomega.BeNumerically("<=", 5))
			}
			result, hedges = all[count*995/1000], tp.owner.Stats().Hedges.Load()
		})
		return result, hedges
	}
	g := gomega.NewWithT(t)
	without, none := p995(0)
	with, some := p995(0.95)
	t.Logf("p99.5 without hedges %v, with %v; %d hedges of %d requests", without, with, some, count)
	g.Expect(none).To(gomega.BeZero())
	g.Expect(some).To(gomega.BeNumerically(">", 0))
	g.Expect(some).To(gomega.BeNumerically("<=", count*5/100+5))
	g.Expect(with).To(gomega.BeNumerically("<", without/2))
}

func TestOrdersAreNeverHedged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		tp := newTestPool(work.Order, 2, 2)
		tp.policy.HedgeQuantile = 0.5
		tp.policy.HedgeBudget = 1
		for _, u := range tp.upstreams.all {
			u.serviceTime = serviceTimeWithStragglers(3)
		}
		replayLookups(t, g, tp, 300, 20*time.Millisecond)
		g.Expect(tp.owner.Stats().Hedges.Load()).To(gomega.BeZero())
		g.Expect(tp.upstreams.runs()).To(gomega.Equal(300))
	})
}
