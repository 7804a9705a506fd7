package platform_test

import (
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/lab/endless"
	"sycamoreledge.example/internal/platform"
)

// TestUnboundedResponsesAreCutOff guards against a server whose header, framing or
// body never ends: a request must fail within limits on memory and time.
func TestUnboundedResponsesAreCutOff(t *testing.T) {
	for _, c := range slices.Concat(endless.Headers, endless.Framing(""), endless.Bodies("")) {
		t.Run(c.Name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			server, err := endless.New(c)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer func() { _ = server.Close() }()
			client := platform.NewBaseClient(server.Addr().String(), 20*time.Second)
			start := time.Now()
			g.Expect(endless.Allocated(func() {
				_, err = client.Do(t.Context(), platform.Request{Method: "GET", Path: "/", MaxResponseBytes: 1 << 20})
			})).To(gomega.BeNumerically("<", 16<<20))
			g.Expect(platform.Unavailable.Has(err)).To(gomega.BeTrue(), "%v", err)
			g.Expect(time.Since(start)).To(gomega.BeNumerically("<", 10*time.Second))
			g.Eventually(server.Open).Should(gomega.BeZero())
		})
	}
}
