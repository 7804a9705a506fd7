package upstream_test

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/upstream"
	"sycamoreledge.example/internal/work"
)

const (
	// testTimeout is only reached by tests that hang.
	testTimeout = 30 * time.Second
	// shortTimeout is for tests that wait until it expires.
	shortTimeout = 2 * time.Second
)

// responder responds to one request on a raw connection. It returns false to
// close the connection.
type responder func(conn net.Conn, req *http.Request) bool

// newRawUpstream starts an upstream that calls respond for each request, and counts the requests.
func newRawUpstream(t *testing.T, respond responder) (upstream.Target, *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	var requests atomic.Int64
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveConn(conn, &requests, respond)
		}
	}()
	return upstream.Target{Name: "u1", Address: listener.Addr().String(), Slots: 3}, &requests
}

func serveConn(conn net.Conn, requests *atomic.Int64, respond responder) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err = io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		requests.Add(1)
		if !respond(conn, req) {
			return
		}
	}
}

func respondWith(format string, args ...any) responder {
	return func(conn net.Conn, req *http.Request) bool {
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n", req.Header.Get("Request-Id"))
		fmt.Fprint(conn, head+fmt.Sprintf(format, args...))
		return false
	}
}

func encodedDigest(s string) string {
	d := sha256.Sum256([]byte(s))
	return base64.StdEncoding.EncodeToString(d[:])
}

func newRequest(kind work.Kind, method, body string) *work.Request {
	return &work.Request{
		ID:       strings.Repeat("ab", 16),
		Kind:     kind,
		Method:   method,
		Path:     "/x",
		Header:   http.Header{},
		Length:   int64(len(body)),
		Deadline: time.Now().Add(testTimeout),
	}
}

func TestOutcomeOfEachFailurePoint(t *testing.T) {
	largeBody := strings.Repeat("x", 3<<20)
	neverRespond := func(net.Conn, *http.Request) bool { select {} }
	cases := []struct {
		name    string
		respond responder
		timeout time.Duration
		outcome work.Outcome
		reason  work.Reason
		silent  bool
		bodyErr bool
	}{
		{name: "complete response", respond: respondWith("Content-Length: 2\r\n\r\nok"), outcome: work.Run},
		{name: "no content", respond: func(c net.Conn, r *http.Request) bool {
			fmt.Fprintf(c, "HTTP/1.1 204 No Content\r\nRequest-Id: %s\r\n\r\n", r.Header.Get("Request-Id"))
			return true
		}, outcome: work.Run},
		{name: "digest matches", respond: respondWith("Content-Digest: sha-256=:%s:\r\nContent-Length: 2\r\n\r\nok", encodedDigest("ok")), outcome: work.Run},
		{name: "digest differs", respond: respondWith("Content-Digest: sha-256=:%s:\r\nContent-Length: 2\r\n\r\nno", encodedDigest("ok")), outcome: work.Unknown, reason: work.ReasonUpstreamBroken, silent: true},
		{name: "digest malformed", respond: respondWith("Content-Digest: sha-256=:!:\r\nContent-Length: 2\r\n\r\nok"), outcome: work.Unknown, reason: work.ReasonUpstreamBroken, silent: true},
		{name: "truncated body", respond: respondWith("Content-Length: 9\r\n\r\nok"), outcome: work.Unknown, reason: work.ReasonUpstreamBroken, silent: true},
		{name: "truncated chunk", respond: respondWith("Transfer-Encoding: chunked\r\n\r\n5\r\nok"), outcome: work.Unknown, reason: work.ReasonUpstreamBroken, silent: true},
		{name: "undetectable truncation", respond: respondWith("Connection: close\r\n\r\nok"), outcome: work.Unknown, reason: work.ReasonUpstreamBroken, silent: true},
		{name: "closed without a response", respond: func(net.Conn, *http.Request) bool { return false }, outcome: work.Unknown, reason: work.ReasonUpstreamBroken, silent: true},
		{name: "not HTTP", respond: func(c net.Conn, _ *http.Request) bool { fmt.Fprint(c, "what\r\n\r\n"); return false }, outcome: work.Unknown, reason: work.ReasonUpstreamBroken, silent: true},
		{name: "response to another request", respond: func(c net.Conn, _ *http.Request) bool {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 2\r\n\r\nok")
			return false
		}, outcome: work.Unknown, reason: work.ReasonUpstreamBroken, silent: true},
		{name: "shed", respond: func(c net.Conn, r *http.Request) bool {
			fmt.Fprintf(c, "HTTP/1.1 503 Busy\r\nRequest-Id: %s\r\nWork-Not-Run: true\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Request-Id"))
			return true
		}, outcome: work.NotRun, reason: work.ReasonUpstreamShed},
		{name: "not-run marker of another request", respond: func(c net.Conn, _ *http.Request) bool {
			fmt.Fprint(c, "HTTP/1.1 503 Busy\r\nWork-Not-Run: true\r\nContent-Length: 0\r\n\r\n")
			return true
		}, outcome: work.Unknown, reason: work.ReasonUpstreamBroken, silent: true},
		{name: "unavailable without the not-run marker", respond: func(c net.Conn, r *http.Request) bool {
			fmt.Fprintf(c, "HTTP/1.1 503 Busy\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Request-Id"))
			return true
		}, outcome: work.Run},
		{name: "never responds", respond: neverRespond, timeout: shortTimeout, outcome: work.Unknown, reason: work.ReasonUpstreamTimeout, silent: true},
		{name: "stalls within the body", respond: func(c net.Conn, r *http.Request) bool {
			respondWith("Content-Length: 9\r\n\r\nok")(c, r)
			return neverRespond(c, r)
		}, timeout: shortTimeout, outcome: work.Unknown, reason: work.ReasonUpstreamTimeout, silent: true},
		{name: "large response truncated late", respond: respondWith("Content-Length: 9000000\r\n\r\n%s", largeBody), outcome: work.Run, bodyErr: true},
		{name: "large response complete", respond: respondWith("Content-Length: %d\r\n\r\n%s", len(largeBody), largeBody), outcome: work.Run},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			target, requests := newRawUpstream(t, tc.respond)
			timeout := tc.timeout
			if timeout == 0 {
				timeout = testTimeout
			}
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			client := upstream.NewClient(nil)
			defer client.Close()
			result := client.Do(ctx, target, newRequest(work.Order, http.MethodPost, "body"), strings.NewReader("body"), time.Now())
			g.Expect(result.Response.Outcome).To(gomega.Equal(tc.outcome))
			g.Expect(result.Response.Reason).To(gomega.Equal(tc.reason))
			g.Expect(result.MaybeRunning).To(gomega.Equal(tc.silent))
			g.Expect(result.WrongRequestID).To(gomega.Equal(strings.Contains(tc.name, "another request")))
			g.Expect(requests.Load()).To(gomega.Equal(int64(1)))
			if tc.outcome != work.Run {
				return
			}
			_, err := io.Copy(io.Discard, result.Response.Body)
			g.Expect(err != nil).To(gomega.Equal(tc.bodyErr))
			result.Response.Body.Close()
		})
	}
}

