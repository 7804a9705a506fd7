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

// deploymentModel is like the users' deployment: three regions of unequal size.
func deploymentModel(seed uint64) *model {
	return newModel(seed, []string{"north", "middle", "south"}, []int{4, 3, 1})
}

// leastLoaded is the rule to compare with: the upstream with the fewest
// requests of its own instance, without memory and without refusals.
type leastLoaded struct {
	model    *model
	inFlight map[string]int
	tickets  map[*steering.Ticket]string
	random   *rand.Rand
}

func (l *leastLoaded) Choose(_ time.Time, r *steering.Request) steering.Decision {
	var best *server
	for _, s := range l.model.servers {
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
	t := &steering.Ticket{}
	l.tickets[t] = best.ID
	l.inFlight[best.ID]++
	return steering.Decision{Ticket: t, Target: best.Upstream}
}

func (l *leastLoaded) Done(_ time.Time, t *steering.Ticket, _ exchange.Result) {
	l.inFlight[l.tickets[t]]--
	delete(l.tickets, t)
}

// useLeastLoaded puts the rule to compare with into all instances.
func useLeastLoaded(m *model) {
	m.newChooser = func(deployment.Place, uint64) chooser {
		return &leastLoaded{
			model: m, inFlight: map[string]int{}, tickets: map[*steering.Ticket]string{}, random: rand.New(rand.NewPCG(1, 1)),
		}
	}
	m.startEntries()
}

// pattern is a load, or a failure under load, that users meet.
type pattern struct {
	name    string
	prepare func(m *model)
	// least is the credit that users must get of what they asked for. Half is the
	// users' mean target for troubled days, with its prices added back.
	least float64
	// calm is set when there is room for everybody, so that nearly nothing may be
	// refused.
	calm bool
}

const length = 30 * time.Second

func patterns() []pattern {
	return []pattern{
		{name: "steady load", calm: true, least: 0.7, prepare: func(*model) {}},
		{name: "cold start at full load", least: 0.5, prepare: func(m *model) { m.perZone = 58 }},
		{name: "burst of all callers", least: 0.5, prepare: func(m *model) {
			m.rate = func(_ string, at time.Duration) float64 {
				if at > 12*time.Second && at < 16*time.Second {
					return 90
				}
				return 45
			}
		}},
		{name: "wave between zones", least: 0.5, prepare: func(m *model) {
			m.rate = func(zone string, at time.Duration) float64 {
				phase := map[byte]float64{'n': 0, 'm': 0.33, 's': 0.67}[zone[0]]
				return 50 * (1 + 0.55*math.Sin(2*math.Pi*(at.Seconds()/36+phase)))
			}
		}},
		{name: "callers that repeat at once", least: 0.5, prepare: func(m *model) { m.perZone, m.eager = 58, 0.3 }},
		{name: "callers that leave early", least: 0.4, prepare: func(m *model) { m.perZone, m.leaves = 50, 0.2 }},
		{name: "crash of upstreams", least: 0.5, prepare: func(m *model) {
			m.at(10*time.Second, func() {
				for _, s := range m.servers[:2] {
					s.crash()
					m.at(5*time.Second, func() { m.comeBack(s, 3*time.Second) })
				}
			})
		}},
		{name: "silent upstreams", least: 0.5, prepare: func(m *model) {
			m.at(10*time.Second, func() {
				for _, s := range m.servers[:2] {
					s.crash()
					s.dark = true
					m.at(5*time.Second, func() { m.comeBack(s, 3*time.Second) })
				}
			})
		}},
		{name: "zone out of reach", least: 0.5, prepare: cutOff("middle-a", 10*time.Second, 16*time.Second)},
		{name: "slow upstreams", least: 0.5, prepare: func(m *model) {
			m.at(10*time.Second, func() {
				for _, s := range m.servers[:4] {
					s.slowness = 8
					m.at(8*time.Second, func() { s.slowness = 1 })
				}
			})
		}},
		{name: "upstreams that refuse half", least: 0.4, prepare: func(m *model) {
			m.at(10*time.Second, func() {
				for _, s := range m.servers {
					s.shedding = 0.5
					m.at(6*time.Second, func() { s.shedding = 0 })
				}
			})
		}},
		{name: "zone that returns cold", least: 0.5, prepare: func(m *model) {
			m.at(10*time.Second, func() {
				for _, s := range m.servers[:4] {
					s.crash()
					m.at(4*time.Second, func() { m.comeBack(s, 3*time.Second) })
				}
			})
		}},
		{name: "evacuation of a zone", least: 0.5, prepare: func(m *model) {
			m.at(8*time.Second, func() { m.cores(func(c *steering.Core) { c.Evacuate("middle-a") }) })
			m.at(18*time.Second, func() {
				m.cores(func(c *steering.Core) {
					c.EndEvacuation("middle-a", 9)
					c.ReportedAsOf(9)
				})
			})
		}},
		{name: "upstreams leave at the peak", least: 0.5, prepare: func(m *model) {
			m.perZone = 50
			m.at(10*time.Second, func() {
				for _, s := range []*server{m.servers[0], m.servers[5]} {
					s.Leaving = true
					m.cores(func(c *steering.Core) { c.SetUpstream(m.now, s.Upstream) })
				}
			})
		}},
		{name: "instances start again without memory", least: 0.5, prepare: func(m *model) {
			m.at(12*time.Second, m.startEntries)
		}},
	}
}

// cutOff keeps a zone from all others for a while. Callers still reach it.
func cutOff(zone string, from, to time.Duration) func(m *model) {
	return func(m *model) {
		m.cut = func(a, b deployment.Place) bool {
			return a.Zone != b.Zone && (a.Zone == zone || b.Zone == zone) && m.elapsed() > from && m.elapsed() < to
		}
	}
}

// TestZoneOutOfReachIsLeftAlone bounds what instances send to a zone that does not
// answer: what they sent before they could notice, and probes.
func TestZoneOutOfReachIsLeftAlone(t *testing.T) {
	const from, to = 10 * time.Second, 20 * time.Second
	g := gomega.NewWithT(t)
	for _, seed := range []uint64{1, 2, 3} {
		m := newModel(seed, []string{"north", "middle", "south"}, []int{12, 12, 12})
		m.perZone = 120
		cutOff("middle-a", from, to)(m)
		lost := map[string]int{}
		m.lost = func(from deployment.Place) { lost[from.Zone]++ }
		m.run(length)
		for _, place := range m.zones {
			if place.Zone == "middle-a" {
				continue
			}
			// An instance notices when its first requests are late: it has sent what
			// half a second brings of the share of one zone in six by then, or of all
			// that its own region holds. From then on it sends one request a second.
			share := 1.0 / 6
			if place.Region == "middle" {
				share = 1.0 / 2
			}
			most := share*0.5*m.perZone + to.Seconds() - from.Seconds()
			g.Expect(float64(lost[place.Zone])).To(gomega.BeNumerically("<=", most), "seed %d, %s", seed, place.Zone)
		}
	}
}

// comeBack restarts an upstream and lets the instances know half a second later.
func (m *model) comeBack(s *server, cold time.Duration) {
	s.restart(cold)
	reported := s.Upstream
	m.at(500*time.Millisecond, func() { m.cores(func(c *steering.Core) { c.SetUpstream(m.now, reported) }) })
}

func TestPatterns(t *testing.T) {
	for _, p := range patterns() {
		t.Run(p.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			m := deploymentModel(7)
			p.prepare(m)
			m.run(length)
			plain := deploymentModel(7)
			useLeastLoaded(plain)
			p.prepare(plain)
			plain.run(length)

			got, was := m.stats.all(), plain.stats.all()
			t.Logf("credit %.3f (least loaded %.3f) %+v", got.credit(), was.credit(), got)
			g.Expect(got.credit()).To(gomega.BeNumerically(">=", p.least))
			g.Expect(got.credit()).To(gomega.BeNumerically(">", was.credit()), "users get more than by the plain rule")
			if p.calm {
				g.Expect(float64(got.refused)).To(gomega.BeNumerically("<=", 0.01*float64(got.asked)))
			}
			for zone, z := range m.stats.zones {
				g.Expect(z.credit()).To(gomega.BeNumerically(">=", got.credit()/2), "zone %s", zone)
			}
			expectLimits(g, m)
		})
	}
}

