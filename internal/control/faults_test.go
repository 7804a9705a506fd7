package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// randomSeeds is how many seeds the random faults run with.
const randomSeeds = 100

// TestFaults runs the specs of this file: tables of faults on a fleet of cores.
func TestFaults(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "Faults of a fleet of cores")
}

var _ = ginkgo.DescribeTable("ownership after a fault", ownershipAfterFault, singles())

var _ = ginkgo.DescribeTable("slots through two faults, in both orders and twice the same", slotsThroughPair, pairs())

var _ = ginkgo.DescribeTable("slots through random kills, freezes, cuts, losses and restarts", slotsThroughRandomFaults, seeds())

func singles() []ginkgo.TableEntry {
	var entries []ginkgo.TableEntry
	for _, tc := range faultCases {
		entries = append(entries, ginkgo.Entry(tc.name, tc))
	}
	return entries
}

func pairs() []ginkgo.TableEntry {
	var entries []ginkgo.TableEntry
	for _, first := range faultCases {
		for _, second := range faultCases {
			entries = append(entries, ginkgo.Entry(first.name+", then "+second.name, first, second))
		}
	}
	return entries
}

func seeds() []ginkgo.TableEntry {
	var entries []ginkgo.TableEntry
	for seed := int64(1); seed <= randomSeeds; seed++ {
		entries = append(entries, ginkgo.Entry(fmt.Sprintf("seed %d", seed), seed))
	}
	return entries
}

func ownershipAfterFault(tc faultCase) {
	f := newFleet(ginkgo.GinkgoTB(), 3, 1)
	f.steps(5 * time.Second)
	tc.fault(f)
	f.steps(tc.after)
	gomega.Expect(f.owners(tc.zone)).To(gomega.HaveLen(tc.owners))
	gomega.Expect(f.slotsIn(tc.zone)).To(gomega.Equal(tc.slots))
}

// slotsThroughPair relies on the fleet, which checks slots after every step.
func slotsThroughPair(first, second faultCase) {
	f := newFleet(ginkgo.GinkgoTB(), 3, 1)
	f.steps(5 * time.Second)
	apply(f, first.fault)
	f.steps(1700 * time.Millisecond)
	apply(f, second.fault)
	f.steps(8 * time.Second)
}

func slotsThroughRandomFaults(seed int64) {
	f := newFleet(ginkgo.GinkgoTB(), 2, seed)
	f.loss = 0.05
	for range 60 {
		f.randomFault()
		f.steps(time.Duration(f.rng.Intn(2500)) * time.Millisecond)
	}
}

// apply skips a fault that needs an owner where there is none at the moment.
func apply(f *fleet, fault func(f *fleet)) {
	if len(f.owners("r0z0")) == 0 {
		f.steps(4 * time.Second)
	}
	if len(f.owners("r0z0")) > 0 {
		fault(f)
	}
}

func (f *fleet) randomFault() {
	inst := f.ix.instances[f.rng.Intn(len(f.ix.instances))].Name
	n := f.nodes[inst]
	// Zones are cut from one another, never within.
	first := f.rng.Intn(len(f.ix.zones))
	other := (first + 1 + f.rng.Intn(len(f.ix.zones)-1)) % len(f.ix.zones)
	a, b := f.ix.zones[first].name, f.ix.zones[other].name
	switch f.rng.Intn(8) {
	case 0:
		f.kill(inst)
	case 1, 2:
		if n.down {
			f.boot(inst)
		}
	case 3:
		n.paused = !n.down
	case 4:
		n.paused = false
	case 5:
		f.cut = cutZones(a, b, f.rng.Intn(2) == 0, f.rng.Intn(2) == 0)
	case 6:
		f.cut = func(string, string) bool { return false }
	case 7:
		if !n.down && !n.paused {
			n.core.Leave()
		}
	}
}

// faultCase is a fault on a running fleet, the time after it and the outcome.
type faultCase struct {
	name   string
	fault  func(f *fleet)
	after  time.Duration
	zone   string
	owners int
	slots  int
}

var faultCases = []faultCase{
	{"owner of a zone with two is killed", func(f *fleet) { f.kill(f.owners("r0z0")[0]) }, 4 * time.Second, "r0z0", 1, 8},
	{"only instance of a zone is killed", func(f *fleet) { f.kill("r0z1-0") }, 4 * time.Second, "r0z1", 1, 2},
	{"killed and replaced by one that knows nothing", func(f *fleet) {
		f.kill("r0z1-0")
		f.steps(time.Second)
		f.boot("r0z1-0")
	}, 8 * time.Second, "r0z1", 1, 8},
	{"only instance is frozen for long", func(f *fleet) { f.nodes["r0z1-0"].paused = true }, 5 * time.Second, "r0z1", 1, 2},
	{"frozen and thawed", func(f *fleet) {
		f.nodes["r0z1-0"].paused = true
		f.steps(6 * time.Second)
		f.nodes["r0z1-0"].paused = false
	}, 6 * time.Second, "r0z1", 1, 8},
	{"frozen and thawed twice", func(f *fleet) {
		for range 2 {
			f.nodes["r0z1-0"].paused = true
			f.steps(1300 * time.Millisecond)
			f.nodes["r0z1-0"].paused = false
			f.steps(700 * time.Millisecond)
		}
	}, 6 * time.Second, "r0z1", 1, 8},
	{"cut between the zones of a region", func(f *fleet) { f.cut = cutZones("r2z0", "r2z1", true, true) }, 6 * time.Second, "r2z1", 2, 8},
	{"one-way cut towards the adopter", func(f *fleet) { f.cut = cutZones("r2z1", "r2z0", true, false) }, 6 * time.Second, "r2z1", 2, 8},
	{"one-way cut from the adopter", func(f *fleet) { f.cut = cutZones("r2z0", "r2z1", true, false) }, 6 * time.Second, "r2z1", 1, 6},
	{"cut and healed", func(f *fleet) {
		f.cut = cutZones("r2z0", "r2z1", true, true)
		f.steps(8 * time.Second)
		f.cut = func(string, string) bool { return false }
	}, 4 * time.Second, "r2z1", 1, 8},
	{"planned stop of the only instance", func(f *fleet) {
		f.nodes["r2z1-0"].core.Leave()
		f.steps(3 * time.Second)
		f.nodes["r2z1-0"].core.Retire()
		f.deliver(f.nodes["r2z1-0"])
		f.steps(testTimeout)
		f.nodes["r2z1-0"].core.Finish()
		f.deliver(f.nodes["r2z1-0"])
		f.kill("r2z1-0")
	}, time.Second, "r2z1", 1, 2},
	{"planned stop in a zone with two", func(f *fleet) { f.nodes[f.owners("r0z0")[0]].core.Leave() }, 4 * time.Second, "r0z0", 1, 8},
}
