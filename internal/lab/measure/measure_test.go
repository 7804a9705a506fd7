package measure

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/lab/firm"
	"sycamoreledge.example/internal/lab/trace"
	"sycamoreledge.example/internal/lab/upstream"
	"sycamoreledge.example/internal/lab/verdict"
	"sycamoreledge.example/internal/settings"
	"sycamoreledge.example/internal/work"
)

const (
	service  = "status"
	deadline = time.Second
	capacity = 10.0
)

func allowed(string) time.Duration { return deadline }

// twoPhases has 100 sends a second in two phases of a second.
func twoPhases() (*trace.Trace, []Sample) {
	t := &trace.Trace{
		Name:     "t",
		Services: []trace.Service{{Name: service, Kind: work.Lookup}},
		Phases:   []trace.Phase{{Name: "one", End: time.Second}, {Name: "two", Start: time.Second, End: 2 * time.Second}},
	}
	var samples []Sample
	for i := range 200 {
		t.Sends = append(t.Sends, trace.Send{At: time.Duration(i) * 10 * time.Millisecond})
		samples = append(samples, Sample{Outcome: work.Run, Latency: time.Duration(i%100+1) * time.Millisecond})
	}
	return t, samples
}

func TestRowsKeepPhasesAndOutcomesApart(t *testing.T) {
	g := gomega.NewWithT(t)
	tr, samples := twoPhases()
	samples[100].Outcome = work.NotRun
	samples[101].Outcome = work.Unknown
	samples[102].Latency = 2 * deadline
	got := rows(Steer, tr, samples, allowed)
	g.Expect(got).To(gomega.HaveLen(2))
	one, two := got[0], got[1]
	g.Expect(one.P50).To(gomega.Equal(50 * time.Millisecond))
	g.Expect(one.P99).To(gomega.Equal(99 * time.Millisecond))
	g.Expect(one.P999).To(gomega.Equal(100 * time.Millisecond))
	g.Expect(one.Goodput).To(gomega.Equal(100.0))
	g.Expect([]int{two.Sent, two.Run, two.NotRun, two.Unknown, two.Missed}).To(gomega.Equal([]int{100, 98, 1, 1, 3}))
	g.Expect(two.P999).To(gomega.Equal(2 * deadline))
	g.Expect(two.RefusalMax).To(gomega.Equal(time.Millisecond))
	g.Expect(two.Goodput).To(gomega.Equal(97.0))
}

func TestTargetsAreJudgedByTheirLimits(t *testing.T) {
	row := func(s System, phase string, p99 time.Duration) Row {
		return Row{System: s, Trace: "t", Phase: phase, Kind: work.Lookup, Sent: 100, Run: 90, NotRun: 10, Missed: 10, P99: p99, RefusalMax: 60 * time.Millisecond, Goodput: 8}
	}
	r := &Result{
		Rows: []Row{row(Steer, "one", 100*time.Millisecond), row(Steer, "two", 130*time.Millisecond), row(Baseline, "one", 400*time.Millisecond), row(Ideal, "one", 80*time.Millisecond)},
		Replays: []Replay{
			{System: Steer, Trace: "t", Violations: map[verdict.Kind]int{verdict.Over: 2}, Attempts: Attempts{First: 90, Retry: 4, Hedge: 6},
				Drains: []Drain{{Action: trace.DrainUpstream, LastStart: 2 * time.Second}}, Cut: 1, Problems: []string{"no"}},
		},
		Overhead: &Overhead{Direct: time.Millisecond, Entry: 3 * time.Millisecond},
	}
	most := func(m Measure, phase, against string, limit float64) Limit {
		return Limit{Measure: m, Kind: work.Lookup, Phase: phase, Against: against, AtMost: &limit, Weight: 1}
	}
	least := 0.9
	cases := []struct {
		limit Limit
		value float64
		want  string
	}{
		{most(P99, "one", "ideal", 1.3), 1.25, "reached"},
		{most(P99, "one", "ideal", 1.2), 1.25, "NOT reached"},
		{most(P99, "one", "baseline", 0.5), 0.25, "reached"},
		{most(P99, "two", "one", 1.1), 1.3, "NOT reached"},
		{most(P99, "two", "ideal", 9), 0, "not run"},
		{most(P99, "three", "one", 9), 0, "not run"},
		{most(Refusal, "one", "", 50), 60, "NOT reached"},
		{most(Missed, "one", "", 0.1), 0.1, "reached"},
		{most(Unknown, "one", "", 0), 0, "reached"},
		{Limit{Measure: Goodput, Kind: work.Lookup, Phase: "one", AtLeast: &least}, 0.8, "NOT reached"},
		{most(Over, "", "", 0), 2, "NOT reached"},
		{most(Repeated, "", "", 0), 0, "reached"},
		{most(Cut, "", "", 0), 2, "NOT reached"},
		{most(Extra, "", "", 0.05), 0.1, "NOT reached"},
		{most(Drained, "", "", 3), 2, "reached"},
	}
	for _, c := range cases {
		g := gomega.NewWithT(t)
		r.Judge([]*Outcome{{Trace: "t", Limits: []Limit{c.limit}}}, capacity)
		got := r.Targets[0]
		g.Expect(got.String()).To(gomega.Equal(c.want), got.Name)
		g.Expect(got.Value).To(gomega.BeNumerically("~", c.value, 1e-9), got.Name)
		g.Expect(r.Targets[1].String()).To(gomega.Equal("NOT reached"), "overhead")
	}
	g := gomega.NewWithT(t)
	r.Replays[0].Behind = maxBehind + 1
	r.Judge([]*Outcome{{Trace: "t", Limits: []Limit{cases[0].limit, cases[10].limit}}}, capacity)
	g.Expect(r.Targets[0].String()).To(gomega.Equal("invalid, sends late"))
	g.Expect(r.Targets[0].Reached()).To(gomega.BeFalse())
	g.Expect(r.Targets[1].String()).To(gomega.Equal("NOT reached"), "promises hold on a busy machine too")
	g.Expect(r.Missed()).To(gomega.ContainElement(gomega.ContainSubstring("overhead")))
	g.Expect(r.Markdown()).To(gomega.ContainSubstring("NOT reached"))
}

