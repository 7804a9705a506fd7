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

// streamingUpstreams answers with bodies that are still being received when the
// outcome is known.
type streamingUpstreams struct {
	body func(ctx context.Context) io.Reader
}

func (s streamingUpstreams) Do(ctx context.Context, t upstream.Target, _ *work.Request, _ io.Reader, _ time.Time) upstream.Result {
	return upstream.Result{Streaming: true, Response: &work.Response{
		Outcome: work.Run, Status: http.StatusOK, Upstream: t.Name, Length: -1, Body: io.NopCloser(s.body(ctx)),
	}}
}

func (s streamingUpstreams) Probe(context.Context, upstream.Target) (upstream.Health, error) {
	return upstream.Live, nil
}

// stalledReader blocks until its context ends.
type stalledReader struct{ ctx context.Context }

func (s stalledReader) Read([]byte) (int, error) {
	<-s.ctx.Done()
	return 0, s.ctx.Err()
}

// Guards against leaking or freeing too early the slot of a streamed response: it
// must become free once the body was read, closed or cut off by the dispatch
// timeout, and not before.
func TestSlotOfStreamedResponse(t *testing.T) {
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
		{"stalled", func(ctx context.Context) io.Reader { return stalledReader{ctx} }, readAll, true},
		{"never read or closed", func(ctx context.Context) io.Reader { return stalledReader{ctx} }, nil, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				tp := newTestPool(work.Order, 1, 1)
				o := owner.New(owner.Options{
					Snapshot: tp.snapshot, Upstreams: streamingUpstreams{c.body}, ProbeInterval: 500 * time.Millisecond,
					Topology: &settings.Topology{Services: []settings.Service{{Name: "s", Kind: work.Order, Pools: []settings.Pool{
						{Zone: "z1", Upstreams: []settings.Upstream{{Name: "u1", Slots: 1}}},
					}}}},
				})
				resp := o.Serve(t.Context(), tp.request(2*time.Second))
				g.Expect(resp.Outcome).To(gomega.Equal(work.Run))
				<-time.After(100 * time.Millisecond)
				g.Expect(o.InFlight(tp.pool)).To(gomega.Equal(1))
				if c.finish != nil {
					g.Expect(c.finish(resp.Body) != nil).To(gomega.Equal(c.err))
				} else {
					<-time.After(tp.policy.DispatchTimeout)
				}
				// The slot of a response that was cut off stays occupied for
				// cancelGrace, so that the upstream can notice.
				if c.err {
					g.Expect(o.InFlight(tp.pool)).To(gomega.Equal(1))
				}
				<-time.After(100 * time.Millisecond)
				synctest.Wait()
				g.Expect(o.InFlight(tp.pool)).To(gomega.BeZero())
			})
		})
	}
}

func readAll(r io.ReadCloser) error {
	_, err := io.Copy(io.Discard, r)
	return err
}
