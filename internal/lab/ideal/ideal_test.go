package ideal_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/lab/firm"
	"sycamoreledge.example/internal/lab/ideal"
	"sycamoreledge.example/internal/lab/trace"
	"sycamoreledge.example/internal/lab/upstream"
	"sycamoreledge.example/internal/settings"
	"sycamoreledge.example/internal/work"
)

const (
	seed              = 3
	service           = "status"
	deadline          = 500 * time.Millisecond
	ms                = time.Millisecond
	roundingTolerance = 10 * time.Nanosecond
)

// newConfig returns a configuration of one service with one upstream of one slot
// for each name.
func newConfig(names ...string) ideal.Config {
	pool := settings.Pool{Zone: "a"}
	for _, n := range names {
		pool.Upstreams = append(pool.Upstreams, settings.Upstream{Name: n, Slots: 1})
	}
	return ideal.Config{
		Topology: &settings.Topology{Services: []settings.Service{{Name: service, Kind: work.Lookup, Pools: []settings.Pool{pool}}}},
		World: &firm.World{
			CallerLatency: ms,
			Services:      []firm.ServiceTime{{Name: service, ServiceTime: 20 * ms, StragglerFactor: 1, ColdRequests: 1, ColdFactor: 3}},
		},
		Seed:     seed,
		Deadline: func(string) time.Duration { return deadline },
	}
}

func newTrace(events []trace.Event, at ...time.Duration) *trace.Trace {
	t := &trace.Trace{Services: []trace.Service{{Name: service, Kind: work.Lookup}}, Zones: []string{"a"}, Events: events}
	for _, d := range at {
		t.Sends = append(t.Sends, trace.Send{At: d})
	}
	return t
}

// drawServiceTimes returns the first n service times of an upstream of the
// configuration.
func drawServiceTimes(c ideal.Config, name string, n int) []time.Duration {
	times := upstream.NewTimes(name, service, seed, c.World, time.Unix(0, 0))
	var out []time.Duration
	for range n {
		out = append(out, times.Next(time.Unix(0, 0)))
	}
	return out
}

func TestRequestsAreServedInOrderOfArrival(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newConfig("one")
	d := drawServiceTimes(c, "one", 3)
	got := ideal.Run(c, newTrace(nil, 0, 0, time.Hour))
	g.Expect(got).To(gomega.Equal([]ideal.Result{
		{Run: true, Latency: d[0] + 2*ms},
		{Run: true, Latency: d[0] + d[1] + 2*ms},
		{Run: true, Latency: d[2] + 2*ms},
	}))
}

func TestFastestFreeSlotIsTaken(t *testing.T) {
	for name, event := range map[string]trace.Event{
		"slowed":   {Action: trace.Slow, Name: "one", Factor: 5},
		"cold":     {Action: trace.Restart, Name: "one"},
		"drained":  {Action: trace.DrainUpstream, Name: "one"},
		"leaving":  {Action: trace.Leave, Name: "one"},
		"occupied": {At: time.Hour, Action: trace.Slow, Name: "one", Factor: 5},
	} {
		g := gomega.NewWithT(t)
		c := newConfig("one", "two")
		at := []time.Duration{ms}
		if name == "occupied" {
			at = []time.Duration{0, ms}
		}
		got := ideal.Run(c, newTrace([]trace.Event{event}, at...))
		g.Expect(got[len(got)-1].Latency).To(gomega.Equal(drawServiceTimes(c, "two", 1)[0]+2*ms), name)
	}
}

func TestSlowAndColdWorkTakesLonger(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newConfig("one")
	d := drawServiceTimes(c, "one", 1)[0]
	slow := ideal.Run(c, newTrace([]trace.Event{{Action: trace.Slow, Name: "one", Factor: 5}}, 0))
	cold := ideal.Run(c, newTrace([]trace.Event{{Action: trace.Restart, Name: "one"}}, 0))
	g.Expect(slow[0].Latency).To(gomega.BeNumerically("~", 5*d+2*ms, roundingTolerance))
	g.Expect(cold[0].Latency).To(gomega.BeNumerically("~", 3*d+2*ms, roundingTolerance))
}

func TestRequestsThatCannotStartBeforeDeadlineAreNotRun(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newConfig("one")
	at := make([]time.Duration, 100)
	run := 0
	for i, r := range ideal.Run(c, newTrace(nil, at...)) {
		if r.Run {
			run++
			g.Expect(run).To(gomega.Equal(i+1), "first come, first served")
		}
	}
	var started time.Duration
	want := 0
	for _, d := range drawServiceTimes(c, "one", len(at)) {
		if started > deadline {
			break
		}
		started += d
		want++
	}
	g.Expect(run).To(gomega.Equal(want))
	g.Expect(run).To(gomega.BeNumerically("<", len(at)))
}
