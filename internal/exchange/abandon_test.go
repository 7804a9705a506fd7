package exchange_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/exchange"
	"sycamoreledge.example/internal/work"
)

// stalled is an upstream whose connection takes only a few bytes until it is told
// to read: what is sent to it waits in the sender's buffers, as on a cut link.
func stalled(t *testing.T, read <-chan struct{}) (address string, arrived <-chan arrival) {
	t.Helper()
	small := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10)
		})
	}}
	ln, err := small.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	arrivals := make(chan arrival, 1)
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		<-read
		_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
		n, err := io.Copy(io.Discard, conn)
		arrivals <- arrival{n, err}
	}()
	return ln.Addr().String(), arrivals
}

type arrival struct {
	bytes int64
	err   error
}

// TestAbandonedRequestsDoNotArriveLater plays a link that holds back what is sent
// and delivers it once the attempt is over.
func TestAbandonedRequestsDoNotArriveLater(t *testing.T) {
	body := []byte(strings.Repeat("x", 128<<10))
	cases := []struct {
		name   string
		body   []byte
		ctx    func(context.Context) (context.Context, context.CancelFunc)
		reason work.Reason
	}{
		{"short, out of time", nil, context.WithCancel, work.ReasonUpstreamTimeout},
		{"long, out of time", body, context.WithCancel, work.ReasonUpstreamTimeout},
		{"long, canceled", body, func(ctx context.Context) (context.Context, context.CancelFunc) {
			ctx, cancel := context.WithCancel(ctx)
			time.AfterFunc(100*time.Millisecond, cancel)
			return ctx, cancel
		}, work.ReasonCanceled},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			read := make(chan struct{})
			address, arrived := stalled(t, read)
			ctx, cancel := c.ctx(t.Context())
			defer cancel()
			a := (&raw{address: address}).attempt("a")
			a.Method, a.Body = http.MethodPost, c.body
			a.Deadline = time.Now().Add(300 * time.Millisecond)
			r := exchange.New(dialect{}).Do(ctx, a)
			g.Expect(r.Outcome).To(gomega.Equal(work.Unknown), "%v", r.Err)
			g.Expect(r.Reason).To(gomega.Equal(c.reason), "%v", r.Err)
			close(read)
			got := <-arrived
			g.Expect(got.err).To(gomega.MatchError(syscall.ECONNRESET), "the upstream must see that the request was given up")
			if len(c.body) > 0 {
				g.Expect(got.bytes).To(gomega.BeNumerically("<", len(c.body)))
			}
		})
	}
}
