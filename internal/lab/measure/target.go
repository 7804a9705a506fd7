package measure

import (
	"fmt"
	"time"

	"sycamoreledge.example/internal/lab/trace"
	"sycamoreledge.example/internal/lab/verdict"
	"sycamoreledge.example/internal/work"
)

// Target is a measure with its limit.
type Target struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Limit float64 `json:"limit"`
	// AtLeast turns the limit into a lower one.
	AtLeast bool   `json:"at_least,omitempty"`
	Unit    string `json:"unit,omitempty"`
	// Beside names what other systems reached, where known.
	Beside map[System]float64 `json:"beside,omitempty"`
	// Missing is set when the run holds no figure for it.
	Missing bool `json:"missing,omitempty"`
}

// Reached reports whether the value keeps the limit.
func (t *Target) Reached() bool {
	switch {
	case t.Missing:
		return false
	case t.AtLeast:
		return t.Value >= t.Limit
	default:
		return t.Value <= t.Limit
	}
}

// String returns the verdict in a word.
func (t *Target) String() string {
	switch {
	case t.Missing:
		return "not run"
	case t.Reached():
		return "reached"
	default:
		return "NOT reached"
	}
}

// Limits of the targets.
const (
	limitIdeal    = 1.3
	limitBaseline = 0.5
	limitTail     = 1.5
	limitHead     = 1.1
	limitDrain    = 3 * time.Second
	limitGoodput  = 0.9
	limitRefusal  = 50 * time.Millisecond
	limitExtra    = 0.05
	limitOverhead = time.Millisecond
)

// Judge fills in the targets from the figures.
func (r *Result) Judge(capacity float64) {
	r.Targets = []Target{
		r.ratio("p99 of lookups / ideal", limitIdeal, r.steady(Steer), r.steady(Ideal)),
		r.ratio("p99 of lookups / baseline", limitBaseline, r.steady(Steer), r.steady(Baseline)),
		r.factor("tail factor, 2 upstreams slowed 5 times", limitTail, trace.Neighbours, trace.Slowed, trace.Without),
		r.factor("head-of-line factor beside long uploads", limitHead, trace.Uploads, trace.Beside, trace.Without),
		r.count("requests over the slots", verdict.Over),
		r.count("keys run twice", verdict.Doubled),
		r.count("operations lost", verdict.Lost),
		r.count("told not run and run", verdict.ToldNotRun),
		r.drain(),
		r.cut("cut by a drain or a planned stop", trace.Maintenance),
		r.goodput(capacity),
		r.refusal(),
		r.refusedOtherwise(),
		r.extra(),
		r.overhead(),
	}
}

// find returns the row of the lookups in a phase, or nil.
func (r *Result) find(s System, name, phase string) *Row {
	for i := range r.Rows {
		row := &r.Rows[i]
		if row.System == s && row.Trace == name && row.Phase == phase && row.Kind == work.Lookup {
			return row
		}
	}
	return nil
}

// steady is the row of the lookups of an ordinary day.
func (r *Result) steady(s System) *Row { return r.find(s, trace.Ordinary, trace.Steady) }

// ratio compares the 99th percentiles of two rows.
func (r *Result) ratio(name string, limit float64, a, b *Row) Target {
	t := Target{Name: name, Limit: limit, Missing: true}
	if a == nil || b == nil || a.Run == 0 || b.Run == 0 {
		return t
	}
	t.Missing = false
	t.Value = float64(a.P99) / float64(b.P99)
	return t
}

// factor compares two phases of a trace and shows what the others reached.
func (r *Result) factor(name string, limit float64, of, with, without string) Target {
	t := r.ratio(name, limit, r.find(Steer, of, with), r.find(Steer, of, without))
	t.Beside = map[System]float64{}
	for _, s := range []System{Baseline, Ideal} {
		other := r.ratio(name, limit, r.find(s, of, with), r.find(s, of, without))
		if !other.Missing {
			t.Beside[s] = other.Value
		}
	}
	return t
}

// replays returns those of a system, of one trace or of all.
func (r *Result) replays(s System, name string) []*Replay {
	var all []*Replay
	for i := range r.Replays {
		p := &r.Replays[i]
		if p.System == s && (name == "" || p.Trace == name) {
			all = append(all, p)
		}
	}
	return all
}

// count sums a kind of violation over all traces; none is allowed.
func (r *Result) count(name string, kind verdict.Kind) Target {
	t := Target{Name: name, Beside: map[System]float64{}, Missing: len(r.replays(Steer, "")) == 0}
	for _, p := range r.replays(Steer, "") {
		t.Value += float64(p.Violations[kind])
	}
	for _, p := range r.replays(Baseline, "") {
		t.Beside[Baseline] += float64(p.Violations[kind])
	}
	return t
}

