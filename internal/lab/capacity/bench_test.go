package capacity_test

import (
	"fmt"
	"testing"
	"time"

	"sycamoreledge.example/internal/control"
	"sycamoreledge.example/internal/lab/capacity"
	"sycamoreledge.example/internal/settings"
)

const benchTick = 100 * time.Millisecond

// BenchmarkTick measures one tick of a control core in a fleet whose instances
// all serve, with one heartbeat per tick from each other instance of its zone.
func BenchmarkTick(b *testing.B) {
	for _, shape := range capacity.Shapes {
		b.Run(fmt.Sprint(shape.Members), func(b *testing.B) {
			top := shape.Topology()
			now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
			core := newCore(top, now)
			mergeAllInstances(core, top, now)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(benchTick)
				deliverHeartbeats(core, top, now, int64(i+1))
				core.Tick(now)
				core.Ready()
			}
		})
	}
}

func newCore(top *settings.Topology, now time.Time) *control.Core {
	return control.New(control.Params{
		Self:        top.Instances()[0].Name,
		Incarnation: 1,
		Topology:    top,
		Timing: settings.ControlSettings{
			Tick:      benchTick,
			Heartbeat: 300 * time.Millisecond,
			Lease:     1500 * time.Millisecond,
			Digest:    500 * time.Millisecond,
		},
		Initial: capacity.Preset(top, "ordinary"),
		Start:   now,
	})
}

// mergeAllInstances fills the membership table with digests from an instance of
// the core's zone.
func mergeAllInstances(core *control.Core, top *settings.Topology, now time.Time) {
	from := top.Instances()[0].Name
	for _, zone := range top.Zones() {
		if len(zone.Instances) > 1 {
			from = zone.Instances[1].Name
			break
		}
	}
	for _, inst := range top.Instances() {
		row := control.DigestRow{Instance: inst.Name, Incarnation: 1, Sequence: 1, State: control.Serving}
		core.Step(now, control.Message{From: from, Incarnation: 1, Digest: &control.Digest{Rows: []control.DigestRow{row}}})
	}
}

// deliverHeartbeats delivers one heartbeat from each other instance of the zone.
func deliverHeartbeats(core *control.Core, top *settings.Topology, now time.Time, sentAt int64) {
	for _, inst := range top.Regions[0].Zones[0].Instances[1:] {
		core.Step(now, control.Message{From: inst.Name, Incarnation: 1, Heartbeat: &control.Heartbeat{
			SentAt: sentAt, Echo: sentAt, EchoIncarnation: 1, State: control.Serving,
		}})
	}
}
