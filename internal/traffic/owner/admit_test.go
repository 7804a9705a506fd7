package owner_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/control"
	"sycamoreledge.example/internal/upstream"
	"sycamoreledge.example/internal/work"
)

func TestSlotsAreNeverExceeded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		tp := newTestPool(work.Lookup, 3, 5)
		tp.policy.Queue = 1000
		const requests = 600
		var pending []chan *work.Response
		for range requests {
			pending = append(pending, tp.start(t.Context(), tp.request(2*time.Second)))
		}
		synctest.Wait()
		g.Expect(tp.owner.InFlight(tp.pool)).To(gomega.Equal(15))
		for _, p := range pending {
			g.Expect((<-p).Outcome).To(gomega.Equal(work.Run))
		}
		for _, u := range tp.upstreams.all {
			g.Expect(u.maxRunning).To(gomega.Equal(5))
		}
		g.Expect(tp.upstreams.runs()).To(gomega.Equal(requests))
		g.Expect(tp.owner.InFlight(tp.pool)).To(gomega.BeZero())
	})
}

func TestRefusalsBeforeDispatch(t *testing.T) {
	lost := func(s *control.Snapshot) { s.Owned = nil }
	cases := []struct {
		name   string
		change func(*control.Snapshot)
		edit   func(*work.Request)
		busy   int
		reason work.Reason
	}{
		{name: "not the owner", change: lost, reason: work.ReasonNotOwner},
		{name: "grant ran out", change: func(s *control.Snapshot) {
			s.Owned[work.PoolID{Service: "s", Zone: "z1"}] = control.Grant{BaseUntil: time.Now().Add(-1)}
		}, edit: func(r *work.Request) { r.Queue = false }, reason: work.ReasonQueueFull},
		{name: "process was paused", change: func(s *control.Snapshot) { s.At = s.At.Add(-control.MaxSnapshotAge - 1) },
			edit: func(r *work.Request) { r.Queue = false }, reason: work.ReasonQueueFull},
		{name: "zone is drained", change: func(s *control.Snapshot) { s.DrainedZones = map[string]bool{"z1": true} }, reason: work.ReasonNoUpstream},
		{name: "all upstreams leave", change: func(s *control.Snapshot) {
			s.LeavingUpstreams = map[string]bool{"u1": true, "u2": true}
		}, reason: work.ReasonNoUpstream},
		{name: "unknown pool", edit: func(r *work.Request) { r.Pool.Zone = "z9" }, reason: work.ReasonUnknownService},
		{name: "deadline has passed", edit: func(r *work.Request) { r.Deadline = time.Now() }, reason: work.ReasonDeadline},
		{name: "full and not to be queued", busy: 10, edit: func(r *work.Request) { r.Queue = false }, reason: work.ReasonQueueFull},
		{name: "full and from another zone", busy: 10, edit: func(r *work.Request) { r.Origin = "z2" }, reason: work.ReasonHeadroom},
		{name: "headroom and from another zone", busy: 8, edit: func(r *work.Request) { r.Origin = "z2" }, reason: work.ReasonHeadroom},
		{name: "slots of a former owner", change: func(s *control.Snapshot) {
			grant := s.Owned[work.PoolID{Service: "s", Zone: "z1"}]
			grant.Occupied = 5
			s.Owned[work.PoolID{Service: "s", Zone: "z1"}] = grant
		}, edit: func(r *work.Request) { r.Queue = false }, reason: work.ReasonQueueFull},
		{name: "queue is full", busy: 13, reason: work.ReasonQueueFull},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				tp := newTestPool(work.Lookup, 2, 5)
				tp.policy.Queue = 3
				ctx, cancel := context.WithCancel(t.Context())
				for range c.busy {
					tp.start(ctx, tp.request(2*time.Second))
				}
				synctest.Wait()
				before := tp.upstreams.runs()
				tp.modifySnapshots(c.change)
				req := tp.request(2 * time.Second)
				if c.edit != nil {
					c.edit(req)
				}
				resp := tp.owner.Serve(t.Context(), req)
				g.Expect(resp.Outcome).To(gomega.Equal(work.NotRun))
				g.Expect(resp.Reason).To(gomega.Equal(c.reason))
				g.Expect(tp.upstreams.runs()).To(gomega.Equal(before))
				cancel()
				synctest.Wait()
			})
		})
	}
}

