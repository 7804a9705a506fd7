package traffic_test

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/control"
	"sycamoreledge.example/internal/replay"
	"sycamoreledge.example/internal/traffic"
	"sycamoreledge.example/internal/work"
)

// runInFleet runs a test in virtual time on a started fleet.
func runInFleet(t *testing.T, test func(*testing.T, *gomega.WithT, *fleet), build func() *fleet) {
	synctest.Test(t, func(t *testing.T) {
		f := build()
		ctx, cancel := context.WithCancel(t.Context())
		f.start(ctx)
		test(t, gomega.NewWithT(t), f)
		cancel()
		synctest.Wait()
	})
}

// sendSteadily sends requests to an instance at a constant rate and counts the
// responses by reason.
func sendSteadily(t *testing.T, f *fleet, instance string, count int, interval time.Duration) map[work.Reason]int {
	answers := make(chan *work.Response, count)
	for range count {
		req := f.request(2 * time.Second)
		go func() { answers <- f.routers[instance].Serve(t.Context(), req) }()
		<-time.After(interval)
	}
	counts := map[work.Reason]int{}
	for range count {
		resp := <-answers
		counts[resp.Reason]++
	}
	return counts
}

func TestOwnZoneIsPreferred(t *testing.T) {
	runInFleet(t, func(t *testing.T, g *gomega.WithT, f *fleet) {
		g.Expect(sendSteadily(t, f, "i1", 100, 10*time.Millisecond)).To(gomega.Equal(map[work.Reason]int{"": 100}))
		g.Expect(f.runsIn("z1")).To(gomega.Equal(100))
	}, func() *fleet { return newFleet(work.Order, 2, 3, 1) })
}

func TestRegionTakesOverflowOfZone(t *testing.T) {
	runInFleet(t, func(t *testing.T, g *gomega.WithT, f *fleet) {
		// 6 slots with a service time of 20 ms serve 300 requests per second in
		// each zone; 400 per second arrive in z1.
		g.Expect(sendSteadily(t, f, "i1", 1200, 2500*time.Microsecond)).To(gomega.Equal(map[work.Reason]int{"": 1200}))
		g.Expect(f.runsIn("z2")).To(gomega.BeNumerically(">", 250))
		g.Expect(f.runsIn("z3", "z4")).To(gomega.BeZero())
	}, func() *fleet { return newFleet(work.Order, 2, 3, 1) })
}

func TestDrainedRegionShiftsWithinTheCap(t *testing.T) {
	runInFleet(t, func(t *testing.T, g *gomega.WithT, f *fleet) {
		f.update(func() { f.drained = map[string]bool{"z1": true, "z2": true} })
		counts := sendSteadily(t, f, "i1", 1000, 5*time.Millisecond)
		// A burst within the share may exceed the headroom of the pool in the
		// other region.
		g.Expect(counts[work.ReasonShiftCap]+counts[work.ReasonHeadroom]+counts[""]).To(gomega.Equal(1000), "%v", counts)
		// The instance's share is half of the cap of 100 per second: 5 s at that
		// rate, plus one burst.
		g.Expect(counts[""]).To(gomega.BeNumerically("<=", 255))
		g.Expect(counts[""]).To(gomega.BeNumerically(">=", 230))
		g.Expect(f.runsIn("z1", "z2")).To(gomega.BeZero())
	}, func() *fleet { return newFleet(work.Order, 2, 3, 1) })
}

func TestShiftRampsUp(t *testing.T) {
	runInFleet(t, func(t *testing.T, g *gomega.WithT, f *fleet) {
		f.update(func() { f.drained = map[string]bool{"z1": true, "z2": true} })
		sendSteadily(t, f, "i1", 200, 5*time.Millisecond)
		first := f.runsIn("z3", "z4")
		sendSteadily(t, f, "i1", 1600, 5*time.Millisecond)
		before := f.runsIn("z3", "z4")
		sendSteadily(t, f, "i1", 200, 5*time.Millisecond)
		g.Expect(first).To(gomega.BeNumerically("<=", 12))
		g.Expect(f.runsIn("z3", "z4") - before).To(gomega.BeNumerically(">=", 40))
	}, func() *fleet {
		f := newFleet(work.Order, 2, 3, 1)
		f.preset.Services[0].ShiftRamp = 8 * time.Second
		return f
	})
}

