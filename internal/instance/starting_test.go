package instance

import (
	"testing"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/deployment"
	"sycamoreledge.example/internal/event"
	"sycamoreledge.example/internal/routing"
)

func TestCallersWaitUntilDrainedZonesAreKnown(t *testing.T) {
	g := gomega.NewWithT(t)
	i, err := build(Options{}, &deployment.Deployment{Instance: "a"}, event.Discard())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	table := routing.NewTable("1", routing.Limits{}, nil, nil)
	table.Revision = 1
	i.core.SetTable(table)
	i.upstreamsRead(5)
	g.Expect(i.gateway.Ready()).To(gomega.BeFalse(), "upstreams and configuration alone are not enough")
	i.seen.evacuations = true
	i.updateState()
	g.Expect(i.gateway.Ready()).To(gomega.BeTrue())
}
