package api_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/api"
	"sycamoreledge.example/internal/control"
	"sycamoreledge.example/internal/event"
	"sycamoreledge.example/internal/work"
)

// capture returns a router that hands every request to the channel.
func capture(requests chan<- *work.Request) routerFunc {
	return func(_ context.Context, req *work.Request) *work.Response {
		requests <- req
		return ranText("ok")
	}
}

func TestRequestsReachTheRouterAsSent(t *testing.T) {
	id := strings.Repeat("0123456789abcdef", 2)
	// began is before the arrival of every request; a check runs after it.
	began := time.Now()
	cases := []struct {
		name, target    string
		header          []string
		method, service string
		check           func(g *gomega.WithT, req *work.Request)
	}{
		{"plain", "/v1/services/status/a/b?q=1&q=2", nil, "GET", "status", func(g *gomega.WithT, req *work.Request) {
			g.Expect(req.Path).To(gomega.Equal("/a/b?q=1&q=2"))
			g.Expect(req.Kind).To(gomega.Equal(work.Lookup))
			g.Expect(req.Origin).To(gomega.Equal("east-a"))
			g.Expect(req.Body).To(gomega.BeNil())
		}},
		{"path is not cleaned", "/v1/services/status//a/../%2Fb%20c/", nil, "GET", "status", func(g *gomega.WithT, req *work.Request) {
			g.Expect(req.Path).To(gomega.Equal("//a/../%2Fb%20c/"))
		}},
		{"no path", "/v1/services/status", nil, "GET", "status", func(g *gomega.WithT, req *work.Request) {
			g.Expect(req.Path).To(gomega.Equal("/"))
		}},
		{"any method", "/v1/services/orders/x", nil, "PROPFIND", "orders", func(g *gomega.WithT, req *work.Request) {
			g.Expect(req.Kind).To(gomega.Equal(work.Order))
		}},
		{"header", "/v1/services/status/x", []string{"Cookie: a=1", "Cookie: b=2", "X-Own: 1", "X-Own: 2", "Connection: X-Hop", "X-Hop: s", "TE: trailers", "Work-Kind: order", "Deadline-Unix-Ms: 1"}, "GET", "status", func(g *gomega.WithT, req *work.Request) {
			g.Expect(req.Header).To(gomega.Equal(http.Header{"Cookie": {"a=1", "b=2"}, "X-Own": {"1", "2"}}))
		}},
		{"key and id", "/v1/services/orders/x", []string{"Idempotency-Key: k-1", "Request-Id: " + id + ""}, "PUT", "orders", func(g *gomega.WithT, req *work.Request) {
			g.Expect(req.Key).To(gomega.Equal("k-1"))
			g.Expect(req.ID).To(gomega.Equal(id))
		}},
		{"malformed id is replaced", "/v1/services/orders/x", []string{"Request-Id: ../../etc"}, "PUT", "orders", func(g *gomega.WithT, req *work.Request) {
			g.Expect(req.ID).To(gomega.MatchRegexp("^[0-9a-f]{32}$"))
		}},
		{"deadline of the caller", "/v1/services/status/x", []string{"Deadline-Ms: 30000"}, "GET", "status", func(g *gomega.WithT, req *work.Request) {
			g.Expect(req.Deadline).To(gomega.BeTemporally(">=", began.Add(30*time.Second)))
			g.Expect(time.Until(req.Deadline)).To(gomega.BeNumerically("<=", 30*time.Second))
		}},
		{"deadline of the preset bounds it", "/v1/services/status/x", []string{"Deadline-Ms: 9223372036854775807"}, "GET", "status", func(g *gomega.WithT, req *work.Request) {
			g.Expect(req.Deadline).To(gomega.BeTemporally(">=", began.Add(presetDeadline)))
			g.Expect(time.Until(req.Deadline)).To(gomega.BeNumerically("<=", presetDeadline))
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			g := expect(t)
			requests := make(chan *work.Request, 1)
			_, address := start(t, capture(requests), nil)
			got := exchange(t, address, tc.method+" "+tc.target+" HTTP/1.1", tc.header...)
			g.Expect(got.status).To(gomega.Equal(http.StatusOK), "%v %s", got.err, got.body)
			req := <-requests
			g.Expect(req.Method).To(gomega.Equal(tc.method))
			g.Expect(req.Service).To(gomega.Equal(tc.service))
			tc.check(g, req)
		})
	}
}

