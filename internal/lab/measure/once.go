package measure

import (
	"context"
	"fmt"
	"time"

	"sycamoreledge.example/internal/lab/caller"
	"sycamoreledge.example/internal/lab/cluster"
	"sycamoreledge.example/internal/lab/trace"
	"sycamoreledge.example/internal/work"
)

// onceRate and onceFor shape the orders of a probe: a steady load that leaves
// most slots free.
const (
	onceRate = 60
	onceFor  = 4 * time.Second
)

// OnceRow is what orders of one kind of key cost.
type OnceRow struct {
	// Keys is "home" for keys of the system and "claim" for the callers' own.
	Keys   string `json:"keys"`
	Outage bool   `json:"outage"`
	Sent   int    `json:"sent"`
	Run    int    `json:"run"`
	NotRun int    `json:"not_run"`
	// Unknown orders may have been run as far as the caller was told.
	Unknown int           `json:"unknown"`
	P50     time.Duration `json:"p50"`
	P99     time.Duration `json:"p99"`
	// Writes are those on the platform for one order, beside what an idle
	// system writes in the same time.
	Writes float64 `json:"writes"`
}

// Once is the cost of running orders at most once.
type Once struct {
	Rows []OnceRow `json:"rows"`
	// IdleWrites are those on the platform in a second without orders.
	IdleWrites float64 `json:"idle_writes"`
}

// once measures orders with each kind of key, with and without the platform.
func (s *system) once(ctx context.Context) (*Once, error) {
	o := &Once{}
	idle, err := s.writes(ctx, func() error {
		sleepUntil(ctx, time.Now().Add(onceFor))
		return ctx.Err()
	})
	if err != nil {
		return nil, err
	}
	o.IdleWrites = float64(idle) / onceFor.Seconds()
	for _, outage := range []bool{false, true} {
		if err := s.trial.Cluster.SetPlatform(ctx, cluster.Knobs{"down": outage}); err != nil {
			return nil, err
		}
		for _, own := range []bool{false, true} {
			row, err := s.orders(ctx, own, outage, o.IdleWrites)
			if err != nil {
				return nil, err
			}
			o.Rows = append(o.Rows, row)
		}
	}
	return o, s.trial.Cluster.SetPlatform(ctx, cluster.Knobs{"down": false})
}

// writes counts the platform's writes while f runs.
func (s *system) writes(ctx context.Context, f func() error) (int, error) {
	before, err := s.trial.Cluster.PlatformStats(ctx)
	if err != nil {
		return 0, err
	}
	if err := f(); err != nil {
		return 0, err
	}
	after, err := s.trial.Cluster.PlatformStats(ctx)
	return after.Writes - before.Writes, err
}

// orders sends orders at a fixed rate from all zones in turn.
func (s *system) orders(ctx context.Context, own, outage bool, idle float64) (OnceRow, error) {
	row := OnceRow{Keys: "home", Outage: outage}
	if own {
		row.Keys = "claim"
	}
	s.pass++
	t := s.orderTrace(own)
	if err := s.prepare(ctx, t); err != nil {
		return row, err
	}
	r, err := newReplay(t, s.trial.Plan, s.pass, s.pace)
	if err != nil {
		return row, err
	}
	writes, err := s.writes(ctx, func() error {
		r.run(ctx, time.Now())
		return ctx.Err()
	})
	if err != nil {
		return row, err
	}
	s.trial.Note(r.finished()...)
	var run []time.Duration
	for _, x := range r.samples {
		row.Sent++
		switch x.Outcome {
		case work.Run:
			row.Run++
			run = append(run, x.Latency)
		case work.NotRun:
			row.NotRun++
		default:
			row.Unknown++
		}
	}
	sorted(run)
	row.P50, row.P99 = quantile(run, 0.5), quantile(run, 0.99)
	row.Writes = max(0, float64(writes)-idle*s.pace*onceFor.Seconds()) / float64(max(1, row.Sent))
	return row, nil
}

// orderTrace is a steady load of orders alone.
func (s *system) orderTrace(own bool) *trace.Trace {
	p := s.trial.Plan
	t := &trace.Trace{Name: fmt.Sprintf("once-%t", own), Seed: s.trial.Seed, Preset: trace.Ordinary}
	for _, service := range p.Topology.Services {
		if service.Kind == work.Order {
			t.Services = append(t.Services, trace.Service{Name: service.Name, Kind: service.Kind})
		}
	}
	for _, e := range p.Entries {
		t.Zones = append(t.Zones, e.Zone)
	}
	gap := time.Second / onceRate
	for at := time.Duration(0); at < onceFor; at += gap {
		t.Sends = append(t.Sends, trace.Send{At: at, Zone: len(t.Sends) % len(t.Zones), Size: caller.OrderBody, Own: own})
	}
	t.Phases = []trace.Phase{{Name: trace.Steady, End: onceFor}}
	return t
}

// probe runs the probes on the system itself.
func (m *run) probe(ctx context.Context) error {
	for _, s := range m.systems {
		if s.name != Steer {
			continue
		}
		var err error
		if m.result.Overhead, err = s.overhead(ctx); err != nil {
			m.say("the overhead was not measured: %v", err)
		}
		if !m.Once {
			continue
		}
		if m.result.Once, err = s.once(ctx); err != nil {
			return err
		}
	}
	return nil
}