// expectLimits checks what the rules sum over all instances.
func expectLimits(g *gomega.WithT, m *model) {
	for _, s := range m.servers {
		if s.Incarnation == 1 {
			continue
		}
		cold := slices.DeleteFunc(slices.Clone(m.sent[s.ID]), func(at time.Time) bool {
			return !at.Before(s.coldTill) || at.Before(s.coldTill.Add(-s.ColdFor))
		})
		g.Expect(mostWithin(cold, time.Second)).To(
			gomega.BeNumerically("<=", coldRate*bounds.ColdRatio+bounds.ColdSlack), "requests in a second to %s while cold", s.ID)
	}
	for _, at := range m.again {
		repeats := countWithin(m.again, at, bounds.RetryWindow)
		asked := countWithin(m.asked, at, bounds.RetryWindow)
		g.Expect(float64(repeats)).To(gomega.BeNumerically("<=", bounds.RetryRatio*float64(asked)+bounds.RetrySlack),
			"repeats within %s", bounds.RetryWindow)
	}
}

// TestRegionsChangeSlowly is the cold start of a region that is short of room:
// first all its upstreams are full, then they know their objects and are not.
func TestRegionsChangeSlowly(t *testing.T) {
	m := newModel(7, []string{"north", "middle", "south"}, []int{6, 5, 2})
	m.perZone = 58
	m.run(length)
	expectSlowShift(gomega.NewWithT(t), m)
}