func TestReceiverEnforcesTheSendersShare(t *testing.T) {
	runInFleet(t, func(t *testing.T, g *gomega.WithT, f *fleet) {
		run, refused := 0, 0
		for range 500 {
			req := f.request(time.Second)
			req.Pool = work.PoolID{Service: "s", Zone: "z3"}
			req.Sender = "i1"
			req.Origin = "z3" // forged: the receiver must derive the zone from the sender
			resp := f.routers["i3"].ServePool(t.Context(), req)
			if resp.Outcome == work.Run {
				run++
			} else {
				g.Expect(resp.Reason).To(gomega.Equal(work.ReasonShiftCap))
				refused++
				<-time.After(20 * time.Millisecond)
			}
		}
		// Each of the 500 requests either runs for 20 ms or is followed by a pause
		// of 20 ms, so that they span 10 s. The share is 25 per second, plus one
		// burst.
		g.Expect(run).To(gomega.BeNumerically("~", 253, 5))
		g.Expect(refused).To(gomega.Equal(500 - run))
	}, func() *fleet {
		f := newFleet(work.Order, 2, 3, 1)
		f.preset.Services[0].ShiftRate = 50
		return f
	})
}

func TestUnreachablePeerIsBypassed(t *testing.T) {
	runInFleet(t, func(t *testing.T, g *gomega.WithT, f *fleet) {
		f.update(func() { f.disconnected["i2"] = true; f.drained = map[string]bool{"z1": true} })
		resp := f.routers["i1"].Serve(t.Context(), f.request(time.Second))
		g.Expect(resp.Outcome).To(gomega.Equal(work.Run))
		g.Expect(resp.Upstream).To(gomega.HavePrefix("z3"))
		g.Expect(resp.Explain).To(gomega.ContainSubstring("s@z1: drained or without owner"))
		g.Expect(resp.Explain).To(gomega.ContainSubstring("s@z3 via i3: run by z3"))
	}, func() *fleet { return newFleet(work.Order, 2, 3, 1) })
}

func TestRequestBodies(t *testing.T) {
	small := strings.Repeat("x", replay.Limit)
	cases := []struct {
		name    string
		body    io.Reader
		outcome work.Outcome
	}{
		{"whole", strings.NewReader(small), work.Run},
		{"broken off by the caller", io.MultiReader(strings.NewReader("ab"), iotest.ErrReader(errors.New("cut"))), work.Unknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runInFleet(t, func(t *testing.T, g *gomega.WithT, f *fleet) {
				req := f.request(time.Second)
				req.Body, req.Length = c.body, -1
				resp := f.routers["i1"].Serve(t.Context(), req)
				g.Expect(resp.Outcome).To(gomega.Equal(c.outcome))
			}, func() *fleet { return newFleet(work.Upload, 1, 1, 1) })
		})
	}
}

func TestUnknownService(t *testing.T) {
	runInFleet(t, func(t *testing.T, g *gomega.WithT, f *fleet) {
		req := f.request(time.Second)
		req.Service = "other"
		resp := f.routers["i1"].Serve(t.Context(), req)
		g.Expect(resp.Outcome).To(gomega.Equal(work.NotRun))
		g.Expect(resp.Reason).To(gomega.Equal(work.ReasonUnknownService))
	}, func() *fleet { return newFleet(work.Order, 1, 1, 1) })
}

// Guards against slots being exceeded, orders running twice, and refused orders
// having run, at more than three times the load that the region can serve.
func TestOverloadKeepsGuarantees(t *testing.T) {
	runInFleet(t, func(t *testing.T, g *gomega.WithT, f *fleet) {
		type answer struct {
			id   string
			resp *work.Response
		}
		const count = 3000
		answers := make(chan answer, count)
		for range count {
			req := f.request(300 * time.Millisecond)
			go func() { answers <- answer{req.ID, f.routers["i1"].Serve(t.Context(), req)} }()
			<-time.After(500 * time.Microsecond)
		}
		run := 0
		for range count {
			a := <-answers
			ran := f.runsOf(a.id)
			switch a.resp.Outcome {
			case work.Run:
				run++
				g.Expect(ran).To(gomega.Equal(1))
			case work.NotRun:
				g.Expect(ran).To(gomega.BeZero())
				g.Expect(a.resp.RetryAfter).To(gomega.BeNumerically(">", 0), string(a.resp.Reason))
			default:
				g.Expect(ran).To(gomega.BeNumerically("<=", 1))
			}
		}
		for _, b := range f.backends {
			g.Expect(b.maxRunning).To(gomega.BeNumerically("<=", 3))
		}
		g.Expect(run).To(gomega.BeNumerically(">", 700), "0.9 of 540 per second for 1.5 s")
	}, func() *fleet { return newFleet(work.Order, 2, 3, 1) })
}

