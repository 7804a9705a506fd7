package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

const (
	// withinZone is how soon a failure is known in its zone: callers wait on it until
	// then. everywhere is the same for all instances, below the 4 s for which the
	// platform lets an instance be out of touch.
	withinZone = 1700 * time.Millisecond
	everywhere = 3500 * time.Millisecond
)

// TestSpreadStaysQuiet plays deployments of several sizes without a fault: nobody is
// missed, and what an instance sends and receives depends on its zone and the number
// of zones only.
func TestSpreadStaysQuiet(t *testing.T) {
	const lasts = 5 * time.Second
	for _, size := range []struct{ zones, members int }{{6, 1}, {9, 3}, {9, 22}, {9, 34}, {18, 22}} {
		t.Run(fmt.Sprint(size.zones*size.members), func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			m := newModel(size.zones, size.members, 1)
			m.run(3 * time.Second)
			for _, member := range m.members {
				member.sent, member.got, member.regions = modelCount{}, modelCount{}, modelCount{}
			}
			missed := 0
			for range 5 {
				m.run(lasts / 5)
				missed += m.wrong(everybody)
			}
			g.Expect(missed).To(gomega.BeZero())
			var sent, got, regions int
			for _, member := range m.members {
				sent += member.sent.datagrams
				got += member.got.bytes
				regions += member.regions.bytes
			}
			n, seconds := len(m.members), int(lasts/time.Second)
			t.Logf("%d zones of %d: datagrams sent by an instance %.1f a second, bytes received %d a second, between regions in all %d",
				size.zones, size.members, float64(sent)/float64(n*seconds), got/(n*seconds), regions/seconds)
			// The declared size allows an instance 17 KB a second for control.
			g.Expect(got / (n * seconds)).To(gomega.BeNumerically("<", 17_000))
			// Two digests for each pair of zones in each interval.
			whole := nameAt + 8 + proofSize + size.members*entrySize
			pairs := size.zones * (size.zones - 1)
			g.Expect(float64(regions)).To(gomega.BeNumerically("<", float64(2*pairs*whole)*lasts.Seconds()/interval(n-1).Seconds()))
		})
	}
}

// TestSpreadTellsOfFailures plays failures in a deployment of 198 instances.
func TestSpreadTellsOfFailures(t *testing.T) {
	cases := []struct {
		name string
		fail func(m *model)
	}{
		{"one instance", func(m *model) { m.zone(1)[5].down = true }},
		{"a speaker", func(m *model) { m.speaking(1)[0].down = true }},
		{"all speakers of a zone", func(m *model) {
			for _, s := range m.speaking(1) {
				s.down = true
			}
		}},
		{"all speakers of all zones", func(m *model) {
			for zone := range 9 {
				for _, s := range m.speaking(zone) {
					s.down = true
				}
			}
		}},
		{"a third of all", func(m *model) {
			for i, member := range m.members {
				member.down = i%3 == 0
			}
		}},
		{"a zone", func(m *model) {
			for _, member := range m.zone(1) {
				member.down = true
			}
		}},
		{"a region", func(m *model) {
			for _, member := range m.members {
				member.down = member.place.Region == "r1"
			}
		}},
		{"a frozen instance", func(m *model) { m.zone(1)[5].frozen = true }},
	}
	for _, c := range cases {
		for seed := range uint64(2) {
			t.Run(fmt.Sprint(c.name, " ", seed), func(t *testing.T) {
				t.Parallel()
				g := gomega.NewWithT(t)
				m := newModel(9, 22, seed)
				m.loss = 0.02
				m.run(4 * time.Second)
				g.Expect(m.wrong(everybody)).To(gomega.BeZero())
				c.fail(m)
				near := m.untilRight(withinZone, func(a, b *modelMember) bool { return a.place.Zone == b.place.Zone })
				all := near + m.untilRight(everywhere-near, everybody)
				t.Logf("known in the zone after %s, everywhere after %s", near, all)
				g.Expect(near).To(gomega.BeNumerically("<", withinZone))
				g.Expect(all).To(gomega.BeNumerically("<", everywhere))
				for _, member := range m.members {
					member.frozen = false
				}
				g.Expect(m.untilRight(everywhere, everybody)).To(gomega.BeNumerically("<", everywhere), "those that live are known again")
			})
		}
	}
}

