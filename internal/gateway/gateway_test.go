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

type dialect struct{ exchange.Dialect }

func (dialect) Caller(h http.Header) exchange.Caller {
	wait, _ := time.ParseDuration(h.Get("Wait"))
	return exchange.Caller{ID: h.Get("Id"), Patience: wait}
}
func (dialect) RetryAfter(h http.Header, wait time.Duration) { h.Set("Back-In", wait.String()) }
func (dialect) Identify(h http.Header, id string)            { h.Set("Id", id) }

// sender answers attempts by a script and records them.
type sender struct {
	mu       sync.Mutex
	results  []exchange.Result
	attempts []*exchange.Attempt
	// block holds attempts until their context ends.
	block    bool
	canceled chan struct{}
}

func (s *sender) Do(ctx context.Context, a *exchange.Attempt) exchange.Result {
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
			return ran(200, "done")
		}
	}
	return s.results[min(n, len(s.results)-1)]
}

func ran(status int, body string) exchange.Result {
	return exchange.Result{
		Outcome: work.Run, Status: status, Body: []byte(body),
		Header: http.Header{"Signature": {"sig"}, "Connection": {"X-Hop"}, "X-Hop": {"1"}},
	}
}

var (
	refused = exchange.Result{Outcome: work.NotRun, Reason: work.ReasonUpstreamShed, Status: 503}
	broken  = exchange.Result{Outcome: work.Unknown, Reason: work.ReasonUpstreamBroken, Err: errors.New("reset")}
	late    = exchange.Result{Outcome: work.Unknown, Reason: work.ReasonUpstreamTimeout, Err: errors.New("late")}
	absent  = exchange.Result{Outcome: work.NotRun, Reason: work.ReasonUpstreamConnect, Err: errors.New("refused")}
)

type bench struct {
	url    string
	core   *steering.Core
	sender *sender
	gate   *gateway.Gateway
}

func newBench(t *testing.T, results ...exchange.Result) *bench {
	t.Helper()
	place := deployment.Place{Zone: "z", Region: "r"}
	b := &bench{sender: &sender{results: results, canceled: make(chan struct{})}}
	b.core = steering.New(steering.Config{Instance: "e", Place: place, Bounds: deployment.Bounds{
		RetryRatio: 0.2, RetrySlack: 1000, RetryWindow: 10 * time.Second,
	}})
	for _, id := range []string{"u1", "u2", "u3", "u4"} {
		b.core.SetUpstream(time.Now(), steering.Upstream{ID: id, Incarnation: 1, Service: "s", Address: id, Place: place, Slots: 4})
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
	b.core.SetTable(table)
	// The budget for repeats grows with the time that the core runs.
	began := time.Now().Add(-time.Minute)
	first := b.core.Choose(began, &steering.Request{Route: table.Match("h", "/lookup/"), Service: "s", Deadline: began.Add(time.Second)})
	b.core.Done(began, first.Ticket, exchange.Result{Outcome: work.Unknown, Reason: work.ReasonCanceled})
	b.gate = gateway.New(gateway.Options{Core: b.core, Sender: b.sender, Dialect: dialect{}, Events: event.Discard()})
	server := httptest.NewServer(b.gate)
	t.Cleanup(server.Close)
	b.url = server.URL
	return b
}

// reply is what a caller sees of an answer.
type reply struct {
	StatusCode int
	Header     http.Header
	Close      bool
}

func (b *bench) call(t *testing.T, method, path, body string) (reply, string) {
	t.Helper()
	req, err := http.NewRequest(method, b.url+path, strings.NewReader(body))
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
	return reply{resp.StatusCode, resp.Header, resp.Close}, string(text)
}

func TestAnswers(t *testing.T) {
	cases := []struct {
		name     string
		path     string
		results  []exchange.Result
		status   int
		body     string
		attempts int
		back     bool
	}{
		{"whole answer", "/lookup/1", []exchange.Result{ran(200, "x")}, 200, "x", 1, false},
		{"failure of the upstream on an order", "/order/1", []exchange.Result{ran(500, "e")}, 500, "e", 1, false},
		{"lookup sent again after a broken answer", "/lookup/1", []exchange.Result{broken, ran(200, "x")}, 200, "x", 2, false},
		{"lookup sent again after a failure", "/lookup/1", []exchange.Result{ran(500, "e"), ran(200, "x")}, 200, "x", 2, false},
		{"lookup that fails twice", "/lookup/1", []exchange.Result{broken, broken, broken}, 502, "", 2, false},
		{"lookup that fails, then is refused", "/lookup/1", []exchange.Result{broken, refused}, 502, "", 2, false},
		{"order not sent again when it may have run", "/order/1", []exchange.Result{broken, ran(200, "x")}, 502, "", 1, false},
		{"order sent again after a refusal", "/order/1", []exchange.Result{refused, ran(200, "x")}, 200, "x", 2, false},
		{"order refused by all", "/order/1", []exchange.Result{refused, refused}, 503, "", 2, true},
		{"refusal, then it may have run", "/order/1", []exchange.Result{refused, broken}, 502, "", 2, false},
		{"late", "/order/1", []exchange.Result{late}, 504, "", 1, false},
		{"upstreams that cannot be reached are no attempts", "/order/1", []exchange.Result{absent, absent, ran(200, "x")}, 200, "x", 3, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			b := newBench(t, c.results...)
			resp, body := b.call(t, http.MethodGet, c.path, "")
			g.Expect(resp.StatusCode).To(gomega.Equal(c.status))
			g.Expect(body).To(gomega.Equal(c.body))
			g.Expect(b.sender.attempts).To(gomega.HaveLen(c.attempts))
			g.Expect(resp.Header.Get("Back-In") != "").To(gomega.Equal(c.back))
			if c.body != "" {
				g.Expect(resp.Header.Get("Signature")).To(gomega.Equal("sig"))
				g.Expect(resp.Header).NotTo(gomega.HaveKey("X-Hop"), "fields of one connection")
				g.Expect(resp.Header).NotTo(gomega.HaveKey("Content-Type"), "nothing is added")
			} else {
				g.Expect(resp.Header).NotTo(gomega.HaveKey("Signature"))
				g.Expect(resp.Header.Get("Id")).To(gomega.Equal("q1"))
			}
			tried := map[string]bool{}
			for _, a := range b.sender.attempts {
				tried[a.Upstream] = true
			}
			g.Expect(tried).To(gomega.HaveLen(c.attempts), "each attempt goes to another upstream")
		})
	}
}