// refusingPools reads the first bytes of a request body and then refuses the
// request.
type refusingPools struct{ bytes int64 }

func (p refusingPools) Serve(_ context.Context, req *work.Request) *work.Response {
	if _, err := io.CopyN(io.Discard, req.Body, p.bytes); err != nil {
		return work.UnknownOutcome(work.ReasonUpstreamBroken)
	}
	return work.Refuse(work.ReasonUpstreamShed, 0)
}

func TestRefusalAfterPartOfTheBody(t *testing.T) {
	for name, c := range map[string]struct {
		read    int64
		outcome work.Outcome
	}{
		"can be sent again":   {replay.Limit, work.Run},
		"can't be sent again": {replay.Limit + 1, work.NotRun},
	} {
		t.Run(name, func(t *testing.T) {
			runInFleet(t, func(t *testing.T, g *gomega.WithT, f *fleet) {
				router := traffic.New(traffic.Options{
					Snapshot: func() *control.Snapshot { return f.snapshot("i1") },
					Topology: f.topology, Self: "i1", Pools: refusingPools{c.read}, Peers: &fakeTransport{fleet: f, self: "i1"},
				})
				req := f.request(time.Second)
				req.Body, req.Length = strings.NewReader(strings.Repeat("x", 2*replay.Limit)), 2*replay.Limit
				g.Expect(router.Serve(t.Context(), req).Outcome).To(gomega.Equal(c.outcome))
			}, func() *fleet { return newFleet(work.Upload, 1, 1, 1) })
		})
	}
}

func TestUploadsShiftFromRegionWithoutUpstreams(t *testing.T) {
	runInFleet(t, func(t *testing.T, g *gomega.WithT, f *fleet) {
		f.update(func() {
			f.leaving = map[string]bool{}
			for _, name := range []string{"z1-u0", "z1-u1", "z2-u0", "z2-u1"} {
				f.leaving[name] = true
			}
		})
		<-time.After(2 * time.Second)
		for range 5 {
			req := f.request(5 * time.Second)
			req.Body = strings.NewReader(strings.Repeat("x", 2*replay.Limit))
			req.Length = 2 * replay.Limit
			resp := f.routers["i1"].Serve(t.Context(), req)
			g.Expect(resp.Outcome).To(gomega.Equal(work.Run), "%s %s", resp.Reason, resp.Explain)
			<-time.After(time.Second)
		}
		g.Expect(f.runsIn("z3", "z4")).To(gomega.Equal(5))
	}, func() *fleet { return newFleet(work.Upload, 2, 3, 1) })
}

func TestShiftCapIsReportedWithoutRegionalUpstreams(t *testing.T) {
	runInFleet(t, func(t *testing.T, g *gomega.WithT, f *fleet) {
		f.update(func() { f.leaving = map[string]bool{"z1-u0": true, "z2-u0": true} })
		<-time.After(2 * time.Second)
		g.Expect(sendSteadily(t, f, "i1", 3, time.Second)).To(gomega.Equal(map[work.Reason]int{work.ReasonShiftCap: 3}))
	}, func() *fleet {
		f := newFleet(work.Order, 1, 3, 1)
		f.preset.Services[0].ShiftRate = 0
		return f
	})
}

// Guards against large bodies, which can't be sent twice, being consumed by pools
// that then refuse them: they must be sent only to a pool with a slot.
func TestLargeBodiesSurviveRefusals(t *testing.T) {
	runInFleet(t, func(t *testing.T, g *gomega.WithT, f *fleet) {
		answers := make(chan *work.Response, 60)
		for range 60 {
			req := f.request(5 * time.Second)
			req.Body = strings.NewReader(strings.Repeat("x", 2*replay.Limit))
			req.Length = 2 * replay.Limit
			go func() { answers <- f.routers["i1"].Serve(t.Context(), req) }()
			<-time.After(2 * time.Millisecond)
		}
		for range 60 {
			resp := <-answers
			g.Expect(resp.Outcome).To(gomega.Equal(work.Run), "%s %s", resp.Reason, resp.Explain)
		}
		for _, b := range f.backends {
			g.Expect(b.maxRunning).To(gomega.BeNumerically("<=", 3))
		}
		<-time.After(time.Second)
		for _, o := range f.owners {
			for _, status := range o.Load() {
				g.Expect(status.Busy).To(gomega.BeZero())
			}
		}
	}, func() *fleet { return newFleet(work.Upload, 1, 3, 1) })
}
