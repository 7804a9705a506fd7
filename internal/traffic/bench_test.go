package traffic_test

import (
	"context"
	"testing"
	"time"

	"sycamoreledge.example/internal/control"
	"sycamoreledge.example/internal/traffic"
	"sycamoreledge.example/internal/work"
)

// instantPools answers at once. Its pool in z1 may be full.
type instantPools struct{ full bool }

func (p instantPools) Serve(_ context.Context, req *work.Request) *work.Response {
	if p.full && req.Pool.Zone == "z1" {
		return work.Refuse(work.ReasonQueueFull, time.Millisecond)
	}
	return &work.Response{Outcome: work.Run, Upstream: "u1"}
}

// BenchmarkRoute measures the routing decision with a free slot in the own zone,
// and with a full pool there and a neighbour that takes the request.
func BenchmarkRoute(b *testing.B) {
	for name, full := range map[string]bool{"own zone": false, "neighbour": true} {
		b.Run(name, func(b *testing.B) {
			f := newFleet(work.Order, 3, 5, 1)
			f.publishLoads()
			snap := f.snapshot("i1")
			for _, view := range snap.Pools {
				for i := range view.Owners {
					view.Owners[i].Instance = "i1"
					view.Owners[i].Slots = 15
					view.Owners[i].LoadAt = time.Now().Add(time.Hour)
				}
			}
			r := traffic.New(traffic.Options{
				Snapshot: func() *control.Snapshot { return snap },
				Topology: f.topology, Self: "i1", Pools: instantPools{full},
			})
			req := f.request(time.Hour)
			b.ReportAllocs()
			for b.Loop() {
				if resp := r.Serve(b.Context(), req); resp.Outcome != work.Run {
					b.Fatal(resp.Reason, resp.Explain)
				}
			}
		})
	}
}