// TestSpreadAcrossCuts has instances on one side of a cut hold those on the other side
// for silent, and know them again after it.
func TestSpreadAcrossCuts(t *testing.T) {
	cases := []struct {
		name   string
		severs func(a, b *modelMember) bool
	}{
		{"zone", func(a, b *modelMember) bool { return (a.place.Zone == "z1") != (b.place.Zone == "z1") }},
		{"region", func(a, b *modelMember) bool { return (a.place.Region == "r1") != (b.place.Region == "r1") }},
		{"zone, what it sends", func(a, b *modelMember) bool { return a.place.Zone == "z1" && b.place.Zone != "z1" }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			m := newModel(9, 22, 1)
			m.run(4 * time.Second)
			m.cut = c.severs
			m.run(everywhere)
			for _, viewer := range m.members {
				for _, p := range viewer.spread.Table.Peers(m.now) {
					other := m.byPeer[p.Name]
					g.Expect(p.Alive).To(gomega.Equal(!c.severs(other, viewer)), "%s of %s", viewer.spread.Self.Name, p.Name)
				}
			}
			m.cut = func(_, _ *modelMember) bool { return false }
			g.Expect(m.untilRight(everywhere, everybody)).To(gomega.BeNumerically("<", everywhere))
		})
	}
}

// TestSpeakerThatHearsNobody is a speaker that its zone hears but that does not hear
// its zone: what it says of the others must not count against the other speaker.
func TestSpeakerThatHearsNobody(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	m := newModel(9, 22, 1)
	m.run(4 * time.Second)
	deaf := m.speaking(1)[0]
	m.cut = func(a, b *modelMember) bool { return b == deaf && a.place.Zone == deaf.place.Zone }
	for range 40 {
		m.run(250 * time.Millisecond)
		g.Expect(m.wrong(func(viewer, _ *modelMember) bool { return viewer != deaf })).To(gomega.BeZero())
	}
}

// TestSpreadOfStopsAndStarts stops instances one after the other, as planned, while
// others are added.
func TestSpreadOfStopsAndStarts(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	m := newModel(9, 22, 1)
	m.loss = 0.02
	m.run(4 * time.Second)
	for n, member := range m.zone(2)[:8] {
		member.state = Leaving
		m.tick(member, true)
		added := m.add(n%9, fmt.Sprint("added", n))
		m.introduce(added)
		m.schedule(added, m.now)
		// An instance that stops serves for 2.4 s more.
		m.run(2 * time.Second)
		for _, viewer := range m.members {
			if viewer.down || viewer == member {
				continue
			}
			i := slices.IndexFunc(viewer.spread.Table.Peers(m.now), func(p Peer) bool { return p.Name == member.spread.Self.Name })
			g.Expect(viewer.spread.Table.Peers(m.now)[i].State).To(gomega.Equal(Leaving), "%s of %s", viewer.spread.Self.Name, member.spread.Self.Name)
			g.Expect(m.isAlive(viewer, added) || viewer == added).To(gomega.BeTrue())
		}
		member.down = true
	}
	g.Expect(m.untilRight(everywhere, everybody)).To(gomega.BeNumerically("<", everywhere))
}

// TestSpreadOfNews has one instance learn of a change: each other hears of it from an
// instance of its own zone, or as a speaker.
func TestSpreadOfNews(t *testing.T) {
	t.Parallel()
	const within = 700 * time.Millisecond
	for seed := range uint64(5) {
		g := gomega.NewWithT(t)
		m := newModel(9, 22, seed)
		m.run(4 * time.Second)
		m.members[100].known = 77
		m.tick(m.members[100], true)
		m.run(within)
		for _, member := range m.members {
			g.Expect(member.known).To(gomega.Equal(int64(77)), member.spread.Self.Name)
		}
	}
}

// TestDigestsOfLargeZones do not fit into one datagram.
func TestDigestsOfLargeZones(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	m := newModel(2, 160, 1)
	m.run(4 * time.Second)
	g.Expect(m.wrong(everybody)).To(gomega.BeZero())
	m.zone(0)[7].down = true
	g.Expect(m.untilRight(2*everywhere, everybody)).To(gomega.BeNumerically("<", 2*everywhere))
}

// TestZoneIsSpokenForByItself has an instance say of another zone that it is silent.
func TestZoneIsSpokenForByItself(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(100, 0)
	a, b, other := registration("a", "n1"), registration("b", "n1"), registration("c", "n2")
	a.Incarnation, b.Incarnation, other.Incarnation = 1, 2, 3
	table := NewTable()
	for _, r := range []Registration{a, b, other} {
		table.Register(now, r)
	}
	said := message{kind: digest, name: "c", entries: []entry{{incarnation: 2, report: Report{State: Serving}}}}
	table.listed(now, said)
	g.Expect(table.Peers(now)[1].State).To(gomega.Equal(Starting))
	said.name = "a"
	table.listed(now, said)
	g.Expect(table.Peers(now)[1].State).To(gomega.Equal(Serving))
}
