package exchange_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/exchange"
	"sycamoreledge.example/internal/work"
)

// dialect implements the part of exchange.HeaderCodec that these tests need.
type dialect struct{ exchange.HeaderCodec }

func (dialect) SetTarget(h http.Header, upstream string, remaining time.Duration) {
	h.Set("Meant", upstream)
	h.Set("Left", remaining.Round(time.Second).String())
}

func (dialect) ParseResponse(status int, h http.Header) exchange.ResponseInfo {
	return exchange.ResponseInfo{
		RequestID: h.Get("Id"), Signed: h.Get("Signature") != "", NotRun: h.Get("Refused") != "" || status == http.StatusMisdirectedRequest,
		WrongUpstream: status == http.StatusMisdirectedRequest,
	}
}

// responder responds to one request on a raw connection. It returns false to
// close the connection.
type responder func(conn net.Conn, r *http.Request) bool

// rawUpstream is an upstream that writes responses exactly as the test gives them.
type rawUpstream struct {
	address     string
	connections atomic.Int64
	requests    atomic.Int64
}

func newRawUpstream(t *testing.T, respond responder) *rawUpstream {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	u := &rawUpstream{address: ln.Addr().String()}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			u.connections.Add(1)
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					u.requests.Add(1)
					if !respond(conn, r) {
						return
					}
				}
			}()
		}
	}()
	return u
}

func (u *rawUpstream) attempt(id string) *exchange.Attempt {
	return &exchange.Attempt{
		Upstream: "u1", Address: u.address, ID: id, Method: http.MethodGet, Target: "/a%2Fb//c?x=%20y",
		Host: "shop.example", Header: http.Header{"Id": {id}}, Deadline: time.Now().Add(5 * time.Second),
	}
}

func response(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func respondWith(text string, keep bool) responder {
	return func(conn net.Conn, r *http.Request) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(conn, strings.ReplaceAll(text, "{id}", r.Header.Get("Id")))
		return keep
	}
}

func resetConn(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

func TestOutcomes(t *testing.T) {
	cases := []struct {
		name    string
		answer  responder
		outcome work.Outcome
		reason  work.Reason
		body    string
	}{
		{"complete response", respondWith(response("{id}", "hello"), true), work.Run, "", "hello"},
		{"response delimited by the end of the connection", respondWith("HTTP/1.1 200 OK\r\nId: {id}\r\nSignature: s\r\n\r\nhello", false), work.Run, "", "hello"},
		{"interim response first", respondWith("HTTP/1.1 100 Continue\r\n\r\n"+response("{id}", "x"), true), work.Run, "", "x"},
		{"server error", respondWith("HTTP/1.1 500 E\r\nId: {id}\r\nContent-Length: 0\r\n\r\n", true), work.Run, "", ""},
		{"refusal without the not-run header", respondWith("HTTP/1.1 503 E\r\nId: {id}\r\nContent-Length: 0\r\n\r\n", true), work.Run, "", ""},
		{"refusal", respondWith("HTTP/1.1 503 E\r\nId: {id}\r\nRefused: 1\r\nContent-Length: 0\r\n\r\n", true), work.NotRun, work.ReasonUpstreamShed, ""},
		{"wrong upstream", respondWith("HTTP/1.1 421 M\r\nId: {id}\r\nContent-Length: 0\r\n\r\n", true), work.NotRun, work.ReasonNotOwner, ""},
		{"truncated body", respondWith("HTTP/1.1 200 OK\r\nId: {id}\r\nSignature: s\r\nContent-Length: 9\r\n\r\nhell", false), work.Unknown, work.ReasonUpstreamBroken, ""},
		{"truncated header", respondWith("HTTP/1.1 200 OK\r\nId: ", false), work.Unknown, work.ReasonUpstreamBroken, ""},
		{"no response", respondWith("", false), work.Unknown, work.ReasonUpstreamBroken, ""},
		{"not HTTP", respondWith("\x00\x01 what\r\n\r\n", false), work.Unknown, work.ReasonUpstreamBroken, ""},
		{"responses to other requests only", respondWith(response("other", "x"), false), work.Unknown, work.ReasonUpstreamBroken, ""},
		{"truncated chunk", respondWith("HTTP/1.1 200 OK\r\nId: {id}\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel", false), work.Unknown, work.ReasonUpstreamBroken, ""},
		{"reset without Content-Length", func(conn net.Conn, r *http.Request) bool {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: a\r\nSignature: s\r\n\r\nhel")
			time.AfterFunc(50*time.Millisecond, func() { resetConn(conn) })
			_, _ = conn.Read(make([]byte, 1))
			return false
		}, work.Unknown, work.ReasonUpstreamBroken, ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			u := newRawUpstream(t, tc.answer)
			r := exchange.New(dialect{}).Do(t.Context(), u.attempt("a"))
			g.Expect(r.Outcome).To(gomega.Equal(tc.outcome), "%v", r.Err)
			g.Expect(r.Reason).To(gomega.Equal(tc.reason))
			if tc.outcome == work.Run {
				g.Expect(string(r.Body)).To(gomega.Equal(tc.body))
			}
			g.Expect(u.requests.Load()).To(gomega.Equal(int64(1)), "the attempt must be sent exactly once")
		})
	}
}

