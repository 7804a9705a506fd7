package metrics_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/control"
	"sycamoreledge.example/internal/event"
	"sycamoreledge.example/internal/metrics"
	"sycamoreledge.example/internal/settings"
	"sycamoreledge.example/internal/work"
)

func scrape(t *testing.T, m *metrics.Metrics) string {
	t.Helper()
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	return w.Body.String()
}

func newMetrics(t *testing.T, opts metrics.Options) *metrics.Metrics {
	t.Helper()
	m, err := metrics.New(opts)
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	return m
}

func TestExposition(t *testing.T) {
	events := event.Discard()
	events.Log(event.PeerMalformed)
	snap := &control.Snapshot{
		At:        time.Now(),
		Config:    &settings.Config{Version: 42},
		Preset:    &settings.Preset{Name: "peak"},
		Owned:     map[work.PoolID]control.Grant{{Service: "status", Zone: "z1"}: {}},
		Instances: []control.InstanceView{{Alive: true, State: control.Serving}, {Alive: false, State: control.Serving}},
	}
	m := newMetrics(t, metrics.Options{
		Services: map[string]work.Kind{"status": work.Lookup},
		Events:   events,
		Snapshot: func() *control.Snapshot { return snap },
		Pools: func() []control.PoolStatus {
			return []control.PoolStatus{{Pool: work.PoolID{Service: "status", Zone: "z1"}, Slots: 70, Busy: 12, Queued: 3}}
		},
		Attempts: func() metrics.Attempts { return metrics.Attempts{First: 90, Retries: 2, Hedges: 4} },
		Keys:     func() (int, int64) { return 5, 999 },
	})
	m.RequestDone("status", work.Lookup, work.Run, "", 20*time.Millisecond)
	m.RequestDone("status", work.Lookup, work.NotRun, work.ReasonQueueFull, time.Millisecond)
	m.PlatformCall("get", "ok", time.Millisecond)

	text := scrape(t, m)
	for _, want := range []string{
		`requests_total{kind="lookup",outcome="run",reason="",service="status"} 1`,
		`requests_total{kind="lookup",outcome="not-run",reason="queue_full",service="status"} 1`,
		`request_duration_seconds_bucket{kind="lookup",outcome="run",service="status",le="0.02"} 1`,
		`attempts_total{attempt="first"} 90`,
		`attempts_total{attempt="retry"} 2`,
		`attempts_total{attempt="hedge"} 4`,
		`platform_calls_total{call="get",result="ok"} 1`,
		`pool_busy{service="status",zone="z1"} 12`,
		`pool_slots{service="status",zone="z1"} 70`,
		`pool_queued{service="status",zone="z1"} 3`,
		`config_version 42`,
		`preset_in_force{preset="peak"} 1`,
		`members{state="serving"} 1`,
		`members{state="failed"} 1`,
		`members{state="leaving"} 0`,
		`owned_pools 1`,
		`idempotency_keys 5`,
		`idempotency_key_bytes 999`,
		`events_total{event="603",name="peer_malformed"} 1`,
		`go_goroutines `,
		`process_resident_memory_bytes `,
	} {
		t.Run(want, func(t *testing.T) {
			gomega.NewWithT(t).Expect(text).To(gomega.ContainSubstring(want))
		})
	}
}

func TestLabelsAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	m := newMetrics(t, metrics.Options{Services: map[string]work.Kind{"status": work.Lookup}})
	const requestCount = 1000
	for i := range requestCount {
		name := fmt.Sprintf("made-up-%d", i)
		m.RequestDone(name, work.Lookup, work.Unknown, work.Reason(name), time.Millisecond)
		m.PlatformCall(name, name, time.Millisecond)
	}
	text := scrape(t, m)
	g.Expect(text).NotTo(gomega.ContainSubstring("made-up"))
	g.Expect(text).To(gomega.ContainSubstring(
		`requests_total{kind="lookup",outcome="unknown",reason="other",service="other"} 1000`))
}

func TestMissingSnapshotAndNilMetrics(t *testing.T) {
	g := gomega.NewWithT(t)
	m := newMetrics(t, metrics.Options{Snapshot: func() *control.Snapshot { return nil }})
	g.Expect(scrape(t, m)).NotTo(gomega.ContainSubstring("config_version"))
	var none *metrics.Metrics
	none.RequestDone("status", work.Lookup, work.Run, "", 0)
	g.Expect(none.Close(t.Context())).To(gomega.Succeed())
}

func BenchmarkRequestDone(b *testing.B) {
	m, err := metrics.New(metrics.Options{Services: map[string]work.Kind{"status": work.Lookup}})
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		m.RequestDone("status", work.Lookup, work.Run, "", time.Millisecond)
	}
}
