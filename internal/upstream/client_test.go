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
	// patience ends only tests that hang.
	patience = 30 * time.Second
	// lapse is a timeout whose end a test waits for.
	lapse = 2 * time.Second
)

// script answers one request on a raw connection; it returns false to close
// the connection.
type script func(conn net.Conn, req *http.Request) bool

// serveRaw runs a script for each request and counts the requests it read.
func serveRaw(t *testing.T, answer script) (upstream.Target, *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	var seen atomic.Int64
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveConn(conn, &seen, answer)
		}
	}()
	return upstream.Target{Name: "u1", Address: listener.Addr().String(), Slots: 3}, &seen
}

func serveConn(conn net.Conn, seen *atomic.Int64, answer script) {
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
		seen.Add(1)
		if !answer(conn, req) {
			return
		}
	}
}

func reply(format string, args ...any) script {
	return func(conn net.Conn, req *http.Request) bool {
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n", req.Header.Get("Request-Id"))
		fmt.Fprint(conn, head+fmt.Sprintf(format, args...))
		return false
	}
}

func sum(s string) string {
	d := sha256.Sum256([]byte(s))
	return base64.StdEncoding.EncodeToString(d[:])
}

func request(kind work.Kind, method, body string) *work.Request {
	return &work.Request{
		ID:       strings.Repeat("ab", 16),
		Kind:     kind,
		Method:   method,
		Path:     "/x",
		Header:   http.Header{},
		Length:   int64(len(body)),
		Deadline: time.Now().Add(patience),
	}
}

func TestOutcomeOfEachFailurePoint(t *testing.T) {
	big := strings.Repeat("x", 3<<20)
	hang := func(net.Conn, *http.Request) bool { select {} }
	cases := []struct {
		name    string
		answer  script
		timeout time.Duration
		outcome work.Outcome
		reason  work.Reason
		silent  bool
		bodyErr bool
	}{
		{name: "whole answer", answer: reply("Content-Length: 2\r\n\r\nok"), outcome: work.Run},
		{name: "no content", answer: func(c net.Conn, r *http.Request) bool {
			fmt.Fprintf(c, "HTTP/1.1 204 No Content\r\nRequest-Id: %s\r\n\r\n", r.Header.Get("Request-Id"))
			return true
		}, outcome: work.Run},
		{name: "digest matches", answer: reply("Content-Digest: sha-256=:%s:\r\nContent-Length: 2\r\n\r\nok", sum("ok")), outcome: work.Run},
		{name: "digest differs", answer: reply("Content-Digest: sha-256=:%s:\r\nContent-Length: 2\r\n\r\nno", sum("ok")), outcome: work.Unknown, reason: work.ReasonUpstreamBroken, silent: true},
		{name: "digest malformed", answer: reply("Content-Digest: sha-256=:!:\r\nContent-Length: 2\r\n\r\nok"), outcome: work.Unknown, reason: work.ReasonUpstreamBroken, silent: true},
		{name: "cut within the body", answer: reply("Content-Length: 9\r\n\r\nok"), outcome: work.Unknown, reason: work.ReasonUpstreamBroken, silent: true},
		{name: "cut within a chunk", answer: reply("Transfer-Encoding: chunked\r\n\r\n5\r\nok"), outcome: work.Unknown, reason: work.ReasonUpstreamBroken, silent: true},
		{name: "end can't be told from a cut", answer: reply("Connection: close\r\n\r\nok"), outcome: work.Unknown, reason: work.ReasonUpstreamBroken, silent: true},
		{name: "closed after reading", answer: func(net.Conn, *http.Request) bool { return false }, outcome: work.Unknown, reason: work.ReasonUpstreamBroken, silent: true},
		{name: "not HTTP", answer: func(c net.Conn, _ *http.Request) bool { fmt.Fprint(c, "what\r\n\r\n"); return false }, outcome: work.Unknown, reason: work.ReasonUpstreamBroken, silent: true},
		{name: "answer to another request", answer: func(c net.Conn, _ *http.Request) bool {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 2\r\n\r\nok")
			return false
		}, outcome: work.Unknown, reason: work.ReasonUpstreamBroken, silent: true},
		{name: "shed", answer: func(c net.Conn, r *http.Request) bool {
			fmt.Fprintf(c, "HTTP/1.1 503 Busy\r\nRequest-Id: %s\r\nWork-Not-Run: true\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Request-Id"))
			return true
		}, outcome: work.NotRun, reason: work.ReasonUpstreamShed},
		{name: "shed marker of another request", answer: func(c net.Conn, _ *http.Request) bool {
			fmt.Fprint(c, "HTTP/1.1 503 Busy\r\nWork-Not-Run: true\r\nContent-Length: 0\r\n\r\n")
			return true
		}, outcome: work.Unknown, reason: work.ReasonUpstreamBroken, silent: true},
		{name: "unavailable without the marker", answer: func(c net.Conn, r *http.Request) bool {
			fmt.Fprintf(c, "HTTP/1.1 503 Busy\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Request-Id"))
			return true
		}, outcome: work.Run},
		{name: "never answers", answer: hang, timeout: lapse, outcome: work.Unknown, reason: work.ReasonUpstreamTimeout, silent: true},
		{name: "stops within the body", answer: func(c net.Conn, r *http.Request) bool {
			reply("Content-Length: 9\r\n\r\nok")(c, r)
			return hang(c, r)
		}, timeout: lapse, outcome: work.Unknown, reason: work.ReasonUpstreamTimeout, silent: true},
		{name: "large answer cut late", answer: reply("Content-Length: 9000000\r\n\r\n%s", big), outcome: work.Run, bodyErr: true},
		{name: "large answer whole", answer: reply("Content-Length: %d\r\n\r\n%s", len(big), big), outcome: work.Run},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			target, seen := serveRaw(t, c.answer)
			timeout := c.timeout
			if timeout == 0 {
				timeout = patience
			}
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			client := upstream.NewClient(nil)
			defer client.Close()
			result := client.Do(ctx, target, request(work.Order, http.MethodPost, "body"), strings.NewReader("body"), time.Now())
			g.Expect(result.Response.Outcome).To(gomega.Equal(c.outcome))
			g.Expect(result.Response.Reason).To(gomega.Equal(c.reason))
			g.Expect(result.Silent).To(gomega.Equal(c.silent))
			g.Expect(result.Foreign).To(gomega.Equal(strings.Contains(c.name, "another request")))
			g.Expect(seen.Load()).To(gomega.Equal(int64(1)))
			if c.outcome != work.Run {
				return
			}
			_, err := io.Copy(io.Discard, result.Response.Body)
			g.Expect(err != nil).To(gomega.Equal(c.bodyErr))
			result.Response.Body.Close()
		})
	}
}

