package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// randomSeeds is the number of seeds with which the random faults run.
const randomSeeds = 100

// TestFaults runs the specs of this file, which inject faults into a simulated
// fleet.
func TestFaults(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "Faults in a simulated fleet")
}

var _ = ginkgo.DescribeTable("ownership after a fault", checkOwnershipAfterFault, singleFaultEntries())

var _ = ginkgo.DescribeTable("slots stay within limits for each ordered pair of faults, equal ones included", checkSlotsThroughFaultPair, faultPairEntries())

var _ = ginkgo.DescribeTable("slots stay within limits under random kills, pauses, partitions, message loss and restarts", checkSlotsThroughRandomFaults, seedEntries())

func singleFaultEntries() []ginkgo.TableEntry {
	var entries []ginkgo.TableEntry
	for _, tc := range faultCases {
		entries = append(entries, ginkgo.Entry(tc.name, tc))
	}
	return entries
}

func faultPairEntries() []ginkgo.TableEntry {
	var entries []ginkgo.TableEntry
	for _, first := range faultCases {
		for _, second := range faultCases {
			entries = append(entries, ginkgo.Entry(first.name+", then "+second.name, first, second))
		}
	}
	return entries
}

func seedEntries() []ginkgo.TableEntry {
	var entries []ginkgo.TableEntry
	for seed := int64(1); seed <= randomSeeds; seed++ {
		entries = append(entries, ginkgo.Entry(fmt.Sprintf("seed %d", seed), seed))
	}
	return entries
}

func checkOwnershipAfterFault(tc faultCase) {
	f := newFleet(ginkgo.GinkgoTB(), 3, 1)
	f.runFor(5 * time.Second)
	tc.fault(f)
	f.runFor(tc.runTime)
	gomega.Expect(f.owners(tc.zone)).To(gomega.HaveLen(tc.owners))
	gomega.Expect(f.usableSlots(tc.zone)).To(gomega.Equal(tc.slots))
}

// checkSlotsThroughFaultPair has no assertions of its own: fleet.checkInvariants
// checks the slots after every step.
func checkSlotsThroughFaultPair(first, second faultCase) {
	f := newFleet(ginkgo.GinkgoTB(), 3, 1)
	f.runFor(5 * time.Second)
	applyFault(f, first.fault)
	f.runFor(1700 * time.Millisecond)
	applyFault(f, second.fault)
	f.runFor(8 * time.Second)
}

func checkSlotsThroughRandomFaults(seed int64) {
	f := newFleet(ginkgo.GinkgoTB(), 2, seed)
	f.loss = 0.05
	for range 60 {
		f.randomFault()
		f.runFor(time.Duration(f.rng.Intn(2500)) * time.Millisecond)
	}
}

// applyFault injects a fault. If the pool of zone r0z0 has no owner, it waits for
// one, and skips the fault if none appears, since faults may refer to the owner.
func applyFault(f *fleet, fault func(f *fleet)) {
	if len(f.owners("r0z0")) == 0 {
		f.runFor(4 * time.Second)
	}
	if len(f.owners("r0z0")) > 0 {
		fault(f)
	}
}

func (f *fleet) randomFault() {
	inst := f.ix.instances[f.rng.Intn(len(f.ix.instances))].Name
	n := f.nodes[inst]
	// Partitions separate zones, never instances of the same zone.
	first := f.rng.Intn(len(f.ix.zones))
	other := (first + 1 + f.rng.Intn(len(f.ix.zones)-1)) % len(f.ix.zones)
	a, b := f.ix.zones[first].name, f.ix.zones[other].name
	switch f.rng.Intn(8) {
	case 0:
		f.kill(inst)
	case 1, 2:
		if n.down {
			f.startInstance(inst)
		}
	case 3:
		n.paused = !n.down
	case 4:
		n.paused = false
	case 5:
		f.isPartitioned = partitionZones(a, b, f.rng.Intn(2) == 0, f.rng.Intn(2) == 0)
	case 6:
		f.isPartitioned = func(string, string) bool { return false }
	case 7:
		if !n.down && !n.paused {
			n.core.Leave()
		}
	}
}

// faultCase is a fault, the time to run after it, and the expected owners and
// usable slots of the pool in a zone.
type faultCase struct {
	name    string
	fault   func(f *fleet)
	runTime time.Duration
	zone    string
	owners  int
	slots   int
}

var faultCases = []faultCase{
	{"owner is killed in a zone with two instances", func(f *fleet) { f.kill(f.owners("r0z0")[0]) }, 4 * time.Second, "r0z0", 1, 8},
	{"only instance of a zone is killed without replacement", func(f *fleet) { f.kill("r0z1-0") }, 4 * time.Second, "r0z1", 1, 2},
	{"only instance is killed and restarted without its state", func(f *fleet) {
		f.kill("r0z1-0")
		f.runFor(time.Second)
		f.startInstance("r0z1-0")
	}, 8 * time.Second, "r0z1", 1, 8},
	{"only instance is paused for longer than a lease", func(f *fleet) { f.nodes["r0z1-0"].paused = true }, 5 * time.Second, "r0z1", 1, 2},
	{"only instance is paused and resumed", func(f *fleet) {
		f.nodes["r0z1-0"].paused = true
		f.runFor(6 * time.Second)
		f.nodes["r0z1-0"].paused = false
	}, 6 * time.Second, "r0z1", 1, 8},
	{"only instance is paused and resumed twice", func(f *fleet) {
		for range 2 {
			f.nodes["r0z1-0"].paused = true
			f.runFor(1300 * time.Millisecond)
			f.nodes["r0z1-0"].paused = false
			f.runFor(700 * time.Millisecond)
		}
	}, 6 * time.Second, "r0z1", 1, 8},
	{"partition between the zones of a region", func(f *fleet) { f.isPartitioned = partitionZones("r2z0", "r2z1", true, true) }, 6 * time.Second, "r2z1", 2, 8},
	{"one-way partition towards the adopter", func(f *fleet) { f.isPartitioned = partitionZones("r2z1", "r2z0", true, false) }, 6 * time.Second, "r2z1", 2, 8},
	{"one-way partition from the adopter", func(f *fleet) { f.isPartitioned = partitionZones("r2z0", "r2z1", true, false) }, 6 * time.Second, "r2z1", 1, 6},
	{"partition that heals", func(f *fleet) {
		f.isPartitioned = partitionZones("r2z0", "r2z1", true, true)
		f.runFor(8 * time.Second)
		f.isPartitioned = func(string, string) bool { return false }
	}, 4 * time.Second, "r2z1", 1, 8},
	{"planned stop of the only instance", func(f *fleet) {
		f.nodes["r2z1-0"].core.Leave()
		f.runFor(3 * time.Second)
		f.nodes["r2z1-0"].core.ReleaseAllPools()
		f.deliverReady(f.nodes["r2z1-0"])
		f.runFor(testDispatchTimeout)
		f.nodes["r2z1-0"].core.Finish()
		f.deliverReady(f.nodes["r2z1-0"])
		f.kill("r2z1-0")
	}, time.Second, "r2z1", 1, 2},
	{"planned stop of the owner in a zone with two instances", func(f *fleet) { f.nodes[f.owners("r0z0")[0]].core.Leave() }, 4 * time.Second, "r0z0", 1, 8},
}
