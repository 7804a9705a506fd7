package instances_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"github.com/zeebo/errs"

	"sycamoreledge.example/internal/instances"
	"sycamoreledge.example/internal/platform"
)

func TestStartReturnsThePreviousRun(t *testing.T) {
	g := gomega.NewWithT(t)
	memory := platform.NewMemory()
	previous, first, err := instances.RecordStart(t.Context(), memory, "e1", 100)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(previous).To(gomega.BeZero())
	g.Expect(first).To(gomega.Equal(uint64(100)))
	previous, second, err := instances.RecordStart(t.Context(), memory, "e1", 50)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(previous).To(gomega.Equal(instances.Run{Incarnation: 100}))
	g.Expect(second).To(gomega.Equal(uint64(101)), "must exceed the previous incarnation even if the clock went back")
	err = instances.RecordStop(t.Context(), memory, "e1", first)
	g.Expect(instances.Replaced.Has(err)).To(gomega.BeTrue(), "%v", err)
	g.Expect(instances.RecordStop(t.Context(), memory, "e1", second)).To(gomega.Succeed())
	g.Expect(instances.RecordStop(t.Context(), memory, "e1", second)).To(gomega.Succeed())
	previous, _, err = instances.RecordStart(t.Context(), memory, "e1", 200)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(previous).To(gomega.Equal(instances.Run{Incarnation: 101, Clean: true}))
}

func TestStartAndStopUnderFaults(t *testing.T) {
	cases := []struct {
		name   string
		faults platform.Faults
		class  *errs.Class
	}{
		{"one response lost", platform.Faults{LoseAnswers: 1}, nil},
		{"two calls lost", platform.Faults{LoseCalls: 2}, nil},
		{"throttled", platform.Faults{Throttle: 3}, nil},
		{"down", platform.Faults{Down: true}, &instances.Unreachable},
		{"stale reads and a lost response", platform.Faults{Stale: true, LoseAnswers: 1}, &instances.Unreachable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				memory := platform.NewMemory()
				_, _, err := instances.RecordStart(t.Context(), memory, "e1", 1)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				memory.SetFaults(c.faults)
				previous, incarnation, err := instances.RecordStart(ctx, memory, "e1", 2)
				if c.class != nil {
					g.Expect(c.class.Has(err)).To(gomega.BeTrue(), "%v", err)
					return
				}
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(previous).To(gomega.Equal(instances.Run{Incarnation: 1}))
				g.Expect(incarnation).To(gomega.Equal(uint64(2)))
				memory.SetFaults(c.faults)
				g.Expect(instances.RecordStop(ctx, memory, "e1", incarnation)).To(gomega.Succeed())
				memory.SetFaults(platform.Faults{})
				previous, _, err = instances.RecordStart(ctx, memory, "e1", 3)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(previous).To(gomega.Equal(instances.Run{Incarnation: 2, Clean: true}))
			})
		})
	}
}

// TestConcurrentStartsGetDistinctIncarnations starts two processes under the same
// name while the platform loses the first update.
func TestConcurrentStartsGetDistinctIncarnations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		memory := platform.NewMemory()
		memory.SetFaults(platform.Faults{LoseCalls: 1})
		started := make(chan uint64, 2)
		for range 2 {
			go func() {
				_, incarnation, err := instances.RecordStart(t.Context(), memory, "e1", 5)
				if err != nil {
					t.Error(err)
				}
				started <- incarnation
			}()
		}
		g.Expect([]uint64{<-started, <-started}).To(gomega.ConsistOf(uint64(5), uint64(6)))
	})
}

func TestZoneReturnsTheLastTwoRuns(t *testing.T) {
	g := gomega.NewWithT(t)
	memory := platform.NewMemory()
	for _, start := range []struct {
		zone, instance string
		incarnation    uint64
	}{{"a", "e1", 1}, {"a", "e1", 2}, {"a", "e2", 3}, {"ab", "e3", 4}} {
		_, _, err := instances.RecordStart(t.Context(), memory, instances.RecordName(start.zone, start.instance), start.incarnation)
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	g.Expect(instances.RecordStop(t.Context(), memory, instances.RecordName("a", "e2"), 3)).To(gomega.Succeed())
	zone, err := instances.ZoneRuns(t.Context(), memory, "a")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(zone).To(gomega.Equal(map[string][]instances.Run{
		"e1": {{Incarnation: 2}, {Incarnation: 1}},
		"e2": {{Incarnation: 3, Clean: true}, {}},
	}))
	memory.SetFaults(platform.Faults{Down: true})
	_, err = instances.ZoneRuns(t.Context(), memory, "a")
	g.Expect(err).To(gomega.HaveOccurred())
}
