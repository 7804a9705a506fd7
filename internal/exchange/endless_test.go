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

// fields identify the attempt of these tests.
const fields = "Id: a\r\n"

// strangers are answers to others without end.
var strangers = []endless.Answer{
	{Name: "answers to others", Piece: "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1\r\n\r\nx"},
	{Name: "answer to another", Beginning: "HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n", Piece: "4\r\nxxxx\r\n"},
}

func newEndless(t *testing.T, a endless.Answer) *endless.Server {
	t.Helper()
	server, err := endless.New(a)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close() })
	return server
}

func attemptAt(server *endless.Server, limit time.Duration) *exchange.Attempt {
	a := (&raw{address: server.Addr().String()}).attempt("a")
	a.Deadline = time.Now().Add(limit)
	return a
}

// TestEndlessHeads has upstreams send bytes without end where a header or framing
// should end: the attempt is over long before its deadline and may have run.
func TestEndlessHeads(t *testing.T) {
	for _, c := range slices.Concat(endless.Headers, endless.Framing(fields), strangers) {
		t.Run(c.Name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			u := newEndless(t, c)
			before := allocated()
			began := time.Now()
			r := exchange.New(dialect{}).Do(t.Context(), attemptAt(u, 30*time.Second))
			g.Expect(r.Outcome).To(gomega.Equal(work.Unknown), "%v", r.Err)
			g.Expect(r.Reason).To(gomega.BeElementOf(work.ReasonUpstreamOverlong, work.ReasonUpstreamBroken))
			g.Expect(time.Since(began)).To(gomega.BeNumerically("<", 10*time.Second), "bounded by bytes, not by the deadline")
			g.Expect(allocated()-before).To(gomega.BeNumerically("<", 8<<20), "allocated in all")
			g.Eventually(u.Open).Should(gomega.BeZero(), "the connection must be closed")
		})
	}
}

// TestEndlessAnswersThatDrip has the same bytes arrive one piece at a time: the
// deadline ends the attempt.
func TestEndlessAnswersThatDrip(t *testing.T) {
	for _, c := range slices.Concat(endless.Headers, endless.Framing(fields), endless.Bodies(fields)) {
		c.Pause = 20 * time.Millisecond
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			a := attemptAt(newEndless(t, c), 400*time.Millisecond)
			began := time.Now()
			r := exchange.New(dialect{}).Do(t.Context(), a)
			g.Expect(r.Outcome).To(gomega.Equal(work.Unknown), "%v", r.Err)
			g.Expect(time.Since(began)).To(gomega.BeNumerically("<", 5*time.Second))
		})
	}
}

// TestEndlessBodies has a body go on until the instance closes: it is passed on up
// to a bound, and never looks complete.
func TestEndlessBodies(t *testing.T) {
	for _, c := range endless.Bodies(fields) {
		t.Run(c.Name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			a := attemptAt(newEndless(t, c), time.Minute)
			told := 0
			a.BrokenOff = func() { told++ }
			r := exchange.New(dialect{}).Do(t.Context(), a)
			g.Expect(r.Rest).NotTo(gomega.BeNil(), "%v", r.Err)
			n, err := io.Copy(io.Discard, r.Rest)
			g.Expect(err).To(gomega.HaveOccurred(), "a part must not look like the whole")
			g.Expect(exchange.IsBroken(err)).To(gomega.BeTrue())
			g.Expect(told).To(gomega.Equal(1))
			g.Expect(int64(len(r.Body)) + n).To(gomega.BeNumerically("<=", exchange.MaxAnswer))
			g.Expect(r.Rest.Close()).To(gomega.Succeed())
		})
	}
}

// smallest is the memory of the smallest instance of the users' deployments, in
// bytes.
const smallest = 184 << 20

// TestEndlessAnswersInMemory plays three hundred endless answers at once, half of
// them bodies, on an instance with little memory.
func TestEndlessAnswersInMemory(t *testing.T) {
	g := gomega.NewWithT(t)
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(smallest * 7 / 10))
	var upstreams []*endless.Server
	for _, c := range slices.Concat(endless.Headers, endless.Bodies(fields), endless.Bodies(fields)) {
		upstreams = append(upstreams, newEndless(t, c))
	}
	var held atomic.Int64
	reserve := func(n int64) bool {
		if held.Add(n) > smallest/4 {
			held.Add(-n)
			return false
		}
		return true
	}
	client := exchange.New(dialect{})
	runtime.GC()
	before := inUse()
	var most atomic.Int64
	watching := make(chan struct{})
	go func() {
		ticker := time.NewTicker(20 * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-watching:
				return
			case <-ticker.C:
				most.Store(max(most.Load(), inUse()-before))
			}
		}
	}()
	var all sync.WaitGroup
	for i := range 300 {
		all.Go(func() {
			a := attemptAt(upstreams[i%len(upstreams)], 2*time.Second)
			a.Reserve = reserve
			r := client.Do(t.Context(), a)
			if r.Rest != nil {
				// The caller reads nothing for a while.
				<-time.After(time.Until(a.Deadline))
				_ = r.Rest.Close()
			}
			runtime.KeepAlive(r.Body)
		})
	}
	all.Wait()
	close(watching)
	g.Expect(most.Load()).To(gomega.BeNumerically("<", smallest*7/10), "bytes of heap")
}

// TestLongAnswersWithoutMemoryArePassedOn has no memory left for a long answer.
func TestLongAnswersWithoutMemoryArePassedOn(t *testing.T) {
	g := gomega.NewWithT(t)
	long := strings.Repeat("x", 256<<10)
	u := newRaw(t, say(whole("{id}", long), true))
	a := u.attempt("a")
	a.Reserve = func(int64) bool { return false }
	r := exchange.New(dialect{}).Do(t.Context(), a)
	g.Expect(r.Outcome).To(gomega.Equal(work.Run), "%v", r.Err)
	g.Expect(len(r.Body)).To(gomega.BeNumerically("<", len(long)))
	rest, err := io.ReadAll(r.Rest)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(r.Body) + string(rest)).To(gomega.Equal(long))
	g.Expect(r.Rest.Close()).To(gomega.Succeed())
}

func allocated() int64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.TotalAlloc)
}

func inUse() int64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse)
}
