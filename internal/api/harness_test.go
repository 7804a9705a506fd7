package api_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/api"
	"sycamoreledge.example/internal/control"
	"sycamoreledge.example/internal/event"
	"sycamoreledge.example/internal/settings"
	"sycamoreledge.example/internal/work"
)

// socketTimeout bounds every wait of a test on a real socket.
const socketTimeout = 30 * time.Second

// presetDeadline is the deadline in the preset. It is longer than any test takes.
const presetDeadline = time.Minute

// routerFunc is a fake Router.
type routerFunc func(ctx context.Context, req *work.Request) *work.Response

func (f routerFunc) Serve(ctx context.Context, req *work.Request) *work.Response { return f(ctx, req) }

// fakeKeys issues one fixed key.
type fakeKeys struct{ err error }

func (k fakeKeys) Issue(service string) (string, time.Time, error) {
	return "key-of-" + service, time.Unix(1000, 0).UTC(), k.err
}

func snapshotOf(state control.InstanceState) func() *control.Snapshot {
	snap := &control.Snapshot{
		At: time.Now(), Self: "e1", Zone: "east-a", Region: "east", State: state,
		Config: &settings.Config{Version: 4, InForce: "calm"},
		Preset: &settings.Preset{Name: "calm", Services: []settings.ServicePolicy{{Name: "status", Deadline: presetDeadline}}},
	}
	return func() *control.Snapshot { return snap }
}

// startCallers starts a server for callers. adjust may change its options.
func startCallers(t *testing.T, router routerFunc, adjust func(*api.CallersOptions)) (*api.Callers, string) {
	t.Helper()
	return startCallersWithHeaderTimeout(t, router, socketTimeout, adjust)
}

// startCallersWithHeaderTimeout starts a server for callers with the given timeout of
// request headers.
func startCallersWithHeaderTimeout(
	t *testing.T, router routerFunc, headerTimeout time.Duration, adjust func(*api.CallersOptions),
) (*api.Callers, string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	opts := api.CallersOptions{
		Router:   router,
		Keys:     fakeKeys{},
		Snapshot: snapshotOf(control.Serving),
		Rank: func(string, netip.Addr) []control.InstanceView {
			return []control.InstanceView{{Name: "e1", Zone: "east-a", Region: "east", Callers: "127.0.0.1:1"}}
		},
		Ready:    func() error { return nil },
		Services: map[string]work.Kind{"status": work.Lookup, "orders": work.Order, "scans": work.Upload},
		MaxAge:   5 * time.Second,
		Events:   event.Discard(),
	}
	if adjust != nil {
		adjust(&opts)
	}
	s := api.NewCallers(ln, opts)
	s.SetHeaderTimeout(headerTimeout)
	s.Start()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 0)
		defer cancel()
		s.Stop(ctx)
	})
	return s, ln.Addr().String()
}

// rawConn is a TCP connection on which a test writes HTTP messages as text.
type rawConn struct {
	net.Conn
	reader *bufio.Reader
}

func dial(t *testing.T, address string) *rawConn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(socketTimeout)); err != nil {
		t.Fatal(err)
	}
	return &rawConn{conn, bufio.NewReader(conn)}
}

func (c *rawConn) send(t *testing.T, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

// rawResponse is a response as received. err is set if the receiver could tell that it
// was incomplete.
type rawResponse struct {
	status int
	header http.Header
	body   []byte
	// close is set if the response has the field "Connection: close".
	close bool
	err   error
}

// receive reads the response to a request with the given method.
func (c *rawConn) receive(method string) rawResponse {
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return rawResponse{err: err}
	}
	defer resp.Body.Close() //nolint:errcheck // reads have reported any error
	body, err := io.ReadAll(resp.Body)
	return rawResponse{resp.StatusCode, resp.Header, body, resp.Close, err}
}

// closed waits until the server closes the connection, and reports whether it did so
// before the deadline.
func (c *rawConn) closed() bool {
	_, err := c.reader.ReadByte()
	var timeout net.Error
	return err != nil && (!errors.As(err, &timeout) || !timeout.Timeout())
}

// roundTrip sends one request with additional header lines on a new connection, and
// returns the response.
func roundTrip(t *testing.T, address, head string, header ...string) rawResponse {
	t.Helper()
	c := dial(t, address)
	lines := append([]string{head, "Host: test"}, header...)
	c.send(t, strings.Join(lines, "\r\n")+"\r\n\r\n")
	method, _, _ := strings.Cut(head, " ")
	return c.receive(method)
}

// runResponse returns an upstream's response with the given body.
func runResponse(body io.Reader, length int64) *work.Response {
	return &work.Response{
		Outcome: work.Run, Status: http.StatusOK, Upstream: "u1", Length: length,
		Header: http.Header{"Content-Type": {"text/plain"}}, Body: io.NopCloser(body),
	}
}

func runTextResponse(text string) *work.Response {
	return runResponse(strings.NewReader(text), int64(len(text)))
}

func expect(t *testing.T) *gomega.WithT { return gomega.NewWithT(t) }
