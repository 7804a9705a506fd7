package exchange_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/exchange"
	"sycamoreledge.example/internal/work"
)

// TestUnprovenResponsesAreNotTheUpstreams guards against passing on bytes of a faulty
// upstream as its response, or taking them as proof that a request was not run.
func TestUnprovenResponsesAreNotTheUpstreams(t *testing.T) {
	cases := []struct{ name, text string }{
		{"success without request ID and signature, ended by the connection", "HTTP/1.1 200 OK\r\n\r\njunk"},
		{"success without request ID and signature, with a length", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\njunk"},
		{"success without request ID and body", "HTTP/1.1 204 No Content\r\nSignature: s\r\n\r\n"},
		{"success without request ID", "HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 4\r\n\r\njunk"},
		{"success without signature", "HTTP/1.1 200 OK\r\nId: {id}\r\nContent-Length: 4\r\n\r\njunk"},
		{"success without signature and body", "HTTP/1.1 204 No Content\r\nId: {id}\r\n\r\n"},
		{"success without signature, stated as not run", "HTTP/1.1 200 OK\r\nId: {id}\r\nRefused: 1\r\nContent-Length: 0\r\n\r\n"},
		{"long success without signature", "HTTP/1.1 200 OK\r\nId: {id}\r\n\r\n" + strings.Repeat("x", 2<<20)},
		{"redirect without request ID", "HTTP/1.1 302 Found\r\nContent-Length: 0\r\n\r\n"},
		{"error without request ID", "HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n"},
		{"refusal without request ID", "HTTP/1.1 503 E\r\nRefused: 1\r\nContent-Length: 0\r\n\r\n"},
		{"wrong upstream without request ID", "HTTP/1.1 421 M\r\nContent-Length: 0\r\n\r\n"},
	}
	for _, tc := range cases {
		for _, reused := range []bool{false, true} {
			name := tc.name + ", on a new connection"
			if reused {
				name = tc.name + ", on a reused connection"
			}
			t.Run(name, func(t *testing.T) {
				g := gomega.NewWithT(t)
				u := newRawUpstream(t, func(conn net.Conn, r *http.Request) bool {
					if r.Header.Get("Id") == "first" {
						return respondWith(response("{id}", "x"), true)(conn, r)
					}
					return respondWith(tc.text, false)(conn, r)
				})
				client := exchange.New(dialect{})
				if reused {
					g.Expect(client.Do(t.Context(), u.attempt("first")).Outcome).To(gomega.Equal(work.Run))
				}
				r := client.Do(t.Context(), u.attempt("a"))
				g.Expect(r.Reused).To(gomega.Equal(reused))
				g.Expect(r.Outcome).To(gomega.Equal(work.Unknown))
				g.Expect(r.Reason).To(gomega.Equal(work.ReasonUpstreamBroken))
				g.Expect(r.Status).To(gomega.BeZero(), "nothing of the response may be passed on")
				g.Expect(r.UnreadBody).To(gomega.BeNil())
			})
		}
	}
}

// TestResponseAfterUnprovenBytes has a response without a request ID arrive ahead of the
// upstream's own response on a new connection. A short keep-alive timeout does not end the
// connection before the response.
func TestResponseAfterUnprovenBytes(t *testing.T) {
	g := gomega.NewWithT(t)
	u := newRawUpstream(t, respondWith("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nContent-Length: 4\r\n\r\njunk"+response("{id}", "own"), true))
	r := exchange.New(dialect{}).Do(t.Context(), u.attempt("a"))
	g.Expect(r.Outcome).To(gomega.Equal(work.Run), "%v", r.Err)
	g.Expect(string(r.Body)).To(gomega.Equal("own"))
}

// TestUnprovenResponseEndsTheAttemptAtOnce guards against waiting for the end of a response
// that cannot be followed by the upstream's own.
func TestUnprovenResponseEndsTheAttemptAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	released := make(chan struct{})
	defer close(released)
	u := newRawUpstream(t, func(conn net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\njunk")
		<-released
		return false
	})
	began := time.Now()
	r := exchange.New(dialect{}).Do(t.Context(), u.attempt("a"))
	g.Expect(r.Outcome).To(gomega.Equal(work.Unknown))
	g.Expect(time.Since(began)).To(gomega.BeNumerically("<", 2*time.Second), "long before the deadline of 5 s")
}
