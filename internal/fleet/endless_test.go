package fleet

import (
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/lab/endless"
)

// TestFetchBoundsEndlessResponses guards against peers whose response never ends: Fetch must
// return an error within bounded memory and time, and close the connection.
func TestFetchBoundsEndlessResponses(t *testing.T) {
	for _, c := range slices.Concat(endless.Headers, endless.Framing(""), endless.Bodies("")) {
		t.Run(c.Name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			server, err := endless.New(c)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer func() { _ = server.Close() }()
			peer, self := registration("b", "n1"), registration("a", "n1")
			peer.Peers = server.Addr().String()
			table := NewTable()
			table.Register(time.Now(), peer)
			began := time.Now()
			g.Expect(endless.Allocated(func() {
				_, err = NewPeerSync(&self, table).Fetch(t.Context(), "b", TopicUpstreams, 1, 1)
			})).To(gomega.BeNumerically("<", 8*maxResponseBytes))
			g.Expect(err).To(gomega.HaveOccurred())
			g.Expect(time.Since(began)).To(gomega.BeNumerically("<", fetchTimeout+5*time.Second))
			g.Eventually(server.Open).Should(gomega.BeZero())
		})
	}
}