// TestRegionsChangeSlowlyWithManyInstances is the same where each instance sees a
// few requests a second only, too few to notice a change.
func TestRegionsChangeSlowlyWithManyInstances(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		m := newModel(seed, []string{"north", "middle", "south"}, []int{9, 11, 3})
		// The upstreams have room for two thirds of the requests until they know their objects.
		m.instances, m.perZone, m.objects = 12, 160, 1000
		m.startEntries()
		m.run(length)
		expectSlowShift(gomega.NewWithT(t), m)
	}
}

// expectSlowShift checks the users' bound: from one window to the next, at most
// that share of the requests from the south may change their region.
func expectSlowShift(g *gomega.WithT, m *model) {
	const window = 2 * time.Second
	of := func(from time.Time) map[string]float64 {
		counts, sum := map[string]float64{}, 0.0
		for _, h := range m.homes {
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
	for at := m.start; at.Before(m.start.Add(length - 2*window)); at = at.Add(window / 4) {
		before, after := of(at), of(at.Add(window))
		moved := 0.0
		for _, region := range []string{"north", "middle", "south"} {
			moved += max(after[region]-before[region], 0)
		}
		g.Expect(moved).To(gomega.BeNumerically("<=", bounds.MaxShift), "at %s", at.Sub(m.start))
	}
}

// TestRareObjectsKeepToTheirHomes is a deployment where each instance sees an
// object so rarely that its own memory says little. An object may be learned by
// its two homes, and by one more upstream for requests that find no room there.
func TestRareObjectsKeepToTheirHomes(t *testing.T) {
	const objects, most = 400, 3
	g := gomega.NewWithT(t)
	for _, seed := range []uint64{1, 2, 3} {
		m := newModel(seed, []string{"north", "middle", "south"}, []int{9, 11, 3})
		m.instances, m.perZone, m.objects = 12, 110, objects
		m.startEntries()
		m.run(length)
		g.Expect(float64(m.learned)/(3*objects)).To(gomega.BeNumerically("<=", most), "seed %d", seed)
	}
}

// countWithin counts times from a moment on, for a while. The times ascend.
func countWithin(times []time.Time, from time.Time, window time.Duration) int {
	first, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	last, _ := slices.BinarySearchFunc(times, from.Add(window), time.Time.Compare)
	return last - first
}

func mostWithin(times []time.Time, window time.Duration) int {
	most := 0
	for _, at := range times {
		most = max(most, countWithin(times, at, window))
	}
	return most
}

func TestModelRepeats(t *testing.T) {
	g := gomega.NewWithT(t)
	var runs []string
	for range 2 {
		m := deploymentModel(3)
		m.run(5 * time.Second)
		runs = append(runs, fmt.Sprint(m.stats.all()))
	}
	g.Expect(runs[0]).To(gomega.Equal(runs[1]))
}
