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

// homesCore is an idle instance in a zone of three regions with two zones each.
func homesCore(now time.Time, place deployment.Place) *steering.Core {
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
	r := *lookups()
	r.Kind, r.Target = kind, freshWork
	return &r
}

func TestInstancesOfARegionShareHomes(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(100, 0)
	a := homesCore(now, deployment.Place{Zone: "n-a", Region: "n"})
	b := homesCore(now, deployment.Place{Zone: "n-b", Region: "n"})
	for _, kind := range []work.Kind{work.Lookup, work.Order} {
		for n := range 200 {
			r := ask(now, fmt.Sprint("object ", n))
			r.Route = routeOfKind(kind)
			inA, inB := a.Choose(now, r), b.Choose(now, r)
			g.Expect(inA.Target.ID).To(gomega.Equal(inB.Target.ID), "%s %d", kind, n)
			now = now.Add(freshWork)
			a.Done(now, inA.Ticket, answered)
			b.Done(now, inB.Ticket, answered)
		}
	}
}

func TestUploadsStayInTheirZoneWhileItHasRoom(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(100, 0)
	here := deployment.Place{Zone: "n-a", Region: "n"}
	c := homesCore(now, here)
	const objects = 200
	inZone := 0
	for n := range objects {
		r := ask(now, fmt.Sprint("object ", n))
		r.Route, r.Bytes = routeOfKind(work.Upload), 60_000
		d := c.Choose(now, r)
		if d.Target.Place.Zone == here.Zone {
			inZone++
		}
		now = now.Add(freshWork)
		c.Done(now, d.Ticket, answered)
	}
	g.Expect(inZone).To(gomega.BeNumerically(">=", objects*8/10))

	// One object more often than its first home has room: the zone's others stay free.
	zones := map[string]bool{}
	for range 20 {
		r := ask(now, "hot")
		r.Route, r.Bytes = routeOfKind(work.Upload), 60_000
		if d := c.Choose(now, r); d.Ticket != nil {
			zones[d.Target.Place.Zone] = true
		}
	}
	g.Expect(len(zones)).To(gomega.BeNumerically(">", 1), "what one home has no room for leaves the zone")
}

// BenchmarkChoose decides on requests to a service of the size of the largest that
// users have.
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
		requests[n] = ask(now, fmt.Sprint("object ", n))
	}
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		now = now.Add(time.Millisecond)
		if d := c.Choose(now, requests[n%len(requests)]); d.Ticket != nil {
			c.Done(now, d.Ticket, answered)
		}
	}
}