func TestRefusedConnectionIsNotRun(t *testing.T) {
	g := gomega.NewWithT(t)
	// The kernel gives this port to no other test.
	target := upstream.Target{Name: "u1", Address: "127.0.0.1:1", Slots: 1}
	result := upstream.NewClient(nil).Do(context.Background(), target, request(work.Order, http.MethodPost, ""), nil, time.Now())
	g.Expect(result.Response.Outcome).To(gomega.Equal(work.NotRun))
	g.Expect(result.Response.Reason).To(gomega.Equal(work.ReasonUpstreamConnect))
	g.Expect(result.Silent).To(gomega.BeFalse())
}

// A connection that dies under a second request must not make net/http send
// that request again by itself, whatever its method, body and headers.
func TestNothingIsSentTwice(t *testing.T) {
	for _, c := range []struct{ method, body, key string }{
		{http.MethodGet, "", ""},
		{http.MethodPost, "", ""},
		{http.MethodPost, "", "key"},
		{http.MethodPost, "body", "key"},
		{http.MethodDelete, "", "key"},
	} {
		t.Run(fmt.Sprintf("%s body %q key %q", c.method, c.body, c.key), func(t *testing.T) {
			g := gomega.NewWithT(t)
			var conns atomic.Int64
			answer := func(conn net.Conn, req *http.Request) bool {
				if req.URL.Path == "/first" {
					conns.Add(1)
					fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", req.Header.Get("Request-Id"))
					return true
				}
				return false
			}
			target, seen := serveRaw(t, answer)
			client := upstream.NewClient(nil)
			defer client.Close()
			first := request(work.Order, c.method, "")
			first.Path = "/first"
			g.Expect(client.Do(context.Background(), target, first, nil, time.Now()).Response.Outcome).To(gomega.Equal(work.Run))
			second := request(work.Order, c.method, c.body)
			second.Key = c.key
			result := client.Do(context.Background(), target, second, strings.NewReader(c.body), time.Now())
			g.Expect(result.Response.Outcome).To(gomega.Equal(work.Unknown))
			g.Expect(seen.Load()).To(gomega.Equal(int64(2)))
			g.Expect(conns.Load()).To(gomega.Equal(int64(1)))
		})
	}
}

func TestConnectionsAreReused(t *testing.T) {
	g := gomega.NewWithT(t)
	peers := make(chan string, 2)
	answer := func(conn net.Conn, req *http.Request) bool {
		peers <- conn.RemoteAddr().String()
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 2\r\n\r\nok", req.Header.Get("Request-Id"))
		return true
	}
	target, _ := serveRaw(t, answer)
	client := upstream.NewClient(nil)
	defer client.Close()
	for range 2 {
		result := client.Do(context.Background(), target, request(work.Order, http.MethodPost, ""), nil, time.Now())
		g.Expect(result.Response.Outcome).To(gomega.Equal(work.Run))
	}
	g.Expect(<-peers).To(gomega.Equal(<-peers))
}

func TestCancellationReachesTheUpstream(t *testing.T) {
	g := gomega.NewWithT(t)
	arrived := make(chan struct{})
	closed := make(chan error, 1)
	answer := func(conn net.Conn, _ *http.Request) bool {
		close(arrived)
		_, err := conn.Read(make([]byte, 1))
		closed <- err
		return false
	}
	target, _ := serveRaw(t, answer)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-arrived
		cancel()
	}()
	result := upstream.NewClient(nil).Do(ctx, target, request(work.Lookup, http.MethodGet, ""), nil, time.Now())
	g.Expect(result.Response.Outcome).To(gomega.Equal(work.Unknown))
	g.Expect(result.Response.Reason).To(gomega.Equal(work.ReasonCanceled))
	g.Expect(result.Silent).To(gomega.BeTrue())
	g.Eventually(closed, patience).Should(gomega.Receive(gomega.HaveOccurred()))
}
