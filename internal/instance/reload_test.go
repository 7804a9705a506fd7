package instance

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/deployment"
)

func TestMergeSettings(t *testing.T) {
	g := gomega.NewWithT(t)
	running := &deployment.Deployment{Instance: "a", PeerAddress: "10.0.0.1:1", Regions: map[string]string{"z": "r"}}
	next := *running
	next.Bounds.Drain = time.Second
	next.Regions = map[string]string{"z": "r", "y": "r"}
	merged, restartNeeded := mergeSettings(running, &next)
	g.Expect(restartNeeded).To(gomega.BeFalse())
	g.Expect(merged).To(gomega.Equal(&next))
	g.Expect(running.Bounds.Drain).To(gomega.BeZero(), "the deployment that readers hold does not change")

	next.PeerAddress = "10.0.0.2:1"
	merged, restartNeeded = mergeSettings(running, &next)
	g.Expect(restartNeeded).To(gomega.BeTrue())
	g.Expect(merged.PeerAddress).To(gomega.Equal("10.0.0.1:1"))
	g.Expect(merged.Bounds.Drain).To(gomega.Equal(time.Second))
}
