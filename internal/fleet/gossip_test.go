package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

const (
	// zoneDetectionLimit bounds the time until a failure is known in its own zone; callers wait
	// for the failed instance until then. globalDetectionLimit bounds the time until it is known
	// to all instances. It is below the 4 s for which an answer of the platform counts as recent.
	zoneDetectionLimit   = 1700 * time.Millisecond
	globalDetectionLimit = 3500 * time.Millisecond
)

// TestGossipWithoutFaults guards against false failures in deployments of several sizes, and
// against traffic of an instance that depends on more than the size of its zone and the number
// of zones.
func TestGossipWithoutFaults(t *testing.T) {
	const duration = 5 * time.Second
	for _, size := range []struct{ zones, members int }{{6, 1}, {9, 3}, {9, 22}, {9, 34}, {18, 22}} {
		t.Run(fmt.Sprint(size.zones*size.members), func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			sim := newSimulation(size.zones, size.members, 1)
			sim.run(3 * time.Second)
			for _, member := range sim.members {
				member.sent, member.received, member.crossRegion = traffic{}, traffic{}, traffic{}
			}
			wrong := 0
			for range 5 {
				sim.run(duration / 5)
				wrong += sim.wrongViews(anyPair)
			}
			g.Expect(wrong).To(gomega.BeZero())
			var sent, received, crossRegion int
			for _, member := range sim.members {
				sent += member.sent.datagrams
				received += member.received.bytes
				crossRegion += member.crossRegion.bytes
			}
			n, seconds := len(sim.members), int(duration/time.Second)
			t.Logf("%d zones of %d: datagrams sent by an instance %.1f/s, bytes received by an instance %d/s, bytes between regions in total %d/s",
				size.zones, size.members, float64(sent)/float64(n*seconds), received/(n*seconds), crossRegion/seconds)
			// The specified deployment size allows an instance 17 KB/s of control traffic.
			g.Expect(received / (n * seconds)).To(gomega.BeNumerically("<", 17_000))
			// Two digests per pair of zones and interval.
			digestSize := nameOffset + 8 + tagSize + size.members*entrySize
			pairs := size.zones * (size.zones - 1)
			g.Expect(float64(crossRegion)).To(gomega.BeNumerically("<", float64(2*pairs*digestSize)*duration.Seconds()/sendInterval(n-1).Seconds()))
		})
	}
}

// TestGossipDetectsFailures simulates failures in a deployment of 198 instances.
func TestGossipDetectsFailures(t *testing.T) {
	cases := []struct {
		name string
		fail func(sim *simulation)
	}{
		{"one instance", func(sim *simulation) { sim.zone(1)[5].down = true }},
		{"a speaker", func(sim *simulation) { sim.speakersOf(1)[0].down = true }},
		{"all speakers of a zone", func(sim *simulation) {
			for _, s := range sim.speakersOf(1) {
				s.down = true
			}
		}},
		{"all speakers of all zones", func(sim *simulation) {
			for zone := range 9 {
				for _, s := range sim.speakersOf(zone) {
					s.down = true
				}
			}
		}},
		{"a third of all", func(sim *simulation) {
			for i, member := range sim.members {
				member.down = i%3 == 0
			}
		}},
		{"a zone", func(sim *simulation) {
			for _, member := range sim.zone(1) {
				member.down = true
			}
		}},
		{"a region", func(sim *simulation) {
			for _, member := range sim.members {
				member.down = member.place.Region == "r1"
			}
		}},
		{"a frozen instance", func(sim *simulation) { sim.zone(1)[5].frozen = true }},
	}
	for _, c := range cases {
		for seed := range uint64(2) {
			t.Run(fmt.Sprint(c.name, " ", seed), func(t *testing.T) {
				t.Parallel()
				g := gomega.NewWithT(t)
				sim := newSimulation(9, 22, seed)
				sim.lossRate = 0.02
				sim.run(4 * time.Second)
				g.Expect(sim.wrongViews(anyPair)).To(gomega.BeZero())
				c.fail(sim)
				zoneTime := sim.untilConverged(zoneDetectionLimit, func(a, b *simInstance) bool { return a.place.Zone == b.place.Zone })
				globalTime := zoneTime + sim.untilConverged(globalDetectionLimit-zoneTime, anyPair)
				t.Logf("known in the zone after %s, to all instances after %s", zoneTime, globalTime)
				g.Expect(zoneTime).To(gomega.BeNumerically("<", zoneDetectionLimit))
				g.Expect(globalTime).To(gomega.BeNumerically("<", globalDetectionLimit))
				for _, member := range sim.members {
					member.frozen = false
				}
				g.Expect(sim.untilConverged(globalDetectionLimit, anyPair)).To(gomega.BeNumerically("<", globalDetectionLimit), "instances that run again are alive again")
			})
		}
	}
}

// TestGossipAcrossPartitions checks that instances on one side of a partition regard those on the
// other side as failed, and as alive again after it.
func TestGossipAcrossPartitions(t *testing.T) {
	cases := []struct {
		name   string
		blocks func(a, b *simInstance) bool
	}{
		{"zone", func(a, b *simInstance) bool { return (a.place.Zone == "z1") != (b.place.Zone == "z1") }},
		{"region", func(a, b *simInstance) bool { return (a.place.Region == "r1") != (b.place.Region == "r1") }},
		{"zone, outbound only", func(a, b *simInstance) bool { return a.place.Zone == "z1" && b.place.Zone != "z1" }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			sim := newSimulation(9, 22, 1)
			sim.run(4 * time.Second)
			sim.blocked = c.blocks
			sim.run(globalDetectionLimit)
			for _, viewer := range sim.members {
				for _, p := range viewer.gossip.Table.Peers(sim.now) {
					other := sim.byAddress[p.Name]
					g.Expect(p.Alive).To(gomega.Equal(!c.blocks(other, viewer)), "in the table of %s: %s", viewer.gossip.Self.Name, p.Name)
				}
			}
			sim.blocked = func(_, _ *simInstance) bool { return false }
			g.Expect(sim.untilConverged(globalDetectionLimit, anyPair)).To(gomega.BeNumerically("<", globalDetectionLimit))
		})
	}
}

