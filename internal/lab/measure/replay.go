package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"sycamoreledge.example/internal/lab/caller"
	"sycamoreledge.example/internal/lab/firm"
	"sycamoreledge.example/internal/lab/trace"
	"sycamoreledge.example/internal/settings"
	"sycamoreledge.example/internal/work"
)

// hosts is the number of callers' addresses in each zone.
const hosts = 8

// Sample is what became of one send of a trace.
type Sample struct {
	Outcome work.Outcome
	Reason  work.Reason
	// Latency is from the time in the trace to the end of the answer, in the
	// time of the trace.
	Latency time.Duration
	// Behind is how late the replay itself was with the send.
	Behind time.Duration
	// Told is set when an entry stated the outcome.
	Told bool
}

// replay is one pass over a trace.
type replay struct {
	trace   *trace.Trace
	plan    *firm.Plan
	preset  *settings.Preset
	callers []*caller.Caller
	random  *rand.Rand
	// pace is how many seconds a second of the trace lasts.
	pace float64
	// pass makes the keys of this pass differ from those of others.
	pass    int
	start   time.Time
	samples []Sample
	ops     []*caller.Op
}

// newReplay prepares a pass over a trace.
func newReplay(t *trace.Trace, p *firm.Plan, pass int, pace float64) (*replay, error) {
	r := &replay{
		trace:   t,
		plan:    p,
		preset:  p.Preset(t.Preset),
		random:  rand.New(rand.NewPCG(t.Seed, uint64(pass))),
		pass:    pass,
		pace:    pace,
		samples: make([]Sample, len(t.Sends)),
		ops:     make([]*caller.Op, len(t.Sends)),
	}
	if r.preset == nil {
		return nil, Error.New("the firm has no preset %q", t.Preset)
	}
	for _, zone := range t.Zones {
		for host := range hosts {
			r.callers = append(r.callers, caller.New(caller.Config{Plan: p, Zone: zone, Seed: t.Seed, Host: host}))
		}
	}
	return r, nil
}

// run sends everything at its time and waits for the answers.
func (r *replay) run(ctx context.Context, start time.Time) {
	r.start = start
	var all sync.WaitGroup
	for i := range r.trace.Sends {
		at := start.Add(stretch(r.trace.Sends[i].At, r.pace))
		if !sleepUntil(ctx, at) {
			break
		}
		single := r.single(i)
		all.Go(func() { r.send(ctx, i, single, at) })
	}
	all.Wait()
}

// single makes the operation of a send.
func (r *replay) single(i int) caller.Single {
	s := r.trace.Sends[i]
	service := r.trace.Services[s.Service]
	single := caller.Single{
		Service:  service.Name,
		Kind:     service.Kind,
		Nonce:    fmt.Sprintf("%s-%d-%d", r.trace.Name, r.pass, i),
		BodySeed: r.random.Uint64(),
		BodySize: s.Size,
		Deadline: r.preset.Service(service.Name).Deadline,
	}
	if s.Own {
		single.OwnKey = fmt.Sprintf("own-%s-%d-%d-%x", r.trace.Name, r.pass, i, r.trace.Seed)
	}
	return single
}

// send makes the attempt and notes what came of it.
func (r *replay) send(ctx context.Context, i int, single caller.Single, at time.Time) {
	behind := time.Since(at)
	op := r.callers[r.trace.Sends[i].Zone*hosts+i%hosts].Send(ctx, single)
	r.ops[i] = op
	r.samples[i] = Sample{
		Outcome: op.Outcome,
		Reason:  op.Reason,
		Latency: stretch(op.End.Sub(at), 1/r.pace),
		Behind:  behind,
		Told:    op.Cut == 0 && op.Unlabelled == 0,
	}
}

// finished returns the operations that were sent.
func (r *replay) finished() []*caller.Op {
	var out []*caller.Op
	for _, op := range r.ops {
		if op != nil {
			out = append(out, op)
		}
	}
	return out
}

// stretch multiplies a duration.
func stretch(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

// sleepUntil returns at the time, or earlier and false when ctx ends.
func sleepUntil(ctx context.Context, at time.Time) bool {
	d := time.Until(at)
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
