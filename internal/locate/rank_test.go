package locate_test

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/control"
	"sycamoreledge.example/internal/locate"
	"sycamoreledge.example/internal/settings"
)

// newTopology returns a topology with the regions r1, r2 and r3, each with zones
// a and b (r1a, r1b and so on). The only path from r1 to r3 leads through r2.
func newTopology() *settings.Topology {
	t := &settings.Topology{
		Links: []settings.Link{
			{Between: []string{"r1", "r2"}, Latency: 20},
			{Between: []string{"r2", "r3"}, Latency: 30},
		},
		Blocks: []settings.Block{
			{Prefix: "10.1.0.0/16", Zone: "r1a"},
			{Prefix: "10.3.0.0/16", Zone: "r3a"},
		},
	}
	for _, region := range []string{"r1", "r2", "r3"} {
		t.Regions = append(t.Regions, settings.Region{
			Name: region, Zones: []settings.Zone{{Name: region + "a"}, {Name: region + "b"}},
		})
	}
	return t
}

// newSnapshot returns a snapshot with one serving instance per zone, named after
// the zone.
func newSnapshot() *control.Snapshot {
	s := &control.Snapshot{Self: "r2a", Zone: "r2a", DrainedZones: map[string]bool{}}
	for _, zone := range []string{"r1a", "r1b", "r2a", "r2b", "r3a", "r3b"} {
		s.Instances = append(s.Instances, control.InstanceView{
			Name: zone, Zone: zone, Region: zone[:2], Alive: true, State: control.Serving,
		})
	}
	return s
}

func instanceNamed(s *control.Snapshot, name string) *control.InstanceView {
	for i := range s.Instances {
		if s.Instances[i].Name == name {
			return &s.Instances[i]
		}
	}
	return nil
}

func newRanker(t *testing.T) *locate.Ranker {
	t.Helper()
	table, err := locate.FromTopology(newTopology())
	if err != nil {
		t.Fatal(err)
	}
	return locate.NewRanker(newTopology(), table)
}

func instanceNames(list []control.InstanceView) []string {
	all := make([]string, 0, len(list))
	for _, e := range list {
		all = append(all, e.Name)
	}
	return all
}

func TestRankOrder(t *testing.T) {
	cases := []struct {
		name   string
		client string
		modify func(s *control.Snapshot)
		want   []string
	}{
		{
			name: "own zone, region, nearer region", client: "10.1.2.3",
			want: []string{"r1a", "r1b", "r2*", "r2*", "r3*", "r3*"},
		},
		{
			name: "distance over two links", client: "10.3.0.1",
			want: []string{"r3a", "r3b", "r2*", "r2*", "r1*", "r1*"},
		},
		{
			name: "unknown address is treated as the ranking instance's zone", client: "192.0.2.1",
			want: []string{"r2a", "r2b", "r1*", "r1*", "r3*", "r3*"},
		},
		{
			name: "dead, leaving and not yet serving instances are left out", client: "10.1.2.3",
			modify: func(s *control.Snapshot) {
				instanceNamed(s, "r1a").Alive = false
				instanceNamed(s, "r1b").State = control.Leaving
				instanceNamed(s, "r2a").State = control.Left
				instanceNamed(s, "r3a").State = control.Joining
				instanceNamed(s, "r3b").State = control.CatchingUp
			},
			want: []string{"r2*"},
		},
		{
			name: "drained zones come last", client: "10.1.2.3",
			modify: func(s *control.Snapshot) {
				s.DrainedZones["r1a"], s.DrainedZones["r2a"] = true, true
			},
			want: []string{"r1b", "r2*", "r3*", "r3*", "r1a", "r2*"},
		},
		{
			name: "no instance serves: alive ones are used", client: "10.1.2.3",
			modify: func(s *control.Snapshot) {
				for i := range s.Instances {
					s.Instances[i].Alive = false
				}
				instanceNamed(s, "r2b").Alive, instanceNamed(s, "r2b").State = true, control.CatchingUp
			},
			want: []string{"r2*"},
		},
		{
			name: "nobody", client: "10.1.2.3",
			modify: func(s *control.Snapshot) { s.Instances = nil },
			want:   []string{},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := newSnapshot()
			if c.modify != nil {
				c.modify(s)
			}
			got := instanceNames(newRanker(t).Rank(s, netip.MustParseAddr(c.client)))
			g.Expect(got).To(gomega.HaveLen(len(c.want)), fmt.Sprint(got))
			for i, want := range c.want {
				if want[2] == '*' {
					got[i] = got[i][:2] + "*"
				}
				g.Expect(got[i]).To(gomega.Equal(want), fmt.Sprint(got))
			}
		})
	}
}

func TestRankUsesNewSnapshotImmediately(t *testing.T) {
	g := gomega.NewWithT(t)
	ranker := newRanker(t)
	client := netip.MustParseAddr("10.1.2.3")
	g.Expect(ranker.Rank(newSnapshot(), client)[0].Name).To(gomega.Equal("r1a"))
	s := newSnapshot()
	instanceNamed(s, "r1a").State = control.Leaving
	g.Expect(ranker.Rank(s, client)[0].Name).To(gomega.Equal("r1b"))
}

func TestEqualInstancesAreSpreadAndStable(t *testing.T) {
	g := gomega.NewWithT(t)
	const instances, clients = 12, 6000
	s := &control.Snapshot{Zone: "r1a"}
	for i := range instances {
		s.Instances = append(s.Instances, control.InstanceView{
			Name: fmt.Sprint("e", i), Zone: "r1a", Alive: true, State: control.Serving,
		})
	}
	ranker := newRanker(t)
	firstCounts := map[string]int{}
	firstBefore := make([]string, clients)
	client := func(i int) netip.Addr { return netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}) }
	for i := range firstBefore {
		list := ranker.Rank(s, client(i))
		g.Expect(list).To(gomega.HaveLen(locate.MaxRanked))
		firstBefore[i] = list[0].Name
		firstCounts[firstBefore[i]]++
	}
	for name, count := range firstCounts {
		g.Expect(count).To(gomega.BeNumerically("~", clients/instances, clients/instances/4), name)
	}

	without := *s
	without.Instances = s.Instances[1:]
	for i := range firstBefore {
		firstNow := ranker.Rank(&without, client(i))[0].Name
		if firstBefore[i] != "e0" {
			g.Expect(firstNow).To(gomega.Equal(firstBefore[i]))
		}
	}
}