func TestRequestIsSentUnchanged(t *testing.T) {
	g := gomega.NewWithT(t)
	got := make(chan string, 1)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = ln.Close() }()
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		buffer := make([]byte, 4096)
		n, _ := conn.Read(buffer)
		got <- string(buffer[:n])
		_, _ = io.WriteString(conn, response("a", ""))
	}()
	u := &rawUpstream{address: ln.Addr().String()}
	a := u.attempt("a")
	a.Header.Set("X-Own", "1")
	g.Expect(exchange.New(dialect{}).Do(t.Context(), a).Outcome).To(gomega.Equal(work.Run))
	text := <-got
	g.Expect(text).To(gomega.HavePrefix("GET /a%2Fb//c?x=%20y HTTP/1.1\r\nHost: shop.example\r\n"))
	g.Expect(text).To(gomega.ContainSubstring("Meant: u1\r\n"))
	g.Expect(text).To(gomega.ContainSubstring("Left: 5s\r\n"))
	for _, added := range []string{"User-Agent", "Accept-Encoding", "Content-Length", "Transfer-Encoding"} {
		g.Expect(text).NotTo(gomega.ContainSubstring(added))
	}
}

func TestConnectionsAreReused(t *testing.T) {
	g := gomega.NewWithT(t)
	u := newRawUpstream(t, respondWith(response("{id}", "x"), true))
	client := exchange.New(dialect{})
	for i := range 5 {
		r := client.Do(t.Context(), u.attempt(fmt.Sprint(i)))
		g.Expect(r.Outcome).To(gomega.Equal(work.Run))
		g.Expect(r.Reused).To(gomega.Equal(i > 0))
	}
	g.Expect(u.connections.Load()).To(gomega.Equal(int64(1)))
	client.CloseExpired(time.Now().Add(time.Minute))
	g.Expect(client.Do(t.Context(), u.attempt("z")).Reused).To(gomega.BeFalse(), "the idle timeout has passed")
}

func TestConnectionsThatAreNotReused(t *testing.T) {
	cases := []struct{ name, answer string }{
		{"connection close", "HTTP/1.1 200 OK\r\nId: {id}\r\nSignature: s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"},
		{"short keep-alive timeout", "HTTP/1.1 200 OK\r\nId: {id}\r\nSignature: s\r\nKeep-Alive: timeout=1\r\nContent-Length: 0\r\n\r\n"},
		{"extra bytes after the response", response("{id}", "x") + "HTTP/1.1 200 OK\r\n"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			u := newRawUpstream(t, respondWith(tc.answer, true))
			client := exchange.New(dialect{})
			for i := range 2 {
				r := client.Do(t.Context(), u.attempt(fmt.Sprint(i)))
				g.Expect(r.Outcome).To(gomega.Equal(work.Run), "%v", r.Err)
			}
			g.Expect(u.connections.Load()).To(gomega.Equal(int64(2)))
		})
	}
}