func TestMalformedRequestsAreRefusedAndNotRun(t *testing.T) {
	cases := []struct {
		name, target string
		header       []string
		status       int
	}{
		{"unknown service", "/v1/services/none/x", nil, 404},
		{"no service", "/v1/services//x", nil, 400},
		{"deadline not a number", "/v1/services/status/x", []string{"Deadline-Ms: soon"}, 400},
		{"deadline not positive", "/v1/services/status/x", []string{"Deadline-Ms: 0"}, 400},
		{"key too long", "/v1/services/orders/x", []string{"Idempotency-Key: " + strings.Repeat("k", 257)}, 400},
		{"two keys", "/v1/services/orders/x", []string{"Idempotency-Key: a", "Idempotency-Key: b"}, 400},
		{"key with a space", "/v1/services/orders/x", []string{"Idempotency-Key: a b"}, 400},
		{"two lengths", "/v1/services/orders/x", []string{"Content-Length: 1", "Content-Length: 2"}, 400},
		{"header too large", "/v1/services/orders/x", []string{"X-Large: " + strings.Repeat("x", 64<<10)}, 431},
		{"nothing there", "/v2/", nil, 404},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			g := expect(t)
			requests := make(chan *work.Request, 1)
			_, address := start(t, capture(requests), nil)
			got := exchange(t, address, "POST "+tc.target+" HTTP/1.1", tc.header...)
			g.Expect(got.status).To(gomega.Equal(tc.status), "%v", got.err)
			g.Expect(requests).To(gomega.BeEmpty())
		})
	}
}

func TestOutcomesAreLoggedAndCounted(t *testing.T) {
	cases := []struct {
		response *work.Response
		event    event.ID
	}{
		{work.Refuse(work.ReasonNoUpstream, 0), event.NoUpstream},
		{work.Refuse(work.ReasonNoOwner, 0), event.NoUpstream},
		{work.Refuse(work.ReasonHeadroom, 0), event.HeadroomUsedUp},
		{work.Refuse(work.ReasonShiftCap, 0), event.ShiftAtCap},
		{work.Refuse(work.ReasonLinkCap, 0), event.LinkAtCap},
		{work.Refuse(work.ReasonTableFull, 0), event.KeyTableFull},
		{work.UnknownOutcome(work.ReasonKeyConflict), event.KeyConflict},
		{work.UnknownOutcome(work.ReasonUpstreamBroken), event.UpstreamBroken},
	}
	for _, tc := range cases {
		t.Run(string(tc.response.Reason), func(t *testing.T) {
			g := expect(t)
			events, counted := event.Discard(), make(observed, 1)
			_, address := start(t, func(context.Context, *work.Request) *work.Response { return tc.response },
				func(o *api.CallersOptions) { o.Events, o.Observer = events, counted })
			exchange(t, address, "GET /v1/services/status/x HTTP/1.1")
			g.Expect(events.Count(tc.event)).To(gomega.BeEquivalentTo(1))
			g.Expect(<-counted).To(gomega.Equal("status " + tc.response.Outcome.String() + " " + string(tc.response.Reason)))
		})
	}
}

// observed is an Observer that hands over what it is told.
type observed chan string

func (o observed) RequestDone(service string, _ work.Kind, outcome work.Outcome, reason work.Reason, _ time.Duration) {
	o <- service + " " + outcome.String() + " " + string(reason)
}

func TestMalformedRequestsAreCounted(t *testing.T) {
	g := expect(t)
	counted := make(observed, 1)
	_, address := start(t, nil, func(o *api.CallersOptions) { o.Observer = counted })
	exchange(t, address, "GET /v1/services/none/x HTTP/1.1")
	g.Expect(<-counted).To(gomega.Equal(" not-run unknown_service"))
}

