package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/settings"
)

// wideZone is a size of zones at which heartbeats and leases are lengthened.
const wideZone = zoneAsSet + 2

// wideTopology has two zones of wideZone instances in one region.
func wideTopology() *settings.Topology {
	top := testTopology(1)
	for z := range top.Regions[0].Zones {
		zone := &top.Regions[0].Zones[z]
		for i := len(zone.Instances); i < wideZone; i++ {
			zone.Instances = append(zone.Instances, settings.Instance{Name: fmt.Sprintf("%s-%d", zone.Name, i)})
		}
	}
	return top
}

func TestHeartbeatAndLeaseGrowWithTheLargestZone(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(scaledTiming(testTiming, newIndex(testTopology(3)))).To(gomega.Equal(testTiming))
	scaled := scaledTiming(testTiming, newIndex(wideTopology()))
	g.Expect(scaled.Heartbeat).To(gomega.Equal(2 * testTiming.Heartbeat))
	g.Expect(scaled.Lease).To(gomega.Equal(2 * testTiming.Lease))
	g.Expect(scaled.Tick).To(gomega.Equal(testTiming.Tick))
}

func TestPoolsOfWideZonesGetAnOwnerAfterItsDeath(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleetOn(t, wideTopology(), 1)
	f.steps(5 * time.Second)
	first := f.owners("r0z0")
	g.Expect(first).To(gomega.HaveLen(1))
	f.kill(first[0])
	f.steps(10 * time.Second)
	g.Expect(f.owners("r0z0")).To(gomega.HaveLen(1))
	g.Expect(f.slotsIn("r0z0")).To(gomega.Equal(8))
}

// TestRandomFaultsInWideZones checks the slots under lengthened leases, and
// with instances that exchange no heartbeats with the neighbour zone.
func TestRandomFaultsInWideZones(t *testing.T) {
	for seed := int64(1); seed <= 10; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			f := newFleetOn(t, wideTopology(), seed)
			f.loss = 0.05
			for range 60 {
				f.randomFault()
				f.steps(time.Duration(f.rng.Intn(2500)) * time.Millisecond)
			}
		})
	}
}
