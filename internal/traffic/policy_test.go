package traffic_test

import (
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/work"
)

// scenario is a replay of lookups against three regions of two zones, in
// virtual time.
type scenario struct {
	sizes []int // upstreams of each zone
	slots int
	load  float64 // of all slots
	count int
	slow  []string // upstreams slowed slowFactor times in the middle half
	seed  uint64
	edit  func(*fleet)
}

const (
	meanService = 20 * time.Millisecond
	slowFactor  = 5
	// A straggler takes stragglerFactor times longer; one in stragglerEvery is.
	stragglerFactor = 20
	stragglerEvery  = 100
)

// drawService returns the service time of one attempt of a request.
func drawService(seed uint64, n, again int) time.Duration {
	r := rand.New(rand.NewPCG(seed, uint64(n)*8+uint64(again)))
	d := time.Duration((0.5 + r.Float64()) * float64(meanService))
	if r.IntN(stragglerEvery) == 0 {
		return stragglerFactor * d
	}
	return d
}

// arrival is when and where a request arrives.
type arrival struct {
	at   time.Duration
	zone int
}

func (s *scenario) arrivals() []arrival {
	slots := 0
	for _, n := range s.sizes {
		slots += n * s.slots
	}
	mean := float64(meanService) * (1 + (stragglerFactor-1)/float64(stragglerEvery))
	rate := s.load * float64(slots) / mean // per nanosecond
	r := rand.New(rand.NewPCG(s.seed, 1<<40))
	all := make([]arrival, s.count)
	var now float64
	for i := range all {
		now += r.ExpFloat64() / rate
		all[i] = arrival{time.Duration(now), r.IntN(len(s.sizes))}
	}
	return all
}

// slowAt reports whether slow-downs hold at a time.
func (s *scenario) slowAt(at, end time.Duration) bool { return at > end/4 && at < end*3/4 }

// times is a heap of the ends of requests.
type times []time.Duration

func (t times) Len() int           { return len(t) }
func (t times) Less(i, j int) bool { return t[i] < t[j] }
func (t times) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *times) Push(x any)        { *t = append(*t, x.(time.Duration)) }
func (t *times) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

// ideal returns the latencies of one global queue without any travel time that
// knows which upstreams are slow and uses them last.
func (s *scenario) ideal(all []arrival) []time.Duration {
	fast, slow := &times{}, &times{}
	for z, n := range s.sizes {
		for u := range n {
			class := fast
			if slices.Contains(s.slow, fmt.Sprintf("z%d-u%d", z+1, u)) {
				class = slow
			}
			for range s.slots {
				heap.Push(class, time.Duration(0))
			}
		}
	}
	end := all[len(all)-1].at
	latencies := make([]time.Duration, len(all))
	for i, a := range all {
		d := drawService(s.seed, i+1, 0)
		class, took := fast, d
		fastEnd := max(a.at, (*fast)[0]) + d
		if slow.Len() > 0 {
			slowTook := d
			if s.slowAt(a.at, end) {
				slowTook *= slowFactor
			}
			if max(a.at, (*slow)[0])+slowTook < fastEnd {
				class, took = slow, slowTook
			}
		}
		start := max(a.at, (*class)[0])
		(*class)[0] = start + took
		heap.Fix(class, 0)
		latencies[i] = start + took - a.at
	}
	slices.Sort(latencies)
	return latencies
}

// idealByRegion returns the latencies of one ideal queue for each region, which
// is what can be had without the travel time between regions.
func (s *scenario) idealByRegion(all []arrival) []time.Duration {
	var latencies []time.Duration
	for first := 0; first < len(s.sizes); first += 2 {
		part := scenario{sizes: slices.Clone(s.sizes), slots: s.slots, seed: s.seed, slow: s.slow}
		for z := range part.sizes {
			if z != first && z != first+1 {
				part.sizes[z] = 0
			}
		}
		var arrivals []arrival
		for _, a := range all {
			if a.zone == first || a.zone == first+1 {
				arrivals = append(arrivals, a)
			}
		}
		latencies = append(latencies, part.ideal(arrivals)...)
	}
	return latencies
}