func TestRefusalsBeforeAnAttempt(t *testing.T) {
	g := gomega.NewWithT(t)
	b := newBench(t, ran(200, "x"))
	resp, _ := b.call(t, http.MethodGet, "/none/1", "")
	g.Expect(resp.StatusCode).To(gomega.Equal(404))
	resp, _ = b.call(t, http.MethodPost, "/order/1", strings.Repeat("x", 1001))
	g.Expect(resp.StatusCode).To(gomega.Equal(413))
	g.Expect(b.sender.attempts).To(gomega.BeEmpty())

	for _, id := range []string{"u1", "u2", "u3", "u4"} {
		b.core.RemoveUpstream(id)
	}
	resp, _ = b.call(t, http.MethodGet, "/order/1", "")
	g.Expect(resp.StatusCode).To(gomega.Equal(503))
	g.Expect(resp.Header.Get("Back-In")).NotTo(gomega.BeEmpty())

	unready := gateway.New(gateway.Options{
		Core: steering.New(steering.Config{}), Sender: b.sender, Dialect: dialect{}, Events: event.Discard(),
	})
	recorder := httptest.NewRecorder()
	unready.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/order/1", nil))
	g.Expect(recorder.Code).To(gomega.Equal(503), "without a configuration nothing is said to be missing")
}

func TestStartingInstanceSendsNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	b := newBench(t, ran(200, "x"))
	var ready atomic.Bool
	// Upstreams and configuration are known, drained zones are not.
	b.gate.Ready = ready.Load
	resp, _ := b.call(t, http.MethodGet, "/lookup/1", "")
	g.Expect(resp.StatusCode).To(gomega.Equal(503))
	g.Expect(resp.Header.Get("Back-In")).NotTo(gomega.BeEmpty())
	resp, _ = b.call(t, http.MethodGet, "/none/1", "")
	g.Expect(resp.StatusCode).To(gomega.Equal(503))
	g.Expect(b.sender.attempts).To(gomega.BeEmpty())
	ready.Store(true)
	resp, _ = b.call(t, http.MethodGet, "/lookup/1", "")
	g.Expect(resp.StatusCode).To(gomega.Equal(200))
}

func TestBodyAndTargetGoOutUnchanged(t *testing.T) {
	g := gomega.NewWithT(t)
	b := newBench(t, ran(200, "x"))
	resp, _ := b.call(t, http.MethodPost, "/order/a%2Fb//c?x=%20", "payload")
	g.Expect(resp.StatusCode).To(gomega.Equal(200))
	a := b.sender.attempts[0]
	g.Expect(a.Target).To(gomega.Equal("/order/a%2Fb//c?x=%20"))
	g.Expect(string(a.Body)).To(gomega.Equal("payload"))
	g.Expect(a.Host).To(gomega.Equal("h"))
	g.Expect(a.ID).To(gomega.Equal("q1"))
	g.Expect(time.Until(a.Deadline)).To(gomega.BeNumerically("<=", 2*time.Second), "the route's timeout bounds the wait")
}

func TestCallerThatLeaves(t *testing.T) {
	cases := []struct {
		path     string
		canceled bool
	}{{"/lookup/1", true}, {"/order/1", false}}
	for _, c := range cases {
		t.Run(c.path, func(t *testing.T) {
			g := gomega.NewWithT(t)
			b := newBench(t)
			b.sender.block = true
			ctx, leave := context.WithCancel(t.Context())
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, b.url+c.path, nil)
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
				g.Eventually(b.sender.canceled, 200*time.Millisecond).Should(gomega.BeClosed())
			} else {
				g.Consistently(b.sender.canceled, 200*time.Millisecond).ShouldNot(gomega.BeClosed())
			}
			g.Eventually(b.gate.Busy, time.Second).Should(gomega.BeZero())
		})
	}
}

