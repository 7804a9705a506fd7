package owner_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/settings"
	"sycamoreledge.example/internal/traffic/owner"
	"sycamoreledge.example/internal/upstream"
	"sycamoreledge.example/internal/work"
)

// streaming is an upstream whose answers are still being received when their
// outcome is known.
type streaming struct {
	body func(ctx context.Context) io.Reader
}

func (s streaming) Do(ctx context.Context, t upstream.Target, _ *work.Request, _ io.Reader, _ time.Time) upstream.Result {
	return upstream.Result{Open: true, Response: &work.Response{
		Outcome: work.Run, Status: http.StatusOK, Upstream: t.Name, Length: -1, Body: io.NopCloser(s.body(ctx)),
	}}
}

func (s streaming) Probe(context.Context, upstream.Target) (upstream.Health, error) {
	return upstream.Live, nil
}

// stalled blocks until its context ends.
type stalled struct{ ctx context.Context }

func (s stalled) Read([]byte) (int, error) {
	<-s.ctx.Done()
	return 0, s.ctx.Err()
}

// The slot of a streamed answer is free again once the answer was read, closed
// or cut off by the dispatch timeout, and not before.
func TestSlotOfAStreamedAnswer(t *testing.T) {
	cut := errors.New("cut")
	cases := []struct {
		name   string
		body   func(ctx context.Context) io.Reader
		finish func(io.ReadCloser) error
		err    bool
	}{
		{"read to its end", func(context.Context) io.Reader { return strings.NewReader("abc") }, readAll, false},
		{"closed early", func(context.Context) io.Reader { return strings.NewReader("abc") }, io.ReadCloser.Close, false},
		{"cut by the upstream", func(context.Context) io.Reader { return iotest.ErrReader(cut) }, readAll, true},
		{"stalled", func(ctx context.Context) io.Reader { return stalled{ctx} }, readAll, true},
		{"forgotten by the reader", func(ctx context.Context) io.Reader { return stalled{ctx} }, nil, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				b := newBench(work.Order, 1, 1)
				o := owner.New(owner.Options{
					Snapshot: b.snapshot, Upstreams: streaming{c.body}, ProbeInterval: 500 * time.Millisecond,
					Topology: &settings.Topology{Services: []settings.Service{{Name: "s", Kind: work.Order, Pools: []settings.Pool{
						{Zone: "z1", Upstreams: []settings.Upstream{{Name: "u1", Slots: 1}}},
					}}}},
				})
				resp := o.Serve(t.Context(), b.request(2*time.Second))
				g.Expect(resp.Outcome).To(gomega.Equal(work.Run))
				<-time.After(100 * time.Millisecond)
				g.Expect(o.InFlight(b.pool)).To(gomega.Equal(1))
				if c.finish != nil {
					g.Expect(c.finish(resp.Body) != nil).To(gomega.Equal(c.err))
				} else {
					<-time.After(b.policy.DispatchTimeout)
				}
				// An attempt that was cut off keeps its slot for the grace that the
				// upstream has to notice.
				if c.err {
					g.Expect(o.InFlight(b.pool)).To(gomega.Equal(1))
				}
				<-time.After(100 * time.Millisecond)
				synctest.Wait()
				g.Expect(o.InFlight(b.pool)).To(gomega.BeZero())
			})
		})
	}
}

func readAll(r io.ReadCloser) error {
	_, err := io.Copy(io.Discard, r)
	return err
}
