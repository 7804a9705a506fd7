package capacity

import (
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"

	"sycamoreledge.example/internal/control"
	"sycamoreledge.example/internal/settings"
)

// Spreading is the propagation of one configuration to all running instances.
type Spreading struct {
	Case    string
	Members int
	// Bytes is the encoded size of the message with the configuration.
	Bytes int
	// Ticks and Time are counted until the last instance has received it, or
	// until spreadTimeout; Missing instances have not received it by then.
	Ticks   int
	Time    time.Duration
	Missing int
	// Worst is the highest usage of any instance within peakWindow.
	Worst Peak
}

const (
	// spreadTimeout bounds the wait for the propagation of a configuration.
	spreadTimeout = 30 * time.Second
	// presetCount is the number of presets in the configuration.
	presetCount = 6
)

// SpreadFrom passes a new configuration to the instances in from, as if they had
// read it from the platform, and waits until all others have received it.
func (f *Fleet) SpreadFrom(name string, version int64, from []*Node) Spreading {
	f.Reset()
	cfg := f.config(version)
	s := Spreading{Case: name, Members: len(f.Nodes), Bytes: encodedConfigSize(cfg)}
	for _, n := range f.Nodes {
		n.History = append(n.History, Usage{})
	}
	for _, n := range from {
		n.Core.AcceptConfig(cfg)
		n.collectOutput(n.usage())
		f.deliver(n)
	}
	for s.Missing = f.countMissing(version); s.Missing > 0 && s.Time < spreadTimeout; s.Missing = f.countMissing(version) {
		f.Step()
		s.Ticks++
		s.Time += timing.Tick
	}
	f.Run(peakWindow)
	s.Worst = f.maxPeak()
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

// countMissing counts the running instances without the configuration version.
func (f *Fleet) countMissing(version int64) int {
	missing := 0
	for _, n := range f.Nodes {
		if !n.Down && (n.Snapshot == nil || n.Snapshot.Config.Version < version) {
			missing++
		}
	}
	return missing
}

// config returns a configuration of typical size whose presets differ in all
// their values.
func (f *Fleet) config(version int64) *settings.Config {
	r := rand.New(rand.NewPCG(uint64(version), 0))
	cfg := &settings.Config{Version: version, InForce: f.initial.Name, Presets: map[string]settings.Preset{}}
	for i := range presetCount {
		p := *Preset(f.Top, f.initial.Name)
		if i > 0 {
			p.Name = zoneName(i)
		}
		for j := range p.Services {
			randomizePolicy(r, &p.Services[j])
		}
		cfg.Presets[p.Name] = p
	}
	return cfg
}

// randomizePolicy sets random values in a policy. It keeps the dispatch timeout,
// since that sets how long pools wait.
func randomizePolicy(r *rand.Rand, p *settings.ServicePolicy) {
	p.Deadline += time.Duration(r.IntN(1000)) * time.Millisecond
	p.Queue = r.IntN(1000)
	p.HedgeQuantile = float64(900+r.IntN(99)) / 1000
	p.HedgeBudget = float64(r.IntN(100)) / 1000
	p.RetryBudget = float64(r.IntN(100)) / 1000
	p.ShiftRate = float64(r.IntN(10000))
	p.ShiftRamp = time.Duration(r.IntN(60)) * time.Second
}

func encodedConfigSize(cfg *settings.Config) int {
	data, err := cbor.Marshal(control.Message{Config: &control.Config{Value: cfg}})
	if err != nil {
		return 0
	}
	return len(data)
}

// maxPeak returns the highest peaks over all instances.
func (f *Fleet) maxPeak() Peak {
	var worst Peak
	for _, n := range f.Nodes {
		peak := n.PeakUsage()
		worst.CPU = max(worst.CPU, peak.CPU)
		worst.Bytes = max(worst.Bytes, peak.Bytes)
	}
	return worst
}
