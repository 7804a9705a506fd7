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

// socketLimit bounds what a test waits for on a real socket.
const socketLimit = 30 * time.Second

// presetDeadline is the deadline of the preset, which no test waits for.
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

// start runs a callers' server; the change adjusts its options.
func start(t *testing.T, router routerFunc, change func(*api.CallersOptions)) (*api.Callers, string) {
	t.Helper()
	return startTimed(t, router, socketLimit, change)
}

// startTimed runs a callers' server with a timeout of request headers.
func startTimed(
	t *testing.T, router routerFunc, header time.Duration, change func(*api.CallersOptions),
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
	if change != nil {
		change(&opts)
	}
	s := api.NewCallers(ln, opts)
	s.SetHeaderTimeout(header)
	s.Start()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 0)
		defer cancel()
		s.Stop(ctx)
	})
	return s, ln.Addr().String()
}

// rawConn is a plain connection on which a test writes HTTP by itself.
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
	if err := conn.SetDeadline(time.Now().Add(socketLimit)); err != nil {
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

// rawAnswer is an answer as it came over the wire. err tells that it was seen
// not to be whole.
type rawAnswer struct {
	status int
	header http.Header
	body   []byte
	// close is set when the answer says that the connection ends with it.
	close bool
	err   error
}

// receive reads one answer to a request of the given method.
func (c *rawConn) receive(method string) rawAnswer {
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return rawAnswer{err: err}
	}
	defer resp.Body.Close() //nolint:errcheck // its reads told of errors
	body, err := io.ReadAll(resp.Body)
	return rawAnswer{resp.StatusCode, resp.Header, body, resp.Close, err}
}

// closed reports whether the server ends the connection.
func (c *rawConn) closed() bool {
	_, err := c.reader.ReadByte()
	var timeout net.Error
	return err != nil && (!errors.As(err, &timeout) || !timeout.Timeout())
}

// exchange sends one request, with further header lines, on a connection of
// its own.
func exchange(t *testing.T, address, head string, header ...string) rawAnswer {
	t.Helper()
	c := dial(t, address)
	lines := append([]string{head, "Host: test"}, header...)
	c.send(t, strings.Join(lines, "\r\n")+"\r\n\r\n")
	method, _, _ := strings.Cut(head, " ")
	return c.receive(method)
}

// ran returns an upstream's answer with the given body.
func ran(body io.Reader, length int64) *work.Response {
	return &work.Response{
		Outcome: work.Run, Status: http.StatusOK, Upstream: "u1", Length: length,
		Header: http.Header{"Content-Type": {"text/plain"}}, Body: io.NopCloser(body),
	}
}

func ranText(text string) *work.Response {
	return ran(strings.NewReader(text), int64(len(text)))
}

func expect(t *testing.T) *gomega.WithT { return gomega.NewWithT(t) }
