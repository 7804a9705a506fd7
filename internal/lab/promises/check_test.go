package promises

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/lab/verdict"
	"sycamoreledge.example/internal/settings"
)

var t0 = time.Unix(1000, 0)

func after(d time.Duration) time.Time { return t0.Add(d) }

func TestSamplesMustNotGoBack(t *testing.T) {
	cases := []struct {
		name    string
		samples []sample
		want    int
	}{
		{"forward", []sample{{entry: "a", version: 1}, {entry: "a", version: 1}, {entry: "a", version: 3}}, 0},
		{"back", []sample{{entry: "a", version: 3}, {entry: "a", version: 1}}, 1},
		{"another entry", []sample{{entry: "a", version: 3}, {entry: "b", version: 1}}, 0},
		{"a new process", []sample{{entry: "a", incarnation: 1, version: 3}, {entry: "a", incarnation: 2, version: 1}}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := &Report{}
			checkSamples(r, c.samples)
			gomega.NewWithT(t).Expect(r.of(Config)).To(gomega.HaveLen(c.want))
		})
	}
}

func TestAChangeMustBeInForceInTime(t *testing.T) {
	made := change{version: 5, accepted: t0, healed: after(20 * time.Second), hurt: map[string]bool{"hurt": true}}
	cases := []struct {
		name    string
		entry   string
		samples []sample
		want    int
	}{
		{"in time", "a", []sample{{entry: "a", version: 4, at: after(4 * time.Second)}, {entry: "a", version: 5, at: after(6 * time.Second)}}, 0},
		{"newer", "a", []sample{{entry: "a", version: 7, at: after(time.Second)}}, 0},
		{"late", "a", []sample{{entry: "a", version: 4, at: after(5500 * time.Millisecond)}, {entry: "a", version: 5, at: after(6 * time.Second)}}, 1},
		{"never", "a", []sample{{entry: "a", version: 4, at: after(time.Second)}}, 1},
		{"late and never", "a", []sample{{entry: "a", version: 4, at: after(6 * time.Second)}}, 2},
		{"hurt", "hurt", []sample{{entry: "hurt", version: 4, at: after(24 * time.Second)}, {entry: "hurt", version: 5, at: after(26 * time.Second)}}, 0},
		{"hurt and late", "hurt", []sample{{entry: "hurt", version: 4, at: after(26 * time.Second)}, {entry: "hurt", version: 5, at: after(27 * time.Second)}}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := &Report{}
			checkChange(r, []string{c.entry}, c.samples, made)
			gomega.NewWithT(t).Expect(r.of(Config)).To(gomega.HaveLen(c.want))
		})
	}
}

func TestEveryChangeHasItsRecord(t *testing.T) {
	records := func(operations ...string) []settings.AuditRecord {
		var all []settings.AuditRecord
		for i, o := range operations {
			all = append(all, settings.AuditRecord{Operation: o, Sequence: int64(len(operations) - i)})
		}
		return all
	}
	gap := records("b", "a")
	gap[0].Sequence = 7
	cases := []struct {
		name              string
		records           []settings.AuditRecord
		accepted, refused []string
		want              int
	}{
		{"complete", records("b", "a"), []string{"a", "b"}, []string{"c"}, 0},
		{"accepted without record", records("a"), []string{"a", "b"}, nil, 1},
		{"refused with record", records("a"), nil, []string{"a"}, 1},
		{"two records", records("a", "a"), []string{"a"}, nil, 1},
		{"gap", gap, nil, nil, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := &Report{}
			checkRecords(r, c.records, c.accepted, c.refused)
			gomega.NewWithT(t).Expect(r.of(Config)).To(gomega.HaveLen(c.want))
		})
	}
}

func TestTheTableIsWhole(t *testing.T) {
	g := gomega.NewWithT(t)
	names := map[string]bool{}
	quick := 0
	for _, c := range Cases() {
		g.Expect(names[c.Name]).To(gomega.BeFalse(), c.Name)
		names[c.Name] = true
		g.Expect(c.promises()).NotTo(gomega.BeEmpty(), c.Name)
		for _, f := range c.faults {
			g.Expect(f.begin).NotTo(gomega.BeNil(), c.Name)
			g.Expect(f.end).NotTo(gomega.BeNil(), c.Name)
		}
		if c.Quick {
			quick++
		}
	}
	g.Expect(quick).To(gomega.Equal(len(quickCases)))
	for _, kind := range []verdict.Kind{verdict.Doubled, verdict.Lost, verdict.ToldNotRun, verdict.Bad, verdict.Unlabelled, verdict.Over, verdict.AfterLeaving, verdict.Unasked} {
		g.Expect(kinds).To(gomega.HaveKey(kind))
	}
}

func TestAShiftMustStayWithinItsCapInEveryWindow(t *testing.T) {
	policy := &settings.ServicePolicy{ShiftRate: 100}
	// at lists what the region had started after each second.
	cases := []struct {
		name string
		at   []int64
		want int
	}{
		{"steady", []int64{0, 100, 200, 300}, 0},
		{"with a burst", []int64{0, 110, 200, 300}, 0},
		{"over in one window", []int64{0, 10, 130, 200}, 1},
		{"over in the sum", []int64{0, 105, 210, 315}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var windows []window
			for i, n := range c.at {
				at := after(time.Duration(i) * time.Second)
				windows = append(windows, window{begin: at, end: at, started: map[string]int64{"west": n}})
			}
			r := &Report{}
			checkShiftCap(r, windows, "west", policy, 2)
			gomega.NewWithT(t).Expect(r.of(Caps)).To(gomega.HaveLen(c.want))
		})
	}
}
