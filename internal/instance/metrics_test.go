package instance

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/deployment"
	"sycamoreledge.example/internal/event"
	"sycamoreledge.example/internal/routing"
	"sycamoreledge.example/internal/work"
)

func TestMetricsEndpoint(t *testing.T) {
	g := gomega.NewWithT(t)
	settings := &deployment.Deployment{Instance: "a"}
	settings.Listen.Requests = "127.0.0.1:8080"
	i, err := build(Options{MetricsPort: 9464}, settings, event.Discard())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(i.metricsAddress()).To(gomega.Equal("127.0.0.1:9464"))

	requestStatus := func() int {
		w := httptest.NewRecorder()
		i.gateway.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "http://h/l/1", nil))
		return w.Code
	}
	g.Expect(requestStatus()).To(gomega.Equal(http.StatusServiceUnavailable), "the instance is starting")
	table := routing.NewTable("1", routing.Limits{}, []routing.Service{{Name: "s"}}, []routing.Route{{
		Name: "r", Host: "h", Prefix: "/l/", Kind: work.Lookup, Target: time.Second,
		Shares: []routing.Share{{Service: "s", Weight: 1}},
	}})
	table.Revision = 1
	i.core.SetTable(table)
	i.initialReads.upstreams, i.initialReads.evacuations = true, true
	i.updateState()
	g.Expect(requestStatus()).To(gomega.Equal(http.StatusBadRequest), "the request has no id")

	w := httptest.NewRecorder()
	i.metricsHandler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, MetricsPath, nil))
	g.Expect(w.Code).To(gomega.Equal(http.StatusOK))
	text := w.Body.String()
	g.Expect(text).To(gomega.MatchRegexp(`requests_total\{[^}]*outcome="not-run",reason="not_ready"[^}]*\} 1`))
	g.Expect(text).To(gomega.MatchRegexp(`requests_total\{[^}]*kind="lookup",outcome="not-run",reason="bad_request"[^}]*\} 1`))
	g.Expect(text).To(gomega.ContainSubstring("request_duration_seconds_bucket"))
	w = httptest.NewRecorder()
	i.metricsHandler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/other", nil))
	g.Expect(w.Code).To(gomega.Equal(http.StatusNotFound))
}
