package locate_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/locate"
	"sycamoreledge.example/internal/settings"
)

func newChange(prefix, zone string) locate.BlockAssignment {
	return locate.BlockAssignment{Prefix: netip.MustParsePrefix(prefix), Zone: zone}
}

func TestLongestPrefixWins(t *testing.T) {
	g := gomega.NewWithT(t)
	table, err := locate.NewTable([]locate.BlockAssignment{
		newChange("0.0.0.0/0", "default"),
		newChange("10.0.0.0/8", "eight"),
		newChange("10.1.0.0/16", "sixteen"),
		newChange("10.1.0.0/24", "twentyfour"),
		newChange("10.1.0.0/28", "twentyeight"),
		newChange("10.1.9.0/24", "nine"),
		newChange("10.1.9.7/32", "host"),
		newChange("2001:db8::/32", "six"),
		newChange("2001:db8:1::/48", "longsix"),
	})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(table.Len()).To(gomega.Equal(9))
	cases := map[string]string{
		"11.0.0.1":         "default",
		"10.2.0.1":         "eight",
		"10.1.5.5":         "sixteen",
		"10.1.0.200":       "twentyfour",
		"10.1.0.15":        "twentyeight",
		"10.1.0.16":        "twentyfour",
		"10.1.1.0":         "sixteen",
		"10.1.9.6":         "nine",
		"10.1.9.7":         "host",
		"10.1.9.8":         "nine",
		"10.1.255.255":     "sixteen",
		"::ffff:10.1.9.7":  "host",
		"2001:db8:2::1":    "six",
		"2001:db8:1:2::3":  "longsix",
		"2001:db9::1":      "",
		"fe80::1%loopback": "",
	}
	for addr, want := range cases {
		zone, ok := table.Zone(netip.MustParseAddr(addr))
		g.Expect(zone).To(gomega.Equal(want), addr)
		g.Expect(ok).To(gomega.Equal(want != ""), addr)
	}
	_, ok := table.Zone(netip.Addr{})
	g.Expect(ok).To(gomega.BeFalse())
}

func TestInvalidBlocksAreRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	_, err := locate.NewTable([]locate.BlockAssignment{{Zone: "z"}})
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("invalid address block")))
	_, err = locate.NewTable([]locate.BlockAssignment{newChange("::ffff:10.0.0.0/90", "z")})
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("mixes IPv4 and IPv6")))
	_, err = locate.FromTopology(&settings.Topology{Blocks: []settings.Block{{Prefix: "x", Zone: "z"}}})
	g.Expect(err).To(gomega.HaveOccurred())
}

// linearTable is a reference implementation that searches all blocks.
type linearTable map[netip.Prefix]string

func (m linearTable) zone(addr netip.Addr) (string, bool) {
	best, zone, ok := -1, "", false
	for prefix, z := range m {
		if prefix.Contains(addr) && prefix.Bits() > best {
			best, zone, ok = prefix.Bits(), z, true
		}
	}
	return zone, ok
}

// randomPrefix returns a random prefix within a few /16 blocks, so that blocks
// are often nested, adjacent or equal.
func randomPrefix(r *rand.Rand) netip.Prefix {
	addr := netip.AddrFrom4([4]byte{10, byte(r.IntN(3)), byte(r.IntN(4)), byte(r.IntN(256))})
	prefix, err := addr.Prefix(6 + r.IntN(27))
	if err != nil {
		panic(err)
	}
	return prefix
}

func TestTableMatchesLinearSearch(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			g := gomega.NewWithT(t)
			r := rand.New(rand.NewPCG(seed, 0))
			expected := linearTable{}
			table, err := locate.NewTable(nil)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			for range 60 {
				var changes []locate.BlockAssignment
				for range 1 + r.IntN(20) {
					c := locate.BlockAssignment{Prefix: randomPrefix(r), Zone: fmt.Sprint("z", r.IntN(6))}
					if r.IntN(3) == 0 {
						c.Zone = ""
					}
					changes = append(changes, c)
					delete(expected, c.Prefix)
					if c.Zone != "" {
						expected[c.Prefix] = c.Zone
					}
				}
				table, err = table.Apply(changes)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				expectSameZones(t, r, table, expected)
			}
		})
	}
}

func expectSameZones(t *testing.T, r *rand.Rand, table *locate.Table, expected linearTable) {
	t.Helper()
	if table.Len() != len(expected) {
		t.Fatalf("table has %d blocks, want %d", table.Len(), len(expected))
	}
	for range 200 {
		addr := netip.AddrFrom4([4]byte{10, byte(r.IntN(4)), byte(r.IntN(5)), byte(r.IntN(256))})
		zone, ok := table.Zone(addr)
		wantZone, wantOK := expected.zone(addr)
		if zone != wantZone || ok != wantOK {
			t.Fatalf("%s: got %q %v, want %q %v", addr, zone, ok, wantZone, wantOK)
		}
	}
}

func TestApplyLeavesOlderVersionsUnchanged(t *testing.T) {
	g := gomega.NewWithT(t)
	first, err := locate.NewTable([]locate.BlockAssignment{newChange("10.0.0.0/24", "a"), newChange("2001:db8::/32", "a")})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	second, err := first.Apply([]locate.BlockAssignment{
		newChange("10.0.0.0/24", "b"), newChange("10.0.1.0/24", "b"), newChange("2001:db8::/32", "b"),
	})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	third, err := second.Apply([]locate.BlockAssignment{newChange("10.0.0.0/24", ""), newChange("10.0.1.0/24", "c")})
	g.Expect(err).NotTo(gomega.HaveOccurred())

	zones := func(table *locate.Table) []string {
		var all []string
		for _, addr := range []string{"10.0.0.1", "10.0.1.1", "2001:db8::1"} {
			zone, _ := table.Zone(netip.MustParseAddr(addr))
			all = append(all, zone)
		}
		return all
	}
	g.Expect(zones(first)).To(gomega.Equal([]string{"a", "", "a"}))
	g.Expect(zones(second)).To(gomega.Equal([]string{"b", "b", "b"}))
	g.Expect(zones(third)).To(gomega.Equal([]string{"", "c", "b"}))
	g.Expect([]int{first.Len(), second.Len(), third.Len()}).To(gomega.Equal([]int{2, 3, 2}))
}
