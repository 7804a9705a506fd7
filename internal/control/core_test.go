package control

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/settings"
)

func TestEachPoolHasOneOwnerWithAllSlots(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(t, 3, 1)
	f.runFor(5 * time.Second)
	for _, zone := range f.ix.zones {
		g.Expect(f.owners(zone.name)).To(gomega.HaveLen(1), zone.name)
		g.Expect(f.usableSlots(zone.name)).To(gomega.Equal(8), zone.name)
	}
}

// TestPoolKeepsOwnerUntilNextOwnerIsReady guards against a pool without an owner
// when the owner is replaced after an unclean stop: the other instance of the zone
// owns the pool until the dispatches of the old process have ended.
func TestPoolKeepsOwnerUntilNextOwnerIsReady(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(t, 1, 1)
	f.runFor(5 * time.Second)
	first := f.owners("r0z0")[0]
	f.kill(first)
	f.runFor(6 * time.Second)
	f.startInstance(first)
	unowned := 0
	for range int(6 * time.Second / testTick) {
		f.step()
		if !f.hasOwner("r0z0") {
			unowned++
		}
	}
	f.runFor(testDispatchTimeout)
	g.Expect(f.owners("r0z0")).To(gomega.Equal([]string{first}))
	g.Expect(time.Duration(unowned) * testTick).To(gomega.BeNumerically("<=", testDispatchTimeout/2))
}

func TestConfigReachesAllInstancesAndVersionNeverDecreases(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(t, 3, 1)
	f.runFor(3 * time.Second)
	f.isPartitioned = partitionZones("r1z1", "r0z0", true, true)
	f.nodes["r0z0-0"].core.AcceptConfig(configAt(7, "second"))
	f.runFor(5 * time.Second)
	for name, n := range f.nodes {
		g.Expect(n.snapshot.Config.Version).To(gomega.Equal(int64(7)), name)
		g.Expect(n.snapshot.Preset.Name).To(gomega.Equal("second"), name)
	}
	g.Expect(f.nodes["r2z0-0"].core.AcceptConfig(configAt(6, "second"))).To(gomega.BeFalse())
	f.startInstance("r1z0-0")
	f.runFor(2 * time.Second)
	g.Expect(f.nodes["r1z0-0"].snapshot.Config.Version).To(gomega.Equal(int64(7)))
}

func TestConfigWithoutPresetInForceIsIgnored(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(t, 1, 1)
	cfg := configAt(3, "second")
	cfg.InForce = "absent"
	g.Expect(f.nodes["r0z0-0"].core.AcceptConfig(cfg)).To(gomega.BeFalse())
}

func configAt(version int64, preset string) *settings.Config {
	return &settings.Config{
		Version: version,
		InForce: preset,
		Presets: map[string]settings.Preset{preset: *testPreset(preset)},
	}
}

// TestSuccessorIsKnownAfterTwoHandovers also checks an instance that started after
// the first handover.
func TestSuccessorIsKnownAfterTwoHandovers(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(t, 3, 1)
	f.runFor(3 * time.Second)
	first := f.nodes["r0z0-0"].core.identity
	f.stopAsPlanned("r0z0-0", "r0z0-1", first)
	f.startInstance("r0z0-0")
	f.kill("r2z0-0")
	f.startInstance("r2z0-0")
	f.runFor(6 * time.Second)
	f.stopAsPlanned("r0z0-1", "r0z1-0", first, f.nodes["r0z0-1"].core.identity)
	f.runFor(3 * time.Second)
	for _, name := range []string{"r0z0-0", "r1z0-0", "r2z0-0"} {
		g.Expect(f.nodes[name].snapshot.Successors).To(gomega.HaveKeyWithValue(first, "r0z1-0"), name)
	}
}

// stopAsPlanned performs a planned stop in which the successor takes over the
// idempotency keys of the runs.
func (f *fleet) stopAsPlanned(name, successor string, runs ...Identity) {
	n := f.nodes[name]
	n.core.Leave()
	f.nodes[successor].core.AnnounceInheritedRuns(runs)
	f.runFor(time.Second)
	n.core.ReleaseAllPools()
	f.deliverReady(n)
	f.runFor(testDispatchTimeout)
	n.core.Finish()
	f.deliverReady(n)
	f.kill(name)
}

func TestMessageOfReplacedProcessIsIgnored(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(t, 1, 1)
	f.runFor(2 * time.Second)
	core := f.nodes["r0z0-0"].core
	old := f.nodes["r0z1-0"].core.identity.Incarnation
	f.kill("r0z1-0")
	f.startInstance("r0z1-0")
	f.runFor(time.Second)
	core.Step(f.now, Message{From: "r0z1-0", Incarnation: old, Heartbeat: &Heartbeat{SentAt: 1 << 40, State: Left}})
	f.runFor(time.Second)
	g.Expect(core.members[core.ix.byName["r0z1-0"]].state).To(gomega.Equal(Serving))
}

// TestBufferedHeartbeatDoesNotEndCatchUp guards against ending the catch-up on a
// heartbeat that was sent before the pause and delivered after it.
func TestBufferedHeartbeatDoesNotEndCatchUp(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(t, 1, 1)
	f.runFor(3 * time.Second)
	paused, other := f.nodes["r0z0-0"], f.nodes["r0z0-1"]
	paused.paused = true
	f.runFor(6 * time.Second)
	now := f.now.Add(testTick)
	paused.core.Tick(now)
	g.Expect(paused.core.State()).To(gomega.Equal(CatchingUp))
	paused.core.Step(now.Add(testTick), Message{
		From:        "r0z0-1",
		Incarnation: other.core.identity.Incarnation,
		Heartbeat: &Heartbeat{
			SentAt:          int64(3 * time.Second),
			Echo:            int64(2900 * time.Millisecond),
			EchoIncarnation: paused.core.identity.Incarnation,
			State:           Serving,
		},
	})
	for range 5 {
		now = now.Add(testTick)
		paused.core.Tick(now)
	}
	g.Expect(paused.core.State()).To(gomega.Equal(CatchingUp))
}

func TestLeavingUpstreamsReachZoneMembers(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(t, 2, 1)
	f.runFor(2 * time.Second)
	f.nodes["r0z0-0"].core.SetLeavingUpstreams([]string{"r0z0-a", "r1z0-a", "not-declared"})
	f.runFor(200 * time.Millisecond)
	g.Expect(f.nodes["r0z0-1"].snapshot.LeavingUpstreams).To(gomega.Equal(map[string]bool{"r0z0-a": true}))
	f.runFor(2 * leavingListTTL)
	g.Expect(f.nodes["r0z0-1"].snapshot.LeavingUpstreams).To(gomega.BeEmpty())
}
