// Package gateway is the HTTP handler of callers' requests. It forwards them to the
// upstreams that the steering core chooses and returns their responses unchanged.
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

// Sender sends one attempt to an upstream; see exchange.Client.
type Sender interface {
	Do(ctx context.Context, a *exchange.Attempt) exchange.Result
}

// Options are the dependencies and limits of a Gateway.
type Options struct {
	Core    *steering.Core
	Sender  Sender
	Dialect exchange.HeaderCodec
	Events  *event.Logger
	// Metrics counts requests. It may be nil.
	Metrics *metrics.Metrics
	// Ready reports whether the core has all the state that decides which upstreams
	// may get requests. Nil means that it always has.
	Ready func() bool
	// MaxBufferedBytes bounds the total size of the buffered request and response bodies,
	// in bytes. 0 means no limit.
	MaxBufferedBytes int64
}

// Gateway is the handler of the callers' listener.
type Gateway struct {
	Options
	// stopping is set during a planned stop.
	stopping atomic.Bool
	// inFlight counts the requests in progress.
	inFlight atomic.Int64
	// bufferedBytes is the total size of the buffered bodies, in bytes.
	bufferedBytes atomic.Int64
}

// New returns a gateway.
func New(options Options) *Gateway { return &Gateway{Options: options} }

// CloseKeepAlives closes keep-alive connections with their next responses.
func (g *Gateway) CloseKeepAlives() { g.stopping.Store(true) }

// InFlight returns the number of requests in progress.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

const (
	// defaultTimeout applies to callers that state no timeout.
	defaultTimeout = 30 * time.Second
	// notReadyRetryAfter is the retry delay of an instance that is starting: it is
	// ready after about 300 ms. It also applies when the body memory is exhausted and
	// when the deadline has passed.
	notReadyRetryAfter = 500 * time.Millisecond
)

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	if g.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	t := &transaction{gateway: g, w: w, r: r, received: time.Now(), caller: g.Dialect.ParseCaller(r.Header)}
	table := g.Core.Table()
	// Before that, a known upstream may be in a zone whose drain is not known yet.
	if table == nil || g.Ready != nil && !g.Ready() {
		t.refuse(http.StatusServiceUnavailable, work.ReasonNotReady, notReadyRetryAfter)
		return
	}
	t.configVersion = table.Version
	t.route = table.Match(r.Host, requestTarget(r))
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
	t.deadline = t.received.Add(requestTimeout(t.caller, t.route))
	defer t.reservation.release(g)
	if !t.readBody(table.Limits) {
		return
	}
	t.forward()
}

// requestTarget returns the path and query as the caller sent them.
func requestTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	// The absolute form has the scheme and host before the path.
	_, rest, ok := strings.Cut(r.RequestURI, "://")
	if i := strings.IndexByte(rest, '/'); ok && i >= 0 {
		return rest[i:]
	}
	return "/"
}

// requestTimeout returns the timeout of a request: the lesser of the caller's and
// the route's.
func requestTimeout(c exchange.CallerInfo, route *routing.Route) time.Duration {
	timeout := c.MaxWait
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if route.Timeout > 0 {
		timeout = min(timeout, route.Timeout)
	}
	return timeout
}

// transaction is the processing of one request of a caller.
type transaction struct {
	gateway     *Gateway
	w           http.ResponseWriter
	r           *http.Request
	received    time.Time
	deadline    time.Time
	caller      exchange.CallerInfo
	route       *routing.Route
	body        []byte
	reservation reservation
	// service is the service of the route that the request is assigned to,
	// configVersion the version of the configuration that applies to it.
	service       string
	configVersion string
	// outcomes are the outcomes of the attempts, attemptSummaries their descriptions
	// for the log.
	outcomes         []work.Outcome
	attemptSummaries []string
}

// readBody reads the complete body. It reports false if it has responded with an
// error instead.
func (t *transaction) readBody(limits routing.Limits) bool {
	if t.r.ContentLength == 0 {
		return true
	}
	limit := limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBody
	}
	if t.r.ContentLength > limit {
		t.fail(http.StatusRequestEntityTooLarge, work.ReasonBadRequest, nil)
		return false
	}
	size := t.r.ContentLength
	if size < 0 {
		size = min(limit, assumedBodySize)
	}
	if !t.reservation.reserveRequestBody(t.gateway, size) {
		// The body is not read, so the connection cannot be reused.
		t.w.Header().Set("Connection", "close")
		t.refuse(http.StatusServiceUnavailable, work.ReasonTableFull, notReadyRetryAfter)
		return false
	}
	controller := http.NewResponseController(t.w)
	// Setting a deadline fails only on a hijacked connection.
	_ = controller.SetReadDeadline(t.deadline)
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
	// net/http continues to read, to detect that the caller disconnects.
	_ = controller.SetReadDeadline(time.Time{})
	t.body = body
	return true
}

const (
	// defaultMaxBody is the largest body in bytes if the configuration sets no limit.
	defaultMaxBody = 64 << 20
	// assumedBodySize is the size in bytes that is reserved for a body of unknown
	// length.
	assumedBodySize = 1 << 20
)

// headerSize returns the size of the request line and the header in bytes.
func headerSize(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len("  HTTP/1.1\r\nHost: \r\n\r\n") + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + len(": \r\n")
		}
	}
	return size
}

func (t *transaction) newAttempt(d steering.Decision) *exchange.Attempt {
	u := d.Target
	return &exchange.Attempt{
		Upstream: u.ID, Address: u.Address, ID: t.caller.ID,
		Method: t.r.Method, Target: requestTarget(t.r), Host: t.r.Host,
		Header: forwardedHeader(t.r.Header), Body: t.body, Deadline: t.deadline,
		Reserve:     func(bytes int64) bool { return t.reservation.reserve(t.gateway, bytes) },
		OnTruncated: func() { t.gateway.Core.ResponseTruncated(time.Now(), d.Ticket) },
	}
}

// finish responds to a request for which no further attempt is made.
func (t *transaction) finish(lastResult exchange.Result, d steering.Decision) {
	switch {
	case t.r.Context().Err() != nil:
		t.abort(work.ReasonCanceled, t.r.Context().Err())
	case lastResult.Outcome == work.Run:
		t.deliver(lastResult)
	case lastResult.Outcome == work.Unknown && lastResult.Reason == work.ReasonUpstreamTimeout:
		t.fail(http.StatusGatewayTimeout, lastResult.Reason, lastResult.Err)
	case lastResult.Outcome == work.Unknown || t.mayHaveRun():
		t.fail(http.StatusBadGateway, lastResult.Reason, lastResult.Err)
	default:
		t.refuse(http.StatusServiceUnavailable, d.Reason, d.RetryAfter)
	}
}

// mayHaveRun reports whether an earlier attempt may have run.
func (t *transaction) mayHaveRun() bool {
	return slices.ContainsFunc(t.outcomes, func(o work.Outcome) bool { return o != work.NotRun })
}
