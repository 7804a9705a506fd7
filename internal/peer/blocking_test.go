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

// endless is a body that never ends, and counts what was taken of it.
type endless struct{ taken chan<- int }

func (e endless) Read(p []byte) (int, error) {
	clear(p)
	e.taken <- len(p)
	return len(p), nil
}

// TestUnreadUploadsDoNotHoldUpLookups fills the flow control windows with
// uploads of which handlers read the first byte only, and then sends lookups.
func TestUnreadUploadsDoNotHoldUpLookups(t *testing.T) {
	// Together the uploads exceed the window of a connection, 16 MiB, with the
	// 256 KiB that each stream may send unread.
	const uploads, enough = 100, 16 << 20
	g := gomega.NewWithT(t)
	f := makeQUICFixture(t)
	f.start("b", 1, handler{serve: func(ctx context.Context, role peer.Role, req *work.Request) *work.Response {
		if req.Kind == work.Upload {
			// Without a read the body would not be sent at all.
			req.Body.Read(make([]byte, 1)) //nolint:errcheck // the rest is never read
			<-ctx.Done()
			return work.Uncertain(work.ReasonCanceled)
		}
		return echo(ctx, role, req)
	}})
	a := f.start("a", 1, handler{})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	taken, ended := make(chan int), make(chan work.Outcome, uploads)
	for range uploads {
		req := lookup(io.MultiReader(endless{taken}), -1)
		req.Kind, req.Deadline = work.Upload, time.Now().Add(time.Hour)
		go func() { ended <- a.Do(ctx, "b", peer.RolePool, req).Outcome }()
	}
	for total := 0; total < enough; {
		total += <-taken
	}
	go func() {
		for range taken {
		}
	}()
	for range 20 {
		body := strings.Repeat("x", 10_000)
		expectBody(g, a.Do(context.Background(), "b", peer.RolePool, lookup(strings.NewReader(body), -1)), body)
	}
	cancel()
	for range uploads {
		g.Expect(<-ended).To(gomega.Equal(work.Unknown))
	}
}