// TestLateResponseToAnEarlierRequest has a duplicate of the first response arrive
// ahead of the response to the second request.
func TestLateResponseToAnEarlierRequest(t *testing.T) {
	g := gomega.NewWithT(t)
	var first atomic.Value
	u := newRawUpstream(t, func(conn net.Conn, r *http.Request) bool {
		id := r.Header.Get("Id")
		if earlier, ok := first.Load().(string); ok {
			_, _ = io.WriteString(conn, response(earlier, "late")+response(id, "own"))
			return true
		}
		first.Store(id)
		_, _ = io.WriteString(conn, response(id, "first"))
		return true
	})
	client := exchange.New(dialect{})
	g.Expect(string(client.Do(t.Context(), u.attempt("a")).Body)).To(gomega.Equal("first"))
	r := client.Do(t.Context(), u.attempt("b"))
	g.Expect(r.Outcome).To(gomega.Equal(work.Run), "%v", r.Err)
	g.Expect(string(r.Body)).To(gomega.Equal("own"))
}

// TestClosedIdleConnectionIsNotReused has the upstream close connections while
// they are idle in the pool.
func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	g := gomega.NewWithT(t)
	u := newRawUpstream(t, func(conn net.Conn, r *http.Request) bool {
		_, _ = io.WriteString(conn, response(r.Header.Get("Id"), "x"))
		return false
	})
	client := exchange.New(dialect{})
	for i := range 3 {
		r := client.Do(t.Context(), u.attempt(fmt.Sprint(i)))
		g.Expect(r.Outcome).To(gomega.Equal(work.Run), "%v", r.Err)
		// The close arrives shortly after the response.
		g.Eventually(func() int64 { return u.connections.Load() }).Should(gomega.Equal(int64(i + 1)))
		<-time.After(20 * time.Millisecond)
	}
}

// longBody exceeds the buffers of a connection whose peer does not read, in bytes.
const longBody = 32 << 20

// TestEarlyResponseToALongBody has the upstream respond before it reads the body,
// so that part of the body is unsent when the response arrives.
func TestEarlyResponseToALongBody(t *testing.T) {
	g := gomega.NewWithT(t)
	ended, read := make(chan struct{}), make(chan []byte, 1)
	u := newRawUpstream(t, func(conn net.Conn, r *http.Request) bool {
		refusal := "HTTP/1.1 503 E\r\nId: " + r.Header.Get("Id") + "\r\nRefused: 1\r\nContent-Length: 0\r\n\r\n"
		_, _ = io.WriteString(conn, refusal)
		if r.Method == http.MethodPost {
			<-ended
			body, _ := io.ReadAll(r.Body)
			read <- body
		}
		return true
	})
	a := u.attempt("a")
	a.Method, a.Body = http.MethodPost, bytes.Repeat([]byte("x"), longBody)
	client := exchange.New(dialect{})
	r := client.Do(t.Context(), a)
	close(ended)
	g.Expect(r.Outcome).To(gomega.Equal(work.NotRun), "%v", r.Err)
	g.Expect(client.Do(t.Context(), u.attempt("b")).Reused).To(gomega.BeFalse(), "the connection must not be reused while part of the body is unsent")
	body := <-read
	g.Expect(len(body)).To(gomega.BeNumerically("<", longBody))
	g.Expect(bytes.Trim(body, "x")).To(gomega.BeEmpty(), "only the body may follow the request header")
	g.Expect(u.requests.Load()).To(gomega.BeEquivalentTo(2))
}

