package trace_test

import (
	"bytes"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/lab/firm"
	"sycamoreledge.example/internal/lab/trace"
)

const seed = 7

func loadFirm(g *gomega.WithT, name string) *firm.Firm {
	f, err := firm.Load(filepath.Join("..", "..", "..", "deploy", name))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return f
}

func TestTraceRoundTrip(t *testing.T) {
	for _, name := range []string{"lantern-mount", "wijesekera"} {
		g := gomega.NewWithT(t)
		f := loadFirm(g, name)
		for _, s := range trace.Scenarios(f) {
			recorded := trace.Record(f, s, seed)
			var text bytes.Buffer
			g.Expect(trace.Write(&text, recorded)).To(gomega.Succeed())
			read, err := trace.Read(&text)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(read).To(gomega.Equal(recorded), s.Name)
			g.Expect(trace.Record(f, s, seed)).To(gomega.Equal(recorded))
			g.Expect(trace.Record(f, s, seed+1).Sends).NotTo(gomega.Equal(recorded.Sends))
		}
	}
}

func TestLoadMatchesShareOfSlots(t *testing.T) {
	g := gomega.NewWithT(t)
	f := loadFirm(g, "lantern-mount")
	ordinary := trace.Scenarios(f)[0]
	recorded := trace.Record(f, ordinary, seed)
	var lookups int
	for _, s := range recorded.Sends {
		if recorded.Services[s.Service].Name == "status" {
			lookups++
		}
	}
	const slots = 70
	mean := trace.Mean(&f.World, &f.Topology.Services[0], ordinary.Segments[0])
	busy := float64(lookups) * mean.Seconds() / recorded.Duration().Seconds() / slots
	g.Expect(busy).To(gomega.BeNumerically("~", 0.7, 0.02))
	g.Expect(recorded.PhaseAt(recorded.Duration())).To(gomega.Equal(-1))
	g.Expect(recorded.PhaseAt(recorded.Duration() - time.Millisecond)).To(gomega.Equal(0))
}

func TestMalformedTracesAreRejected(t *testing.T) {
	head := "trace 1\nfirm f\nservice s lookup\nzone z\nphase steady 0s 1s\nbegin\n"
	for text, want := range map[string]string{
		"trace 9\n":                "first line",
		"trace 1\nfirm f\n":        "before its first send",
		"trace 1\nwonder f\n":      "line 2: trace: unknown keyword",
		head + "1 1 0\n":           "line 7: trace: unknown service",
		head + "-1 0 0\n":          "expected a time offset of at least 0",
		head + "1 0 x\n":           "expected an integer of at least 0",
		head + "1 ! burn u\n":      "unknown action",
		head + "1 ! slow\n":        "an event needs",
		head + "1 ! slow u five\n": "invalid syntax",
	} {
		g := gomega.NewWithT(t)
		_, err := trace.Read(strings.NewReader(text))
		g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(want)), text)
	}
}
