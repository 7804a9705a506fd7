package capacity

import (
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"

	"sycamoreledge.example/internal/control"
	"sycamoreledge.example/internal/settings"
)

// Spreading is how fast one configuration reached all running instances.
type Spreading struct {
	Case    string
	Members int
	// Bytes is the encoded size of the message that carries it.
	Bytes int
	// Ticks and Time are until the last instance had it, or until the limit
	// when Missing of them did not.
	Ticks   int
	Time    time.Duration
	Missing int
	// Worst is the most that one instance used in its heaviest window.
	Worst Peak
}

const (
	// spreadLimit ends the wait for a configuration.
	spreadLimit = 30 * time.Second
	// presetCount is the number of presets in the configuration.
	presetCount = 6
)

// SpreadFrom gives a configuration to the named instances, as if the platform
// had told them, and waits for all others.
func (f *Fleet) SpreadFrom(name string, version int64, from []*Node) Spreading {
	f.Reset()
	cfg := f.config(version)
	s := Spreading{Case: name, Members: len(f.Nodes), Bytes: configBytes(cfg)}
	for _, n := range f.Nodes {
		n.History = append(n.History, Usage{})
	}
	for _, n := range from {
		n.Core.AcceptConfig(cfg)
		n.collect(n.usage())
		f.deliver(n)
	}
	for s.Missing = f.without(version); s.Missing > 0 && s.Time < spreadLimit; s.Missing = f.without(version) {
		f.Step()
		s.Ticks++
		s.Time += timing.Tick
	}
	f.Run(worstWindow)
	s.Worst = f.worst()
	f.Reset()
	return s
}

// Watchers returns the instances that watch the platform.
func (f *Fleet) Watchers() []*Node {
	var all []*Node
	for _, n := range f.Nodes {
		if !n.Down && n.Snapshot.Watcher {
			all = append(all, n)
		}
	}
	return all
}

// without counts the running instances that have not got a version.
func (f *Fleet) without(version int64) int {
	missing := 0
	for _, n := range f.Nodes {
		if !n.Down && (n.Snapshot == nil || n.Snapshot.Config.Version < version) {
			missing++
		}
	}
	return missing
}

// config returns a configuration of the usual size, whose presets differ in all
// their figures.
func (f *Fleet) config(version int64) *settings.Config {
	r := rand.New(rand.NewPCG(uint64(version), 0))
	cfg := &settings.Config{Version: version, InForce: f.initial.Name, Presets: map[string]settings.Preset{}}
	for i := range presetCount {
		p := *Preset(f.Top, f.initial.Name)
		if i > 0 {
			p.Name = zoneName(i)
		}
		for j := range p.Services {
			vary(r, &p.Services[j])
		}
		cfg.Presets[p.Name] = p
	}
	return cfg
}

// vary gives a policy figures of its own. The dispatch timeout stays, since it
// sets how long pools wait.
func vary(r *rand.Rand, p *settings.ServicePolicy) {
	p.Deadline += time.Duration(r.IntN(1000)) * time.Millisecond
	p.Queue = r.IntN(1000)
	p.HedgeQuantile = float64(900+r.IntN(99)) / 1000
	p.HedgeBudget = float64(r.IntN(100)) / 1000
	p.RetryBudget = float64(r.IntN(100)) / 1000
	p.ShiftRate = float64(r.IntN(10000))
	p.ShiftRamp = time.Duration(r.IntN(60)) * time.Second
}

func configBytes(cfg *settings.Config) int {
	data, err := cbor.Marshal(control.Message{Config: &control.Config{Value: cfg}})
	if err != nil {
		return 0
	}
	return len(data)
}

// worst returns the heaviest windows of all instances.
func (f *Fleet) worst() Peak {
	var worst Peak
	for _, n := range f.Nodes {
		peak := n.Heaviest()
		worst.CPU = max(worst.CPU, peak.CPU)
		worst.Bytes = max(worst.Bytes, peak.Bytes)
	}
	return worst
}