// replay runs the scenario and returns the latencies of what ran, in order, and
// the number of other answers.
func (s *scenario) replay(t *testing.T, all []arrival) (latencies []time.Duration, failed int, f *fleet) {
	synctest.Test(t, func(t *testing.T) {
		f = newFleetOf(work.Lookup, s.sizes, s.slots, s.seed)
		f.preset.Services[0].HedgeQuantile = 0.95
		f.preset.Services[0].HedgeBudget = 0.03
		f.preset.Services[0].RetryBudget = 0.02
		f.draw = func(id string, again int) time.Duration {
			var n int
			_, _ = fmt.Sscanf(id, "%x", &n)
			return drawService(s.seed, n, again)
		}
		if s.edit != nil {
			s.edit(f)
		}
		ctx, cancel := context.WithCancel(t.Context())
		f.start(ctx)
		end := all[len(all)-1].at
		start := time.Now()
		results := make(chan time.Duration, len(all))
		slowed := false
		for _, a := range all {
			<-time.After(a.at - time.Since(start))
			if is := s.slowAt(a.at, end); is != slowed {
				slowed = is
				f.slow(s.slow, slowed)
			}
			req := f.request(2 * time.Second)
			go func() {
				sent := time.Now()
				resp := f.routers[fmt.Sprintf("i%d", a.zone+1)].Serve(t.Context(), req)
				if resp.Outcome != work.Run {
					results <- -1
					return
				}
				results <- time.Since(sent)
			}()
		}
		for range all {
			if d := <-results; d >= 0 {
				latencies = append(latencies, d)
			} else {
				failed++
			}
		}
		cancel()
		synctest.Wait()
	})
	slices.Sort(latencies)
	return latencies, failed, f
}

// slow sets or ends the slow-down of upstreams.
func (f *fleet) slow(names []string, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, name := range names {
		f.backends[name].slow = 1
		if on {
			f.backends[name].slow = slowFactor
		}
	}
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	return sorted[int(q*float64(len(sorted)-1))].Round(100 * time.Microsecond)
}

func lanternStatus() []int { return []int{3, 2, 2, 3, 2, 2} }

// tally sums what all instances did in the replays of a scenario.
type tally struct {
	got, ideal, regional    []time.Duration
	failed                  int
	hedges, won, retries    int64
	asks, shifted, requests int64
	over                    int // upstreams over their slots
}

func (y *tally) add(s *scenario, f *fleet) {
	for name, o := range f.owners {
		y.hedges += o.Stats().Hedges.Load()
		y.won += o.Stats().HedgeWins.Load()
		y.retries += o.Stats().Retries.Load() + f.routers[name].Stats().Retries.Load()
		y.asks += f.routers[name].Stats().Asks.Load()
		y.shifted += f.routers[name].Stats().Shifted.Load()
	}
	for _, b := range f.backends {
		if b.most > s.slots {
			y.over++
		}
	}
}

// measure replays the scenario with some seeds.
func measure(t *testing.T, s scenario, seeds ...uint64) *tally {
	var y tally
	for _, seed := range seeds {
		s.seed = seed
		all := s.arrivals()
		y.ideal = append(y.ideal, s.ideal(all)...)
		y.regional = append(y.regional, s.idealByRegion(all)...)
		got, failed, f := s.replay(t, all)
		y.got = append(y.got, got...)
		y.failed += failed
		y.requests += int64(len(all))
		y.add(&s, f)
	}
	slices.Sort(y.got)
	slices.Sort(y.ideal)
	slices.Sort(y.regional)
	t.Logf("seeds %v, %d requests, %d not run, hedges %d (%d won), retries %d, asks %d, shifted %d",
		seeds, y.requests, y.failed, y.hedges, y.won, y.retries, y.asks, y.shifted)
	for _, q := range []float64{0.5, 0.95, 0.98, 0.99, 0.995, 0.999} {
		t.Logf("p%v: %v, ideal %v, ratio %.2f, ideal by region %v",
			q*100, quantile(y.got, q), quantile(y.ideal, q), y.ratio(q), quantile(y.regional, q))
	}
	return &y
}

// ratio is the quantile over that of the ideal queue.
func (y *tally) ratio(q float64) float64 {
	return float64(quantile(y.got, q)) / float64(quantile(y.ideal, q))
}

// One request in a hundred is a straggler, so that the ideal queue's p99 is
// that of a straggler with one seed and not with another. The limits beside the
// ideal queue are therefore set on the quantiles below and above it.
func TestPolicyAgainstAnIdealQueue(t *testing.T) {
	g := gomega.NewWithT(t)
	s := scenario{sizes: lanternStatus(), slots: 5, load: 0.7, count: 4000}
	seeds := []uint64{1, 2, 3, 4}
	ordinary := measure(t, s, seeds...)
	s.slow = []string{"z1-u0", "z4-u1"}
	slowed := measure(t, s, seeds...)
	for _, y := range []*tally{ordinary, slowed} {
		g.Expect(y.over).To(gomega.BeZero(), "upstreams over their slots")
		g.Expect(y.failed).To(gomega.BeZero())
		g.Expect(y.hedges + y.retries).To(gomega.BeNumerically("<=", y.requests*5/100))
		g.Expect(y.ratio(0.995)).To(gomega.BeNumerically("<=", 0.5))
	}
	g.Expect(ordinary.ratio(0.98)).To(gomega.BeNumerically("<=", 1.3))
	g.Expect(slowed.ratio(0.98)).To(gomega.BeNumerically("<=", 1.5))
	tail := float64(quantile(slowed.got, 0.99)) / float64(quantile(ordinary.got, 0.99))
	t.Logf("tail factor with two slowed upstreams %.2f", tail)
	g.Expect(tail).To(gomega.BeNumerically("<=", 1.5))
}