func TestPanicBreaksOneRequestOnly(t *testing.T) {
	g := expect(t)
	events := event.Discard()
	_, address := start(t, func(_ context.Context, req *work.Request) *work.Response {
		if req.Path == "/panic" {
			panic("a defect")
		}
		return ranText("ok")
	}, func(o *api.CallersOptions) { o.Events = events })
	got := exchange(t, address, "GET /v1/services/status/panic HTTP/1.1")
	g.Expect(got.err).To(gomega.HaveOccurred(), "no answer looks like one")
	g.Expect(events.Count(event.HandlerPanic)).To(gomega.BeEquivalentTo(1))
	g.Expect(exchange(t, address, "GET /v1/services/status/x HTTP/1.1").status).To(gomega.Equal(200))
}

func TestSlowHeaderEndsTheConnection(t *testing.T) {
	g := expect(t)
	_, address := startTimed(t, nil, 300*time.Millisecond, nil)
	c := dial(t, address)
	c.send(t, "GET /v1/services/status/x HTTP/1.1\r\nHost")
	got := c.receive("GET")
	g.Expect(got.err != nil || got.status >= 400).To(gomega.BeTrue(), "status %d", got.status)
	g.Expect(c.closed()).To(gomega.BeTrue())
}

func TestRequestsOverTheLimitAreRefused(t *testing.T) {
	g := expect(t)
	events := event.Discard()
	arrived, release := make(chan bool, 1), make(chan bool)
	s, address := start(t, func(context.Context, *work.Request) *work.Response {
		arrived <- true
		<-release
		return ranText("ok")
	}, func(o *api.CallersOptions) { o.MaxRequests = 1; o.Events = events })
	running := dial(t, address)
	running.send(t, "GET /v1/services/status/x HTTP/1.1\r\nHost: t\r\n\r\n")
	<-arrived
	g.Expect(s.Active()).To(gomega.Equal(1))
	got := exchange(t, address, "GET /v1/services/status/x HTTP/1.1")
	g.Expect(got.status).To(gomega.Equal(429))
	g.Expect(got.header.Get("Outcome")).To(gomega.Equal("not-run"))
	g.Expect(events.Count(event.CallersOverLimit)).To(gomega.BeEquivalentTo(1))
	close(release)
	g.Expect(running.receive("GET").status).To(gomega.Equal(200))
	g.Eventually(s.Active, socketLimit).Should(gomega.BeZero())
}

func TestPlannedStopFinishesWhatIsInFlight(t *testing.T) {
	g := expect(t)
	arrived, release := make(chan bool, 1), make(chan bool)
	s, address := start(t, func(context.Context, *work.Request) *work.Response {
		arrived <- true
		<-release
		return ranText("ok")
	}, nil)
	idle, running := dial(t, address), dial(t, address)
	running.send(t, "GET /v1/services/status/x HTTP/1.1\r\nHost: t\r\n\r\n")
	<-arrived
	cut := make(chan int, 1)
	go func() { cut <- s.Stop(context.Background()) }()
	g.Eventually(func() error {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			return conn.Close()
		}
		return err
	}, socketLimit).Should(gomega.HaveOccurred(), "new connections are refused")
	g.Expect(cut).NotTo(gomega.Receive())
	close(release)
	got := running.receive("GET")
	g.Expect(got.err).NotTo(gomega.HaveOccurred())
	g.Expect(string(got.body)).To(gomega.Equal("ok"))
	g.Eventually(cut, 2*socketLimit).Should(gomega.Receive(gomega.BeZero()))
	g.Expect(idle.closed()).To(gomega.BeTrue())
}

func TestForcedStopTellsHowManyWereCut(t *testing.T) {
	g := expect(t)
	arrived := make(chan bool, 1)
	s, address := start(t, func(ctx context.Context, _ *work.Request) *work.Response {
		arrived <- true
		<-ctx.Done()
		return work.UnknownOutcome(work.ReasonCanceled)
	}, nil)
	c := dial(t, address)
	c.send(t, "GET /v1/services/status/x HTTP/1.1\r\nHost: t\r\n\r\n")
	<-arrived
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	g.Expect(s.Stop(ctx)).To(gomega.Equal(1))
}

