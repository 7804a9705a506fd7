package gateway_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/deployment"
	"sycamoreledge.example/internal/event"
	"sycamoreledge.example/internal/exchange"
	"sycamoreledge.example/internal/gateway"
	"sycamoreledge.example/internal/routing"
	"sycamoreledge.example/internal/steering"
	"sycamoreledge.example/internal/work"
)

type dialect struct{ exchange.HeaderCodec }

func (dialect) ParseCaller(h http.Header) exchange.CallerInfo {
	wait, _ := time.ParseDuration(h.Get("Wait"))
	return exchange.CallerInfo{ID: h.Get("Id"), MaxWait: wait}
}
func (dialect) SetRetryAfter(h http.Header, wait time.Duration) { h.Set("Back-In", wait.String()) }
func (dialect) SetRequestID(h http.Header, id string)           { h.Set("Id", id) }

// fakeSender returns scripted results and records the attempts.
type fakeSender struct {
	mu       sync.Mutex
	results  []exchange.Result
	attempts []*exchange.Attempt
	// block makes attempts take 300 ms unless their context is canceled.
	block    bool
	canceled chan struct{}
}

func (s *fakeSender) Do(ctx context.Context, a *exchange.Attempt) exchange.Result {
	s.mu.Lock()
	s.attempts = append(s.attempts, a)
	n := len(s.attempts) - 1
	block := s.block
	s.mu.Unlock()
	if block {
		select {
		case <-ctx.Done():
			close(s.canceled)
			return exchange.Result{Outcome: work.Unknown, Reason: work.ReasonCanceled, Err: ctx.Err()}
		case <-time.After(300 * time.Millisecond):
			return okResult(200, "done")
		}
	}
	return s.results[min(n, len(s.results)-1)]
}

func okResult(status int, body string) exchange.Result {
	return exchange.Result{
		Outcome: work.Run, Status: status, Body: []byte(body),
		Header: http.Header{"Signature": {"sig"}, "Connection": {"X-Hop"}, "X-Hop": {"1"}},
	}
}

var (
	shedResult     = exchange.Result{Outcome: work.NotRun, Reason: work.ReasonUpstreamShed, Status: 503}
	brokenResult   = exchange.Result{Outcome: work.Unknown, Reason: work.ReasonUpstreamBroken, Err: errors.New("reset")}
	timeoutResult  = exchange.Result{Outcome: work.Unknown, Reason: work.ReasonUpstreamTimeout, Err: errors.New("late")}
	connectFailure = exchange.Result{Outcome: work.NotRun, Reason: work.ReasonUpstreamConnect, Err: errors.New("refused")}
)

type fixture struct {
	url     string
	core    *steering.Core
	sender  *fakeSender
	gateway *gateway.Gateway
}

func newFixture(t *testing.T, results ...exchange.Result) *fixture {
	t.Helper()
	place := deployment.Place{Zone: "z", Region: "r"}
	f := &fixture{sender: &fakeSender{results: results, canceled: make(chan struct{})}}
	f.core = steering.New(steering.Config{Instance: "e", Place: place, Bounds: deployment.Bounds{
		RetryRatio: 0.2, RetrySlack: 1000, RetryWindow: 10 * time.Second,
	}})
	for _, id := range []string{"u1", "u2", "u3", "u4"} {
		f.core.SetUpstream(time.Now(), steering.Upstream{ID: id, Incarnation: 1, Service: "s", Address: id, Place: place, Slots: 4})
	}
	shares := []routing.Share{{Service: "s", Weight: 1}}
	route := func(prefix string, kind work.Kind) routing.Route {
		return routing.Route{
			Name: prefix, Host: "h", Prefix: prefix, Kind: kind, Shares: shares,
			Target: time.Second, Timeout: 2 * time.Second, MaxAttempts: 2,
		}
	}
	table := routing.NewTable("7", routing.Limits{BodyBytes: 1000}, nil, []routing.Route{
		route("/lookup/", work.Lookup), route("/order/", work.Order),
	})
	table.Revision = 1
	f.core.SetTable(table)
	// The retry budget grows with time: an attempt a minute ago starts it.
	start := time.Now().Add(-time.Minute)
	first := f.core.Choose(start, &steering.Request{Route: table.Match("h", "/lookup/"), Service: "s", Deadline: start.Add(time.Second)})
	f.core.Done(start, first.Ticket, exchange.Result{Outcome: work.Unknown, Reason: work.ReasonCanceled})
	f.gateway = gateway.New(gateway.Options{Core: f.core, Sender: f.sender, Dialect: dialect{}, Events: event.Discard()})
	server := httptest.NewServer(f.gateway)
	t.Cleanup(server.Close)
	f.url = server.URL
	return f
}

