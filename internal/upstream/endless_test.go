package upstream_test

import (
	"context"
	"io"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/lab/endless"
	"sycamoreledge.example/internal/upstream"
	"sycamoreledge.example/internal/work"
)

// TestEndlessResponses checks that an attempt and a probe use limited memory and
// time when the response never ends.
func TestEndlessResponses(t *testing.T) {
	const limit = time.Second
	for _, tc := range slices.Concat(endless.Headers, endless.Framing("Request-Id: r1\r\n"), endless.Bodies("Request-Id: r1\r\n")) {
		t.Run(tc.Name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			server, err := endless.New(tc)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer func() { _ = server.Close() }()
			client, target := upstream.NewClient(nil), upstream.Target{Name: "u", Address: server.Addr().String(), Slots: 1}
			ctx, cancel := context.WithTimeout(t.Context(), limit)
			defer cancel()
			began := time.Now()
			g.Expect(endless.Allocated(func() {
				_, err = client.Probe(ctx, target)
				g.Expect(err).To(gomega.HaveOccurred())
				req := &work.Request{ID: "r1", Kind: work.Lookup, Method: "GET", Path: "/", Deadline: began.Add(limit)}
				response := client.Do(ctx, target, req, nil, req.Deadline).Response
				if response.Outcome == work.Run {
					_, err = io.Copy(io.Discard, response.Body)
					g.Expect(err).To(gomega.HaveOccurred(), "a truncated body must not look complete")
					_ = response.Body.Close()
				}
			})).To(gomega.BeNumerically("<", 32<<20))
			g.Expect(time.Since(began)).To(gomega.BeNumerically("<", limit+5*time.Second))
			g.Eventually(server.Open).Should(gomega.BeZero())
		})
	}
}