// TestResponseDuringALongBody has the upstream read the whole request body before
// it finishes its response. The connection may then be reused, because no part of
// the request is unsent.
func TestResponseDuringALongBody(t *testing.T) {
	g := gomega.NewWithT(t)
	var got atomic.Int64
	u := newRawUpstream(t, func(conn net.Conn, r *http.Request) bool {
		answer := response(r.Header.Get("Id"), "ok")
		_, _ = io.WriteString(conn, answer[:len(answer)-2])
		n, _ := io.Copy(io.Discard, r.Body)
		got.Add(n)
		_, _ = io.WriteString(conn, "ok")
		return true
	})
	client := exchange.New(dialect{})
	for i := range 5 {
		a := u.attempt(strconv.Itoa(i))
		a.Method, a.Body = http.MethodPost, bytes.Repeat([]byte("x"), longBody)
		r := client.Do(t.Context(), a)
		g.Expect(r.Outcome).To(gomega.Equal(work.Run), "%v", r.Err)
		g.Expect(string(r.Body)).To(gomega.Equal("ok"))
	}
	g.Expect(got.Load()).To(gomega.BeEquivalentTo(5 * longBody))
	g.Expect(u.requests.Load()).To(gomega.BeEquivalentTo(5))
}

func TestRefusedConnectionIsNotRun(t *testing.T) {
	g := gomega.NewWithT(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(ln.Close()).To(gomega.Succeed())
	u := &rawUpstream{address: ln.Addr().String()}
	r := exchange.New(dialect{}).Do(t.Context(), u.attempt("a"))
	g.Expect(r.Outcome).To(gomega.Equal(work.NotRun))
	g.Expect(r.Reason).To(gomega.Equal(work.ReasonUpstreamConnect))
}

func TestCancellationClosesTheConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	ended := make(chan struct{})
	u := newRawUpstream(t, func(conn net.Conn, r *http.Request) bool {
		_, _ = conn.Read(make([]byte, 1))
		close(ended)
		return false
	})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	r := exchange.New(dialect{}).Do(ctx, u.attempt("a"))
	g.Expect(r.Outcome).To(gomega.Equal(work.Unknown))
	g.Expect(r.Reason).To(gomega.Equal(work.ReasonCanceled))
	g.Eventually(ended).Should(gomega.BeClosed())
}

func TestDeadlineEndsTheAttempt(t *testing.T) {
	g := gomega.NewWithT(t)
	u := newRawUpstream(t, func(conn net.Conn, r *http.Request) bool {
		_, _ = conn.Read(make([]byte, 1))
		return false
	})
	a := u.attempt("a")
	a.Deadline = time.Now().Add(100 * time.Millisecond)
	r := exchange.New(dialect{}).Do(t.Context(), a)
	g.Expect(r.Outcome).To(gomega.Equal(work.Unknown))
	g.Expect(r.Reason).To(gomega.Equal(work.ReasonUpstreamTimeout))
}

func TestLongResponses(t *testing.T) {
	long := strings.Repeat("x", 3<<20)
	cases := []struct {
		name, text string
		whole      bool
	}{
		{"with a Content-Length", response("{id}", long), true},
		{"delimited by the end of the connection", "HTTP/1.1 200 OK\r\nId: {id}\r\nSignature: s\r\n\r\n" + long, true},
		{"truncated", response("{id}", long)[:2<<20], false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			u := newRawUpstream(t, respondWith(c.text, false))
			r := exchange.New(dialect{}).Do(t.Context(), u.attempt("a"))
			g.Expect(r.Outcome).To(gomega.Equal(work.Run), "%v", r.Err)
			g.Expect(r.UnreadBody).NotTo(gomega.BeNil())
			rest, err := io.ReadAll(r.UnreadBody)
			g.Expect(r.UnreadBody.Close()).To(gomega.Succeed())
			if !c.whole {
				g.Expect(err).To(gomega.HaveOccurred(), "a truncated body must not look complete")
				return
			}
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(string(r.Body) + string(rest)).To(gomega.Equal(long))
		})
	}
}
