package control

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/work"
)

// partitionOneWay returns a partition that drops the messages from instance a to
// instance b.
func partitionOneWay(a, b string) func(from, to string) bool {
	return func(from, to string) bool { return from == a && to == b }
}

func noPartition(string, string) bool { return false }

// designatedOwner returns the instance that is to own the pool of zone r0z0, and
// the other instance of the zone.
func designatedOwner(f *fleet) (designated, other string) {
	id := work.PoolID{Service: "orders", Zone: "r0z0"}
	zone := f.ix.zones[f.ix.pools[f.ix.byPool[id]].zone].instances
	first := f.ix.best("pool/"+id.String(), zone)
	for _, i := range zone {
		if i != first {
			other = f.ix.instances[i].Name
		}
	}
	return f.ix.instances[first].Name, other
}

// TestClaimWaitsForAllLiveZonePeers guards against owning a pool before the other
// live instance of the zone has acknowledged the claim. Its messages are lost
// during the claim, for less than a lease.
func TestClaimWaitsForAllLiveZonePeers(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(t, 1, 1)
	designated, other := designatedOwner(f)
	p := f.ix.byPool[work.PoolID{Service: "orders", Zone: "r0z0"}]
	for range int(3 * time.Second / testTick) {
		if f.step(); !f.nodes[designated].core.pools[p].claimedAt.IsZero() {
			break
		}
	}
	g.Expect(f.nodes[designated].core.pools[p].claimedAt).NotTo(gomega.BeZero())
	f.isPartitioned = partitionOneWay(other, designated)
	f.runFor(time.Second)
	g.Expect(f.hasOwner("r0z0")).To(gomega.BeFalse())
	f.isPartitioned = noPartition
	f.runFor(time.Second)
	g.Expect(f.owners("r0z0")).To(gomega.Equal([]string{designated}))
}

// TestNoGrantWhileFormerAdopterMayDispatch guards against granting reserved slots
// to the home zone while dispatches of a killed adopter are in flight. The adopter
// is killed when the zone resumes after a long pause, at each phase of the
// adopter's dispatches.
func TestNoGrantWhileFormerAdopterMayDispatch(t *testing.T) {
	for phase := range int(testDispatchTimeout / testTick) {
		f := newFleet(t, 1, 1)
		f.runFor(5 * time.Second)
		home := f.nodes["r0z1-0"]
		home.paused = true
		f.runFor(8*time.Second + time.Duration(phase)*testTick)
		gomega.NewWithT(t).Expect(f.owners("r0z1")).To(gomega.HaveLen(1))
		f.kill(f.owners("r0z1")[0])
		home.paused = false
		f.runFor(8 * time.Second) // checkInvariants runs in each step.
	}
}

// TestCatchUpWaitsForReplacedZonePeer guards against catching up without an
// instance that had failed before the pause. The instance is replaced during the
// pause, takes the pool, and its first messages after the pause are lost.
func TestCatchUpWaitsForReplacedZonePeer(t *testing.T) {
	f := newFleet(t, 1, 1)
	f.runFor(5 * time.Second)
	designated, other := designatedOwner(f)
	f.kill(other)
	f.runFor(6 * time.Second)
	f.nodes[designated].paused = true
	f.startInstance(other)
	f.runFor(8 * time.Second)
	gomega.NewWithT(t).Expect(f.owners("r0z0")).To(gomega.Equal([]string{other}))
	f.nodes[designated].paused = false
	f.nodes[designated].buffer = nil
	f.isPartitioned = partitionOneWay(other, designated)
	f.runFor(time.Second)
	f.isPartitioned = noPartition
	f.runFor(8 * time.Second)
}
