package report_test

import (
	"encoding/json"
	"image/png"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/lab/measure"
	"sycamoreledge.example/internal/lab/report"
	"sycamoreledge.example/internal/work"
)

// save writes a result whose only row has the latency.
func save(g *gomega.WithT, dir, file string, started time.Time, p99 time.Duration) {
	r := measure.Result{Firm: "f", Started: started, Rows: []measure.Row{
		{System: measure.Steer, Trace: "ordinary", Phase: "steady", Kind: work.Lookup, Sent: 1, Run: 1, P99: p99},
	}}
	data, err := json.Marshal(r)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(os.WriteFile(filepath.Join(dir, file), data, 0o600)).To(gomega.Succeed())
}

func TestThePageShowsTheNewestResultAndKeepsItsWords(t *testing.T) {
	g := gomega.NewWithT(t)
	dir := t.TempDir()
	now := time.Unix(1e9, 0)
	save(g, dir, "a.json", now, 111*time.Millisecond)
	save(g, dir, "b.json", now.Add(-time.Hour), 222*time.Millisecond)
	page := filepath.Join(dir, "PAGE.md")
	o := report.Options{Results: dir, Page: page, Files: filepath.Join(dir, "files")}

	g.Expect(os.WriteFile(page, []byte("words"), 0o600)).To(gomega.Succeed())
	g.Expect(report.Write(o)).To(gomega.MatchError(gomega.ContainSubstring("has no line")))

	text := "before\n<!-- figures: begin -->\nold\n<!-- figures: end -->\nafter\n"
	g.Expect(os.WriteFile(page, []byte(text), 0o600)).To(gomega.Succeed())
	for range 2 {
		g.Expect(report.Write(o)).To(gomega.Succeed())
	}
	got, err := os.ReadFile(page)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(got)).To(gomega.HavePrefix("before\n"))
	g.Expect(string(got)).To(gomega.HaveSuffix("after\n"))
	g.Expect(string(got)).To(gomega.ContainSubstring("111.0"))
	g.Expect(string(got)).NotTo(gomega.MatchRegexp("222|old"))

	rows, err := os.ReadFile(filepath.Join(o.Files, "f.csv"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(rows)).To(gomega.ContainSubstring("ordinary,steady,,lookup,steer,1,1,0,0,0,0.00,111.00,"))
	for _, name := range []string{"f-p99.png", "f-ordinary.png"} {
		f, err := os.Open(filepath.Join(o.Files, name))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = png.Decode(f)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(f.Close()).To(gomega.Succeed())
	}
}

func TestNoResultsIsAnError(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(report.Write(report.Options{Results: t.TempDir(), Files: t.TempDir()})).NotTo(gomega.Succeed())
}
