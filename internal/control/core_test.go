package control

import (
	"fmt"
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

// faults act on a running fleet; each is followed by a time and an outcome.
var faultCases = []struct {
	name   string
	fault  func(f *fleet)
	after  time.Duration
	zone   string
	owners int
	slots  int
}{
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

func TestOwnershipAfterFaults(t *testing.T) {
	for _, tc := range faultCases {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			f := newFleet(t, 3, 1)
			f.steps(5 * time.Second)
			tc.fault(f)
			f.steps(tc.after)
			g.Expect(f.owners(tc.zone)).To(gomega.HaveLen(tc.owners))
			g.Expect(f.slotsIn(tc.zone)).To(gomega.Equal(tc.slots))
		})
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

// TestFaultsInPairs runs each pair of faults, in both orders and twice the
// same, and checks the invariants all the while.
func TestFaultsInPairs(t *testing.T) {
	for _, first := range faultCases {
		for _, second := range faultCases {
			t.Run(first.name+"/"+second.name, func(t *testing.T) {
				f := newFleet(t, 3, 1)
				f.steps(5 * time.Second)
				apply(f, first.fault)
				f.steps(1700 * time.Millisecond)
				apply(f, second.fault)
				f.steps(8 * time.Second)
			})
		}
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

// TestRandomFaults applies random kills, freezes, cuts, losses and restarts.
func TestRandomFaults(t *testing.T) {
	for seed := int64(1); seed <= 100; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			f := newFleet(t, 2, seed)
			f.loss = 0.05
			for range 60 {
				f.randomFault()
				f.steps(time.Duration(f.rng.Intn(2500)) * time.Millisecond)
			}
		})
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
