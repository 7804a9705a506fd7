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

func TestJudge(t *testing.T) {
	before, after := start.Add(-time.Second), start.Add(time.Second)
	wrongBody := op("k", work.Run)
	wrongBody.Digest = "other"
	cases := []struct {
		name    string
		op      *caller.Op
		records []upstream.Record
		want    verdict.Verdict
	}{
		{"run once", op("k", work.Run), []upstream.Record{record("k", upstream.Done)}, verdict.Verdict{}},
		{"run after a cut body", op("k", work.Run), []upstream.Record{record("k", upstream.Cut), record("k", upstream.Done)}, verdict.Verdict{}},
		{"not run", op("k", work.NotRun, before), nil, verdict.Verdict{}},
		{"not run, then run", op("k", work.Run, before), []upstream.Record{record("k", upstream.Done)}, verdict.Verdict{}},
		{"unknown, run", op("k", work.Unknown), []upstream.Record{record("k", upstream.Canceled)}, verdict.Verdict{}},
		{"unknown, not run", op("k", work.Unknown), nil, verdict.Verdict{}},
		{"doubled", op("k", work.Run), []upstream.Record{record("k", upstream.Done), record("k", upstream.Canceled)}, verdict.Verdict{Doubled: 1}},
		{"lost", op("k", work.Run), nil, verdict.Verdict{Lost: 1}},
		{"lost half way", op("k", work.Run), []upstream.Record{record("k", upstream.Canceled)}, verdict.Verdict{Lost: 1}},
		{"another body", wrongBody, []upstream.Record{record("k", upstream.Done)}, verdict.Verdict{Lost: 1}},
		{"told not run after it ran", op("k", work.Run, after), []upstream.Record{record("k", upstream.Done)}, verdict.Verdict{ToldNotRun: 1}},
		{"ran after the last word", op("k", work.NotRun, before), []upstream.Record{record("k", upstream.Canceled)}, verdict.Verdict{ToldNotRun: 1}},
		{"of nobody", op("k", work.Unknown), []upstream.Record{record("x", upstream.Done)}, verdict.Verdict{Unasked: 1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			got := verdict.Judge([]*caller.Op{c.op}, upstream.Ledger{Records: c.records})
			g.Expect(got.Examples).To(gomega.HaveLen(len(c.want.Examples) + broken(c.want)))
			g.Expect(got.Held()).To(gomega.Equal(broken(c.want) == 0))
			got.Examples = nil
			g.Expect(got).To(gomega.Equal(c.want))
		})
	}
}

func TestJudgeCountsWhatUpstreamsAndCallersSaw(t *testing.T) {
	g := gomega.NewWithT(t)
	o := &caller.Op{Bad: "cut", Unlabelled: 2, Outcome: work.Run}
	got := verdict.Judge([]*caller.Op{o}, upstream.Ledger{Upstreams: []upstream.Counts{{Over: 2, AfterLeaving: 3}, {Over: 1}}})
	got.Examples = nil
	g.Expect(got).To(gomega.Equal(verdict.Verdict{Bad: 1, Unlabelled: 1, Over: 3, AfterLeaving: 3}))
	g.Expect(got.Held()).To(gomega.BeFalse())
}

// broken is the number of violations that the cases expect.
func broken(v verdict.Verdict) int { return v.Doubled + v.Lost + v.ToldNotRun + v.Unasked }
