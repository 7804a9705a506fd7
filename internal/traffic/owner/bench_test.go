package owner

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"sycamoreledge.example/internal/control"
	"sycamoreledge.example/internal/settings"
	"sycamoreledge.example/internal/upstream"
	"sycamoreledge.example/internal/work"
)

// instantUpstream answers at once.
type instantUpstream struct{}

func (instantUpstream) Do(_ context.Context, t upstream.Target, _ *work.Request, _ io.Reader, _ time.Time) upstream.Result {
	return upstream.Result{Response: &work.Response{Outcome: work.Run, Status: http.StatusOK, Upstream: t.Name}}
}

func (instantUpstream) Probe(context.Context, upstream.Target) (upstream.Health, error) {
	return upstream.Live, nil
}

func benchOwner(kind work.Kind, upstreams int) (*Owner, work.PoolID) {
	id := work.PoolID{Service: "s", Zone: "z1"}
	pool := settings.Pool{Zone: "z1"}
	for i := range upstreams {
		pool.Upstreams = append(pool.Upstreams, settings.Upstream{Name: fmt.Sprintf("u%d", i), Slots: 5})
	}
	far := time.Now().Add(time.Hour)
	snap := &control.Snapshot{
		At: far,
		Preset: &settings.Preset{Services: []settings.ServicePolicy{{
			Name: "s", Deadline: time.Second, DispatchTimeout: time.Second, Queue: 100, HedgeQuantile: 0.95,
		}}},
		Owned: map[work.PoolID]control.Grant{id: {BaseUntil: far, FullUntil: far}},
	}
	o := New(Options{
		Snapshot:      func() *control.Snapshot { return snap },
		Topology:      &settings.Topology{Services: []settings.Service{{Name: "s", Kind: kind, Pools: []settings.Pool{pool}}}},
		Upstreams:     instantUpstream{},
		ProbeInterval: time.Second,
	})
	return o, id
}

func benchRequest(kind work.Kind, id work.PoolID) *work.Request {
	return &work.Request{ID: "1", Service: "s", Kind: kind, Deadline: time.Now().Add(time.Hour), Pool: id, Origin: "z1", Queue: true}
}

// BenchmarkAdmit measures admission, choice and release without a dispatch.
func BenchmarkAdmit(b *testing.B) {
	for _, n := range []int{3, 12, 50} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			o, id := benchOwner(work.Lookup, n)
			req := benchRequest(work.Lookup, id)
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if s, _ := o.pools[id].admit(b.Context(), req, nil); s != nil {
						s.release(attemptEnd{answered: true})
					}
				}
			})
		})
	}
}

// BenchmarkServe measures the whole path of a request at the owner with an
// upstream that answers at once.
func BenchmarkServe(b *testing.B) {
	for _, kind := range []work.Kind{work.Order, work.Lookup} {
		b.Run(string(kind), func(b *testing.B) {
			o, id := benchOwner(kind, 3)
			b.ReportAllocs()
			for b.Loop() {
				if resp := o.Serve(b.Context(), benchRequest(kind, id)); resp.Outcome != work.Run {
					b.Fatal(resp.Reason)
				}
			}
		})
	}
}