// TestSpeakerWithoutInboundHeartbeats simulates a speaker whose heartbeats arrive in its zone but
// that receives none from it: its reports of silent instances must not override the other speaker's.
func TestSpeakerWithoutInboundHeartbeats(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	sim := newSimulation(9, 22, 1)
	sim.run(4 * time.Second)
	noInbound := sim.speakersOf(1)[0]
	sim.blocked = func(a, b *simInstance) bool { return b == noInbound && a.place.Zone == noInbound.place.Zone }
	for range 40 {
		sim.run(250 * time.Millisecond)
		g.Expect(sim.wrongViews(func(viewer, _ *simInstance) bool { return viewer != noInbound })).To(gomega.BeZero())
	}
}

// TestGossipDuringRollingStops stops instances one after the other, by planned stops, while
// others are added.
func TestGossipDuringRollingStops(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	sim := newSimulation(9, 22, 1)
	sim.lossRate = 0.02
	sim.run(4 * time.Second)
	for n, member := range sim.zone(2)[:8] {
		member.state = Leaving
		sim.tick(member, true)
		added := sim.add(n%9, fmt.Sprint("added", n))
		sim.registerEverywhere(added)
		sim.schedule(added, sim.now)
		// A stopping instance serves for another 2.4 s.
		sim.run(2 * time.Second)
		for _, viewer := range sim.members {
			if viewer.down || viewer == member {
				continue
			}
			i := slices.IndexFunc(viewer.gossip.Table.Peers(sim.now), func(p Peer) bool { return p.Name == member.gossip.Self.Name })
			g.Expect(viewer.gossip.Table.Peers(sim.now)[i].State).To(gomega.Equal(Leaving), "in the table of %s: %s", viewer.gossip.Self.Name, member.gossip.Self.Name)
			g.Expect(sim.isAlive(viewer, added) || viewer == added).To(gomega.BeTrue())
		}
		member.down = true
	}
	g.Expect(sim.untilConverged(globalDetectionLimit, anyPair)).To(gomega.BeNumerically("<", globalDetectionLimit))
}

// TestAllInstancesOfAZoneLeave guards against other zones that name instances to callers after these
// have closed their listeners: they must know within the time for which a stop allows.
func TestAllInstancesOfAZoneLeave(t *testing.T) {
	for size := range 3 {
		t.Run(fmt.Sprint(size+1), func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			sim := newSimulation(6, size+1, 1)
			sim.run(4 * time.Second)
			for _, member := range sim.zone(1) {
				member.state = Leaving
				sim.tick(member, true)
				sim.run(100 * time.Millisecond)
			}
			sim.run(MinSendInterval - 100*time.Millisecond)
			for _, viewer := range sim.members {
				for _, p := range viewer.gossip.Table.Peers(sim.now) {
					if p.Place.Zone == "z1" {
						g.Expect(p.State).To(gomega.Equal(Leaving), "in the table of %s: %s", viewer.gossip.Self.Name, p.Name)
					}
				}
			}
		})
	}
}

// TestGossipPropagatesRevisions has one instance read a change: every other instance must get a
// report of it directly from an instance of its own zone or, if it is a speaker, of another zone.
func TestGossipPropagatesRevisions(t *testing.T) {
	t.Parallel()
	const limit = 700 * time.Millisecond
	for seed := range uint64(5) {
		g := gomega.NewWithT(t)
		sim := newSimulation(9, 22, seed)
		sim.run(4 * time.Second)
		sim.members[100].knownRevision = 77
		sim.tick(sim.members[100], true)
		sim.run(limit)
		for _, member := range sim.members {
			g.Expect(member.knownRevision).To(gomega.Equal(int64(77)), member.gossip.Self.Name)
		}
	}
}

// TestDigestsOfLargeZones covers zones whose digest does not fit into one datagram.
func TestDigestsOfLargeZones(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	sim := newSimulation(2, 160, 1)
	sim.run(4 * time.Second)
	g.Expect(sim.wrongViews(anyPair)).To(gomega.BeZero())
	sim.zone(0)[7].down = true
	g.Expect(sim.untilConverged(2*globalDetectionLimit, anyPair)).To(gomega.BeNumerically("<", 2*globalDetectionLimit))
}

// TestDigestAppliesToOwnZoneOnly has an instance send a digest entry for an instance of another
// zone, which must be ignored.
func TestDigestAppliesToOwnZoneOnly(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(100, 0)
	a, b, other := registration("a", "n1"), registration("b", "n1"), registration("c", "n2")
	a.Incarnation, b.Incarnation, other.Incarnation = 1, 2, 3
	table := NewTable()
	for _, r := range []Registration{a, b, other} {
		table.Register(now, r)
	}
	sent := message{kind: digest, name: "c", entries: []digestEntry{{incarnation: 2, report: Report{State: Serving}}}}
	table.applyDigest(now, sent)
	g.Expect(table.Peers(now)[1].State).To(gomega.Equal(Starting))
	sent.name = "a"
	table.applyDigest(now, sent)
	g.Expect(table.Peers(now)[1].State).To(gomega.Equal(Serving))
}
