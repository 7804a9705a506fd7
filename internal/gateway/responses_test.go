package gateway_test

import (
	"net/http"
	"testing"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/exchange"
)

// responseCase is a request with the results of its attempts and what its caller receives.
type responseCase struct {
	name       string
	path       string
	results    []exchange.Result
	status     int
	body       string
	attempts   int
	retryAfter bool
}

func checkResponses(t *testing.T, cases []responseCase) {
	t.Helper()
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			f := newFixture(t, c.results...)
			resp, body := f.call(t, http.MethodGet, c.path, "")
			g.Expect(resp.StatusCode).To(gomega.Equal(c.status))
			g.Expect(body).To(gomega.Equal(c.body))
			g.Expect(f.sender.attempts).To(gomega.HaveLen(c.attempts))
			g.Expect(resp.Header.Get("Back-In") != "").To(gomega.Equal(c.retryAfter))
			if c.body != "" {
				g.Expect(resp.Header.Get("Signature")).To(gomega.Equal("sig"))
				g.Expect(resp.Header).NotTo(gomega.HaveKey("X-Hop"), "hop-by-hop fields are not forwarded")
				g.Expect(resp.Header).NotTo(gomega.HaveKey("Content-Type"), "no field is added")
			} else {
				g.Expect(resp.Header).NotTo(gomega.HaveKey("Signature"))
				g.Expect(resp.Header.Get("Id")).To(gomega.Equal("q1"))
			}
			usedUpstreams := map[string]bool{}
			for _, a := range f.sender.attempts {
				usedUpstreams[a.Upstream] = true
			}
			g.Expect(usedUpstreams).To(gomega.HaveLen(c.attempts), "each attempt uses a different upstream")
		})
	}
}

func TestResponses(t *testing.T) {
	checkResponses(t, []responseCase{
		{"complete response", "/lookup/1", []exchange.Result{okResult(200, "x")}, 200, "x", 1, false},
		{"order with an error of the upstream", "/order/1", []exchange.Result{okResult(500, "e")}, 500, "e", 1, false},
		{"lookup retried after a broken response", "/lookup/1", []exchange.Result{brokenResult, okResult(200, "x")}, 200, "x", 2, false},
		{"lookup retried after an error of the upstream", "/lookup/1", []exchange.Result{okResult(500, "e"), okResult(200, "x")}, 200, "x", 2, false},
		{"lookup with two broken responses", "/lookup/1", []exchange.Result{brokenResult, brokenResult, brokenResult}, 502, "", 2, false},
		{"lookup broken, then shed", "/lookup/1", []exchange.Result{brokenResult, shedResult}, 502, "", 2, false},
		{"order not retried when it may have run", "/order/1", []exchange.Result{brokenResult, okResult(200, "x")}, 502, "", 1, false},
		{"order retried after it was shed", "/order/1", []exchange.Result{shedResult, okResult(200, "x")}, 200, "x", 2, false},
		{"order shed by all upstreams", "/order/1", []exchange.Result{shedResult, shedResult}, 503, "", 2, true},
		{"order shed, then it may have run", "/order/1", []exchange.Result{shedResult, brokenResult}, 502, "", 2, false},
		{"late", "/order/1", []exchange.Result{timeoutResult}, 504, "", 1, false},
		{"unreachable upstreams do not count as attempts", "/order/1", []exchange.Result{connectFailure, connectFailure, okResult(200, "x")}, 200, "x", 3, false},
	})
}

// TestUnprovenRefusalsAreNotPassedOn guards against telling a caller that its request has not run
// because of an upstream's status alone: only a response that says so proves it.
func TestUnprovenRefusalsAreNotPassedOn(t *testing.T) {
	checkResponses(t, []responseCase{
		{"order, unavailable", "/order/1", []exchange.Result{okResult(503, "e")}, 502, "", 1, false},
		{"order, too many requests", "/order/1", []exchange.Result{okResult(429, "e")}, 502, "", 1, false},
		{"order, timeout", "/order/1", []exchange.Result{okResult(408, "e")}, 502, "", 1, false},
		{"order, misdirected", "/order/1", []exchange.Result{okResult(421, "e")}, 502, "", 1, false},
		{"order, after a proven one", "/order/1", []exchange.Result{shedResult, okResult(503, "e")}, 502, "", 2, false},
		{"lookup, then served", "/lookup/1", []exchange.Result{okResult(429, "e"), okResult(200, "x")}, 200, "x", 2, false},
		{"lookup, then a proven one", "/lookup/1", []exchange.Result{okResult(503, "e"), shedResult}, 502, "", 2, false},
	})
}
