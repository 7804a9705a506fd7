package measure

import (
	"math"
	"slices"
	"time"

	"sycamoreledge.example/internal/lab/ideal"
	"sycamoreledge.example/internal/lab/trace"
	"sycamoreledge.example/internal/work"
)

// Row is the figures of one service in one phase of a trace under one system.
type Row struct {
	System  System    `json:"system"`
	Trace   string    `json:"trace"`
	Phase   string    `json:"phase"`
	Service string    `json:"service"`
	Kind    work.Kind `json:"kind"`
	Sent    int       `json:"sent"`
	Run     int       `json:"run"`
	NotRun  int       `json:"not_run"`
	Unknown int       `json:"unknown"`
	// Missed were not run within their deadline, refused ones included.
	Missed int `json:"missed"`
	// P50 to P999 are latencies of what was run.
	P50  time.Duration `json:"p50"`
	P99  time.Duration `json:"p99"`
	P999 time.Duration `json:"p999"`
	// Refusal99 and RefusalMax are how long refusals took.
	Refusal99  time.Duration `json:"refusal_p99"`
	RefusalMax time.Duration `json:"refusal_max"`
	// Goodput is what was run in time, per second.
	Goodput float64 `json:"goodput"`
}

// group collects the latencies of a row.
type group struct {
	row      Row
	run      []time.Duration
	refusals []time.Duration
	seconds  float64
}

// rows computes the figures of all phases and services, in their order.
func rows(name System, t *trace.Trace, samples []Sample, deadline func(service string) time.Duration) []Row {
	groups := map[[2]int]*group{}
	for i, s := range t.Sends {
		key := [2]int{t.PhaseAt(s.At), s.Service}
		g := groups[key]
		if g == nil {
			phase, service := t.Phases[key[0]], t.Services[s.Service]
			g = &group{
				row:     Row{System: name, Trace: t.Name, Phase: phase.Name, Service: service.Name, Kind: service.Kind},
				seconds: (phase.End - phase.Start).Seconds(),
			}
			groups[key] = g
		}
		g.add(samples[i], deadline(g.row.Service))
	}
	var all []Row
	for phase := range t.Phases {
		for service := range t.Services {
			if g := groups[[2]int{phase, service}]; g != nil {
				all = append(all, g.finish())
			}
		}
	}
	return all
}

// add counts one sample.
func (g *group) add(s Sample, deadline time.Duration) {
	g.row.Sent++
	switch s.Outcome {
	case work.Run:
		g.row.Run++
		g.run = append(g.run, s.Latency)
		if s.Latency > deadline {
			g.row.Missed++
		}
		return
	case work.NotRun:
		g.row.NotRun++
		g.refusals = append(g.refusals, s.Latency)
	default:
		g.row.Unknown++
	}
	g.row.Missed++
}

// finish computes the quantiles.
func (g *group) finish() Row {
	r := g.row
	slices.Sort(g.run)
	slices.Sort(g.refusals)
	r.P50, r.P99, r.P999 = quantile(g.run, 0.5), quantile(g.run, 0.99), quantile(g.run, 0.999)
	r.Refusal99, r.RefusalMax = quantile(g.refusals, 0.99), quantile(g.refusals, 1)
	if g.seconds > 0 {
		r.Goodput = float64(r.Sent-r.Missed) / g.seconds
	}
	return r
}

// quantile returns the smallest value that is not below a part q of the
// sorted values, or 0 for none.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	rank := int(math.Ceil(q*float64(len(sorted)))) - 1
	return sorted[min(max(rank, 0), len(sorted)-1)]
}

// idealSamples turns the computed results into samples.
func idealSamples(results []ideal.Result) []Sample {
	out := make([]Sample, len(results))
	for i, r := range results {
		out[i] = Sample{Outcome: work.NotRun, Told: true}
		if r.Run {
			out[i] = Sample{Outcome: work.Run, Latency: r.Latency, Told: true}
		}
	}
	return out
}