func TestLeavingInstanceLetsCallersReconnect(t *testing.T) {
	g := expect(t)
	_, address := start(t, func(context.Context, *work.Request) *work.Response { return ranText("ok") },
		func(o *api.CallersOptions) { o.Snapshot = snapshotOf(control.Leaving) })
	got := exchange(t, address, "GET /v1/services/status/x HTTP/1.1")
	g.Expect(got.status).To(gomega.Equal(200))
	g.Expect(got.close).To(gomega.BeTrue())
}

func TestNoSnapshotMeansNotReady(t *testing.T) {
	g := expect(t)
	_, address := start(t, nil, func(o *api.CallersOptions) {
		o.Snapshot = func() *control.Snapshot { return nil }
		o.Ready = func() error { return errors.New("no snapshot") }
	})
	got := exchange(t, address, "GET /v1/services/status/x HTTP/1.1")
	g.Expect(got.header.Get("Outcome-Reason")).To(gomega.Equal("not_ready"))
	got = exchange(t, address, "GET /readyz HTTP/1.1")
	g.Expect(got.status).To(gomega.Equal(503))
	g.Expect(string(got.body)).To(gomega.ContainSubstring("no snapshot"))
}

func TestEntriesAndKeys(t *testing.T) {
	cases := []struct {
		name, request string
		keyFault      error
		status        int
		cache, body   string
	}{
		{"entries", "GET /v1/entries?service=status", nil, 200, "max-age=5", `{"service":"status","max_age_ms":5000,"entries":[{"name":"e1","zone":"east-a","region":"east","address":"127.0.0.1:1"}]}`},
		{"entries with a key", "GET /v1/entries?service=orders&issue_key=true", nil, 200, "no-store", `"key":"key-of-orders"`},
		{"no key for a lookup", "GET /v1/entries?service=status&issue_key=true", nil, 200, "max-age=5", `"entries":[`},
		{"no service", "GET /v1/entries", nil, 400, "", "service=NAME"},
		{"unknown service", "GET /v1/entries?service=none", nil, 404, "", `unknown_service`},
		{"bad client", "GET /v1/entries?service=status&client=x", nil, 400, "", "not an IP address"},
		{"key", "POST /v1/keys?service=orders", nil, 201, "no-store", `{"key":"key-of-orders","expires":"1970-01-01T00:16:40Z"}`},
		{"no key now", "POST /v1/keys?service=orders", errors.New("catching up"), 503, "", "catching up"},
		{"key by GET", "GET /v1/keys?service=orders", nil, 405, "", ""},
		{"healthy", "GET /healthz", nil, 200, "", "ok"},
		{"ready", "GET /readyz", nil, 200, "", "ready"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			g := expect(t)
			_, address := start(t, nil, func(o *api.CallersOptions) { o.Keys = fakeKeys{err: tc.keyFault} })
			got := exchange(t, address, tc.request+" HTTP/1.1")
			g.Expect(got.status).To(gomega.Equal(tc.status))
			g.Expect(got.header.Get("Cache-Control")).To(gomega.Equal(tc.cache))
			g.Expect(string(got.body)).To(gomega.ContainSubstring(tc.body))
		})
	}
}

func BenchmarkLookup(b *testing.B) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	s := api.NewCallers(ln, api.CallersOptions{
		Router:   routerFunc(func(context.Context, *work.Request) *work.Response { return ranText("ok") }),
		Snapshot: snapshotOf(control.Serving),
		Services: map[string]work.Kind{"status": work.Lookup},
		Events:   event.Discard(),
	})
	s.Start()
	defer s.Stop(context.Background())
	benchmarkGet(b, fmt.Sprintf("http://%s/v1/services/status/x", ln.Addr()))
}

// BenchmarkPlainServer is what BenchmarkLookup is compared with.
func BenchmarkPlainServer(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		io.WriteString(w, "ok") //nolint:errcheck // the client sees it
	}))
	defer server.Close()
	benchmarkGet(b, server.URL)
}

func benchmarkGet(b *testing.B, url string) {
	b.ReportAllocs()
	for b.Loop() {
		resp, err := http.Get(url)
		if err != nil {
			b.Fatal(err)
		}
		io.Copy(io.Discard, resp.Body) //nolint:errcheck // whole in this benchmark
		resp.Body.Close()
	}
}
