// Package gateway takes the requests of callers, has the steering core decide
// where they go, and returns the answers of upstreams unchanged.
package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"sycamoreledge.example/internal/event"
	"sycamoreledge.example/internal/exchange"
	"sycamoreledge.example/internal/metrics"
	"sycamoreledge.example/internal/routing"
	"sycamoreledge.example/internal/steering"
	"sycamoreledge.example/internal/work"
)

// Sender sends single attempts; see exchange.Client.
type Sender interface {
	Do(ctx context.Context, a *exchange.Attempt) exchange.Result
}

// Options are what a Gateway needs.
type Options struct {
	Core    *steering.Core
	Sender  Sender
	Dialect exchange.Dialect
	Events  *event.Logger
	// Metrics counts requests; nil counts nothing.
	Metrics *metrics.Metrics
	// Ready reports whether the core knows all that decides where requests may go;
	// nil means that it always does.
	Ready func() bool
	// BodyMemory bounds the bodies of requests and answers that are held at once, in
	// bytes; 0 does not.
	BodyMemory int64
}

// Gateway is the handler of the callers' listener.
type Gateway struct {
	Options
	// leaving is set during a planned stop.
	leaving atomic.Bool
	// busy counts the requests in progress.
	busy atomic.Int64
	// held is the size of the bodies held, in bytes.
	held atomic.Int64
}

// New returns a gateway.
func New(options Options) *Gateway { return &Gateway{Options: options} }

// Leave ends kept connections with their next answers.
func (g *Gateway) Leave() { g.leaving.Store(true) }

// Busy is the number of requests in progress.
func (g *Gateway) Busy() int64 { return g.busy.Load() }

const (
	// defaultPatience is for callers that do not say how long they wait and routes
	// without a timeout.
	defaultPatience = 30 * time.Second
	// notReadyWait is when callers may come back to an instance that is starting:
	// it has read all it needs within some 300 ms.
	notReadyWait = 500 * time.Millisecond
)

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.busy.Add(1)
	defer g.busy.Add(-1)
	if g.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	t := &trip{gateway: g, w: w, r: r, arrived: time.Now(), caller: g.Dialect.Caller(r.Header)}
	table := g.Core.Table()
	// An upstream that is known may be in a zone that is being drained, which is
	// not known yet.
	if table == nil || g.Ready != nil && !g.Ready() {
		t.refuse(http.StatusServiceUnavailable, work.ReasonNotReady, notReadyWait)
		return
	}
	t.config = table.Version
	t.route = table.Match(r.Host, target(r))
	if t.route == nil {
		t.fail(http.StatusNotFound, work.ReasonUnknownService, nil)
		return
	}
	if t.caller.ID == "" {
		t.fail(http.StatusBadRequest, work.ReasonBadRequest, nil)
		return
	}
	if limit := table.Limits.HeaderBytes; limit > 0 && headerSize(r) > limit {
		t.fail(http.StatusRequestHeaderFieldsTooLarge, work.ReasonBadRequest, nil)
		return
	}
	t.deadline = t.arrived.Add(patience(t.caller, t.route))
	defer t.held.release(g)
	if !t.readBody(table.Limits) {
		return
	}
	t.run()
}

// target is the path and query as the caller sent them.
func target(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	// The absolute form names the host once more.
	_, rest, ok := strings.Cut(r.RequestURI, "://")
	if i := strings.IndexByte(rest, '/'); ok && i >= 0 {
		return rest[i:]
	}
	return "/"
}

// patience is how long the caller waits for its answer at most.
func patience(c exchange.Caller, route *routing.Route) time.Duration {
	wait := c.Patience
	if wait <= 0 {
		wait = defaultPatience
	}
	if route.Timeout > 0 {
		wait = min(wait, route.Timeout)
	}
	return wait
}

