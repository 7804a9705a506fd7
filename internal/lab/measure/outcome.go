package measure

import (
	"os"

	"github.com/goccy/go-yaml"
	"github.com/zeebo/errs"

	"sycamoreledge.example/internal/work"
)

// OutcomeSuffix ends the names of the files of stated outcomes.
const OutcomeSuffix = ".outcome.yaml"

// Outcome is what a trace must bring.
type Outcome struct {
	Trace string `yaml:"trace"`
	// Says tells in words what the trace is and what its outcome must be.
	Says   string  `yaml:"says"`
	Limits []Limit `yaml:"limits"`
}

// Measure names a figure.
type Measure string

// The measures. Those of a row need a kind and a phase.
const (
	// P99 and P50 are latencies: as ratios when Against is set, else in ms.
	P50 Measure = "p50"
	P99 Measure = "p99"
	// Goodput is a part of the capacity of the lookups.
	Goodput Measure = "goodput"
	// Refusal is the slowest refusal in ms.
	Refusal Measure = "refusal"
	// Missed and Unknown are parts of what was sent.
	Missed  Measure = "missed"
	Unknown Measure = "unknown"
	// Over to Bad are counts of violations.
	Over         Measure = "over"
	Repeated     Measure = "repeated"
	Lost         Measure = "lost"
	ToldNotRun   Measure = "told_not_run"
	AfterLeaving Measure = "after_leaving"
	Bad          Measure = "bad"
	// Cut counts answers that broke off, and events that could not happen.
	Cut Measure = "cut"
	// Extra is the share of retries and hedges in all dispatches.
	Extra Measure = "extra"
	// Drain is the time until a drained upstream gets no new work, in s.
	Drained Measure = "drain"
)

// Limit bounds one measure.
type Limit struct {
	Measure Measure   `yaml:"measure"`
	Kind    work.Kind `yaml:"kind"`
	Phase   string    `yaml:"phase"`
	// Against is the system or the phase that the figure is divided by.
	Against string `yaml:"against"`
	// Exactly one of AtMost and AtLeast is set.
	AtMost  *float64 `yaml:"at_most"`
	AtLeast *float64 `yaml:"at_least"`
	// Weight is how much the firm cares, from 1 to 3.
	Weight int `yaml:"weight"`
}

// LoadOutcome reads the stated outcome of a trace.
func LoadOutcome(path string) (*Outcome, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	o := &Outcome{}
	if err := yaml.UnmarshalWithOptions(data, o, yaml.Strict()); err != nil {
		return nil, Error.New("%s: %w", path, err)
	}
	if err := o.check(); err != nil {
		return nil, Error.New("%s: %w", path, err)
	}
	return o, nil
}

// check refuses limits that could not fail.
func (o *Outcome) check() error {
	if o.Trace == "" || o.Says == "" || len(o.Limits) == 0 {
		return Error.New("trace, says and limits are required")
	}
	var failed errs.Group
	for i, l := range o.Limits {
		if (l.AtMost == nil) == (l.AtLeast == nil) {
			failed.Add(Error.New("limit %d needs either at_most or at_least", i+1))
		}
		if !l.Measure.known() {
			failed.Add(Error.New("limit %d has the unknown measure %q", i+1, l.Measure))
		}
		if l.Measure.ofRow() && (l.Kind == "" || l.Phase == "") {
			failed.Add(Error.New("limit %d needs a kind and a phase", i+1))
		}
		if l.Weight < 1 || l.Weight > 3 {
			failed.Add(Error.New("limit %d needs a weight from 1 to 3", i+1))
		}
	}
	return failed.Err()
}

// ofRow reports whether the measure belongs to a kind and a phase.
func (m Measure) ofRow() bool {
	switch m {
	case P50, P99, Goodput, Refusal, Missed, Unknown:
		return true
	default:
		return false
	}
}

// known reports whether the measure exists.
func (m Measure) known() bool {
	switch m {
	case Over, Repeated, Lost, ToldNotRun, AfterLeaving, Bad, Cut, Extra, Drained:
		return true
	default:
		return m.ofRow()
	}
}
