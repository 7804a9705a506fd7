package exchange_test

import (
	"io"
	"runtime"
	"runtime/debug"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/exchange"
	"sycamoreledge.example/internal/lab/endless"
	"sycamoreledge.example/internal/work"
)

// attemptHeader carries the ID of the attempt that the tests send, and a signature.
const attemptHeader = "Id: a\r\nSignature: s\r\n"

// responsesToOthers are endless responses with the IDs of other requests.
var responsesToOthers = []endless.Answer{
	{Name: "responses to other requests", Piece: "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1\r\n\r\nx"},
	{Name: "response to another request", Beginning: "HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n", Piece: "4\r\nxxxx\r\n"},
}

func newEndlessServer(t *testing.T, a endless.Answer) *endless.Server {
	t.Helper()
	server, err := endless.New(a)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close() })
	return server
}

func attemptAt(server *endless.Server, limit time.Duration) *exchange.Attempt {
	a := (&rawUpstream{address: server.Addr().String()}).attempt("a")
	a.Deadline = time.Now().Add(limit)
	return a
}

// TestEndlessHeaders checks that an attempt whose response header or framing never
// ends fails at a size limit, long before its deadline, with an unknown outcome.
func TestEndlessHeaders(t *testing.T) {
	for _, c := range slices.Concat(endless.Headers, endless.Framing(attemptHeader), responsesToOthers) {
		t.Run(c.Name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			u := newEndlessServer(t, c)
			before := totalAllocated()
			began := time.Now()
			r := exchange.New(dialect{}).Do(t.Context(), attemptAt(u, 30*time.Second))
			g.Expect(r.Outcome).To(gomega.Equal(work.Unknown), "%v", r.Err)
			g.Expect(r.Reason).To(gomega.BeElementOf(work.ReasonUpstreamOverlong, work.ReasonUpstreamBroken))
			g.Expect(time.Since(began)).To(gomega.BeNumerically("<", 10*time.Second), "ended by the size limit, not by the deadline")
			g.Expect(totalAllocated()-before).To(gomega.BeNumerically("<", 8<<20), "bytes allocated")
			g.Eventually(u.Open).Should(gomega.BeZero(), "the connection must be closed")
		})
	}
}

// TestSlowEndlessResponses checks that the deadline ends an attempt when an endless
// response arrives slowly, one piece at a time.
func TestSlowEndlessResponses(t *testing.T) {
	for _, c := range slices.Concat(endless.Headers, endless.Framing(attemptHeader), endless.Bodies(attemptHeader)) {
		c.Pause = 20 * time.Millisecond
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			a := attemptAt(newEndlessServer(t, c), 400*time.Millisecond)
			began := time.Now()
			r := exchange.New(dialect{}).Do(t.Context(), a)
			g.Expect(r.Outcome).To(gomega.Equal(work.Unknown), "%v", r.Err)
			g.Expect(time.Since(began)).To(gomega.BeNumerically("<", 5*time.Second))
		})
	}
}

// TestEndlessBodies checks that an endless body is streamed up to the size limit
// and then fails, so that it never looks complete.
func TestEndlessBodies(t *testing.T) {
	for _, c := range endless.Bodies(attemptHeader) {
		t.Run(c.Name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			a := attemptAt(newEndlessServer(t, c), time.Minute)
			truncations := 0
			a.OnTruncated = func() { truncations++ }
			r := exchange.New(dialect{}).Do(t.Context(), a)
			g.Expect(r.UnreadBody).NotTo(gomega.BeNil(), "%v", r.Err)
			n, err := io.Copy(io.Discard, r.UnreadBody)
			g.Expect(err).To(gomega.HaveOccurred(), "a truncated body must not look complete")
			g.Expect(exchange.IsReadError(err)).To(gomega.BeTrue())
			g.Expect(truncations).To(gomega.Equal(1))
			g.Expect(int64(len(r.Body)) + n).To(gomega.BeNumerically("<=", exchange.MaxResponseBytes))
			g.Expect(r.UnreadBody.Close()).To(gomega.Succeed())
		})
	}
}

// smallestInstanceBytes is the memory of the smallest instance in the users'
// deployments.
const smallestInstanceBytes = 184 << 20

// TestEndlessResponsesStayWithinMemory receives three hundred endless responses at
// once, half of them with an endless body, on an instance with little memory.
func TestEndlessResponsesStayWithinMemory(t *testing.T) {
	g := gomega.NewWithT(t)
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(smallestInstanceBytes * 7 / 10))
	var upstreams []*endless.Server
	for _, c := range slices.Concat(endless.Headers, endless.Bodies(attemptHeader), endless.Bodies(attemptHeader)) {
		upstreams = append(upstreams, newEndlessServer(t, c))
	}
	var held atomic.Int64
	reserve := func(n int64) bool {
		if held.Add(n) > smallestInstanceBytes/4 {
			held.Add(-n)
			return false
		}
		return true
	}
	client := exchange.New(dialect{})
	runtime.GC()
	before := heapInUse()
	var peak atomic.Int64
	done := make(chan struct{})
	go func() {
		ticker := time.NewTicker(20 * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				peak.Store(max(peak.Load(), heapInUse()-before))
			}
		}
	}()
	var attempts sync.WaitGroup
	for i := range 300 {
		attempts.Go(func() {
			a := attemptAt(upstreams[i%len(upstreams)], 2*time.Second)
			a.Reserve = reserve
			r := client.Do(t.Context(), a)
			if r.UnreadBody != nil {
				// The caller reads nothing until the deadline.
				<-time.After(time.Until(a.Deadline))
				_ = r.UnreadBody.Close()
			}
			runtime.KeepAlive(r.Body)
		})
	}
	attempts.Wait()
	close(done)
	g.Expect(peak.Load()).To(gomega.BeNumerically("<", smallestInstanceBytes*7/10), "peak heap growth in bytes")
}

// TestLongResponsesAreStreamedWithoutMemory denies every memory reservation.
func TestLongResponsesAreStreamedWithoutMemory(t *testing.T) {
	g := gomega.NewWithT(t)
	long := strings.Repeat("x", 256<<10)
	u := newRawUpstream(t, respondWith(response("{id}", long), true))
	a := u.attempt("a")
	a.Reserve = func(int64) bool { return false }
	r := exchange.New(dialect{}).Do(t.Context(), a)
	g.Expect(r.Outcome).To(gomega.Equal(work.Run), "%v", r.Err)
	g.Expect(len(r.Body)).To(gomega.BeNumerically("<", len(long)))
	rest, err := io.ReadAll(r.UnreadBody)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(r.Body) + string(rest)).To(gomega.Equal(long))
	g.Expect(r.UnreadBody.Close()).To(gomega.Succeed())
}

func totalAllocated() int64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.TotalAlloc)
}

func heapInUse() int64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse)
}
