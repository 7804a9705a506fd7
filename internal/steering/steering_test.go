package steering_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/deployment"
	"sycamoreledge.example/internal/exchange"
	"sycamoreledge.example/internal/routing"
	"sycamoreledge.example/internal/steering"
	"sycamoreledge.example/internal/work"
)

var (
	here  = deployment.Place{Zone: "n-a", Region: "n"}
	there = deployment.Place{Zone: "s-a", Region: "s"}
)

func lookupRoute() *routing.Route {
	return &routing.Route{
		Name: "r", Host: "h", Prefix: "/l/", Kind: work.Lookup, Target: time.Second, Timeout: 2 * time.Second,
		MaxAttempts: 2, Sticky: true, Shares: []routing.Share{{Service: "s", Weight: 1}},
	}
}

func newCore(now time.Time, upstreams ...steering.Upstream) *steering.Core {
	c := steering.New(steering.Config{Instance: "e", Place: here, Bounds: bounds, Seed: 1})
	for _, u := range upstreams {
		u.Service, u.Incarnation, u.Address = "s", max(u.Incarnation, 1), u.ID
		u.Slots = max(u.Slots, 2)
		c.SetUpstream(now, u)
	}
	return c
}

func newRequest(now time.Time, object string) *steering.Request {
	return &steering.Request{Route: lookupRoute(), Service: "s", Object: object, Arrived: now, Deadline: now.Add(2 * time.Second)}
}

var okResult = exchange.Result{Outcome: work.Run, Status: 200}

func TestUnusableUpstreamsGetNoRequests(t *testing.T) {
	now := time.Unix(100, 0)
	cases := []struct {
		name   string
		change func(c *steering.Core, r *steering.Request)
	}{
		{"leaving", func(c *steering.Core, _ *steering.Request) {
			c.SetUpstream(now, steering.Upstream{ID: "u", Incarnation: 1, Service: "s", Address: "u", Place: here, Slots: 2, Leaving: true})
		}},
		{"gone", func(c *steering.Core, _ *steering.Request) { c.RemoveUpstream("u") }},
		{"evacuated zone", func(c *steering.Core, _ *steering.Request) { c.Evacuate(here.Zone) }},
		{"evacuation ended after the last applied report", func(c *steering.Core, _ *steering.Request) {
			c.Evacuate(here.Zone)
			c.EndEvacuation(here.Zone, 10)
			c.SetReportRevision(9)
		}},
		{"already tried", func(_ *steering.Core, r *steering.Request) { r.Tried = []string{"u"} }},
		{"outside the route's regions", func(_ *steering.Core, r *steering.Request) { r.Route.Regions = []string{"s"} }},
		{"in backoff after a failure", func(c *steering.Core, r *steering.Request) {
			d := c.Choose(now, r)
			c.Done(now, d.Ticket, exchange.Result{Outcome: work.NotRun, Reason: work.ReasonUpstreamConnect})
		}},
		{"another upstream at its address", func(c *steering.Core, r *steering.Request) {
			d := c.Choose(now, r)
			c.Done(now, d.Ticket, exchange.Result{Outcome: work.NotRun, Reason: work.ReasonNotOwner})
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			c := newCore(now, steering.Upstream{ID: "u", Place: here})
			r := newRequest(now, "o")
			tc.change(c, r)
			d := c.Choose(now, r)
			g.Expect(d.Ticket).To(gomega.BeNil())
			g.Expect(d.Reason).To(gomega.Equal(work.ReasonNoUpstream))
			g.Expect(d.RetryAfter).To(gomega.BeNumerically(">", 0))
		})
	}
}

func TestEvacuationEndsOnceReportsAreApplied(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(100, 0)
	c := newCore(now, steering.Upstream{ID: "u", Place: here})
	c.Evacuate(here.Zone)
	c.EndEvacuation(here.Zone, 10)
	c.SetReportRevision(10)
	g.Expect(c.Choose(now, newRequest(now, "o")).Ticket).NotTo(gomega.BeNil())
	g.Expect(c.EvacuatedZones()).To(gomega.BeEmpty())
}

func TestRestartResetsUpstreamState(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(100, 0)
	c := newCore(now, steering.Upstream{ID: "u", Place: here})
	d := c.Choose(now, newRequest(now, "o"))
	c.Done(now, d.Ticket, exchange.Result{Outcome: work.NotRun, Reason: work.ReasonUpstreamConnect})
	c.SetUpstream(now, steering.Upstream{ID: "u", Incarnation: 2, Service: "s", Address: "u", Place: here, Slots: 2})
	d = c.Choose(now, newRequest(now, "o"))
	g.Expect(d.Ticket).NotTo(gomega.BeNil(), "failures before the restart are not counted")
	g.Expect(d.Cached).To(gomega.BeFalse())
}

func TestQueueAtFullUpstreamIsBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(100, 0)
	c := newCore(now, steering.Upstream{ID: "u", Place: here, Slots: 2})
	sent := 0
	for range 100 {
		d := c.Choose(now, newRequest(now, "o"))
		if d.Ticket == nil {
			g.Expect(d.Reason).To(gomega.Equal(work.ReasonQueueFull))
			g.Expect(d.RetryAfter).To(gomega.BeNumerically(">", 0))
			g.Expect(d.Target.ID).To(gomega.Equal("u"), "the refusal names the upstream it is based on")
			continue
		}
		sent++
	}
	g.Expect(sent).To(gomega.BeNumerically(">=", 2))
	g.Expect(sent).To(gomega.BeNumerically("<=", 12), "no more than can be answered before the deadline")
}

func TestColdUpstreamGetsRequestsFromOneInstance(t *testing.T) {
	now := time.Unix(100, 0)
	table := routing.NewTable("1", routing.Limits{}, []routing.Service{{Name: "s", ColdRate: 10}}, nil)
	table.Revision = 1
	members := []steering.Member{{Name: "e", Place: here}, {Name: "f", Place: here}, {Name: "g", Place: there}}
	senders := 0
	for _, self := range members {
		c := steering.New(steering.Config{Instance: self.Name, Place: self.Place, Bounds: bounds})
		c.SetTable(table)
		c.SetMembers(members)
		c.SetUpstream(now, steering.Upstream{
			ID: "u", Incarnation: 1, Service: "s", Address: "u", Place: here, Slots: 100, ColdFor: 3 * time.Second,
		})
		sent := 0
		for at := now; at.Before(now.Add(time.Second)); at = at.Add(time.Millisecond) {
			d := c.Choose(at, newRequest(at, ""))
			if d.Ticket != nil {
				sent++
				c.Done(at, d.Ticket, okResult)
			}
		}
		if sent > 0 {
			senders++
		}
		gomega.NewWithT(t).Expect(sent).To(gomega.BeNumerically("<=", 10), self.Name)
		at := now.Add(4 * time.Second)
		gomega.NewWithT(t).Expect(c.Choose(at, newRequest(at, "")).Ticket).NotTo(gomega.BeNil(), "warm after ColdFor has passed")
	}
	gomega.NewWithT(t).Expect(senders).To(gomega.Equal(1))
}

func TestPreferredUpstreamsAreFewStableAndWeighted(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(100, 0)
	var upstreams []steering.Upstream
	for i := range 12 {
		place := here
		if i%2 == 1 {
			place = there
		}
		upstreams = append(upstreams, steering.Upstream{ID: fmt.Sprintf("u%d", i), Place: place, Slots: 50})
	}
	c := newCore(now, upstreams...)
	targetsByObject := map[string]map[string]bool{}
	inOwnZone := 0
	for round := range 50 {
		at := now.Add(time.Duration(round) * 100 * time.Millisecond)
		for o := range 40 {
			object := fmt.Sprint(o)
			d := c.Choose(at, newRequest(at, object))
			g.Expect(d.Ticket).NotTo(gomega.BeNil())
			if targetsByObject[object] == nil {
				targetsByObject[object] = map[string]bool{}
			}
			targetsByObject[object][d.Target.ID] = true
			if d.Target.Place == here {
				inOwnZone++
			}
			c.Done(at.Add(50*time.Millisecond), d.Ticket, okResult)
		}
	}
	for object, targets := range targetsByObject {
		g.Expect(len(targets)).To(gomega.BeNumerically("<=", 2), "object %s", object)
	}
	g.Expect(inOwnZone).To(gomega.BeNumerically(">", 50*40/2), "most requests stay in the zone")

	firstTarget := map[string]string{}
	for o := range 40 {
		object := fmt.Sprint(o)
		at := now.Add(time.Minute)
		d := c.Choose(at, newRequest(at, object))
		c.Done(at, d.Ticket, okResult)
		firstTarget[object] = d.Target.ID
	}
	c.RemoveUpstream("u0")
	moved := 0
	for o := range 40 {
		object := fmt.Sprint(o)
		at := now.Add(2 * time.Minute)
		d := c.Choose(at, newRequest(at, object))
		c.Done(at, d.Ticket, okResult)
		if firstTarget[object] != "u0" && d.Target.ID != firstTarget[object] {
			moved++
		}
	}
	g.Expect(moved).To(gomega.BeNumerically("<=", 4), "only objects of the removed upstream move")
}

func TestServicesGetTheirShares(t *testing.T) {
	for _, weights := range [][]float64{{90, 10}, {50, 50}, {1, 3}, {99, 1}} {
		t.Run(fmt.Sprint(weights), func(t *testing.T) {
			g := gomega.NewWithT(t)
			c := newCore(time.Unix(100, 0))
			route := lookupRoute()
			route.Shares = []routing.Share{{Service: "a", Weight: weights[0]}, {Service: "b", Weight: weights[1]}}
			wantShare := weights[0] / (weights[0] + weights[1])
			assignedToA := 0
			for i := range 600 {
				if c.Assign(route, fmt.Sprint(i%40)) == "a" {
					assignedToA++
				}
				if i >= 300 {
					g.Expect(math.Abs(float64(assignedToA)/float64(i+1) - wantShare)).To(gomega.BeNumerically("<=", 0.1))
				}
			}
		})
	}
}