func TestOverloadRefusesEarlyAndKeepsGoodput(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		tp := newTestPool(work.Order, 2, 3)
		tp.policy.Queue = 1000
		// 6 slots with a service time of 20 ms serve 300 requests per second; 450 arrive.
		type result struct {
			resp *work.Response
			took time.Duration
		}
		results := make(chan result, 2000)
		const arrivals = 900
		for range arrivals {
			go func() {
				start := time.Now()
				resp := tp.owner.Serve(t.Context(), tp.request(200*time.Millisecond))
				results <- result{resp, time.Since(start)}
			}()
			<-time.After(time.Second / 450)
		}
		run := 0
		for range arrivals {
			r := <-results
			if r.resp.Outcome == work.Run {
				run++
				continue
			}
			g.Expect(r.resp.Outcome).To(gomega.Equal(work.NotRun))
			g.Expect(r.took).To(gomega.BeNumerically("<", 50*time.Millisecond))
			g.Expect(r.resp.RetryAfter).To(gomega.BeNumerically(">", 0))
		}
		g.Expect(run).To(gomega.BeNumerically(">=", 540), "0.9 of the 600 requests that 6 slots serve in 2 s")
	})
}

func TestAdoptedPoolUsesReservedSlotsOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		tp := newTestPool(work.Order, 2, 6)
		tp.modifySnapshots(func(s *control.Snapshot) {
			s.Owned[tp.pool] = control.Grant{BaseUntil: time.Now().Add(time.Second), Adopted: true}
		})
		var pending []chan *work.Response
		for range 20 {
			pending = append(pending, tp.start(t.Context(), tp.request(2*time.Second)))
		}
		for _, p := range pending {
			g.Expect((<-p).Outcome).To(gomega.Equal(work.Run))
		}
		for _, u := range tp.upstreams.all {
			g.Expect(u.maxRunning).To(gomega.Equal(control.ReservedSlots(6)))
		}
	})
}

func TestLostGrantRefusesQueueAndFinishesInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		tp := newTestPool(work.Order, 1, 2)
		ctx, cancel := context.WithCancel(t.Context())
		go tp.owner.Run(ctx)
		var pending []chan *work.Response
		for range 5 {
			pending = append(pending, tp.start(t.Context(), tp.request(time.Second)))
		}
		synctest.Wait()
		tp.modifySnapshots(func(s *control.Snapshot) { s.Owned = nil })
		outcomes := map[work.Reason]int{}
		for _, p := range pending {
			outcomes[(<-p).Reason]++
		}
		g.Expect(outcomes).To(gomega.Equal(map[work.Reason]int{"": 2, work.ReasonNotOwner: 3}))
		g.Expect(tp.upstreams.runs()).To(gomega.Equal(2))
		cancel()
		synctest.Wait()
	})
}

// Guards against dispatching after the permission is lost. It is lost at each
// reading of the snapshot in turn: at admission, after a wait, and between the
// choice and the dispatch.
func TestNoDispatchAfterPermissionIsLost(t *testing.T) {
	losses := map[string]func(*control.Snapshot){
		"grant":  func(s *control.Snapshot) { s.Owned = nil },
		"paused": func(s *control.Snapshot) { s.At = s.At.Add(-control.MaxSnapshotAge - 1) },
		"leaving": func(s *control.Snapshot) {
			s.LeavingUpstreams = map[string]bool{"u1": true}
		},
	}
	for name, lose := range losses {
		for step := range 4 {
			t.Run(name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := gomega.NewWithT(t)
					tp := newTestPool(work.Order, 1, 1)
					first := tp.start(t.Context(), tp.request(time.Second))
					synctest.Wait()
					reads, dispatched := 0, 0
					tp.modifySnapshots(func(s *control.Snapshot) {
						reads++
						if reads > step {
							lose(s)
							return
						}
						dispatched = reads
					})
					second := tp.owner.Serve(t.Context(), tp.request(time.Second))
					g.Expect((<-first).Outcome).To(gomega.Equal(work.Run))
					// Reads: admission, release of the first request's slot, recheckDispatch.
					if dispatched == 3 {
						g.Expect(second.Outcome).To(gomega.Equal(work.Run))
						return
					}
					g.Expect(second.Outcome).To(gomega.Equal(work.NotRun))
					g.Expect(tp.upstreams.runs()).To(gomega.Equal(1))
				})
			})
		}
	}
}

func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	for name, leave := range map[string]func(*testPool){
		"by its probe": func(tp *testPool) {
			tp.upstreams.change("u1", func(u *fakeUpstream) { u.health = upstream.Leaving })
		},
		"by the snapshot": func(tp *testPool) {
			tp.modifySnapshots(func(s *control.Snapshot) { s.LeavingUpstreams = map[string]bool{"u1": true} })
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				tp := newTestPool(work.Order, 2, 2)
				ctx, cancel := context.WithCancel(t.Context())
				go tp.owner.Run(ctx)
				leave(tp)
				<-time.After(time.Second)
				for range 20 {
					g.Expect(tp.owner.Serve(t.Context(), tp.request(time.Second)).Upstream).To(gomega.Equal("u2"))
				}
				g.Expect(tp.upstreams.runsOf("u1")).To(gomega.BeZero())
				cancel()
				synctest.Wait()
			})
		})
	}
}
