package measure

import (
	"fmt"
	"strings"
	"time"

	"sycamoreledge.example/internal/lab/verdict"
)

// table is a table of text.
type table struct {
	head []string
	rows [][]string
}

// add appends a row.
func (t *table) add(cells ...string) { t.rows = append(t.rows, cells) }

// String returns the table in Markdown with aligned columns.
func (t *table) String() string {
	widths := make([]int, len(t.head))
	for _, row := range append([][]string{t.head}, t.rows...) {
		for i, cell := range row {
			widths[i] = max(widths[i], len([]rune(cell)))
		}
	}
	var b strings.Builder
	t.line(&b, t.head, widths)
	rule := make([]string, len(widths))
	for i, w := range widths {
		rule[i] = strings.Repeat("-", w)
	}
	t.line(&b, rule, widths)
	for _, row := range t.rows {
		t.line(&b, row, widths)
	}
	return b.String()
}

// line writes one row.
func (t *table) line(b *strings.Builder, cells []string, widths []int) {
	for i, cell := range cells {
		fmt.Fprintf(b, "| %s%s ", cell, strings.Repeat(" ", widths[i]-len([]rune(cell))))
	}
	b.WriteString("|\n")
}

// millis shows a duration in milliseconds without the unit.
func millis(d time.Duration) string {
	if d == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f", float64(d)/float64(time.Millisecond))
}

// Markdown returns all tables of a result.
func (r *Result) Markdown() string {
	parts := []string{
		"Targets:\n\n" + r.targetTable(),
		"Latency in ms, from the time in the trace to the end of the answer:\n\n" + r.latencyTable(),
		"Each replay:\n\n" + r.replayTable(),
	}
	if r.Once != nil {
		parts = append(parts, fmt.Sprintf("At most once (an idle system writes %.2f times a second on the platform):\n\n%s", r.Once.IdleWrites, r.onceTable()))
	}
	if r.Overhead != nil {
		parts = append(parts, fmt.Sprintf("Time beside the work, at the median of %d calls one after the other: direct %s, through the owner of the pool %s, through the other entry of the zone %s.\n",
			overheadCalls, ms(r.Overhead.Direct), ms(r.Overhead.Entry), ms(r.Overhead.Forward)))
	}
	return strings.Join(parts, "\n")
}

// targetTable shows the targets.
func (r *Result) targetTable() string {
	t := &table{head: []string{"Trace", "Measure", "Weight", "Value", "Limit", "Verdict", "Baseline", "Ideal"}}
	for i := range r.Targets {
		x := &r.Targets[i]
		sign := "at most"
		if x.AtLeast {
			sign = "at least"
		}
		value := fmt.Sprintf("%.3g %s", x.Value, x.Unit)
		if x.Missing {
			value = "-"
		}
		t.add(x.Trace, x.Name, fmt.Sprint(x.Weight), strings.TrimSpace(value), strings.TrimSpace(fmt.Sprintf("%s %.4g %s", sign, x.Limit, x.Unit)), x.String(), x.beside(Baseline), x.beside(Ideal))
	}
	return t.String()
}

// beside shows what another system reached.
func (t *Target) beside(s System) string {
	if v, ok := t.Beside[s]; ok {
		return fmt.Sprintf("%.3g", v)
	}
	return "-"
}

// latencyTable shows the rows.
func (r *Result) latencyTable() string {
	t := &table{head: []string{"Trace", "Phase", "Kind", "System", "p50", "p99", "p99.9", "Sent", "Run", "Not run", "Unknown", "Missed", "Goodput/s"}}
	for i := range r.Rows {
		x := &r.Rows[i]
		t.add(x.Trace, x.Phase, string(x.Kind), string(x.System), millis(x.P50), millis(x.P99), millis(x.P999),
			fmt.Sprint(x.Sent), fmt.Sprint(x.Run), fmt.Sprint(x.NotRun), fmt.Sprint(x.Unknown), fmt.Sprint(x.Missed), fmt.Sprintf("%.0f", x.Goodput))
	}
	return t.String()
}

// replayTable shows what belongs to no single service.
func (r *Result) replayTable() string {
	t := &table{head: []string{"Trace", "System", "Free slots by region: mean (worst second)", "Cores", "MB", "Retries and hedges", "Repeated", "Lost", "Over", "Cut", "Drains", "Sends late"}}
	for i := range r.Replays {
		p := &r.Replays[i]
		var free, drains []string
		for _, f := range p.Free {
			free = append(free, fmt.Sprintf("%s %.0f%% (%.0f%%)", f.Region, 100*f.Mean, 100*f.Worst))
		}
		for _, d := range p.Drains {
			drains = append(drains, fmt.Sprintf("%s: last work %.2f s, idle %.2f s", d.Name, d.LastStart.Seconds(), d.Idle.Seconds()))
		}
		if len(drains) > 2 {
			drains = []string{fmt.Sprintf("%d upstreams: last work %.2f s", len(drains), p.lastStart().Seconds())}
		}
		t.add(p.Trace, string(p.System), strings.Join(free, ", "), fmt.Sprintf("%.2f", p.Processor), fmt.Sprint(p.Memory>>20),
			fmt.Sprintf("%.2f%%", 100*p.Attempts.Extra()), fmt.Sprint(p.Violations[verdict.Doubled]), fmt.Sprint(p.Violations[verdict.Lost]),
			fmt.Sprint(p.Violations[verdict.Over]), fmt.Sprint(p.Cut), strings.Join(drains, "; "), ms(p.Behind)+", "+p.validity())
	}
	return t.String()
}

// lastStart is the latest new work of all drains.
func (r *Replay) lastStart() time.Duration {
	var last time.Duration
	for _, d := range r.Drains {
		last = max(last, d.LastStart)
	}
	return last
}

// onceTable shows what orders cost.
func (r *Result) onceTable() string {
	t := &table{head: []string{"Keys", "Platform", "Sent", "Run", "Not run", "Unknown", "p50 ms", "p99 ms", "Writes per order"}}
	for _, x := range r.Once.Rows {
		state := "up"
		if x.Outage {
			state = "down"
		}
		t.add(x.Keys, state, fmt.Sprint(x.Sent), fmt.Sprint(x.Run), fmt.Sprint(x.NotRun), fmt.Sprint(x.Unknown), millis(x.P50), millis(x.P99), fmt.Sprintf("%.3f", x.Writes))
	}
	return t.String()
}
