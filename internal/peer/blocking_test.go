package peer_test

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/peer"
	"sycamoreledge.example/internal/work"
)

// endlessBody is a body without an end. It sends the size of each read to readSizes.
type endlessBody struct{ readSizes chan<- int }

func (e endlessBody) Read(p []byte) (int, error) {
	clear(p)
	e.readSizes <- len(p)
	return len(p), nil
}

// TestUnreadUploadsDoNotBlockLookups fills the flow control windows with uploads of
// which the handlers read only the first byte, and then sends lookups. If both
// shared a connection, the lookups would wait for its flow control window.
func TestUnreadUploadsDoNotBlockLookups(t *testing.T) {
	// Each stream may send 256 KiB unread, so that together the uploads exceed the
	// connection's window of 16 MiB.
	const uploads, connectionWindow = 100, 16 << 20
	g := gomega.NewWithT(t)
	f := makeQUICFixture(t)
	f.start("b", 1, handler{serve: func(ctx context.Context, role peer.Role, req *work.Request) *work.Response {
		if req.Kind == work.Upload {
			// The body is sent only after the first read.
			req.Body.Read(make([]byte, 1)) //nolint:errcheck // the rest is never read
			<-ctx.Done()
			return work.UnknownOutcome(work.ReasonCanceled)
		}
		return echo(ctx, role, req)
	}})
	a := f.start("a", 1, handler{})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	readSizes, outcomes := make(chan int), make(chan work.Outcome, uploads)
	for range uploads {
		req := lookupRequest(io.MultiReader(endlessBody{readSizes}), -1)
		req.Kind, req.Deadline = work.Upload, time.Now().Add(time.Hour)
		go func() { outcomes <- a.Do(ctx, "b", peer.RolePool, req).Outcome }()
	}
	for total := 0; total < connectionWindow; {
		total += <-readSizes
	}
	go func() {
		for range readSizes {
		}
	}()
	for range 20 {
		body := strings.Repeat("x", 10_000)
		expectBody(g, a.Do(context.Background(), "b", peer.RolePool, lookupRequest(strings.NewReader(body), -1)), body)
	}
	cancel()
	for range uploads {
		g.Expect(<-outcomes).To(gomega.Equal(work.Unknown))
	}
}
