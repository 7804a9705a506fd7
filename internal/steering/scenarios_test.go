package steering_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/deployment"
	"sycamoreledge.example/internal/exchange"
	"sycamoreledge.example/internal/steering"
	"sycamoreledge.example/internal/work"
)

// threeRegions simulates a deployment of three regions of unequal size.
func threeRegions(seed uint64) *simulation {
	return newSimulation(seed, []string{"north", "middle", "south"}, []int{4, 3, 1})
}

// leastLoaded is the baseline: it selects the upstream with the fewest requests of
// the same instance, ignores cached objects and never refuses for load.
type leastLoaded struct {
	sim      *simulation
	inFlight map[string]int
	tickets  map[*steering.Ticket]string
	random   *rand.Rand
}

func (l *leastLoaded) Choose(_ time.Time, r *steering.Request) steering.Decision {
	var best *simUpstream
	for _, s := range l.sim.upstreams {
		if s.Leaving || slices.Contains(r.Tried, s.ID) {
			continue
		}
		if best == nil || l.inFlight[s.ID] < l.inFlight[best.ID] ||
			l.inFlight[s.ID] == l.inFlight[best.ID] && l.random.IntN(2) == 0 {
			best = s
		}
	}
	if best == nil {
		return steering.Decision{Reason: work.ReasonNoUpstream, RetryAfter: 100 * time.Millisecond}
	}
	ticket := &steering.Ticket{}
	l.tickets[ticket] = best.ID
	l.inFlight[best.ID]++
	return steering.Decision{Ticket: ticket, Target: best.Upstream}
}

func (l *leastLoaded) Done(_ time.Time, ticket *steering.Ticket, _ exchange.Result) {
	l.inFlight[l.tickets[ticket]]--
	delete(l.tickets, ticket)
}

// useLeastLoaded makes all instances use the baseline.
func useLeastLoaded(sim *simulation) {
	sim.newBalancer = func(deployment.Place, uint64) balancer {
		return &leastLoaded{
			sim: sim, inFlight: map[string]int{}, tickets: map[*steering.Ticket]string{}, random: rand.New(rand.NewPCG(1, 1)),
		}
	}
	sim.startInstances()
}

// scenario is a load pattern, or a failure under load.
type scenario struct {
	name    string
	prepare func(sim *simulation)
	// minScore is the required score. 0.5 is the mean target for failures, without
	// the deductions for cost.
	minScore float64
	// uncontended is set when capacity suffices for all requests, so that at most
	// 1 % of them may be refused.
	uncontended bool
}

const scenarioDuration = 30 * time.Second

func scenarios() []scenario {
	return []scenario{
		{name: "steady load", uncontended: true, minScore: 0.7, prepare: func(*simulation) {}},
		{name: "cold start at full load", minScore: 0.5, prepare: func(sim *simulation) { sim.ratePerZone = 58 }},
		{name: "burst from all callers", minScore: 0.5, prepare: func(sim *simulation) {
			sim.rate = func(_ string, at time.Duration) float64 {
				if at > 12*time.Second && at < 16*time.Second {
					return 90
				}
				return 45
			}
		}},
		{name: "load wave across zones", minScore: 0.5, prepare: func(sim *simulation) {
			sim.rate = func(zone string, at time.Duration) float64 {
				phase := map[byte]float64{'n': 0, 'm': 0.33, 's': 0.67}[zone[0]]
				return 50 * (1 + 0.55*math.Sin(2*math.Pi*(at.Seconds()/36+phase)))
			}
		}},
		{name: "callers that retry immediately", minScore: 0.5, prepare: func(sim *simulation) { sim.ratePerZone, sim.immediateRetryFraction = 58, 0.3 }},
		{name: "callers that disconnect early", minScore: 0.4, prepare: func(sim *simulation) { sim.ratePerZone, sim.cancelFraction = 50, 0.2 }},
		{name: "crash of upstreams", minScore: 0.5, prepare: func(sim *simulation) {
			sim.schedule(10*time.Second, func() {
				for _, s := range sim.upstreams[:2] {
					s.crash()
					sim.schedule(5*time.Second, func() { sim.restartUpstream(s, 3*time.Second) })
				}
			})
		}},
		{name: "blackholed upstreams", minScore: 0.5, prepare: func(sim *simulation) {
			sim.schedule(10*time.Second, func() {
				for _, s := range sim.upstreams[:2] {
					s.crash()
					s.blackholed = true
					sim.schedule(5*time.Second, func() { sim.restartUpstream(s, 3*time.Second) })
				}
			})
		}},
		{name: "unreachable zone", minScore: 0.5, prepare: partitionZone("middle-a", 10*time.Second, 16*time.Second)},
		{name: "slow upstreams", minScore: 0.5, prepare: func(sim *simulation) {
			sim.schedule(10*time.Second, func() {
				for _, s := range sim.upstreams[:4] {
					s.slowdown = 8
					sim.schedule(8*time.Second, func() { s.slowdown = 1 })
				}
			})
		}},
		{name: "upstreams that shed half of the requests", minScore: 0.4, prepare: func(sim *simulation) {
			sim.schedule(10*time.Second, func() {
				for _, s := range sim.upstreams {
					s.shedFraction = 0.5
					sim.schedule(6*time.Second, func() { s.shedFraction = 0 })
				}
			})
		}},
		{name: "zone that restarts cold", minScore: 0.5, prepare: func(sim *simulation) {
			sim.schedule(10*time.Second, func() {
				for _, s := range sim.upstreams[:4] {
					s.crash()
					sim.schedule(4*time.Second, func() { sim.restartUpstream(s, 3*time.Second) })
				}
			})
		}},
		{name: "evacuation of a zone", minScore: 0.5, prepare: func(sim *simulation) {
			sim.schedule(8*time.Second, func() { sim.forEachCore(func(c *steering.Core) { c.Evacuate("middle-a") }) })
			sim.schedule(18*time.Second, func() {
				sim.forEachCore(func(c *steering.Core) {
					c.EndEvacuation("middle-a", 9)
					c.SetReportRevision(9)
				})
			})
		}},
		{name: "upstreams leave at the peak", minScore: 0.5, prepare: func(sim *simulation) {
			sim.ratePerZone = 50
			sim.schedule(10*time.Second, func() {
				for _, s := range []*simUpstream{sim.upstreams[0], sim.upstreams[5]} {
					s.Leaving = true
					sim.forEachCore(func(c *steering.Core) { c.SetUpstream(sim.now, s.Upstream) })
				}
			})
		}},
		{name: "instances restart without state", minScore: 0.5, prepare: func(sim *simulation) {
			sim.schedule(12*time.Second, sim.startInstances)
		}},
	}
}

