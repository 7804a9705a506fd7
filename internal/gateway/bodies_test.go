package gateway_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"testing/iotest"
	"time"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/deployment"
	"sycamoreledge.example/internal/exchange"
	"sycamoreledge.example/internal/lab/endless"
	"sycamoreledge.example/internal/steering"
	"sycamoreledge.example/internal/work"
)

// connect opens a connection to the gateway and writes a complete or partial request.
func (f *fixture) connect(t *testing.T, text string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	return conn
}

func (dialect) SetTarget(http.Header, string, time.Duration) {}
func (dialect) ParseResponse(_ int, h http.Header) exchange.ResponseInfo {
	return exchange.ResponseInfo{RequestID: h.Get("Id"), Signed: h.Get("Signature") != ""}
}

// TestCallerDisconnectsFromEndlessResponse guards against reading on from an upstream after the
// caller has disconnected while an endless response body is streamed to it.
func TestCallerDisconnectsFromEndlessResponse(t *testing.T) {
	for _, method := range []string{"GET /lookup/1", "POST /order/1"} {
		for _, body := range endless.Bodies("Id: q1\r\nSignature: s\r\n") {
			t.Run(method+" "+body.Name, func(t *testing.T) {
				g := gomega.NewWithT(t)
				server, err := endless.New(body)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				defer func() { _ = server.Close() }()
				f := newFixture(t)
				f.gateway.Sender = exchange.New(dialect{})
				place := deployment.Place{Zone: "z", Region: "r"}
				for _, id := range []string{"u1", "u2", "u3", "u4"} {
					f.core.SetUpstream(time.Now(), steering.Upstream{
						ID: id, Incarnation: 2, Service: "s", Address: server.Addr().String(), Place: place, Slots: 4,
					})
				}
				conn := f.connect(t, method+" HTTP/1.1\r\nHost: h\r\nId: q1\r\nWait: 1m\r\nContent-Length: 0\r\n\r\n")
				// Streaming begins once the gateway has buffered as much as it may.
				_, err = io.CopyN(io.Discard, conn, 64<<10)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(conn.Close()).To(gomega.Succeed())
				g.Eventually(server.Open, time.Second).Should(gomega.BeZero(), "the upstream connection is closed before the route's timeout of 2 s")
				g.Eventually(f.gateway.InFlight).Should(gomega.BeZero())
			})
		}
	}
}

// TestTruncatedResponseToHTTP10Caller guards against a long response that the upstream breaks off
// appearing complete to a caller that takes the end of the connection for the end of the body.
func TestTruncatedResponseToHTTP10Caller(t *testing.T) {
	for _, broken := range []bool{true, false} {
		g := gomega.NewWithT(t)
		long := okResult(200, "begin ")
		rest := io.Reader(strings.NewReader(strings.Repeat("x", 100<<10)))
		if broken {
			rest = io.MultiReader(rest, iotest.ErrReader(io.ErrUnexpectedEOF))
		}
		long.UnreadBody = bodyReader{rest}
		f := newFixture(t, long)
		conn := f.connect(t, "GET /lookup/1 HTTP/1.0\r\nHost: h\r\nId: q1\r\n\r\n")
		_, err := io.ReadAll(conn)
		g.Expect(errors.Is(err, syscall.ECONNRESET)).To(gomega.Equal(broken), "%v", err)
	}
}

// TestSlowRequestBodyTimesOut sends a body one byte at a time, too slowly for the
// timeout.
func TestSlowRequestBodyTimesOut(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFixture(t, okResult(200, "x"))
	conn := f.connect(t, "POST /order/1 HTTP/1.1\r\nHost: h\r\nId: q1\r\nWait: 300ms\r\nContent-Length: 900\r\n\r\n")
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
	g.Expect(f.sender.attempts).To(gomega.BeEmpty(), "no attempt may be made after the timeout")
}

// TestResponsesShareTheBodyMemoryLimit checks that request and response bodies count
// against the same limit, and that an ended request cannot reserve memory.
func TestResponsesShareTheBodyMemoryLimit(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFixture(t, okResult(200, "x"))
	f.gateway.MaxBufferedBytes = 1000
	_, _ = f.call(t, http.MethodPost, "/order/1", strings.Repeat("x", 400))
	attempt := f.sender.attempts[0]
	g.Expect(attempt.Reserve(100)).To(gomega.BeFalse(), "no memory is reserved after the request has ended")

	f.sender.block = true
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = f.call(t, http.MethodPost, "/order/2", strings.Repeat("x", 400))
	}()
	g.Eventually(f.gateway.InFlight).Should(gomega.Equal(int64(1)))
	g.Eventually(func() int { f.sender.mu.Lock(); defer f.sender.mu.Unlock(); return len(f.sender.attempts) }).Should(gomega.Equal(2))
	second := f.sender.attempts[1]
	g.Expect(second.Reserve(500)).To(gomega.BeTrue())
	g.Expect(second.Reserve(500)).To(gomega.BeFalse(), "the request body counts against the limit too")
	<-done
}

// TestUpstreamWithEndlessResponsesIsAvoided checks that an upstream that sent an
// overlong or endless response is not chosen for the next requests.
func TestUpstreamWithEndlessResponsesIsAvoided(t *testing.T) {
	g := gomega.NewWithT(t)
	overlong := exchange.Result{Outcome: work.Unknown, Reason: work.ReasonUpstreamOverlong}
	f := newFixture(t, overlong, okResult(200, "x"))
	_, _ = f.call(t, http.MethodPost, "/order/1", "x")
	bad := f.sender.attempts[0].Upstream
	for range 20 {
		_, _ = f.call(t, http.MethodPost, "/order/1", "x")
	}
	for _, a := range f.sender.attempts[1:] {
		g.Expect(a.Upstream).NotTo(gomega.Equal(bad))
	}
	// An endless body is detected only after it was counted as a successful response.
	last := f.sender.attempts[len(f.sender.attempts)-1]
	last.OnTruncated()
	before := len(f.sender.attempts)
	for range 20 {
		_, _ = f.call(t, http.MethodPost, "/order/1", "x")
	}
	for _, a := range f.sender.attempts[before:] {
		g.Expect(a.Upstream).NotTo(gomega.Equal(last.Upstream))
	}
}
