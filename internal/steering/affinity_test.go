package steering_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/deployment"
	"sycamoreledge.example/internal/routing"
	"sycamoreledge.example/internal/steering"
	"sycamoreledge.example/internal/work"
)

// sixZoneCore returns the core of an idle instance in a deployment of three regions
// with two zones each.
func sixZoneCore(now time.Time, place deployment.Place) *steering.Core {
	c := steering.New(steering.Config{Instance: "e-" + place.Zone, Place: place, Bounds: bounds, Seed: 1})
	var members []steering.Member
	for _, region := range []string{"n", "m", "s"} {
		for _, letter := range []string{"a", "b"} {
			p := deployment.Place{Zone: region + "-" + letter, Region: region}
			members = append(members, steering.Member{Name: "e-" + p.Zone, Place: p})
			for n := range 6 {
				id := fmt.Sprintf("%s-%d", p.Zone, n)
				c.SetUpstream(now, steering.Upstream{ID: id, Incarnation: 1, Service: "s", Address: id, Place: p, Slots: 6})
			}
		}
	}
	c.SetMembers(members)
	return c
}

func routeOfKind(kind work.Kind) *routing.Route {
	r := *lookupRoute()
	r.Kind, r.Target = kind, missServiceTime
	return &r
}

func TestInstancesOfARegionPreferTheSameUpstreams(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(100, 0)
	a := sixZoneCore(now, deployment.Place{Zone: "n-a", Region: "n"})
	b := sixZoneCore(now, deployment.Place{Zone: "n-b", Region: "n"})
	for _, kind := range []work.Kind{work.Lookup, work.Order} {
		for n := range 200 {
			r := newRequest(now, fmt.Sprint("object ", n))
			r.Route = routeOfKind(kind)
			inA, inB := a.Choose(now, r), b.Choose(now, r)
			g.Expect(inA.Target.ID).To(gomega.Equal(inB.Target.ID), "%s %d", kind, n)
			now = now.Add(missServiceTime)
			a.Done(now, inA.Ticket, okResult)
			b.Done(now, inB.Ticket, okResult)
		}
	}
}

func TestUploadsStayInTheirZoneWhileItHasCapacity(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(100, 0)
	here := deployment.Place{Zone: "n-a", Region: "n"}
	c := sixZoneCore(now, here)
	const objects = 200
	inZone := 0
	for n := range objects {
		r := newRequest(now, fmt.Sprint("object ", n))
		r.Route, r.Bytes = routeOfKind(work.Upload), 60_000
		d := c.Choose(now, r)
		if d.Target.Place.Zone == here.Zone {
			inZone++
		}
		now = now.Add(missServiceTime)
		c.Done(now, d.Ticket, okResult)
	}
	g.Expect(inZone).To(gomega.BeNumerically(">=", objects*8/10))

	// The requests for one object exceed the capacity of its first preferred upstream;
	// the other upstreams of the zone stay free.
	zones := map[string]bool{}
	for range 20 {
		r := newRequest(now, "hot")
		r.Route, r.Bytes = routeOfKind(work.Upload), 60_000
		if d := c.Choose(now, r); d.Ticket != nil {
			zones[d.Target.Place.Zone] = true
		}
	}
	g.Expect(len(zones)).To(gomega.BeNumerically(">", 1), "the second preferred upstream is in another zone")
}

// BenchmarkChoose selects among 300 upstreams, the size of the largest service in
// use.
func BenchmarkChoose(b *testing.B) {
	const upstreams = 300
	now := time.Unix(100, 0)
	c := steering.New(steering.Config{Instance: "e", Place: here, Bounds: bounds, Seed: 1})
	for n := range upstreams {
		id := fmt.Sprint("upstream-", n)
		c.SetUpstream(now, steering.Upstream{ID: id, Incarnation: 1, Service: "s", Address: id, Place: here, Slots: 6})
	}
	requests := make([]*steering.Request, 1000)
	for n := range requests {
		requests[n] = newRequest(now, fmt.Sprint("object ", n))
	}
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		now = now.Add(time.Millisecond)
		if d := c.Choose(now, requests[n%len(requests)]); d.Ticket != nil {
			c.Done(now, d.Ticket, okResult)
		}
	}
}
