package traffic_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/control"
	"sycamoreledge.example/internal/traffic"
	"sycamoreledge.example/internal/work"
)

// The own zone's pool has no owner for a moment: callers notice nothing.
func TestChangeOfOwnerIsWaitedFor(t *testing.T) {
	inFleet(t, func(t *testing.T, g *gomega.WithT, f *fleet) {
		f.set(func() { f.unowned = map[string]bool{"z1": true, "z2": true} })
		time.AfterFunc(300*time.Millisecond, func() { f.set(func() { f.unowned = nil }) })
		f.set(func() { f.preset.Services[0].ShiftRate = 0 })
		start := time.Now()
		resp := f.routers["i1"].Serve(t.Context(), f.request(2*time.Second))
		g.Expect(resp.Outcome).To(gomega.Equal(work.Run), resp.Explain)
		g.Expect(time.Since(start)).To(gomega.BeNumerically("<", 400*time.Millisecond))
	}, func() *fleet { return newFleet(work.Order, 2, 3, 1) })
}

func TestNoOwnerIsRefusedWithShortAdvice(t *testing.T) {
	inFleet(t, func(t *testing.T, g *gomega.WithT, f *fleet) {
		f.set(func() { f.unowned = map[string]bool{"z1": true, "z2": true, "z3": true, "z4": true} })
		start := time.Now()
		resp := f.routers["i1"].Serve(t.Context(), f.request(10*time.Second))
		g.Expect(resp.Outcome).To(gomega.Equal(work.NotRun))
		g.Expect(resp.Reason).To(gomega.Equal(work.ReasonNoOwner))
		g.Expect(resp.RetryAfter).To(gomega.BeNumerically("~", 100*time.Millisecond, 100*time.Millisecond))
		g.Expect(time.Since(start)).To(gomega.BeNumerically("<", 1100*time.Millisecond))
	}, func() *fleet { return newFleet(work.Order, 2, 3, 1) })
}

// The neighbour, which owns the only free pool of the region, is frozen and
// still counts as alive: nothing sent to it comes back. Orders must not end
// unknown for it, and lookups not wait for it each time.
func TestFrozenPeer(t *testing.T) {
	for _, kind := range []work.Kind{work.Order, work.Lookup} {
		t.Run(string(kind), func(t *testing.T) {
			inFleet(t, func(t *testing.T, g *gomega.WithT, f *fleet) {
				f.set(func() {
					f.frozen = map[string]bool{"i2": true}
					f.drained = map[string]bool{"z1": true}
				})
				const count = 100
				unknown, slow := 0, 0
				for range count {
					start := time.Now()
					resp := f.routers["i1"].Serve(t.Context(), f.request(2*time.Second))
					if resp.Outcome == work.Unknown {
						unknown++
					}
					if time.Since(start) > 500*time.Millisecond {
						slow++
					}
					<-time.After(20 * time.Millisecond)
				}
				t.Logf("%d unknown, %d slower than 500 ms, of %d", unknown, slow, count)
				g.Expect(unknown).To(gomega.BeZero())
				g.Expect(slow).To(gomega.BeNumerically("<=", 10))
				g.Expect(f.runsIn("z3", "z4")).To(gomega.BeNumerically(">=", 50))
			}, func() *fleet {
				f := newFleet(kind, 2, 3, 1)
				f.preset.Services[0].DispatchTimeout = 300 * time.Millisecond
				return f
			})
		})
	}
}

// A caller that leaves during a round ends it.
func TestCallerGoneWhileNobodyOwnsThePool(t *testing.T) {
	inFleet(t, func(t *testing.T, g *gomega.WithT, f *fleet) {
		f.set(func() { f.unowned = map[string]bool{"z1": true, "z2": true, "z3": true, "z4": true} })
		ctx, cancel := context.WithTimeout(t.Context(), 40*time.Millisecond)
		defer cancel()
		start := time.Now()
		g.Expect(f.routers["i1"].Serve(ctx, f.request(2*time.Second)).Outcome).To(gomega.Equal(work.NotRun))
		g.Expect(time.Since(start)).To(gomega.Equal(40 * time.Millisecond))
	}, func() *fleet { return newFleet(work.Order, 2, 3, 1) })
}

func TestShiftsAreTold(t *testing.T) {
	var mu sync.Mutex
	var told []traffic.Event
	inFleet(t, func(t *testing.T, g *gomega.WithT, f *fleet) {
		f.set(func() { f.drained = map[string]bool{"z1": true, "z2": true} })
		router := traffic.New(traffic.Options{
			Snapshot: func() *control.Snapshot { return f.snapshot("i1") },
			Topology: f.topology, Self: "i1", Pools: f.owners["i1"], Peers: &wire{fleet: f, self: "i1"},
			Notify: func(e traffic.Event) {
				mu.Lock()
				defer mu.Unlock()
				told = append(told, e)
			},
		})
		for range 20 { // the share is 1 a second with a burst of 1
			router.Serve(t.Context(), f.request(time.Second))
			<-time.After(100 * time.Millisecond)
		}
		<-time.After(10 * time.Second)
		router.Serve(t.Context(), f.request(time.Second))
		<-time.After(10 * time.Second)
		kinds := []traffic.EventKind{}
		for _, e := range told {
			g.Expect(e.Service).To(gomega.Equal("s"))
			g.Expect(e.Region).To(gomega.Equal("r2"))
			kinds = append(kinds, e.Kind)
		}
		g.Expect(kinds).To(gomega.Equal([]traffic.EventKind{
			traffic.ShiftStarted, traffic.ShiftCapped, traffic.ShiftEnded, traffic.ShiftStarted, traffic.ShiftEnded,
		}))
	}, func() *fleet {
		f := newFleet(work.Order, 1, 2, 1)
		f.preset.Services[0].ShiftRate = 2
		return f
	})
}

// An upstream that never answers is no fault of the peer that owns its pool.
func TestSlowUpstreamIsNotBlamedOnThePeer(t *testing.T) {
	inFleet(t, func(t *testing.T, g *gomega.WithT, f *fleet) {
		f.set(func() { f.drained = map[string]bool{"z1": true, "z2": true}; f.backends["z3-u0"].slow = 1000 })
		for range 3 {
			resp := f.routers["i1"].Serve(t.Context(), f.request(400*time.Millisecond))
			g.Expect(resp.Explain).NotTo(gomega.ContainSubstring("peer_broken"))
			g.Expect(resp.Explain).NotTo(gomega.ContainSubstring("peer_unreachable"))
		}
	}, func() *fleet {
		f := newFleet(work.Lookup, 1, 1, 1)
		f.preset.Services[0].DispatchTimeout = 300 * time.Millisecond
		return f
	})
}