// trip is one request on its way.
type trip struct {
	gateway  *Gateway
	w        http.ResponseWriter
	r        *http.Request
	arrived  time.Time
	deadline time.Time
	caller   exchange.Caller
	route    *routing.Route
	body     []byte
	held     holding
	// service is the part of the route that the request belongs to, config the
	// version of the configuration that it is handled by.
	service string
	config  string
	// outcomes are those of the attempts, story tells them for the log.
	outcomes []work.Outcome
	story    []string
}

// readBody reads the body whole. It reports whether the request goes on.
func (t *trip) readBody(limits routing.Limits) bool {
	if t.r.ContentLength == 0 {
		return true
	}
	limit := limits.BodyBytes
	if limit <= 0 {
		limit = maxBody
	}
	if t.r.ContentLength > limit {
		t.fail(http.StatusRequestEntityTooLarge, work.ReasonBadRequest, nil)
		return false
	}
	size := t.r.ContentLength
	if size < 0 {
		size = min(limit, unknownBody)
	}
	if !t.held.reserveFirst(t.gateway, size) {
		// Nothing was sent; the caller's body is not read.
		t.w.Header().Set("Connection", "close")
		t.refuse(http.StatusServiceUnavailable, work.ReasonTableFull, notReadyWait)
		return false
	}
	reading := http.NewResponseController(t.w)
	// Only a connection that another handler has taken over refuses a deadline.
	_ = reading.SetReadDeadline(t.deadline)
	body, err := io.ReadAll(io.LimitReader(t.r.Body, limit+1))
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		t.w.Header().Set("Connection", "close")
		t.refuse(http.StatusRequestTimeout, work.ReasonDeadline, 0)
		return false
	case err != nil:
		t.abort(work.ReasonCanceled, err)
		return false
	case int64(len(body)) > limit:
		t.fail(http.StatusRequestEntityTooLarge, work.ReasonBadRequest, nil)
		return false
	}
	// net/http goes on reading, to notice a caller that leaves.
	_ = reading.SetReadDeadline(time.Time{})
	t.body = body
	return true
}

const (
	// maxBody bounds bodies when the configuration does not, in bytes.
	maxBody = 64 << 20
	// unknownBody is what a body of unknown length is taken to hold, in bytes.
	unknownBody = 1 << 20
)

// headerSize is the size of the request line and the header in bytes.
func headerSize(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len("  HTTP/1.1\r\nHost: \r\n\r\n") + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + len(": \r\n")
		}
	}
	return size
}

func (t *trip) attempt(d steering.Decision) *exchange.Attempt {
	u := d.Target
	return &exchange.Attempt{
		Upstream: u.ID, Address: u.Address, ID: t.caller.ID,
		Method: t.r.Method, Target: target(t.r), Host: t.r.Host,
		Header: forwarded(t.r.Header), Body: t.body, Deadline: t.deadline,
		Reserve:   func(bytes int64) bool { return t.held.reserve(t.gateway, bytes) },
		BrokenOff: func() { t.gateway.Core.ResponseTruncated(time.Now(), d.Ticket) },
	}
}

// giveUp answers a request that is not sent any more.
func (t *trip) giveUp(last exchange.Result, d steering.Decision) {
	switch {
	case t.r.Context().Err() != nil:
		t.abort(work.ReasonCanceled, t.r.Context().Err())
	case last.Outcome == work.Run:
		t.deliver(last)
	case last.Outcome == work.Unknown && last.Reason == work.ReasonUpstreamTimeout:
		t.fail(http.StatusGatewayTimeout, last.Reason, last.Err)
	case last.Outcome == work.Unknown || t.mayHaveRun():
		t.fail(http.StatusBadGateway, last.Reason, last.Err)
	default:
		t.refuse(http.StatusServiceUnavailable, d.Reason, d.RetryAfter)
	}
}

// mayHaveRun reports whether an earlier attempt may have run.
func (t *trip) mayHaveRun() bool {
	return slices.ContainsFunc(t.outcomes, func(o work.Outcome) bool { return o != work.NotRun })
}