func TestEveryCommittedTraceHasAnOutcomeThatFits(t *testing.T) {
	root := filepath.Join("..", "..", "..")
	for _, name := range []string{"lantern-mount", "wijesekera"} {
		g := gomega.NewWithT(t)
		f, err := firm.Load(filepath.Join(root, "deploy", name))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		dir := filepath.Join(root, "testdata", "traces", name)
		files, err := filepath.Glob(filepath.Join(dir, "*"+trace.Suffix))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(files).To(gomega.HaveLen(len(trace.Scenarios(f))))
		for _, file := range files {
			tr, err := trace.Load(file)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			o, err := LoadOutcome(strings.TrimSuffix(file, trace.Suffix) + OutcomeSuffix)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(o.Trace).To(gomega.Equal(tr.Name))
			g.Expect(tr.Firm).To(gomega.Equal(f.Topology.Firm))
			phases := map[string]bool{}
			for _, p := range tr.Phases {
				phases[p.Name] = true
			}
			for _, l := range o.Limits {
				g.Expect(l.Phase == "" || phases[l.Phase]).To(gomega.BeTrue(), l.name())
			}
		}
	}
}

func TestLimitsThatCannotFailAreRefused(t *testing.T) {
	head := "trace: t\nsays: x\nlimits:\n"
	for text, want := range map[string]string{
		head: "limits are required",
		head + "  - {measure: over, weight: 1}\n":                                 "at_most or at_least",
		head + "  - {measure: over, at_most: 0, at_least: 0, weight: 1}\n":        "at_most or at_least",
		head + "  - {measure: speed, at_most: 0, weight: 1}\n":                    "unknown measure",
		head + "  - {measure: p99, kind: lookup, at_most: 1, weight: 1}\n":        "kind and a phase",
		head + "  - {measure: over, at_most: 0}\n":                                "weight",
		head + "  - {measure: over, at_most: 0, weight: 1, unless: it is late}\n": "unknown field",
	} {
		g := gomega.NewWithT(t)
		file := filepath.Join(t.TempDir(), "t.yaml")
		g.Expect(os.WriteFile(file, []byte(text), 0o600)).To(gomega.Succeed())
		_, err := LoadOutcome(file)
		g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(want)))
	}
}

func TestAttemptsAreReadFromTheMetrics(t *testing.T) {
	g := gomega.NewWithT(t)
	var a Attempts
	a.read(strings.NewReader(`# HELP attempts_total Dispatches
attempts_total{attempt="first",service="status"} 95
attempts_total{attempt="first",service="orders"} 3
attempts_total{attempt="hedge",service="status"} 1
attempts_total{attempt="retry",service="status"} 1e+00
requests_total{outcome="run"} 7
`))
	g.Expect(a).To(gomega.Equal(Attempts{First: 98, Retry: 1, Hedge: 1}))
	g.Expect(a.Extra()).To(gomega.Equal(0.02))
	g.Expect(a.since(Attempts{First: 90})).To(gomega.Equal(Attempts{First: 8, Retry: 1, Hedge: 1}))
}

func TestHeadroomIsThatOfTheWorstSecond(t *testing.T) {
	g := gomega.NewWithT(t)
	topology := settings.Topology{Regions: []settings.Region{{Name: "east", Zones: []settings.Zone{{Name: "a"}, {Name: "b"}}}}}
	h := &headroom{plan: &firm.Plan{Topology: topology}, samples: map[string][]float64{}}
	for _, busy := range []int{0, 0, 0, 0, 10, 10, 10, 10} {
		h.add([]upstream.Counts{{Zone: "a", Slots: 10, Busy: busy}, {Zone: "b", Slots: 10}})
	}
	got := h.free()
	g.Expect(got).To(gomega.Equal([]Free{{Region: "east", Mean: 0.75, Worst: 0.5}}))
}