// response is a response as a caller sees it.
type response struct {
	StatusCode int
	Header     http.Header
	Close      bool
}

func (f *fixture) call(t *testing.T, method, path, body string) (response, string) {
	t.Helper()
	req, err := http.NewRequest(method, f.url+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h"
	req.Header.Set("Id", "q1")
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response{resp.StatusCode, resp.Header, resp.Close}, string(text)
}

func TestRequestsRefusedWithoutAttempt(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFixture(t, okResult(200, "x"))
	resp, _ := f.call(t, http.MethodGet, "/none/1", "")
	g.Expect(resp.StatusCode).To(gomega.Equal(404))
	resp, _ = f.call(t, http.MethodPost, "/order/1", strings.Repeat("x", 1001))
	g.Expect(resp.StatusCode).To(gomega.Equal(413))
	g.Expect(f.sender.attempts).To(gomega.BeEmpty())

	for _, id := range []string{"u1", "u2", "u3", "u4"} {
		f.core.RemoveUpstream(id)
	}
	resp, _ = f.call(t, http.MethodGet, "/order/1", "")
	g.Expect(resp.StatusCode).To(gomega.Equal(503))
	g.Expect(resp.Header.Get("Back-In")).NotTo(gomega.BeEmpty())

	unready := gateway.New(gateway.Options{
		Core: steering.New(steering.Config{}), Sender: f.sender, Dialect: dialect{}, Events: event.Discard(),
	})
	recorder := httptest.NewRecorder()
	unready.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/order/1", nil))
	g.Expect(recorder.Code).To(gomega.Equal(503), "a route is not reported as unknown before there is a configuration")
}

func TestNotReadyInstanceSendsNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFixture(t, okResult(200, "x"))
	var ready atomic.Bool
	// Upstreams and configuration are known, but not which zones are drained.
	f.gateway.Ready = ready.Load
	resp, _ := f.call(t, http.MethodGet, "/lookup/1", "")
	g.Expect(resp.StatusCode).To(gomega.Equal(503))
	g.Expect(resp.Header.Get("Back-In")).NotTo(gomega.BeEmpty())
	resp, _ = f.call(t, http.MethodGet, "/none/1", "")
	g.Expect(resp.StatusCode).To(gomega.Equal(503))
	g.Expect(f.sender.attempts).To(gomega.BeEmpty())
	ready.Store(true)
	resp, _ = f.call(t, http.MethodGet, "/lookup/1", "")
	g.Expect(resp.StatusCode).To(gomega.Equal(200))
}

func TestBodyAndTargetAreForwardedUnchanged(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFixture(t, okResult(200, "x"))
	resp, _ := f.call(t, http.MethodPost, "/order/a%2Fb//c?x=%20", "payload")
	g.Expect(resp.StatusCode).To(gomega.Equal(200))
	a := f.sender.attempts[0]
	g.Expect(a.Target).To(gomega.Equal("/order/a%2Fb//c?x=%20"))
	g.Expect(string(a.Body)).To(gomega.Equal("payload"))
	g.Expect(a.Host).To(gomega.Equal("h"))
	g.Expect(a.ID).To(gomega.Equal("q1"))
	g.Expect(time.Until(a.Deadline)).To(gomega.BeNumerically("<=", 2*time.Second), "the route's timeout bounds the deadline")
}

func TestCallerDisconnects(t *testing.T) {
	cases := []struct {
		path     string
		canceled bool
	}{{"/lookup/1", true}, {"/order/1", false}}
	for _, c := range cases {
		t.Run(c.path, func(t *testing.T) {
			g := gomega.NewWithT(t)
			f := newFixture(t)
			f.sender.block = true
			ctx, leave := context.WithCancel(t.Context())
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, f.url+c.path, nil)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			req.Host = "h"
			req.Header.Set("Id", "q1")
			time.AfterFunc(50*time.Millisecond, leave)
			resp, err := http.DefaultTransport.RoundTrip(req)
			if err == nil {
				_ = resp.Body.Close()
			}
			g.Expect(err).To(gomega.HaveOccurred())
			if c.canceled {
				g.Eventually(f.sender.canceled, 200*time.Millisecond).Should(gomega.BeClosed())
			} else {
				g.Consistently(f.sender.canceled, 200*time.Millisecond).ShouldNot(gomega.BeClosed())
			}
			g.Eventually(f.gateway.InFlight, time.Second).Should(gomega.BeZero())
		})
	}
}

func TestPlannedStopClosesKeepAliveConnections(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFixture(t, okResult(200, "x"))
	f.gateway.CloseKeepAlives()
	resp, _ := f.call(t, http.MethodGet, "/lookup/1", "")
	g.Expect(resp.Close).To(gomega.BeTrue())
}

