// Package report writes the results of measurements as a page, as CSV and as
// plots.
package report

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"sycamoreledge.example/internal/lab/measure"
)

// Error is the class of errors of this package.
var Error = errs.Class("report")

// Marks around the part of the page that is written anew.
const (
	begin = "<!-- figures: begin -->\n"
	end   = "<!-- figures: end -->\n"
)

// Options says what to read and write.
type Options struct {
	// Results is the directory of the measurements, one JSON file each.
	Results string
	// Page is the Markdown page with the marks, Files the directory of its CSV
	// and plots.
	Page, Files string
}

// Write writes the page and the files from the last result of each firm.
func Write(o Options) error {
	results, err := latest(o.Results)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(o.Files, 0o755); err != nil {
		return Error.Wrap(err)
	}
	for _, r := range results {
		if err := writeFiles(o.Files, r); err != nil {
			return err
		}
	}
	return writePage(o, results)
}

// latest reads the newest result of each firm, ordered by firm.
func latest(dir string) ([]*measure.Result, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	newest := map[string]*measure.Result{}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		r := &measure.Result{}
		if err := json.Unmarshal(data, r); err != nil {
			return nil, Error.New("%s: %w", file, err)
		}
		if old := newest[r.Firm]; old == nil || old.Started.Before(r.Started) {
			newest[r.Firm] = r
		}
	}
	if len(newest) == 0 {
		return nil, Error.New("no results in %s", dir)
	}
	var all []*measure.Result
	for _, r := range newest {
		all = append(all, r)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Firm < all[j].Firm })
	return all, nil
}

// writeFiles writes the CSV and the plots of a firm.
func writeFiles(dir string, r *measure.Result) error {
	if err := writeCSV(filepath.Join(dir, r.Firm+".csv"), r); err != nil {
		return err
	}
	return plots(dir, r)
}

// writeCSV writes the rows of a result; times are in milliseconds.
func writeCSV(path string, r *measure.Result) error {
	f, err := os.Create(path)
	if err != nil {
		return Error.Wrap(err)
	}
	w := csv.NewWriter(f)
	records := [][]string{{"trace", "phase", "service", "kind", "system", "sent", "run", "not_run", "unknown", "missed", "p50_ms", "p99_ms", "p999_ms", "refusal_max_ms", "goodput"}}
	for i := range r.Rows {
		records = append(records, record(&r.Rows[i]))
	}
	err = w.WriteAll(records)
	return Error.Wrap(errs.Combine(err, f.Close()))
}

// record is one row as fields.
func record(x *measure.Row) []string {
	return []string{
		x.Trace, x.Phase, x.Service, string(x.Kind), string(x.System),
		strconv.Itoa(x.Sent), strconv.Itoa(x.Run), strconv.Itoa(x.NotRun), strconv.Itoa(x.Unknown), strconv.Itoa(x.Missed),
		millis(x.P50), millis(x.P99), millis(x.P999), millis(x.RefusalMax), strconv.FormatFloat(x.Goodput, 'f', 1, 64),
	}
}

// millis shows a duration in milliseconds.
func millis(d time.Duration) string {
	return strconv.FormatFloat(float64(d)/float64(time.Millisecond), 'f', 2, 64)
}

// writePage replaces what stands between the marks of the page.
func writePage(o Options, results []*measure.Result) error {
	data, err := os.ReadFile(o.Page)
	if err != nil {
		return Error.Wrap(err)
	}
	before, rest, ok := strings.Cut(string(data), begin)
	if !ok {
		return Error.New("%s has no line %q", o.Page, strings.TrimSpace(begin))
	}
	_, after, ok := strings.Cut(rest, end)
	if !ok {
		return Error.New("%s has no line %q", o.Page, strings.TrimSpace(end))
	}
	files, err := filepath.Rel(filepath.Dir(o.Page), o.Files)
	if err != nil {
		return Error.Wrap(err)
	}
	var b strings.Builder
	b.WriteString(before + begin)
	for _, r := range results {
		b.WriteString(section(r, files))
	}
	b.WriteString("\n" + end + after)
	return Error.Wrap(os.WriteFile(o.Page, []byte(b.String()), 0o644))
}

// section is the part of the page about one firm.
func section(r *measure.Result, files string) string {
	return fmt.Sprintf("\n## %s\n\nSeed %d, a second of the traces lasted %g s, %s, took %s. Load average of the machine before and after: %s.\n\n%s\n"+
		"All rows: [%s.csv](%s/%s.csv).\n\n![p99 of lookups](%s/%s-p99.png)\n\n![Latency of an ordinary day](%s/%s-ordinary.png)\n",
		r.Firm, r.Seed, r.Pace, r.Started.UTC().Format(time.DateTime+" UTC"), r.Took, strings.Join(r.LoadBusy, ", "), r.Markdown(),
		r.Firm, files, r.Firm, files, r.Firm, files, r.Firm)
}
