package gateway_test

import (
	"net/http"
	"testing"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/exchange"
)

// TestUnprovenRefusalsAreNotPassedOn guards against telling a caller that its request has not run
// because of an upstream's status alone: only a response that says so proves it.
func TestUnprovenRefusalsAreNotPassedOn(t *testing.T) {
	served := okResult(http.StatusOK, "x")
	cases := []struct {
		name     string
		path     string
		results  []exchange.Result
		status   int
		attempts int
	}{
		{"order, unavailable", "/order/1", []exchange.Result{okResult(503, "e")}, 502, 1},
		{"order, too many requests", "/order/1", []exchange.Result{okResult(429, "e")}, 502, 1},
		{"order, timeout", "/order/1", []exchange.Result{okResult(408, "e")}, 502, 1},
		{"order, misdirected", "/order/1", []exchange.Result{okResult(421, "e")}, 502, 1},
		{"order, after a proven one", "/order/1", []exchange.Result{shedResult, okResult(503, "e")}, 502, 2},
		{"lookup, then served", "/lookup/1", []exchange.Result{okResult(429, "e"), served}, 200, 2},
		{"lookup, then a proven one", "/lookup/1", []exchange.Result{okResult(503, "e"), shedResult}, 502, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			f := newFixture(t, c.results...)
			resp, body := f.call(t, http.MethodGet, c.path, "")
			g.Expect(resp.StatusCode).To(gomega.Equal(c.status))
			g.Expect(f.sender.attempts).To(gomega.HaveLen(c.attempts))
			if c.status != http.StatusOK {
				g.Expect(body).To(gomega.BeEmpty())
				g.Expect(resp.Header.Get("Id")).To(gomega.Equal("q1"))
				g.Expect(resp.Header).NotTo(gomega.HaveKey("Signature"), "the status is not the upstream's")
				g.Expect(resp.Header).NotTo(gomega.HaveKey("Back-In"), "the request is not refused")
			}
		})
	}
}
