package gateway_test

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/event"
	"sycamoreledge.example/internal/exchange"
	"sycamoreledge.example/internal/explain"
)

// delayedSender responds after a delay.
type delayedSender struct {
	fakeSender
	delay time.Duration
}

func (d *delayedSender) Do(ctx context.Context, a *exchange.Attempt) exchange.Result {
	<-time.After(d.delay)
	return d.fakeSender.Do(ctx, a)
}

// syncBuffer is a buffer that is safe for concurrent use.
type syncBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// TestFailuresAreExplained produces the three kinds of failed or late requests that
// docs/OPERATIONS.md describes, and finds their cause from the request ID as that
// page does.
func TestFailuresAreExplained(t *testing.T) {
	cases := []struct {
		name    string
		path    string
		prepare func(f *fixture)
		status  int
		// want are the names of the request's log events in order; fields are the
		// substrings required in the fields of each.
		want   []string
		fields map[string][]string
	}{
		{
			name: "refused without an attempt", path: "/order/1", status: 503,
			prepare: func(f *fixture) {
				for _, id := range []string{"u1", "u2", "u3", "u4"} {
					f.core.RemoveUpstream(id)
				}
			},
			want: []string{"request_refused", "request_failed"},
			fields: map[string][]string{
				"request_refused": {"reason=no_upstream", "retry_after=", "left=", "service=s"},
				"request_failed":  {"status=503", "outcome=not-run", "config=7", "route=/order/"},
			},
		},
		{
			name: "late", path: "/order/1", status: 200,
			prepare: func(f *fixture) {
				f.gateway.Sender = &delayedSender{fakeSender{results: []exchange.Result{okResult(200, "x")}}, 1100 * time.Millisecond}
			},
			want:   []string{"request_late"},
			fields: map[string][]string{"request_late": {"target=1s", "took=1.1", "attempts=u", "status 200 after 1.1", "expected", "load 0.0 of 4"}},
		},
		{
			name: "may have run", path: "/order/1", status: 502,
			prepare: func(f *fixture) { f.sender.results = []exchange.Result{brokenResult} },
			want:    []string{"attempt_failed", "request_failed"},
			fields: map[string][]string{
				"attempt_failed": {"outcome=unknown", "reason=upstream_broken", "upstream=u", "error=reset"},
				"request_failed": {"status=502", "outcome=unknown", "attempts=u"},
			},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			f := newFixture(t)
			var log syncBuffer
			events, err := event.New(&log, event.Options{Format: "logfmt"})
			g.Expect(err).NotTo(gomega.HaveOccurred())
			f.gateway.Events = events
			c.prepare(f)
			resp, _ := f.call(t, http.MethodGet, c.path, "")
			g.Expect(resp.StatusCode).To(gomega.Equal(c.status))
			g.Eventually(f.gateway.InFlight).Should(gomega.BeZero())
			events.Close(time.Second)

			lines, err := explain.Find(strings.NewReader(log.String()), "e1.log", "q1")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			var names []string
			for i := range lines {
				names = append(names, lines[i].Event)
				text := ""
				for _, field := range lines[i].Fields {
					text += field.Key + "=" + field.Value + "\n"
				}
				for _, part := range c.fields[lines[i].Event] {
					g.Expect(text).To(gomega.ContainSubstring(part), lines[i].Event)
				}
			}
			g.Expect(names).To(gomega.Equal(c.want))
			var explanation bytes.Buffer
			g.Expect(explain.Write(&explanation, lines)).To(gomega.Succeed())
			g.Expect(explanation.String()).To(gomega.ContainSubstring(c.want[0] + "  e1.log"))
		})
	}
}
