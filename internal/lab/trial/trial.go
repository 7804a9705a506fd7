// Package trial runs a firm with load from callers in every availability zone
// and judges what came of it.
package trial

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"sycamoreledge.example/internal/client"
	"sycamoreledge.example/internal/lab/caller"
	"sycamoreledge.example/internal/lab/cluster"
	"sycamoreledge.example/internal/lab/firm"
	"sycamoreledge.example/internal/lab/verdict"
	"sycamoreledge.example/internal/settings"
)

// Error is the class of errors of this package.
var Error = errs.Class("trial")

// Options says what to run.
type Options struct {
	// Firm is the directory of the firm, Bin that of the built programs and
	// Dir the one to write the run into.
	Firm, Bin, Dir  string
	Seed            uint64
	WithoutPlatform bool
	// Baseline runs the plain proxy in place of the entries.
	Baseline bool
	// Dilate stretches the time of the firm when above 0; see firm.Dilate.
	Dilate float64
	// KeyLifetime replaces the lifetime of issued keys when above 0.
	KeyLifetime time.Duration
}

// Trial is a running firm with a history of what was asked of it.
type Trial struct {
	Plan    *firm.Plan
	Cluster *cluster.Cluster
	Seed    uint64

	history *verdict.History
	loads   uint64
}

// Start generates a run and starts it.
func Start(ctx context.Context, o Options) (*Trial, error) {
	f, err := firm.Load(o.Firm)
	if err != nil {
		return nil, err
	}
	if o.KeyLifetime > 0 {
		f.Settings.Traffic.KeyLifetime = o.KeyLifetime
	}
	if o.Dilate > 0 {
		f.Dilate(o.Dilate)
	}
	p, err := firm.Generate(o.Dir, f)
	if err != nil {
		return nil, err
	}
	c, err := cluster.Start(ctx, cluster.Options{Bin: o.Bin, Plan: p, Seed: o.Seed, WithoutPlatform: o.WithoutPlatform, Baseline: o.Baseline})
	if err != nil {
		return nil, err
	}
	t := &Trial{Plan: p, Cluster: c, Seed: o.Seed, history: verdict.NewHistory()}
	if o.WithoutPlatform || o.Baseline {
		return t, nil
	}
	if err := t.ApplyPresets(ctx); err != nil {
		c.Kill()
		return nil, err
	}
	return t, nil
}

// ApplyPresets stores the presets of the firm on the platform, where
// instances start with one alone.
func (t *Trial) ApplyPresets(ctx context.Context) error {
	operator, err := t.Operator("first")
	if err != nil {
		return err
	}
	for _, preset := range t.Plan.Presets {
		text, err := os.ReadFile(t.Plan.PresetFile(preset.Name))
		if err != nil {
			return Error.Wrap(err)
		}
		if _, err := operator.Apply(ctx, client.Change{Operation: client.NewOperation()}, preset.Name, text); err != nil {
			return Error.New("preset %s: %w", preset.Name, err)
		}
	}
	return nil
}

// Operator returns the client of an operator that asks the entries in order.
// Without names it may ask all of them.
func (t *Trial) Operator(name string, entries ...string) (*client.Client, error) {
	var endpoints []string
	for _, e := range t.Plan.Entries {
		if len(entries) == 0 {
			endpoints = append(endpoints, e.Operators)
		}
	}
	for _, e := range entries {
		endpoints = append(endpoints, t.Plan.Entry(e).Operators)
	}
	return client.New(client.Options{Endpoints: endpoints, Token: t.Plan.Tokens[name], CAFile: t.Plan.Authority})
}

// LoadOptions shapes the load.
type LoadOptions struct {
	Shares caller.Shares
	// Preset gives the deadlines.
	Preset *settings.Preset
	// Zones are those with callers; none means all.
	Zones []string
	// MaxDeadline shortens the deadlines when above 0, and MaxOperation the
	// time in which callers repeat an operation.
	MaxDeadline, MaxOperation time.Duration
	// Twice is the share of the operations sent through two entries at once.
	Twice float64
}

// Load is load that is being sent.
type Load struct {
	Stats *caller.Stats

	trial   *Trial
	callers []*caller.Caller
	cancel  context.CancelFunc
	all     sync.WaitGroup
}

// StartLoad starts callers. Each load of a trial has a seed of its own.
func (t *Trial) StartLoad(ctx context.Context, o LoadOptions) *Load {
	t.loads++
	zones := o.Zones
	if len(zones) == 0 {
		zones = firm.Zones(&t.Plan.Topology)
	}
	ctx, cancel := context.WithCancel(ctx)
	l := &Load{Stats: caller.NewStats(), trial: t, cancel: cancel}
	for i, zone := range zones {
		loads := caller.StandardLoads(t.Plan, o.Preset, zone, o.Shares)
		for j := range loads {
			loads[j].Twice = o.Twice
			if o.MaxDeadline > 0 {
				loads[j].Deadline = min(loads[j].Deadline, o.MaxDeadline)
			}
		}
		for host := range callersPerZone {
			seed := t.Seed<<20 ^ t.loads<<12 ^ uint64(i*callersPerZone+host)
			c := caller.New(caller.Config{Plan: t.Plan, Zone: zone, Host: host, Seed: seed, Loads: part(loads), MaxOperation: o.MaxOperation, Stats: l.Stats})
			l.callers = append(l.callers, c)
			l.all.Go(func() { c.Run(ctx) })
		}
	}
	return l
}

// callersPerZone is how many callers share the load of a zone: entries rank
// the list by the caller's address, so that a single one would use one entry.
const callersPerZone = 4

// part is the load of one of the callers of a zone.
func part(loads []caller.Load) []caller.Load {
	parts := append([]caller.Load(nil), loads...)
	for i := range parts {
		parts[i].Rate /= callersPerZone
		parts[i].MaxInFlight = max(1, parts[i].MaxInFlight/callersPerZone)
	}
	return parts
}

// Stop ends the load, waits for the operations under way and returns all.
func (l *Load) Stop() []*caller.Op {
	l.cancel()
	l.all.Wait()
	var ops []*caller.Op
	for _, c := range l.callers {
		ops = append(ops, c.Ops()...)
	}
	l.trial.history.Add(ops)
	return ops
}

// Save writes operations as lines of JSON into the directory of the run.
func (t *Trial) Save(name string, ops []*caller.Op) error {
	var lines bytes.Buffer
	out := json.NewEncoder(&lines)
	for _, op := range ops {
		if err := out.Encode(op); err != nil {
			return Error.Wrap(err)
		}
	}
	return Error.Wrap(os.WriteFile(filepath.Join(t.Plan.Dir, name), lines.Bytes(), 0o600))
}

// Note adds operations that were not sent by a Load.
func (t *Trial) Note(ops ...*caller.Op) { t.history.Add(ops) }

// Judge returns the violations that were not reported before. No load may run.
func (t *Trial) Judge(ctx context.Context) (verdict.Violations, error) {
	ledger, err := t.Cluster.Ledger(ctx)
	if err != nil {
		return nil, err
	}
	return t.history.Judge(ledger), nil
}
