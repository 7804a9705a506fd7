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

// newStalledUpstream starts an upstream with a small receive buffer that reads
// nothing until startReading is closed. Until then the request stays in the
// sender's buffers, as during a network partition.
func newStalledUpstream(t *testing.T, startReading <-chan struct{}) (address string, received <-chan receipt) {
	t.Helper()
	listenConfig := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10)
		})
	}}
	ln, err := listenConfig.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	results := make(chan receipt, 1)
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		<-startReading
		_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
		n, err := io.Copy(io.Discard, conn)
		results <- receipt{n, err}
	}()
	return ln.Addr().String(), results
}

// receipt is what an upstream received on its connection.
type receipt struct {
	bytes int64
	err   error
}

// TestAbandonedRequestsAreNotDeliveredLater checks that ending an attempt resets
// its connection, so that a request held back by a network partition is not
// delivered after the partition heals.
func TestAbandonedRequestsAreNotDeliveredLater(t *testing.T) {
	body := []byte(strings.Repeat("x", 128<<10))
	cases := []struct {
		name   string
		body   []byte
		ctx    func(context.Context) (context.Context, context.CancelFunc)
		reason work.Reason
	}{
		{"short body, deadline exceeded", nil, context.WithCancel, work.ReasonUpstreamTimeout},
		{"long body, deadline exceeded", body, context.WithCancel, work.ReasonUpstreamTimeout},
		{"long body, canceled", body, func(ctx context.Context) (context.Context, context.CancelFunc) {
			ctx, cancel := context.WithCancel(ctx)
			time.AfterFunc(100*time.Millisecond, cancel)
			return ctx, cancel
		}, work.ReasonCanceled},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			startReading := make(chan struct{})
			address, received := newStalledUpstream(t, startReading)
			ctx, cancel := c.ctx(t.Context())
			defer cancel()
			a := (&rawUpstream{address: address}).attempt("a")
			a.Method, a.Body = http.MethodPost, c.body
			a.Deadline = time.Now().Add(300 * time.Millisecond)
			r := exchange.New(dialect{}).Do(ctx, a)
			g.Expect(r.Outcome).To(gomega.Equal(work.Unknown), "%v", r.Err)
			g.Expect(r.Reason).To(gomega.Equal(c.reason), "%v", r.Err)
			close(startReading)
			got := <-received
			g.Expect(got.err).To(gomega.MatchError(syscall.ECONNRESET), "the upstream must see a reset connection")
			if len(c.body) > 0 {
				g.Expect(got.bytes).To(gomega.BeNumerically("<", len(c.body)))
			}
		})
	}
}
