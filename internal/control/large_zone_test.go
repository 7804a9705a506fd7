package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/settings"
)

// largeZoneSize is a zone size at which heartbeat interval and lease are scaled.
const largeZoneSize = unscaledZoneSize + 2

// largeZoneTopology returns a topology with one region of two zones, each with
// largeZoneSize instances.
func largeZoneTopology() *settings.Topology {
	topology := testTopology(1)
	for z := range topology.Regions[0].Zones {
		zone := &topology.Regions[0].Zones[z]
		for i := len(zone.Instances); i < largeZoneSize; i++ {
			zone.Instances = append(zone.Instances, settings.Instance{Name: fmt.Sprintf("%s-%d", zone.Name, i)})
		}
	}
	return topology
}

func TestHeartbeatAndLeaseGrowWithTheLargestZone(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(scaledTiming(testTiming, newIndex(testTopology(3)))).To(gomega.Equal(testTiming))
	scaled := scaledTiming(testTiming, newIndex(largeZoneTopology()))
	g.Expect(scaled.Heartbeat).To(gomega.Equal(2 * testTiming.Heartbeat))
	g.Expect(scaled.Lease).To(gomega.Equal(2 * testTiming.Lease))
	g.Expect(scaled.Tick).To(gomega.Equal(testTiming.Tick))
}

func TestPoolOfLargeZoneIsTakenOverAfterOwnerIsKilled(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleetWith(t, largeZoneTopology(), 1)
	f.runFor(5 * time.Second)
	first := f.owners("r0z0")
	g.Expect(first).To(gomega.HaveLen(1))
	f.kill(first[0])
	f.runFor(10 * time.Second)
	g.Expect(f.owners("r0z0")).To(gomega.HaveLen(1))
	g.Expect(f.usableSlots("r0z0")).To(gomega.Equal(8))
}

// TestRandomFaultsInLargeZones checks the slots under scaled leases, and with
// instances that exchange no heartbeats with the other zone.
func TestRandomFaultsInLargeZones(t *testing.T) {
	for seed := int64(1); seed <= 10; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			f := newFleetWith(t, largeZoneTopology(), seed)
			f.loss = 0.05
			for range 60 {
				f.randomFault()
				f.runFor(time.Duration(f.rng.Intn(2500)) * time.Millisecond)
			}
		})
	}
}
