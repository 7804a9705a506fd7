package measure

import (
	"context"
	"time"

	"sycamoreledge.example/internal/client"
	"sycamoreledge.example/internal/lab/trace"
	"sycamoreledge.example/internal/lab/trial"
	"sycamoreledge.example/internal/lab/upstream"
	"sycamoreledge.example/internal/settings"
)

// System names one of those that are compared.
type System string

// The systems.
const (
	Steer    System = "steer"
	Baseline System = "baseline"
	Ideal    System = "ideal"
)

// stopLimit bounds the planned stop of an entry.
const stopLimit = 60 * time.Second

// system is a running firm with the faults that are in force.
type system struct {
	name  System
	trial *trial.Trial
	// operator is nil for the baseline, which has no presets and drains.
	operator *client.Client
	faults   map[string]upstream.Fault
	drains   []settings.Drain
	stopped  []string
	preset   string
	pass     int
	// pace is how many seconds a second of a trace lasts.
	pace float64
}

// startSystem starts one of the real systems.
func startSystem(ctx context.Context, name System, o trial.Options) (*system, error) {
	o.Baseline = name == Baseline
	t, err := trial.Start(ctx, o)
	if err != nil {
		return nil, err
	}
	s := &system{name: name, trial: t, faults: map[string]upstream.Fault{}, pace: o.Dilate}
	if name == Baseline {
		return s, nil
	}
	s.operator, err = t.Operator("first")
	if err != nil {
		t.Cluster.Kill()
		return nil, err
	}
	return s, nil
}

// Drain is what a drain of an upstream or a planned stop took.
type Drain struct {
	Action trace.Action `json:"action"`
	Name   string       `json:"name"`
	// LastStart is from the acceptance to the last new work.
	LastStart time.Duration `json:"last_start"`
	// Idle is from the acceptance to the end of the work or of the process.
	Idle time.Duration `json:"idle"`
}

// apply carries out an event of a trace.
func (s *system) apply(ctx context.Context, e trace.Event) (*Drain, error) {
	switch e.Action {
	case trace.Slow:
		return nil, s.fault(ctx, e.Name, func(f *upstream.Fault) { f.SlowFactor = e.Factor })
	case trace.Lag:
		lag := time.Duration(e.Factor * s.pace * float64(time.Second))
		return nil, s.fault(ctx, e.Name, func(f *upstream.Fault) { f.HealthLag, f.LoadLag = lag, lag })
	case trace.Leave:
		return nil, s.fault(ctx, e.Name, func(f *upstream.Fault) { f.Leaving = true })
	case trace.Restart:
		return nil, s.trial.Cluster.RestartUpstream(ctx, e.Name)
	case trace.Use:
		return nil, s.use(ctx, e.Name)
	case trace.DrainZone:
		return nil, s.drain(ctx, settings.Drain{Kind: settings.DrainZone, Name: e.Name}, false)
	case trace.Undrain:
		return nil, s.drain(ctx, settings.Drain{Kind: settings.DrainUpstream, Name: e.Name}, true)
	case trace.DrainUpstream:
		return nil, s.drain(ctx, settings.Drain{Kind: settings.DrainUpstream, Name: e.Name}, false)
	case trace.Stop:
		return s.stop(ctx, e.Name)
	default:
		return nil, Error.New("unknown action %q", e.Action)
	}
}

// fault changes the faults of an upstream.
func (s *system) fault(ctx context.Context, name string, change func(*upstream.Fault)) error {
	f := s.faults[name]
	change(&f)
	s.faults[name] = f
	return s.trial.Cluster.SetUpstream(ctx, name, f)
}

// use puts a preset in force. The baseline knows none; the zones that a preset
// drains leave there by their upstreams.
func (s *system) use(ctx context.Context, name string) error {
	if s.operator != nil {
		s.preset = name
		_, err := s.operator.Use(ctx, client.Change{Operation: client.NewOperation()}, name)
		return err
	}
	preset := s.trial.Plan.Preset(name)
	if preset == nil {
		return Error.New("no preset %q", name)
	}
	for _, zone := range preset.DrainedZones {
		if err := s.drain(ctx, settings.Drain{Kind: settings.DrainZone, Name: zone}, false); err != nil {
			return err
		}
	}
	return nil
}

// drain asks for a drain or its end. Upstreams of the baseline say themselves
// that they leave.
func (s *system) drain(ctx context.Context, d settings.Drain, undo bool) error {
	if s.operator != nil {
		if !undo {
			s.drains = append(s.drains, d)
		}
		_, err := s.operator.Drain(ctx, client.Change{Operation: client.NewOperation()}, d, undo)
		return err
	}
	for _, service := range s.trial.Plan.Topology.Services {
		for _, pool := range service.Pools {
			for _, u := range pool.Upstreams {
				if u.Name != d.Name && pool.Zone != d.Name {
					continue
				}
				if err := s.fault(ctx, u.Name, func(f *upstream.Fault) { f.Leaving = !undo }); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// followDrain watches the last work of an upstream whose drain was accepted.
func (s *system) followDrain(ctx context.Context, name string) (*Drain, error) {
	accepted := time.Now()
	d := &Drain{Action: trace.DrainUpstream, Name: name}
	for time.Since(accepted) < drainWatch {
		if !sleepUntil(ctx, time.Now().Add(sampleInterval)) {
			return nil, Error.Wrap(ctx.Err())
		}
		counts, err := s.trial.Cluster.Counts(ctx)
		if err != nil {
			return nil, err
		}
		for _, c := range counts {
			if c.Upstream != name {
				continue
			}
			if late := c.LastStart.Sub(accepted); late > 0 {
				d.LastStart = late
			}
			if c.Busy > 0 || d.Idle == 0 {
				d.Idle = time.Since(accepted)
			}
		}
	}
	return d, nil
}

// stop carries out the planned stop of an entry.
func (s *system) stop(ctx context.Context, name string) (*Drain, error) {
	begin := time.Now()
	p := s.trial.Cluster.Process(name)
	if err := p.Terminate(); err != nil {
		return nil, err
	}
	s.stopped = append(s.stopped, name)
	limited, cancel := context.WithTimeout(ctx, stopLimit)
	defer cancel()
	err := p.Wait(limited)
	return &Drain{Action: trace.Stop, Name: name, Idle: time.Since(begin)}, err
}

// reset ends all faults, drains and stops.
func (s *system) reset(ctx context.Context) error {
	for name := range s.faults {
		if err := s.trial.Cluster.SetUpstream(ctx, name, upstream.Fault{}); err != nil {
			return err
		}
	}
	s.faults = map[string]upstream.Fault{}
	for _, name := range s.stopped {
		if err := s.trial.Cluster.Process(name).Start(); err != nil {
			return err
		}
		if err := s.trial.Cluster.Ready(ctx, name); err != nil {
			return err
		}
	}
	s.stopped = nil
	for _, d := range s.drains {
		if err := s.drain(ctx, d, true); err != nil {
			return err
		}
	}
	s.drains = nil
	return nil
}
