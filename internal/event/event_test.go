package event_test

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/zeebo/errs"

	"sycamoreledge.example/internal/event"
)

const docsPath = "../../docs/EVENTS.md"

var update = flag.Bool("update", false, "write docs/EVENTS.md from the catalogue")

const docsHeader = `# Events

Each log line carries the number and the name of an event. The numbers are
stable. ` + "`events_total`" + ` on ` + "`/metrics`" + ` counts the events by number and name, also
those that the log level or the rate limit kept out of the log: of one kind at
most 50 at once and 5 a second are written, and ` + "`suppressed`" + ` on the next line
tells how many were left out.

This page is written by ` + "`go test ./internal/event -update`" + `; a test fails when it
differs from the catalogue in the code.
`

func renderCatalogue() string {
	var b strings.Builder
	b.WriteString(docsHeader)
	area := ""
	for _, d := range event.Catalogue() {
		if d.ID.Area() != area {
			area = d.ID.Area()
			fmt.Fprintf(&b, "\n## %s\n\n| number | name | level | message | fields | meaning |\n|---|---|---|---|---|---|\n", area)
		}
		fmt.Fprintf(&b, "| %d | %s | %s | %s | %s | %s |\n",
			d.ID, d.Name, d.Level, d.Message, strings.Join(d.Fields, ", "), d.Meaning)
	}
	return b.String()
}

func TestDocsMatchTheCatalogue(t *testing.T) {
	g := gomega.NewWithT(t)
	if *update {
		g.Expect(os.WriteFile(docsPath, []byte(renderCatalogue()), 0o644)).To(gomega.Succeed())
	}
	page, err := os.ReadFile(docsPath)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(page)).To(gomega.Equal(renderCatalogue()))
}

func TestCatalogueIsWellFormed(t *testing.T) {
	g := gomega.NewWithT(t)
	snake := regexp.MustCompile(`^[a-z]+(_[a-z]+)*$`)
	names := map[string]bool{}
	last := event.ID(0)
	for _, d := range event.Catalogue() {
		g.Expect(d.ID).To(gomega.BeNumerically(">", last), "ascending and unique: %s", d.Name)
		g.Expect(d.Name).To(gomega.MatchRegexp(snake.String()))
		g.Expect(names).NotTo(gomega.HaveKey(d.Name))
		g.Expect(d.ID.Area()).NotTo(gomega.BeEmpty())
		g.Expect(d.Meaning).NotTo(gomega.BeEmpty())
		names[d.Name] = true
		last = d.ID
	}
}

func TestFormatsCarryNumberNameAndFields(t *testing.T) {
	cases := map[string]string{
		"text":   `event=101 name=started instance=e1`,
		"logfmt": `event=101 name=started instance=e1`,
		"json":   `"event":101`,
	}
	for format, want := range cases {
		t.Run(format, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var out bytes.Buffer
			l, err := event.New(&out, event.Options{Format: format})
			g.Expect(err).NotTo(gomega.HaveOccurred())
			l.Log(event.Started, "instance", "e1")
			l.Close(time.Second)
			g.Expect(out.String()).To(gomega.ContainSubstring(want))
		})
	}
}

func TestErrorsTakeOneLineWithoutAStack(t *testing.T) {
	for _, format := range []string{"text", "logfmt", "json"} {
		t.Run(format, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var out bytes.Buffer
			l, err := event.New(&out, event.Options{Format: format})
			g.Expect(err).NotTo(gomega.HaveOccurred())
			l.Log(event.PeerLost, "peer", "e2", "error", errs.New("first line\nsecond line"))
			l.Close(time.Second)
			g.Expect(strings.Count(out.String(), "\n")).To(gomega.Equal(1), out.String())
			g.Expect(out.String()).To(gomega.ContainSubstring("first line; second line"))
			g.Expect(out.String()).NotTo(gomega.ContainSubstring("event_test.go"))
		})
	}
}

func TestNilValuesAreLeftOut(t *testing.T) {
	g := gomega.NewWithT(t)
	var out bytes.Buffer
	l, err := event.New(&out, event.Options{})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	l.Log(event.PeerLost, "error", nil, "peer", "e2")
	l.Close(time.Second)
	g.Expect(out.String()).To(gomega.HaveSuffix("name=peer_lost peer=e2\n"))
}

func TestUnknownOptionsAreErrors(t *testing.T) {
	g := gomega.NewWithT(t)
	_, err := event.New(&bytes.Buffer{}, event.Options{Format: "xml"})
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(`"xml"`)))
	_, err = event.New(&bytes.Buffer{}, event.Options{Level: "loud"})
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(`"loud"`)))
}

// manualClock is a clock that tests advance.
type manualClock struct{ now time.Time }

func (c *manualClock) Now() time.Time          { return c.now }
func (c *manualClock) Advance(d time.Duration) { c.now = c.now.Add(d) }

func TestStormIsLimitedAndCounted(t *testing.T) {
	g := gomega.NewWithT(t)
	clock := &manualClock{now: time.Unix(0, 0)}
	var out bytes.Buffer
	l, err := event.New(&out, event.Options{Format: "json", Now: clock.Now})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	const storm = 3000
	for range storm {
		l.Log(event.PeerMalformed, "peer", "e2")
	}
	l.Log(event.Started)
	clock.Advance(time.Second)
	l.Log(event.PeerMalformed, "peer", "e2")
	l.Close(time.Minute)

	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	g.Expect(lines).To(gomega.HaveLen(52), "50 of the storm, another kind, one after the pause")
	g.Expect(l.Count(event.PeerMalformed)).To(gomega.BeEquivalentTo(storm + 1))
	var last map[string]any
	g.Expect(json.Unmarshal([]byte(lines[len(lines)-1]), &last)).To(gomega.Succeed())
	g.Expect(last["suppressed"]).To(gomega.BeEquivalentTo(storm - 50))
}

// blockedWriter does not return from Write until released.
type blockedWriter struct{ release chan struct{} }

func (w blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

func TestBlockedOutputDoesNotBlockTheCaller(t *testing.T) {
	g := gomega.NewWithT(t)
	clock := &manualClock{now: time.Unix(0, 0)}
	w := blockedWriter{release: make(chan struct{})}
	defer close(w.release)
	l, err := event.New(w, event.Options{Now: clock.Now})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for range 200 {
		for _, d := range event.Catalogue() {
			l.Log(d.ID)
		}
		clock.Advance(time.Second)
	}
	l.Close(time.Millisecond)
	g.Expect(l.DroppedLines()).To(gomega.BeNumerically(">", 0))
}

func TestNilAndDiscardLoggers(t *testing.T) {
	g := gomega.NewWithT(t)
	var none *event.Logger
	none.Log(event.Started)
	none.Close(0)
	g.Expect(none.Count(event.Started)).To(gomega.BeZero())
	l := event.Discard()
	l.Log(event.Started)
	g.Expect(l.Count(event.Started)).To(gomega.BeEquivalentTo(1))
	g.Expect(l.Enabled(event.Started)).To(gomega.BeFalse())
}