func TestPlannedStopEndsKeptConnections(t *testing.T) {
	g := gomega.NewWithT(t)
	b := newBench(t, ran(200, "x"))
	b.gate.Leave()
	resp, _ := b.call(t, http.MethodGet, "/lookup/1", "")
	g.Expect(resp.Close).To(gomega.BeTrue())
}

// slowFirst answers the first attempt late, or never, and the others at once.
type slowFirst struct {
	sender
	first    exchange.Result
	takes    time.Duration
	canceled chan struct{}
}

func (s *slowFirst) Do(ctx context.Context, a *exchange.Attempt) exchange.Result {
	s.mu.Lock()
	s.attempts = append(s.attempts, a)
	n := len(s.attempts)
	s.mu.Unlock()
	if n > 1 {
		return ran(200, "second")
	}
	select {
	case <-ctx.Done():
		close(s.canceled)
		return exchange.Result{Outcome: work.Unknown, Reason: work.ReasonCanceled, Err: ctx.Err()}
	case <-time.After(s.takes):
		return s.first
	}
}

func TestSecondAttemptBesideASlowOne(t *testing.T) {
	cases := []struct {
		name, path, body string
		first            exchange.Result
		takes            time.Duration
		attempts         int
		canceled         bool
	}{
		{"lookup that takes long", "/lookup/1", "second", ran(200, "first"), time.Minute, 2, true},
		{"lookup in time", "/lookup/1", "first", ran(200, "first"), 10 * time.Millisecond, 1, false},
		{"order that takes long", "/order/1", "first", ran(200, "first"), 1900 * time.Millisecond, 1, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			b := newBench(t)
			s := &slowFirst{first: c.first, takes: c.takes, canceled: make(chan struct{})}
			b.gate.Sender = s
			resp, body := b.call(t, http.MethodGet, c.path, "")
			g.Expect(resp.StatusCode).To(gomega.Equal(200))
			g.Expect(body).To(gomega.Equal(c.body))
			s.mu.Lock()
			g.Expect(s.attempts).To(gomega.HaveLen(c.attempts))
			s.mu.Unlock()
			if c.canceled {
				g.Eventually(s.canceled).Should(gomega.BeClosed(), "the work that was overtaken ends")
			}
		})
	}
}

// brokenRest fails after some bytes.
type brokenRest struct{ io.Reader }

func (brokenRest) Close() error { return nil }

func TestLongAnswersAreDelivered(t *testing.T) {
	for _, broken := range []bool{false, true} {
		g := gomega.NewWithT(t)
		long := ran(200, "begin ")
		end := io.Reader(strings.NewReader("end"))
		if broken {
			end = io.MultiReader(end, iotest.ErrReader(io.ErrUnexpectedEOF))
		}
		long.Rest = brokenRest{end}
		b := newBench(t, long)
		req, err := http.NewRequest(http.MethodGet, b.url+"/lookup/1", nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		req.Host = "h"
		req.Header.Set("Id", "q1")
		resp, err := http.DefaultTransport.RoundTrip(req)
		if broken && err != nil {
			continue // nothing of it was on its way yet
		}
		g.Expect(err).NotTo(gomega.HaveOccurred())
		text, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		g.Expect(err != nil).To(gomega.Equal(broken), "a part must not look like the whole")
		g.Expect(string(text)).To(gomega.HavePrefix("begin "))
	}
}

func TestLimitsOfRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	b := newBench(t, ran(200, "x"))
	table := routing.NewTable("8", routing.Limits{HeaderBytes: 300, BodyBytes: 1000}, nil, []routing.Route{{
		Host: "h", Prefix: "/order/", Kind: work.Order, Shares: []routing.Share{{Service: "s", Weight: 1}}, Target: time.Second, MaxAttempts: 1,
	}})
	table.Revision = 2
	b.core.SetTable(table)
	resp, _ := b.call(t, http.MethodPost, "/order/1", "x")
	g.Expect(resp.StatusCode).To(gomega.Equal(200))
	resp, _ = b.call(t, http.MethodPost, "/order/"+strings.Repeat("y", 300), "x")
	g.Expect(resp.StatusCode).To(gomega.Equal(431))

	b.gate.BodyMemory = 500
	b.sender.block = true
	done := make(chan int)
	go func() {
		resp, _ := b.call(t, http.MethodPost, "/order/1", strings.Repeat("x", 400))
		done <- resp.StatusCode
	}()
	g.Eventually(b.gate.Busy).Should(gomega.Equal(int64(1)))
	g.Eventually(func() int {
		resp, _ := b.call(t, http.MethodPost, "/order/1", strings.Repeat("x", 400))
		return resp.StatusCode
	}, 250*time.Millisecond, 20*time.Millisecond).Should(gomega.Equal(503))
	g.Expect(<-done).To(gomega.Equal(200))
}
