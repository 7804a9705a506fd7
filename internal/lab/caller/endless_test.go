package caller_test

import (
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/lab/caller"
	"sycamoreledge.example/internal/lab/endless"
	"sycamoreledge.example/internal/work"
)

// TestEndlessResponseIsBounded checks that a caller stops reading headers and
// bodies that never end, and closes the connection.
func TestEndlessResponseIsBounded(t *testing.T) {
	for _, c := range slices.Concat(endless.Headers, endless.Bodies("")) {
		g := gomega.NewWithT(t)
		server, err := endless.New(c)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		client := caller.NewClient(func(string) time.Duration { return 0 })
		call := &caller.Call{Service: "s", Kind: work.Lookup, Deadline: 10 * time.Second}
		r := client.Send(t.Context(), server.Addr().String(), call)
		g.Expect(r.Outcome).NotTo(gomega.Equal(work.Run), c.Name)
		g.Expect(r.Err).To(gomega.HaveOccurred(), c.Name)
		g.Eventually(server.Open).Should(gomega.BeZero(), c.Name)
		_ = server.Close()
	}
}
