package gateway_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/deployment"
	"sycamoreledge.example/internal/exchange"
	"sycamoreledge.example/internal/lab/endless"
	"sycamoreledge.example/internal/steering"
	"sycamoreledge.example/internal/work"
)

// connect opens a connection of a caller and writes a request or its beginning.
func (b *bench) connect(t *testing.T, text string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(b.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	return conn
}

func (dialect) Address(http.Header, string, time.Duration) {}
func (dialect) Answer(_ int, h http.Header) exchange.Verdict {
	return exchange.Verdict{RequestID: h.Get("Id")}
}

// TestCallerLeavesABodyWithoutEnd has callers of each kind leave while an upstream's
// body is being passed on to them.
func TestCallerLeavesABodyWithoutEnd(t *testing.T) {
	for _, method := range []string{"GET /lookup/1", "POST /order/1"} {
		for _, c := range endless.Bodies("Id: q1\r\n") {
			t.Run(method+" "+c.Name, func(t *testing.T) {
				g := gomega.NewWithT(t)
				server, err := endless.New(c)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				defer func() { _ = server.Close() }()
				b := newBench(t)
				b.gate.Sender = exchange.New(dialect{})
				place := deployment.Place{Zone: "z", Region: "r"}
				for _, id := range []string{"u1", "u2", "u3", "u4"} {
					b.core.SetUpstream(time.Now(), steering.Upstream{
						ID: id, Incarnation: 2, Service: "s", Address: server.Addr().String(), Place: place, Slots: 4,
					})
				}
				conn := b.connect(t, method+" HTTP/1.1\r\nHost: h\r\nId: q1\r\nWait: 1m\r\nContent-Length: 0\r\n\r\n")
				// The first byte arrives once the instance holds as much as it will.
				_, err = io.CopyN(io.Discard, conn, 64<<10)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(conn.Close()).To(gomega.Succeed())
				g.Eventually(server.Open, time.Second).Should(gomega.BeZero(), "before the route's limit of 2 s")
				g.Eventually(b.gate.Busy).Should(gomega.BeZero())
			})
		}
	}
}

// TestRequestBodyThatDrips has a caller send its body one byte at a time.
func TestRequestBodyThatDrips(t *testing.T) {
	g := gomega.NewWithT(t)
	b := newBench(t, ran(200, "x"))
	conn := b.connect(t, "POST /order/1 HTTP/1.1\r\nHost: h\r\nId: q1\r\nWait: 300ms\r\nContent-Length: 900\r\n\r\n")
	go func() {
		for {
			if _, err := io.WriteString(conn, "x"); err != nil {
				return
			}
			<-time.After(20 * time.Millisecond)
		}
	}()
	g.Expect(conn.SetReadDeadline(time.Now().Add(5 * time.Second))).To(gomega.Succeed())
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusRequestTimeout))
	g.Expect(resp.Close).To(gomega.BeTrue())
	g.Expect(b.sender.attempts).To(gomega.BeEmpty(), "not run, and never will be")
}

// TestLongAnswersShareTheMemoryOfBodies holds no more for answers than there is.
func TestLongAnswersShareTheMemoryOfBodies(t *testing.T) {
	g := gomega.NewWithT(t)
	b := newBench(t, ran(200, "x"))
	b.gate.BodyMemory = 1000
	_, _ = b.call(t, http.MethodPost, "/order/1", strings.Repeat("x", 400))
	attempt := b.sender.attempts[0]
	g.Expect(attempt.Reserve(100)).To(gomega.BeFalse(), "the request is over")

	b.sender.block = true
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = b.call(t, http.MethodPost, "/order/2", strings.Repeat("x", 400))
	}()
	g.Eventually(b.gate.Busy).Should(gomega.Equal(int64(1)))
	g.Eventually(func() int { b.sender.mu.Lock(); defer b.sender.mu.Unlock(); return len(b.sender.attempts) }).Should(gomega.Equal(2))
	second := b.sender.attempts[1]
	g.Expect(second.Reserve(500)).To(gomega.BeTrue())
	g.Expect(second.Reserve(500)).To(gomega.BeFalse(), "the body of the request counts too")
	<-done
}

// TestUpstreamWithoutEndIsLeftAlone asks an upstream whose answers are no answers
// only a few times, also while its other answers are sound.
func TestUpstreamWithoutEndIsLeftAlone(t *testing.T) {
	g := gomega.NewWithT(t)
	overlong := exchange.Result{Outcome: work.Unknown, Reason: work.ReasonUpstreamOverlong}
	b := newBench(t, overlong, ran(200, "x"))
	_, _ = b.call(t, http.MethodPost, "/order/1", "x")
	bad := b.sender.attempts[0].Upstream
	for range 20 {
		_, _ = b.call(t, http.MethodPost, "/order/1", "x")
	}
	for _, a := range b.sender.attempts[1:] {
		g.Expect(a.Upstream).NotTo(gomega.Equal(bad))
	}
	// A body that never ends is noticed after it was taken for an answer.
	last := b.sender.attempts[len(b.sender.attempts)-1]
	last.BrokenOff()
	before := len(b.sender.attempts)
	for range 20 {
		_, _ = b.call(t, http.MethodPost, "/order/1", "x")
	}
	for _, a := range b.sender.attempts[before:] {
		g.Expect(a.Upstream).NotTo(gomega.Equal(last.Upstream))
	}
}
