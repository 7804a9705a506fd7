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
		b := newBench(work.Lookup, 3, 5)
		b.policy.Queue = 1000
		const requests = 600
		var pending []chan *work.Response
		for range requests {
			pending = append(pending, b.start(t.Context(), b.request(2*time.Second)))
		}
		synctest.Wait()
		g.Expect(b.owner.InFlight(b.pool)).To(gomega.Equal(15))
		for _, p := range pending {
			g.Expect((<-p).Outcome).To(gomega.Equal(work.Run))
		}
		for _, u := range b.upstreams.all {
			g.Expect(u.most).To(gomega.Equal(5))
		}
		g.Expect(b.upstreams.runs()).To(gomega.Equal(requests))
		g.Expect(b.owner.InFlight(b.pool)).To(gomega.BeZero())
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
				b := newBench(work.Lookup, 2, 5)
				b.policy.Queue = 3
				ctx, cancel := context.WithCancel(t.Context())
				for range c.busy {
					b.start(ctx, b.request(2*time.Second))
				}
				synctest.Wait()
				before := b.upstreams.runs()
				b.set(c.change)
				req := b.request(2 * time.Second)
				if c.edit != nil {
					c.edit(req)
				}
				resp := b.owner.Serve(t.Context(), req)
				g.Expect(resp.Outcome).To(gomega.Equal(work.NotRun))
				g.Expect(resp.Reason).To(gomega.Equal(c.reason))
				g.Expect(b.upstreams.runs()).To(gomega.Equal(before))
				cancel()
				synctest.Wait()
			})
		})
	}
}

func TestOverloadRefusesEarlyAndKeepsGoodput(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newBench(work.Order, 2, 3)
		b.policy.Queue = 1000
		// 6 slots of 20 ms serve 300 requests a second; 450 arrive.
		type result struct {
			resp *work.Response
			took time.Duration
		}
		results := make(chan result, 2000)
		const arrivals = 900
		for range arrivals {
			go func() {
				start := time.Now()
				resp := b.owner.Serve(t.Context(), b.request(200*time.Millisecond))
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
		g.Expect(run).To(gomega.BeNumerically(">=", 540), "0.9 of what 2 s can serve")
	})
}

func TestAdopterUsesReservedSlotsOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newBench(work.Order, 2, 6)
		b.set(func(s *control.Snapshot) {
			s.Owned[b.pool] = control.Grant{BaseUntil: time.Now().Add(time.Second), Adopted: true}
		})
		var pending []chan *work.Response
		for range 20 {
			pending = append(pending, b.start(t.Context(), b.request(2*time.Second)))
		}
		for _, p := range pending {
			g.Expect((<-p).Outcome).To(gomega.Equal(work.Run))
		}
		for _, u := range b.upstreams.all {
			g.Expect(u.most).To(gomega.Equal(control.ReservedSlots(6)))
		}
	})
}

func TestLostGrantRefusesWaitersAndLetsTheOthersEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newBench(work.Order, 1, 2)
		ctx, cancel := context.WithCancel(t.Context())
		go b.owner.Run(ctx)
		var pending []chan *work.Response
		for range 5 {
			pending = append(pending, b.start(t.Context(), b.request(time.Second)))
		}
		synctest.Wait()
		b.set(func(s *control.Snapshot) { s.Owned = nil })
		outcomes := map[work.Reason]int{}
		for _, p := range pending {
			outcomes[(<-p).Reason]++
		}
		g.Expect(outcomes).To(gomega.Equal(map[work.Reason]int{"": 2, work.ReasonNotOwner: 3}))
		g.Expect(b.upstreams.runs()).To(gomega.Equal(2))
		cancel()
		synctest.Wait()
	})
}

// The right to dispatch is lost at each reading of the snapshot in turn: at
// admission, after a wait, and between the choice and the dispatch.
func TestNoDispatchAfterTheRightIsLost(t *testing.T) {
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
					b := newBench(work.Order, 1, 1)
					first := b.start(t.Context(), b.request(time.Second))
					synctest.Wait()
					reads, dispatched := 0, 0
					b.set(func(s *control.Snapshot) {
						reads++
						if reads > step {
							lose(s)
							return
						}
						dispatched = reads
					})
					second := b.owner.Serve(t.Context(), b.request(time.Second))
					g.Expect((<-first).Outcome).To(gomega.Equal(work.Run))
					// Reads: admission, release of the first, recheck.
					if dispatched == 3 {
						g.Expect(second.Outcome).To(gomega.Equal(work.Run))
						return
					}
					g.Expect(second.Outcome).To(gomega.Equal(work.NotRun))
					g.Expect(b.upstreams.runs()).To(gomega.Equal(1))
				})
			})
		}
	}
}

func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	for name, leave := range map[string]func(*bench){
		"by its probe": func(b *bench) {
			b.upstreams.change("u1", func(u *fakeUpstream) { u.health = upstream.Leaving })
		},
		"by the snapshot": func(b *bench) {
			b.set(func(s *control.Snapshot) { s.LeavingUpstreams = map[string]bool{"u1": true} })
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				b := newBench(work.Order, 2, 2)
				ctx, cancel := context.WithCancel(t.Context())
				go b.owner.Run(ctx)
				leave(b)
				<-time.After(time.Second)
				for range 20 {
					g.Expect(b.owner.Serve(t.Context(), b.request(time.Second)).Upstream).To(gomega.Equal("u2"))
				}
				g.Expect(b.upstreams.runsOf("u1")).To(gomega.BeZero())
				cancel()
				synctest.Wait()
			})
		})
	}
}
