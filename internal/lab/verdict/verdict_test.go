package verdict_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/lab/caller"
	"sycamoreledge.example/internal/lab/upstream"
	"sycamoreledge.example/internal/lab/verdict"
	"sycamoreledge.example/internal/work"
)

var start = time.Unix(1000, 0)

func record(key string, end upstream.End) upstream.Record {
	return upstream.Record{Key: key, Upstream: "u", Start: start, End: end, Digest: "d"}
}

func op(key string, outcome work.Outcome, notRun ...time.Time) *caller.Op {
	return &caller.Op{Key: key, Outcome: outcome, Digest: "d", NotRun: notRun, Attempts: 1}
}

// kinds returns the kinds of the violations in order.
func kinds(v verdict.Violations) []verdict.Kind {
	var all []verdict.Kind
	for _, x := range v {
		all = append(all, x.Kind)
	}
	return all
}

func TestJudge(t *testing.T) {
	before, after := start.Add(-time.Second), start.Add(time.Second)
	wrongBody := op("k", work.Run)
	wrongBody.Digest = "other"
	done, canceled, cut := record("k", upstream.Done), record("k", upstream.Canceled), record("k", upstream.Cut)
	type records = []upstream.Record
	cases := []struct {
		name    string
		op      *caller.Op
		records records
		want    []verdict.Kind
	}{
		{"run once", op("k", work.Run), records{done}, nil},
		{"run after a cut body", op("k", work.Run), records{cut, done}, nil},
		{"not run", op("k", work.NotRun, before), nil, nil},
		{"not run, then run by a later attempt", op("k", work.Run, before), records{done}, nil},
		{"unknown, run", op("k", work.Unknown), records{canceled}, nil},
		{"unknown, not run", op("k", work.Unknown), nil, nil},
		{"doubled", op("k", work.Run), records{done, canceled}, []verdict.Kind{verdict.Doubled}},
		{"lost", op("k", work.Run), nil, []verdict.Kind{verdict.Lost}},
		{"lost, canceled while running", op("k", work.Run), records{canceled}, []verdict.Kind{verdict.Lost}},
		{"completed with another body", wrongBody, records{done}, []verdict.Kind{verdict.Lost}},
		{"told not run after execution started", op("k", work.Run, after), records{done}, []verdict.Kind{verdict.ToldNotRun}},
		{"ran although not run is the final outcome", op("k", work.NotRun, before), records{canceled}, []verdict.Kind{verdict.ToldNotRun}},
		{"key that no caller sent", op("k", work.Unknown), records{record("x", upstream.Done)}, []verdict.Kind{verdict.Unasked}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			got := verdict.Judge([]*caller.Op{c.op}, upstream.Ledger{Records: c.records})
			g.Expect(kinds(got)).To(gomega.Equal(c.want))
		})
	}
}

func TestJudgeSumsViolationCountsByKind(t *testing.T) {
	g := gomega.NewWithT(t)
	o := &caller.Op{Nonce: "n", Bad: "cut", Unlabelled: 2, Outcome: work.Run}
	l := upstream.Ledger{Upstreams: []upstream.Counts{{Upstream: "a", Over: 2, AfterLeaving: 3}, {Upstream: "b", Over: 1}}}
	got := verdict.Judge([]*caller.Op{o}, l)
	g.Expect(got.Count(verdict.Bad)).To(gomega.Equal(1))
	g.Expect(got.Count(verdict.Unlabelled)).To(gomega.Equal(2))
	g.Expect(got.Count(verdict.Over)).To(gomega.Equal(3))
	g.Expect(got.Count(verdict.AfterLeaving)).To(gomega.Equal(3))
}

func TestHistoryReportsOnlyNewViolations(t *testing.T) {
	g := gomega.NewWithT(t)
	h := verdict.NewHistory()
	h.Add([]*caller.Op{op("k", work.Run)})
	l := upstream.Ledger{Records: []upstream.Record{record("k", upstream.Done)}, Upstreams: []upstream.Counts{{Upstream: "u", Over: 1}}}
	g.Expect(kinds(h.Judge(l))).To(gomega.Equal([]verdict.Kind{verdict.Over}))
	g.Expect(h.Judge(l)).To(gomega.BeEmpty())
	l.Records = append(l.Records, record("k", upstream.Canceled))
	l.Upstreams[0].Over = 4
	got := h.Judge(l)
	g.Expect(kinds(got)).To(gomega.Equal([]verdict.Kind{verdict.Doubled, verdict.Over}))
	g.Expect(got.Count(verdict.Over)).To(gomega.Equal(3))
}