// partitionZone partitions a zone from all others for a time. Its callers still
// reach it.
func partitionZone(zone string, from, to time.Duration) func(sim *simulation) {
	return func(sim *simulation) {
		sim.partitioned = func(a, b deployment.Place) bool {
			return a.Zone != b.Zone && (a.Zone == zone || b.Zone == zone) && sim.elapsed() > from && sim.elapsed() < to
		}
	}
}

// TestUnreachableZoneGetsOnlyProbes bounds the requests that instances send to a
// zone that does not respond: those sent before the failure could be detected, and
// probes.
func TestUnreachableZoneGetsOnlyProbes(t *testing.T) {
	const from, to = 10 * time.Second, 20 * time.Second
	g := gomega.NewWithT(t)
	for _, seed := range []uint64{1, 2, 3} {
		sim := newSimulation(seed, []string{"north", "middle", "south"}, []int{12, 12, 12})
		sim.ratePerZone = 120
		partitionZone("middle-a", from, to)(sim)
		lost := map[string]int{}
		sim.onLost = func(from deployment.Place) { lost[from.Zone]++ }
		sim.run(scenarioDuration)
		for _, place := range sim.zones {
			if place.Zone == "middle-a" {
				continue
			}
			// An instance detects the failure within half a second, when its first
			// requests are overdue. Until then the zone gets a sixth of the requests, or
			// half of those of an instance in the same region. After that it gets one
			// probe per second.
			share := 1.0 / 6
			if place.Region == "middle" {
				share = 1.0 / 2
			}
			limit := share*0.5*sim.ratePerZone + to.Seconds() - from.Seconds()
			g.Expect(float64(lost[place.Zone])).To(gomega.BeNumerically("<=", limit), "seed %d, %s", seed, place.Zone)
		}
	}
}

// restartUpstream restarts an upstream and reports it to the instances 500 ms later.
func (sim *simulation) restartUpstream(s *simUpstream, cold time.Duration) {
	s.restart(cold)
	reported := s.Upstream
	sim.schedule(500*time.Millisecond, func() { sim.forEachCore(func(c *steering.Core) { c.SetUpstream(sim.now, reported) }) })
}

func TestScenarios(t *testing.T) {
	for _, sc := range scenarios() {
		t.Run(sc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			sim := threeRegions(7)
			sc.prepare(sim)
			sim.run(scenarioDuration)
			baseline := threeRegions(7)
			useLeastLoaded(baseline)
			sc.prepare(baseline)
			baseline.run(scenarioDuration)

			counts, baseCounts := sim.stats.total(), baseline.stats.total()
			t.Logf("score %.3f (least loaded %.3f) %+v", counts.score(), baseCounts.score(), counts)
			g.Expect(counts.score()).To(gomega.BeNumerically(">=", sc.minScore))
			g.Expect(counts.score()).To(gomega.BeNumerically(">", baseCounts.score()), "score not above that of the least-loaded baseline")
			if sc.uncontended {
				g.Expect(float64(counts.refused)).To(gomega.BeNumerically("<=", 0.01*float64(counts.requests)))
			}
			for zone, z := range sim.stats.zones {
				g.Expect(z.score()).To(gomega.BeNumerically(">=", counts.score()/2), "zone %s", zone)
			}
			expectBounds(g, sim)
		})
	}
}