// slowFirstSender delays the result of the first attempt only.
type slowFirstSender struct {
	fakeSender
	first    exchange.Result
	delay    time.Duration
	canceled chan struct{}
}

func (s *slowFirstSender) Do(ctx context.Context, a *exchange.Attempt) exchange.Result {
	s.mu.Lock()
	s.attempts = append(s.attempts, a)
	n := len(s.attempts)
	s.mu.Unlock()
	if n > 1 {
		return okResult(200, "second")
	}
	select {
	case <-ctx.Done():
		close(s.canceled)
		return exchange.Result{Outcome: work.Unknown, Reason: work.ReasonCanceled, Err: ctx.Err()}
	case <-time.After(s.delay):
		return s.first
	}
}

func TestSlowLookupIsHedged(t *testing.T) {
	cases := []struct {
		name, path, body string
		first            exchange.Result
		delay            time.Duration
		attempts         int
		canceled         bool
	}{
		{"slow lookup", "/lookup/1", "second", okResult(200, "first"), time.Minute, 2, true},
		{"fast lookup", "/lookup/1", "first", okResult(200, "first"), 10 * time.Millisecond, 1, false},
		{"slow order", "/order/1", "first", okResult(200, "first"), 1900 * time.Millisecond, 1, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			f := newFixture(t)
			s := &slowFirstSender{first: c.first, delay: c.delay, canceled: make(chan struct{})}
			f.gateway.Sender = s
			resp, body := f.call(t, http.MethodGet, c.path, "")
			g.Expect(resp.StatusCode).To(gomega.Equal(200))
			g.Expect(body).To(gomega.Equal(c.body))
			s.mu.Lock()
			g.Expect(s.attempts).To(gomega.HaveLen(c.attempts))
			s.mu.Unlock()
			if c.canceled {
				g.Eventually(s.canceled).Should(gomega.BeClosed(), "the slower attempt is canceled")
			}
		})
	}
}

type bodyReader struct{ io.Reader }

func (bodyReader) Close() error { return nil }

func TestStreamedResponsesAreDelivered(t *testing.T) {
	for _, broken := range []bool{false, true} {
		g := gomega.NewWithT(t)
		long := okResult(200, "begin ")
		end := io.Reader(strings.NewReader("end"))
		if broken {
			end = io.MultiReader(end, iotest.ErrReader(io.ErrUnexpectedEOF))
		}
		long.UnreadBody = bodyReader{end}
		f := newFixture(t, long)
		req, err := http.NewRequest(http.MethodGet, f.url+"/lookup/1", nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		req.Host = "h"
		req.Header.Set("Id", "q1")
		resp, err := http.DefaultTransport.RoundTrip(req)
		if broken && err != nil {
			continue // aborted before the header was sent
		}
		g.Expect(err).NotTo(gomega.HaveOccurred())
		text, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		g.Expect(err != nil).To(gomega.Equal(broken), "a truncated body must not appear complete")
		g.Expect(string(text)).To(gomega.HavePrefix("begin "))
	}
}

func TestHeaderSizeAndBodyMemoryLimits(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFixture(t, okResult(200, "x"))
	table := routing.NewTable("8", routing.Limits{HeaderBytes: 300, BodyBytes: 1000}, nil, []routing.Route{{
		Host: "h", Prefix: "/order/", Kind: work.Order, Shares: []routing.Share{{Service: "s", Weight: 1}}, Target: time.Second, MaxAttempts: 1,
	}})
	table.Revision = 2
	f.core.SetTable(table)
	resp, _ := f.call(t, http.MethodPost, "/order/1", "x")
	g.Expect(resp.StatusCode).To(gomega.Equal(200))
	resp, _ = f.call(t, http.MethodPost, "/order/"+strings.Repeat("y", 300), "x")
	g.Expect(resp.StatusCode).To(gomega.Equal(431))

	f.gateway.MaxBufferedBytes = 500
	f.sender.block = true
	done := make(chan int)
	go func() {
		resp, _ := f.call(t, http.MethodPost, "/order/1", strings.Repeat("x", 400))
		done <- resp.StatusCode
	}()
	g.Eventually(f.gateway.InFlight).Should(gomega.Equal(int64(1)))
	g.Eventually(func() int {
		resp, _ := f.call(t, http.MethodPost, "/order/1", strings.Repeat("x", 400))
		return resp.StatusCode
	}, 250*time.Millisecond, 20*time.Millisecond).Should(gomega.Equal(503))
	g.Expect(<-done).To(gomega.Equal(200))
}
