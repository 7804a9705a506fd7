package instance

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/routing"
)

// TestCallerConnTimeouts sends a part of a header and leaves connections unused, both on new
// connections and on ones that were used before.
func TestCallerConnTimeouts(t *testing.T) {
	const header, idle = 300 * time.Millisecond, 900 * time.Millisecond
	cases := []struct {
		name       string
		usedBefore bool
		sends      string
		timeout    time.Duration
	}{
		{"header on a new connection", false, "GET / HTTP/1.1\r\nHo", header},
		{"header on a used connection", true, "GET / HTTP/1.1\r\nHo", header},
		{"used connection without a request", true, "", idle},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			server := newServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }))
			server.ConnState = trackConnState
			limits := func() routing.Limits { return routing.Limits{HeaderTimeout: header, IdleTimeout: idle} }
			go func() { _ = server.Serve(callerListener{ln, limits}) }()
			defer func() { _ = server.Close() }()
			conn, err := net.Dial("tcp", ln.Addr().String())
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer func() { _ = conn.Close() }()
			if c.usedBefore {
				_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
				g.Expect(err).NotTo(gomega.HaveOccurred())
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(resp.Body.Close()).To(gomega.Succeed())
			}
			_, err = io.WriteString(conn, c.sends)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			began := time.Now()
			g.Expect(conn.SetReadDeadline(began.Add(20 * time.Second))).To(gomega.Succeed())
			_, err = io.Copy(io.Discard, conn)
			g.Expect(err).NotTo(gomega.HaveOccurred(), "the instance closes the connection")
			// The deadline was set before the clock was read, so the connection may close a little early.
			const tolerance = 100 * time.Millisecond
			g.Expect(time.Since(began)).To(gomega.And(
				gomega.BeNumerically(">=", c.timeout+closeMargin-tolerance), gomega.BeNumerically("<", c.timeout+closeMargin+idle-header)))
		})
	}
}

// TestCallerConnCanBeReset checks that the handler of a request can reset its connection, so that
// a caller does not take a truncated body for a complete one.
func TestCallerConnCanBeReset(t *testing.T) {
	g := gomega.NewWithT(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	server := newServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		if c, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
			_ = c.SetLinger(0)
		}
		_ = conn.Close()
	}))
	go func() { _ = server.Serve(callerListener{ln, func() routing.Limits { return routing.Limits{} }}) }()
	defer func() { _ = server.Close() }()
	conn, err := net.Dial("tcp", ln.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET / HTTP/1.0\r\nHost: h\r\n\r\n")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = io.ReadAll(conn)
	g.Expect(err).To(gomega.MatchError(syscall.ECONNRESET))
}
