package control

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/settings"
)

func TestEachPoolGetsOneOwnerWithAllSlots(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(t, 3, 1)
	f.steps(5 * time.Second)
	for _, zone := range f.ix.zones {
		g.Expect(f.owners(zone.name)).To(gomega.HaveLen(1), zone.name)
		g.Expect(f.slotsIn(zone.name)).To(gomega.Equal(8), zone.name)
	}
}

// TestPoolKeepsItsOwnerUntilTheNextCanTakeIt replaces an instance that did not
// stop cleanly: its mate serves until the old dispatches have ended.
func TestPoolKeepsItsOwnerUntilTheNextCanTakeIt(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(t, 1, 1)
	f.steps(5 * time.Second)
	first := f.owners("r0z0")[0]
	f.kill(first)
	f.steps(6 * time.Second)
	f.boot(first)
	unowned := 0
	for range int(6 * time.Second / testTick) {
		f.step()
		if !f.owned("r0z0") {
			unowned++
		}
	}
	f.steps(testTimeout)
	g.Expect(f.owners("r0z0")).To(gomega.Equal([]string{first}))
	g.Expect(time.Duration(unowned) * testTick).To(gomega.BeNumerically("<=", testTimeout/2))
}

func TestConfigReachesAllAndNeverGoesBack(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(t, 3, 1)
	f.steps(3 * time.Second)
	f.cut = cutZones("r1z1", "r0z0", true, true)
	f.nodes["r0z0-0"].core.AcceptConfig(configAt(7, "second"))
	f.steps(5 * time.Second)
	for name, n := range f.nodes {
		g.Expect(n.snapshot.Config.Version).To(gomega.Equal(int64(7)), name)
		g.Expect(n.snapshot.Preset.Name).To(gomega.Equal("second"), name)
	}
	g.Expect(f.nodes["r2z0-0"].core.AcceptConfig(configAt(6, "second"))).To(gomega.BeFalse())
	f.boot("r1z0-0")
	f.steps(2 * time.Second)
	g.Expect(f.nodes["r1z0-0"].snapshot.Config.Version).To(gomega.Equal(int64(7)))
}

func TestConfigWithoutThePresetInForceIsIgnored(t *testing.T) {
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

// TestKeysAreFoundAfterTwoHandovers also asks an instance that started after
// the first of them.
func TestKeysAreFoundAfterTwoHandovers(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(t, 3, 1)
	f.steps(3 * time.Second)
	first := f.nodes["r0z0-0"].core.identity
	f.leave("r0z0-0", "r0z0-1", first)
	f.boot("r0z0-0")
	f.kill("r2z0-0")
	f.boot("r2z0-0")
	f.steps(6 * time.Second)
	f.leave("r0z0-1", "r0z1-0", first, f.nodes["r0z0-1"].core.identity)
	f.steps(3 * time.Second)
	for _, name := range []string{"r0z0-0", "r1z0-0", "r2z0-0"} {
		g.Expect(f.nodes[name].snapshot.Successors).To(gomega.HaveKeyWithValue(first, "r0z1-0"), name)
	}
}

// leave stops an instance as planned, with its keys handed over.
func (f *fleet) leave(name, successor string, keysOf ...Identity) {
	n := f.nodes[name]
	n.core.Leave()
	f.nodes[successor].core.Hold(keysOf)
	f.steps(time.Second)
	n.core.Retire()
	f.deliver(n)
	f.steps(testTimeout)
	n.core.Finish()
	f.deliver(n)
	f.kill(name)
}

func TestOldProcessIsNotHeardAfterItsReplacement(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(t, 1, 1)
	f.steps(2 * time.Second)
	core := f.nodes["r0z0-0"].core
	old := f.nodes["r0z1-0"].core.identity.Incarnation
	f.kill("r0z1-0")
	f.boot("r0z1-0")
	f.steps(time.Second)
	core.Step(f.now, Message{From: "r0z1-0", Incarnation: old, Heartbeat: &Heartbeat{SentAt: 1 << 40, State: Left}})
	f.steps(time.Second)
	g.Expect(core.members[core.ix.byName["r0z1-0"]].state).To(gomega.Equal(Serving))
}

// TestBufferedHeartbeatDoesNotEndCatchUp delivers, after a pause, a heartbeat
// that was sent before it.
func TestBufferedHeartbeatDoesNotEndCatchUp(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(t, 1, 1)
	f.steps(3 * time.Second)
	paused, mate := f.nodes["r0z0-0"], f.nodes["r0z0-1"]
	paused.paused = true
	f.steps(6 * time.Second)
	now := f.now.Add(testTick)
	paused.core.Tick(now)
	g.Expect(paused.core.State()).To(gomega.Equal(CatchingUp))
	paused.core.Step(now.Add(testTick), Message{
		From:        "r0z0-1",
		Incarnation: mate.core.identity.Incarnation,
		Heartbeat: &Heartbeat{
			SentAt: int64(3 * time.Second),
			Echo:   int64(2900 * time.Millisecond),
			EchoOf: paused.core.identity.Incarnation,
			State:  Serving,
		},
	})
	for range 5 {
		now = now.Add(testTick)
		paused.core.Tick(now)
	}
	g.Expect(paused.core.State()).To(gomega.Equal(CatchingUp))
}

func TestLeavingUpstreamsReachTheZone(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(t, 2, 1)
	f.steps(2 * time.Second)
	f.nodes["r0z0-0"].core.SetLeavingUpstreams([]string{"r0z0-a", "r1z0-a", "not-declared"})
	f.steps(200 * time.Millisecond)
	g.Expect(f.nodes["r0z0-1"].snapshot.LeavingUpstreams).To(gomega.Equal(map[string]bool{"r0z0-a": true}))
	f.steps(2 * leavingLifetime)
	g.Expect(f.nodes["r0z0-1"].snapshot.LeavingUpstreams).To(gomega.BeEmpty())
}