// expectBounds checks the bounds that apply to all instances together.
func expectBounds(g *gomega.WithT, sim *simulation) {
	for _, s := range sim.upstreams {
		if s.Incarnation == 1 {
			continue
		}
		cold := slices.DeleteFunc(slices.Clone(sim.sent[s.ID]), func(at time.Time) bool {
			return !at.Before(s.coldUntil) || at.Before(s.coldUntil.Add(-s.ColdFor))
		})
		g.Expect(maxWithin(cold, time.Second)).To(
			gomega.BeNumerically("<=", coldRate*bounds.ColdRatio+bounds.ColdSlack), "requests per second to %s while cold", s.ID)
	}
	for _, at := range sim.retries {
		retries := countWithin(sim.retries, at, bounds.RetryWindow)
		arrivals := countWithin(sim.arrivals, at, bounds.RetryWindow)
		g.Expect(float64(retries)).To(gomega.BeNumerically("<=", bounds.RetryRatio*float64(arrivals)+bounds.RetrySlack),
			"retries within %s", bounds.RetryWindow)
	}
}

// TestRegionSharesShiftWithinBound starts a region of little capacity with empty caches: all
// its upstreams are overloaded until they have cached their objects, which shifts
// traffic to other regions and back.
func TestRegionSharesShiftWithinBound(t *testing.T) {
	sim := newSimulation(7, []string{"north", "middle", "south"}, []int{6, 5, 2})
	sim.ratePerZone = 58
	sim.run(scenarioDuration)
	expectBoundedShift(gomega.NewWithT(t), sim)
}

// TestRegionSharesShiftWithinBoundWithManyInstances is the same with so many instances that
// each gets only a few requests per second, too few to detect a shift.
func TestRegionSharesShiftWithinBoundWithManyInstances(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		sim := newSimulation(seed, []string{"north", "middle", "south"}, []int{9, 11, 3})
		// The upstreams have capacity for two thirds of the requests until they have
		// cached their objects.
		sim.instancesPerZone, sim.ratePerZone, sim.objectsPerRegion = 12, 160, 1000
		sim.startInstances()
		sim.run(scenarioDuration)
		expectBoundedShift(gomega.NewWithT(t), sim)
	}
}

// expectBoundedShift checks the shift bound: from one window to the next, at most
// the share MaxShift of the requests from the south may move to other regions.
func expectBoundedShift(g *gomega.WithT, sim *simulation) {
	const window = 2 * time.Second
	regionShares := func(from time.Time) map[string]float64 {
		counts, sum := map[string]float64{}, 0.0
		for _, h := range sim.regionUses {
			if h.from == "south" && !h.at.Before(from) && h.at.Before(from.Add(window)) {
				counts[h.to]++
				sum++
			}
		}
		for to := range counts {
			counts[to] /= sum
		}
		return counts
	}
	for at := sim.start; at.Before(sim.start.Add(scenarioDuration - 2*window)); at = at.Add(window / 4) {
		before, after := regionShares(at), regionShares(at.Add(window))
		moved := 0.0
		for _, region := range []string{"north", "middle", "south"} {
			moved += max(after[region]-before[region], 0)
		}
		g.Expect(moved).To(gomega.BeNumerically("<=", bounds.MaxShift), "share of requests that changed region, %s after the start", at.Sub(sim.start))
	}
}

// TestRareObjectsStayOnPreferredUpstreams has each instance get requests for an
// object so rarely that its own records say little about where it is cached. An
// object may be cached by its two preferred upstreams, and by one more for requests
// that exceed their capacity.
func TestRareObjectsStayOnPreferredUpstreams(t *testing.T) {
	const objects, maxMissesPerObject = 400, 3
	g := gomega.NewWithT(t)
	for _, seed := range []uint64{1, 2, 3} {
		sim := newSimulation(seed, []string{"north", "middle", "south"}, []int{9, 11, 3})
		sim.instancesPerZone, sim.ratePerZone, sim.objectsPerRegion = 12, 110, objects
		sim.startInstances()
		sim.run(scenarioDuration)
		g.Expect(float64(sim.cacheMisses)/(3*objects)).To(gomega.BeNumerically("<=", maxMissesPerObject), "seed %d", seed)
	}
}

// countWithin counts the times within a window that begins at from. The times are in
// ascending order.
func countWithin(times []time.Time, from time.Time, window time.Duration) int {
	first, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	last, _ := slices.BinarySearchFunc(times, from.Add(window), time.Time.Compare)
	return last - first
}

func maxWithin(times []time.Time, window time.Duration) int {
	most := 0
	for _, at := range times {
		most = max(most, countWithin(times, at, window))
	}
	return most
}

func TestSimulationIsDeterministic(t *testing.T) {
	g := gomega.NewWithT(t)
	var runs []string
	for range 2 {
		sim := threeRegions(3)
		sim.run(5 * time.Second)
		runs = append(runs, fmt.Sprint(sim.stats.total()))
	}
	g.Expect(runs[0]).To(gomega.Equal(runs[1]))
}