// drain is the time until a drained upstream gets no new work.
func (r *Result) drain() Target {
	t := Target{Name: "new work after the drain of an upstream", Limit: limitDrain.Seconds(), Unit: "s", Beside: map[System]float64{}, Missing: true}
	for _, p := range r.replays(Steer, "") {
		for _, d := range p.Drains {
			if d.Action == trace.DrainUpstream {
				t.Missing = false
				t.Value = max(t.Value, d.LastStart.Seconds())
			}
		}
	}
	for _, p := range r.replays(Baseline, "") {
		for _, d := range p.Drains {
			t.Beside[Baseline] = max(t.Beside[Baseline], d.LastStart.Seconds())
		}
	}
	return t
}

// cut counts what broke off in a trace; none is allowed. Events that could not
// be carried out count too, since they prove nothing.
func (r *Result) cut(name, of string) Target {
	t := Target{Name: name, Missing: true, Beside: map[System]float64{}}
	for _, p := range r.replays(Steer, of) {
		t.Missing = false
		t.Value += float64(p.Cut + len(p.Problems))
	}
	for _, p := range r.replays(Baseline, of) {
		t.Beside[Baseline] += float64(p.Cut)
	}
	return t
}

// goodput is the part of the capacity that is used under overload.
func (r *Result) goodput(capacity float64) Target {
	t := Target{Name: "goodput at 1.5 times the slots / capacity", Limit: limitGoodput, AtLeast: true, Missing: true, Beside: map[System]float64{}}
	if row := r.find(Steer, trace.Peak, trace.Excess); row != nil && capacity > 0 {
		t.Missing = false
		t.Value = row.Goodput / capacity
	}
	for _, s := range []System{Baseline, Ideal} {
		if row := r.find(s, trace.Peak, trace.Excess); row != nil {
			t.Beside[s] = row.Goodput / capacity
		}
	}
	return t
}

// refusal is how long the slowest refusal under overload took.
func (r *Result) refusal() Target {
	t := Target{Name: "slowest refusal under overload", Limit: limitRefusal.Seconds() * 1000, Unit: "ms", Missing: true, Beside: map[System]float64{}}
	if row := r.find(Steer, trace.Peak, trace.Excess); row != nil && row.NotRun > 0 {
		t.Missing = false
		t.Value = row.RefusalMax.Seconds() * 1000
	}
	if row := r.find(Baseline, trace.Peak, trace.Excess); row != nil {
		t.Beside[Baseline] = row.RefusalMax.Seconds() * 1000
	}
	return t
}

// refusedOtherwise counts what overload left without a clear answer.
func (r *Result) refusedOtherwise() Target {
	t := Target{Name: "unknown under overload", Missing: true, Beside: map[System]float64{}}
	if row := r.find(Steer, trace.Peak, trace.Excess); row != nil {
		t.Missing = false
		t.Value = float64(row.Unknown)
	}
	if row := r.find(Baseline, trace.Peak, trace.Excess); row != nil {
		t.Beside[Baseline] = float64(row.Unknown)
	}
	return t
}

// extra is the largest share of retries and hedges in a trace.
func (r *Result) extra() Target {
	t := Target{Name: "hedges and retries / dispatches", Limit: limitExtra, Missing: true}
	for _, p := range r.replays(Steer, "") {
		if p.Attempts.First == 0 {
			continue
		}
		t.Missing = false
		t.Value = max(t.Value, p.Attempts.Extra())
	}
	return t
}

// overhead is what an entry adds to a direct call.
func (r *Result) overhead() Target {
	t := Target{Name: "overhead of an entry at the median", Limit: limitOverhead.Seconds() * 1000, Unit: "ms", Missing: r.Overhead == nil}
	if r.Overhead != nil {
		t.Value = (r.Overhead.Entry - r.Overhead.Direct).Seconds() * 1000
	}
	return t
}

// Line shows the target in one line.
func (t *Target) Line() string {
	op := "<="
	if t.AtLeast {
		op = ">="
	}
	line := fmt.Sprintf("%-42s %9.3f %-2s %s %-6.4g %s", t.Name, t.Value, t.Unit, op, t.Limit, t)
	for _, s := range []System{Baseline, Ideal} {
		if v, ok := t.Beside[s]; ok {
			line += fmt.Sprintf("  (%s %.3f)", s, v)
		}
	}
	return line
}
