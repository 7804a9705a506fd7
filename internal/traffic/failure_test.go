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

// Guards against failed requests while the own zone's pool changes its owner: the
// router must wait for the new one.
func TestRouterWaitsForNewOwner(t *testing.T) {
	runInFleet(t, func(t *testing.T, g *gomega.WithT, f *fleet) {
		f.update(func() { f.unowned = map[string]bool{"z1": true, "z2": true} })
		time.AfterFunc(300*time.Millisecond, func() { f.update(func() { f.unowned = nil }) })
		f.update(func() { f.preset.Services[0].ShiftRate = 0 })
		start := time.Now()
		resp := f.routers["i1"].Serve(t.Context(), f.request(2*time.Second))
		g.Expect(resp.Outcome).To(gomega.Equal(work.Run), resp.Explain)
		g.Expect(time.Since(start)).To(gomega.BeNumerically("<", 400*time.Millisecond))
	}, func() *fleet { return newFleet(work.Order, 2, 3, 1) })
}

func TestNoOwnerIsRefusedWithShortRetryAfter(t *testing.T) {
	runInFleet(t, func(t *testing.T, g *gomega.WithT, f *fleet) {
		f.update(func() { f.unowned = map[string]bool{"z1": true, "z2": true, "z3": true, "z4": true} })
		start := time.Now()
		resp := f.routers["i1"].Serve(t.Context(), f.request(10*time.Second))
		g.Expect(resp.Outcome).To(gomega.Equal(work.NotRun))
		g.Expect(resp.Reason).To(gomega.Equal(work.ReasonNoOwner))
		g.Expect(resp.RetryAfter).To(gomega.BeNumerically("~", 100*time.Millisecond, 100*time.Millisecond))
		g.Expect(time.Since(start)).To(gomega.BeNumerically("<", 1100*time.Millisecond))
	}, func() *fleet { return newFleet(work.Order, 2, 3, 1) })
}

// Guards against unknown outcomes of orders and repeated time-outs of lookups when
// a peer is frozen but still counts as alive: z1 is drained and the owner of the
// only other pool of the region answers nothing.
func TestFrozenPeerIsBypassed(t *testing.T) {
	for _, kind := range []work.Kind{work.Order, work.Lookup} {
		t.Run(string(kind), func(t *testing.T) {
			runInFleet(t, func(t *testing.T, g *gomega.WithT, f *fleet) {
				f.update(func() {
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

// A cancelled request must end the rounds at once.
func TestCancellationEndsWaitForOwner(t *testing.T) {
	runInFleet(t, func(t *testing.T, g *gomega.WithT, f *fleet) {
		f.update(func() { f.unowned = map[string]bool{"z1": true, "z2": true, "z3": true, "z4": true} })
		ctx, cancel := context.WithTimeout(t.Context(), 40*time.Millisecond)
		defer cancel()
		start := time.Now()
		g.Expect(f.routers["i1"].Serve(ctx, f.request(2*time.Second)).Outcome).To(gomega.Equal(work.NotRun))
		g.Expect(time.Since(start)).To(gomega.Equal(40 * time.Millisecond))
	}, func() *fleet { return newFleet(work.Order, 2, 3, 1) })
}

func TestShiftEvents(t *testing.T) {
	var mu sync.Mutex
	var events []traffic.Event
	runInFleet(t, func(t *testing.T, g *gomega.WithT, f *fleet) {
		f.update(func() { f.drained = map[string]bool{"z1": true, "z2": true} })
		router := traffic.New(traffic.Options{
			Snapshot: func() *control.Snapshot { return f.snapshot("i1") },
			Topology: f.topology, Self: "i1", Pools: f.owners["i1"], Peers: &fakeTransport{fleet: f, self: "i1"},
			Notify: func(e traffic.Event) {
				mu.Lock()
				defer mu.Unlock()
				events = append(events, e)
			},
		})
		for range 20 { // the instance's share is 1 request per second with a burst of 1
			router.Serve(t.Context(), f.request(time.Second))
			<-time.After(100 * time.Millisecond)
		}
		<-time.After(10 * time.Second)
		router.Serve(t.Context(), f.request(time.Second))
		<-time.After(10 * time.Second)
		kinds := []traffic.EventKind{}
		for _, e := range events {
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

// Guards against treating a peer as failed because an upstream of its pool does
// not answer.
func TestSlowUpstreamIsNotReportedAsPeerFailure(t *testing.T) {
	runInFleet(t, func(t *testing.T, g *gomega.WithT, f *fleet) {
		f.update(func() { f.drained = map[string]bool{"z1": true, "z2": true}; f.backends["z3-u0"].slowdown = 1000 })
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
