package owner_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/settings"
	"sycamoreledge.example/internal/traffic/owner"
	"sycamoreledge.example/internal/upstream"
	"sycamoreledge.example/internal/work"
)

func TestUpstreamEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		tp := newTestPool(work.Order, 1, 1)
		var mu sync.Mutex
		var events []owner.EventKind
		o := owner.New(owner.Options{
			Snapshot: tp.snapshot, Upstreams: tp.upstreams, ProbeInterval: 500 * time.Millisecond,
			Topology: &settings.Topology{Services: []settings.Service{{Name: "s", Kind: work.Order, Pools: []settings.Pool{
				{Zone: "z1", Upstreams: []settings.Upstream{{Name: "u1", Slots: 1}}},
			}}}},
			Notify: func(e owner.Event) {
				mu.Lock()
				defer mu.Unlock()
				events = append(events, e.Kind)
			},
		})
		ctx, cancel := context.WithCancel(t.Context())
		go o.Run(ctx)
		takeEvents := func() []owner.EventKind {
			<-time.After(2 * time.Second)
			mu.Lock()
			defer mu.Unlock()
			taken := events
			events = nil
			return taken
		}
		serve := func() { o.Serve(t.Context(), tp.request(time.Second)) }
		steps := []struct {
			change func(*fakeUpstream)
			want   []owner.EventKind
		}{
			{func(*fakeUpstream) {}, nil},
			{func(u *fakeUpstream) { u.silent = true }, []owner.EventKind{owner.UpstreamSuspect, owner.UpstreamDown}},
			{func(u *fakeUpstream) { u.silent = false }, []owner.EventKind{owner.UpstreamCold}},
			{func(*fakeUpstream) { go serve() }, []owner.EventKind{owner.UpstreamLive}},
			{func(u *fakeUpstream) { u.health = upstream.Leaving }, []owner.EventKind{owner.UpstreamLeaving, owner.UpstreamDrained}},
			{func(u *fakeUpstream) { u.health = upstream.Cold }, []owner.EventKind{owner.UpstreamCold}},
		}
		for _, s := range steps {
			tp.upstreams.change("u1", s.change)
			g.Expect(takeEvents()).To(gomega.Equal(s.want))
		}
		cancel()
		synctest.Wait()
	})
}