func TestRefusedConnectionIsNotRun(t *testing.T) {
	g := gomega.NewWithT(t)
	// Port 1 is not in the ephemeral range, so no other test listens on it.
	target := upstream.Target{Name: "u1", Address: "127.0.0.1:1", Slots: 1}
	result := upstream.NewClient(nil).Do(context.Background(), target, newRequest(work.Order, http.MethodPost, ""), nil, time.Now())
	g.Expect(result.Response.Outcome).To(gomega.Equal(work.NotRun))
	g.Expect(result.Response.Reason).To(gomega.Equal(work.ReasonUpstreamConnect))
	g.Expect(result.MaybeRunning).To(gomega.BeFalse())
}

// TestNoAttemptIsSentTwice checks that net/http does not retry a request when its
// reused connection closes, whatever the method, body and idempotency key.
func TestNoAttemptIsSentTwice(t *testing.T) {
	for _, c := range []struct{ method, body, key string }{
		{http.MethodGet, "", ""},
		{http.MethodPost, "", ""},
		{http.MethodPost, "", "key"},
		{http.MethodPost, "body", "key"},
		{http.MethodDelete, "", "key"},
	} {
		t.Run(fmt.Sprintf("%s body %q key %q", c.method, c.body, c.key), func(t *testing.T) {
			g := gomega.NewWithT(t)
			var connections atomic.Int64
			respond := func(conn net.Conn, req *http.Request) bool {
				if req.URL.Path == "/first" {
					connections.Add(1)
					fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", req.Header.Get("Request-Id"))
					return true
				}
				return false
			}
			target, requests := newRawUpstream(t, respond)
			client := upstream.NewClient(nil)
			defer client.Close()
			first := newRequest(work.Order, c.method, "")
			first.Path = "/first"
			g.Expect(client.Do(context.Background(), target, first, nil, time.Now()).Response.Outcome).To(gomega.Equal(work.Run))
			second := newRequest(work.Order, c.method, c.body)
			second.Key = c.key
			result := client.Do(context.Background(), target, second, strings.NewReader(c.body), time.Now())
			g.Expect(result.Response.Outcome).To(gomega.Equal(work.Unknown))
			g.Expect(requests.Load()).To(gomega.Equal(int64(2)))
			g.Expect(connections.Load()).To(gomega.Equal(int64(1)))
		})
	}
}

func TestConnectionsAreReused(t *testing.T) {
	g := gomega.NewWithT(t)
	clientAddresses := make(chan string, 2)
	respond := func(conn net.Conn, req *http.Request) bool {
		clientAddresses <- conn.RemoteAddr().String()
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 2\r\n\r\nok", req.Header.Get("Request-Id"))
		return true
	}
	target, _ := newRawUpstream(t, respond)
	client := upstream.NewClient(nil)
	defer client.Close()
	for range 2 {
		result := client.Do(context.Background(), target, newRequest(work.Order, http.MethodPost, ""), nil, time.Now())
		g.Expect(result.Response.Outcome).To(gomega.Equal(work.Run))
	}
	g.Expect(<-clientAddresses).To(gomega.Equal(<-clientAddresses))
}

func TestCancellationReachesTheUpstream(t *testing.T) {
	g := gomega.NewWithT(t)
	received := make(chan struct{})
	closed := make(chan error, 1)
	respond := func(conn net.Conn, _ *http.Request) bool {
		close(received)
		_, err := conn.Read(make([]byte, 1))
		closed <- err
		return false
	}
	target, _ := newRawUpstream(t, respond)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-received
		cancel()
	}()
	result := upstream.NewClient(nil).Do(ctx, target, newRequest(work.Lookup, http.MethodGet, ""), nil, time.Now())
	g.Expect(result.Response.Outcome).To(gomega.Equal(work.Unknown))
	g.Expect(result.Response.Reason).To(gomega.Equal(work.ReasonCanceled))
	g.Expect(result.MaybeRunning).To(gomega.BeTrue())
	g.Eventually(closed, testTimeout).Should(gomega.Receive(gomega.HaveOccurred()))
}
