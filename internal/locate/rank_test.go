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

// topology has the regions r1, r2 and r3 with the zones r1a, r1b and so on; r1
// reaches r3 over r2 alone.
func topology() *settings.Topology {
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

// snapshot has one serving instance in each zone, named as the zone.
func snapshot() *control.Snapshot {
	s := &control.Snapshot{Self: "r2a", Zone: "r2a", DrainedZones: map[string]bool{}}
	for _, zone := range []string{"r1a", "r1b", "r2a", "r2b", "r3a", "r3b"} {
		s.Entries = append(s.Entries, control.EntryView{
			Name: zone, Zone: zone, Region: zone[:2], Alive: true, State: control.Serving,
		})
	}
	return s
}

func entry(s *control.Snapshot, name string) *control.EntryView {
	for i := range s.Entries {
		if s.Entries[i].Name == name {
			return &s.Entries[i]
		}
	}
	return nil
}

func newRanker(t *testing.T) *locate.Ranker {
	t.Helper()
	table, err := locate.FromTopology(topology())
	if err != nil {
		t.Fatal(err)
	}
	return locate.NewRanker(topology(), table)
}

func names(list []control.EntryView) []string {
	all := make([]string, 0, len(list))
	for _, e := range list {
		all = append(all, e.Name)
	}
	return all
}

func TestOrderByDistance(t *testing.T) {
	cases := []struct {
		name   string
		client string
		spoil  func(s *control.Snapshot)
		expect []string
	}{
		{
			name: "own zone, region, nearer region", client: "10.1.2.3",
			expect: []string{"r1a", "r1b", "r2*", "r2*", "r3*", "r3*"},
		},
		{
			name: "distance over two links", client: "10.3.0.1",
			expect: []string{"r3a", "r3b", "r2*", "r2*", "r1*", "r1*"},
		},
		{
			name: "unknown block counts as the answering zone", client: "192.0.2.1",
			expect: []string{"r2a", "r2b", "r1*", "r1*", "r3*", "r3*"},
		},
		{
			name: "dead and leaving are left out", client: "10.1.2.3",
			spoil: func(s *control.Snapshot) {
				entry(s, "r1a").Alive = false
				entry(s, "r1b").State = control.Leaving
				entry(s, "r2a").State = control.Left
				entry(s, "r3a").State = control.Joining
				entry(s, "r3b").State = control.CatchingUp
			},
			expect: []string{"r2*"},
		},
		{
			name: "drained zones come last", client: "10.1.2.3",
			spoil: func(s *control.Snapshot) {
				s.DrainedZones["r1a"], s.DrainedZones["r2a"] = true, true
			},
			expect: []string{"r1b", "r2*", "r3*", "r3*", "r1a", "r2*"},
		},
		{
			name: "none serves: those that are alive", client: "10.1.2.3",
			spoil: func(s *control.Snapshot) {
				for i := range s.Entries {
					s.Entries[i].Alive = false
				}
				entry(s, "r2b").Alive, entry(s, "r2b").State = true, control.CatchingUp
			},
			expect: []string{"r2*"},
		},
		{
			name: "nobody", client: "10.1.2.3",
			spoil:  func(s *control.Snapshot) { s.Entries = nil },
			expect: []string{},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := snapshot()
			if c.spoil != nil {
				c.spoil(s)
			}
			got := names(newRanker(t).Rank(s, netip.MustParseAddr(c.client)))
			g.Expect(got).To(gomega.HaveLen(len(c.expect)), fmt.Sprint(got))
			for i, want := range c.expect {
				if want[2] == '*' {
					got[i] = got[i][:2] + "*"
				}
				g.Expect(got[i]).To(gomega.Equal(want), fmt.Sprint(got))
			}
		})
	}
}

func TestNewSnapshotIsFollowedAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	ranker := newRanker(t)
	client := netip.MustParseAddr("10.1.2.3")
	g.Expect(ranker.Rank(snapshot(), client)[0].Name).To(gomega.Equal("r1a"))
	s := snapshot()
	entry(s, "r1a").State = control.Leaving
	g.Expect(ranker.Rank(s, client)[0].Name).To(gomega.Equal("r1b"))
}

func TestEqualsAreSpreadAndStable(t *testing.T) {
	g := gomega.NewWithT(t)
	const members, clients = 12, 6000
	s := &control.Snapshot{Zone: "r1a"}
	for i := range members {
		s.Entries = append(s.Entries, control.EntryView{
			Name: fmt.Sprint("e", i), Zone: "r1a", Alive: true, State: control.Serving,
		})
	}
	ranker := newRanker(t)
	firsts := map[string]int{}
	before := make([]string, clients)
	client := func(i int) netip.Addr { return netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}) }
	for i := range before {
		list := ranker.Rank(s, client(i))
		g.Expect(list).To(gomega.HaveLen(locate.MaxEntries))
		before[i] = list[0].Name
		firsts[before[i]]++
	}
	for name, count := range firsts {
		g.Expect(count).To(gomega.BeNumerically("~", clients/members, clients/members/4), name)
	}

	without := *s
	without.Entries = s.Entries[1:]
	for i := range before {
		now := ranker.Rank(&without, client(i))[0].Name
		if before[i] != "e0" {
			g.Expect(now).To(gomega.Equal(before[i]))
		}
	}
}
