package peer_test

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/peer"
	"sycamoreledge.example/internal/work"
)

// loadWorkers is the number of concurrent requests.
const loadWorkers = 8

// TestOutcomesMatchRunsUnderLoadWithCuts sends requests while the path between the
// nodes is cut and healed and the server is restarted. It compares the outcomes with
// the number of times that the handler ran each request.
func TestOutcomesMatchRunsUnderLoadWithCuts(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	f := makeQUICFixture(t)
	executed := &runCounter{runs: make(map[string]int)}
	// After a value was sent to blockNext, the handler blocks in the next request,
	// sends to blocked and continues after a value was sent to release.
	blockNext, blocked, release := make(chan struct{}, 1), make(chan struct{}), make(chan struct{})
	echoHandler := handler{serve: func(ctx context.Context, role peer.Role, req *work.Request) *work.Response {
		executed.add(req.ID)
		select {
		case <-blockNext:
			blocked <- struct{}{}
			<-release
		default:
		}
		return echo(ctx, role, req)
	}}
	f.start("b", 1, echoHandler)
	config := f.config("a", 1, handler{})
	config.Timing = peer.Timing{Idle: shortTimeout, Dial: shortTimeout}
	a := f.startWith(config)

	ctx, cancel := context.WithCancel(context.Background())
	results := make(chan loadResult)
	var workers sync.WaitGroup
	for worker := range loadWorkers {
		workers.Go(func() { loadWorker(ctx, a, worker, results) })
	}
	go func() {
		workers.Wait()
		close(results)
	}()
	expectConsistent := func(r loadResult) {
		g.Expect(r.failure).To(gomega.BeEmpty(), r.id)
		g.Expect(executed.consistent(r)).To(gomega.BeTrue(), "%+v", r)
	}
	phases := []struct {
		disturb func()
		until   work.Outcome
		count   int
	}{
		{disturb: func() {}, until: work.Run, count: 2 * loadWorkers},
		{disturb: func() { cutBoth(f, "a", "b") }, until: work.NotRun, count: 2 * loadWorkers},
		{disturb: func() { f.heal("a", "b") }, until: work.Run, count: 2 * loadWorkers},
		// Only requests in flight at the cut get the outcome unknown. One is
		// blocked in the handler for that, since on a machine under load the
		// connections may already be lost when the cut begins.
		{disturb: func() {
			blockNext <- struct{}{}
			for requestBlocked := false; !requestBlocked; {
				select {
				case <-blocked:
					requestBlocked = true
				case r := <-results:
					expectConsistent(r)
				}
			}
			f.cutOneWay("b", "a")
			release <- struct{}{}
		}, until: work.Unknown, count: 1},
		{disturb: func() { f.heal("a", "b") }, until: work.Run, count: 2 * loadWorkers},
		{disturb: func() { f.kill("b") }, until: work.NotRun, count: 2 * loadWorkers},
		{disturb: func() { f.start("b", 2, echoHandler) }, until: work.Run, count: 2 * loadWorkers},
	}
	for _, phase := range phases {
		phase.disturb()
		for seen := 0; seen < phase.count; {
			r := <-results
			expectConsistent(r)
			if r.outcome == phase.until {
				seen++
			}
		}
	}
	cancel()
	for r := range results {
		expectConsistent(r)
	}
}

type loadResult struct {
	id      string
	outcome work.Outcome
	failure string
}

// runCounter counts the runs of each request in the handler.
type runCounter struct {
	mu   sync.Mutex
	runs map[string]int
}

func (c *runCounter) add(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[id]++
}

// consistent reports whether the outcome agrees with the number of runs.
func (c *runCounter) consistent(r loadResult) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch r.outcome {
	case work.Run:
		return c.runs[r.id] == 1
	case work.NotRun:
		return c.runs[r.id] == 0
	default:
		return c.runs[r.id] <= 1
	}
}

// loadWorker sends sequential requests until the context ends.
func loadWorker(ctx context.Context, a peer.Transport, worker int, results chan<- loadResult) {
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("%d-%d", worker, i)
		want := strings.Repeat(id+" ", 1+i%5000)
		req := lookupRequest(opaqueReader{strings.NewReader(want)}, -1)
		req.ID = id
		if i%3 == 0 {
			req.Kind = work.Upload
		}
		resp := a.Do(context.Background(), "b", peer.RolePool, req)
		r := loadResult{id: id, outcome: resp.Outcome}
		if resp.Body != nil {
			data, err := io.ReadAll(resp.Body)
			resp.Body.Close()
			if err == nil && string(data) != want {
				r.failure = "complete response body with wrong content"
			}
		}
		results <- r
	}
}
