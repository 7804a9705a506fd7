package capacity_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/lab/capacity"
)

// fewZones is a fleet whose zones all talk to each other, manyZones one in
// which they do so in turn.
var (
	fewZones  = capacity.Shape{Members: 80, Regions: 4, Zones: 8, Pools: 40}
	manyZones = capacity.Shape{Members: 96, Regions: 5, Zones: 12, Pools: 48}
)

func TestEachInstanceKnowsEachOther(t *testing.T) {
	for _, shape := range []capacity.Shape{fewZones, manyZones} {
		g := gomega.NewWithT(t)
		f := capacity.NewFleet(shape, 1)
		f.Run(20 * time.Second)
		for _, n := range f.Nodes {
			g.Expect(known(n)).To(gomega.Equal(shape.Members), n.Name)
		}
	}
}

// known counts the instances that one instance takes for alive.
func known(n *capacity.Node) int {
	alive := 0
	for i := range n.Snapshot.Entries {
		if n.Snapshot.Entries[i].Alive {
			alive++
		}
	}
	return alive
}
