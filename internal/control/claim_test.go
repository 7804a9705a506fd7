package control

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/work"
)

// oneWay cuts the messages from one instance to another.
func oneWay(a, b string) func(from, to string) bool {
	return func(from, to string) bool { return from == a && to == b }
}

func uncut(string, string) bool { return false }

// winnerOf returns the instance that is to own the pool of the zone r0z0, and
// the other instance of the zone.
func winnerOf(f *fleet) (winner, mate string) {
	id := work.PoolID{Service: "orders", Zone: "r0z0"}
	zone := f.ix.zones[f.ix.pools[f.ix.byPool[id]].zone].instances
	first := f.ix.best("pool/"+id.String(), zone)
	for _, i := range zone {
		if i != first {
			mate = f.ix.instances[i].Name
		}
	}
	return f.ix.instances[first].Name, mate
}

// TestClaimWaitsForEveryLiveMate loses the mate's messages while a claim is
// announced, for less than a lease.
func TestClaimWaitsForEveryLiveMate(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(t, 1, 1)
	winner, mate := winnerOf(f)
	p := f.ix.byPool[work.PoolID{Service: "orders", Zone: "r0z0"}]
	for range int(3 * time.Second / testTick) {
		if f.step(); !f.nodes[winner].core.pools[p].claimedAt.IsZero() {
			break
		}
	}
	g.Expect(f.nodes[winner].core.pools[p].claimedAt).NotTo(gomega.BeZero())
	f.cut = oneWay(mate, winner)
	f.steps(time.Second)
	g.Expect(f.owned("r0z0")).To(gomega.BeFalse())
	f.cut = uncut
	f.steps(time.Second)
	g.Expect(f.owners("r0z0")).To(gomega.Equal([]string{winner}))
}

// TestNoGrantWhileAFormerHolderMayDispatch kills the adopter of a zone in the
// moment in which the zone comes back from a long pause, at each phase of the
// adopter's dispatches.
func TestNoGrantWhileAFormerHolderMayDispatch(t *testing.T) {
	for phase := range int(testTimeout / testTick) {
		f := newFleet(t, 1, 1)
		f.steps(5 * time.Second)
		home := f.nodes["r0z1-0"]
		home.paused = true
		f.steps(8*time.Second + time.Duration(phase)*testTick)
		gomega.NewWithT(t).Expect(f.owners("r0z1")).To(gomega.HaveLen(1))
		f.kill(f.owners("r0z1")[0])
		home.paused = false
		f.steps(8 * time.Second) // Each step checks the slots.
	}
}

// TestCatchingUpWaitsForAMateThatHadFailed replaces a dead mate during a pause
// and loses its first messages after it.
func TestCatchingUpWaitsForAMateThatHadFailed(t *testing.T) {
	f := newFleet(t, 1, 1)
	f.steps(5 * time.Second)
	winner, mate := winnerOf(f)
	f.kill(mate)
	f.steps(6 * time.Second)
	f.nodes[winner].paused = true
	f.boot(mate)
	f.steps(8 * time.Second)
	gomega.NewWithT(t).Expect(f.owners("r0z0")).To(gomega.Equal([]string{mate}))
	f.nodes[winner].paused = false
	f.nodes[winner].buffer = nil
	f.cut = oneWay(mate, winner)
	f.steps(time.Second)
	f.cut = uncut
	f.steps(8 * time.Second)
}