func TestHedgeNeedsSpareCapacityAndRetryBudget(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(100, 0)
	c := newCore(now, steering.Upstream{ID: "u", Place: here, Slots: 4}, steering.Upstream{ID: "v", Place: here, Slots: 4})
	hedge := func(at time.Time) steering.Decision {
		r := newRequest(at, "o")
		r.Hedge, r.Tried = true, []string{"u"}
		return c.Choose(at, r)
	}
	g.Expect(hedge(now).Ticket).To(gomega.BeNil(), "the retry budget is empty at the start")
	d := c.Choose(now, newRequest(now, "o"))
	c.Done(now, d.Ticket, okResult)
	now = now.Add(10 * time.Second)
	granted := 0
	for range 20 {
		if hedge(now).Ticket != nil {
			granted++
		}
	}
	g.Expect(granted).To(gomega.BeNumerically(">=", 1))
	g.Expect(granted).To(gomega.BeNumerically("<=", 3), "no hedges to a busy upstream")
}

func TestOlderConfigurationIsIgnored(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCore(time.Unix(100, 0))
	newer := routing.NewTable("b", routing.Limits{}, nil, nil)
	newer.Revision = 5
	older := routing.NewTable("a", routing.Limits{}, nil, nil)
	older.Revision = 4
	g.Expect(c.SetTable(newer)).To(gomega.BeTrue())
	g.Expect(c.SetTable(older)).To(gomega.BeFalse())
	g.Expect(c.Table().Version).To(gomega.Equal("b"))
}

// TestUpstreamReachableAgainWithoutReportIsCold guards against a full load on an
// upstream that restarts while the store, which holds its reports, is unavailable.
func TestUpstreamReachableAgainWithoutReportIsCold(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(100, 0)
	c := newCore(now, steering.Upstream{ID: "u", Place: here, Slots: 100, Revision: 3})
	table := routing.NewTable("1", routing.Limits{}, []routing.Service{{Name: "s", ColdRate: 10, ColdFor: 3 * time.Second}}, nil)
	table.Revision = 1
	c.SetTable(table)
	for range 2 {
		now = now.Add(time.Second)
		d := c.Choose(now, newRequest(now, ""))
		c.Done(now, d.Ticket, exchange.Result{Outcome: work.NotRun, Reason: work.ReasonUpstreamConnect})
	}
	now = now.Add(5 * time.Second)
	sent := func() int {
		n := 0
		for range 200 {
			now = now.Add(5 * time.Millisecond)
			if d := c.Choose(now, newRequest(now, "")); d.Ticket != nil {
				n++
				c.Done(now, d.Ticket, okResult)
			}
		}
		return n
	}
	g.Expect(sent()).To(gomega.BeNumerically("<=", 12), "limited to the rate of a cold upstream")
	c.SetUpstream(now, steering.Upstream{ID: "u", Incarnation: 1, Service: "s", Address: "u", Place: here, Slots: 100, Revision: 3})
	g.Expect(sent()).To(gomega.BeNumerically("<=", 12), "a report from before the outage changes nothing")
	c.SetUpstream(now, steering.Upstream{ID: "u", Incarnation: 1, Service: "s", Address: "u", Place: here, Slots: 100, Revision: 4})
	g.Expect(sent()).To(gomega.Equal(200), "a newer report says that it is warm")
}

// TestIsolatedInstancesStayWithinColdBound isolates instances, so that upstreams may
// become cold without a report. The requests per second of all isolated instances
// together must stay within the bound of a cold upstream.
func TestIsolatedInstancesStayWithinColdBound(t *testing.T) {
	const coldPerSecond, requestsPerSecond = 9.0, 200
	allowed := coldPerSecond*bounds.ColdRatio + bounds.ColdSlack
	for _, members := range []int{1, 2} {
		for _, isolated := range []bool{false, true} {
			t.Run(fmt.Sprint(members, isolated), func(t *testing.T) {
				g := gomega.NewWithT(t)
				start := time.Unix(100, 0)
				c := newCore(start, steering.Upstream{ID: "u", Place: here, Slots: 1000})
				table := routing.NewTable("2", routing.Limits{}, []routing.Service{{Name: "s", ColdRate: coldPerSecond}}, nil)
				table.Revision = 2
				g.Expect(c.SetTable(table)).To(gomega.BeTrue())
				list := []steering.Member{{Name: "e", Place: here}, {Name: "f", Place: here}}
				c.SetMembers(list[:members])
				g.Expect(c.SetIsolated(isolated)).To(gomega.Equal(isolated))
				var sent []time.Time
				for n := range 3 * requestsPerSecond {
					now := start.Add(time.Duration(n) * time.Second / requestsPerSecond)
					d := c.Choose(now, newRequest(now, "o"))
					if d.Ticket != nil {
						sent = append(sent, now)
						c.Done(now, d.Ticket, okResult)
					}
				}
				peak := float64(maxWithin(sent, time.Second))
				if isolated {
					g.Expect(peak).To(gomega.And(gomega.BeNumerically(">", 0), gomega.BeNumerically("<=", allowed/float64(members))))
				} else {
					g.Expect(peak).To(gomega.BeNumerically(">", allowed))
				}
			})
		}
	}
}
