package api

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"sycamoreledge.example/internal/api/wire"
	"sycamoreledge.example/internal/control"
	"sycamoreledge.example/internal/event"
	"sycamoreledge.example/internal/work"
)

const (
	// overloadRetryAfter is the retry delay advised when this instance is
	// overloaded or not ready.
	overloadRetryAfter = 100 * time.Millisecond
	// defaultRetryAfter is the retry delay advised for temporary refusals that do
	// not give one.
	defaultRetryAfter = 50 * time.Millisecond
	// maxSmallBodyBytes is the length up to which the rest of a request body is
	// read before an early response, for at most smallBodyReadTimeout.
	maxSmallBodyBytes    = 16 << 10
	smallBodyReadTimeout = 100 * time.Millisecond
)

// exchange is one request of a caller with its response.
type exchange struct {
	server     *Callers
	w          http.ResponseWriter
	r          *http.Request
	controller *http.ResponseController
	id         string
	body       *requestBody
	// aborted is set when the connection must be closed, since part of a response
	// was sent that cannot be completed.
	aborted bool
}

func newExchange(s *Callers, w http.ResponseWriter, r *http.Request) *exchange {
	x := &exchange{server: s, w: w, r: r, controller: http.NewResponseController(w), id: requestID(r.Header)}
	// Without full duplex, the server would read the rest of the body before it
	// sends an early response.
	x.controller.EnableFullDuplex() //nolint:errcheck // HTTP/1.1 supports it
	x.body = &requestBody{source: r.Body}
	return x
}

// buildRequest returns the request to route, or a refusal if it is not valid.
func (x *exchange) buildRequest(now time.Time) (*work.Request, *work.Response) {
	snap := x.server.opts.Snapshot()
	if snap == nil {
		return nil, work.Refuse(work.ReasonNotReady, overloadRetryAfter)
	}
	service, path, ok := splitTarget(x.r.URL)
	if !ok {
		return nil, work.Refuse(work.ReasonBadRequest, 0)
	}
	kind, ok := x.server.opts.Services[service]
	if !ok {
		return nil, work.Refuse(work.ReasonUnknownService, 0)
	}
	deadline, ok := parseDeadline(x.r.Header, now, serviceDeadline(snap, service))
	if !ok {
		return nil, work.Refuse(work.ReasonBadRequest, 0)
	}
	key, ok := parseKey(x.r.Header)
	if !ok {
		return nil, work.Refuse(work.ReasonKeyInvalid, 0)
	}
	header := x.r.Header.Clone()
	removeHeaders(header, reservedRequestHeaders)
	req := &work.Request{
		ID:       x.id,
		Service:  service,
		Kind:     kind,
		Method:   x.r.Method,
		Path:     path,
		Header:   header,
		Deadline: deadline,
		Key:      key,
		Origin:   snap.Zone,
	}
	x.attachBody(req)
	return req, nil
}

// attachBody attaches the body for streaming, with the request deadline as its read
// deadline.
func (x *exchange) attachBody(req *work.Request) {
	if x.r.ContentLength == 0 {
		return
	}
	x.controller.SetReadDeadline(req.Deadline) //nolint:errcheck // the next read fails then
	req.Body = x.body
	req.Length = x.r.ContentLength
}

// limitUnreadBody bounds the time that the server waits for the rest of a body that was
// not read to the end. The server closes the connection afterwards.
func (x *exchange) limitUnreadBody() {
	if x.bodyUnread() {
		x.controller.SetReadDeadline(time.Now().Add(unreadBodyTimeout)) //nolint:errcheck // the connection is closed next
	}
}

// discardSmallBody reads the rest of a short body, most of which has usually arrived
// already, so that the connection can be kept open after a refusal.
func (x *exchange) discardSmallBody() {
	length := x.r.ContentLength
	if length <= 0 || length > maxSmallBodyBytes || x.body.reachedEOF.Load() || x.r.Header.Get("Expect") != "" {
		return
	}
	x.controller.SetReadDeadline(time.Now().Add(smallBodyReadTimeout)) //nolint:errcheck // the next read fails then
	io.Copy(io.Discard, x.body)                                        //nolint:errcheck // the connection is closed on failure
}

// bodyUnread reports whether the body has not been read to the end.
func (x *exchange) bodyUnread() bool {
	return x.r.ContentLength != 0 && !x.body.reachedEOF.Load()
}

// respond writes the response and returns it with the outcome that the caller has
// seen: if the response of an executed request could not be read in full, the outcome
// is unknown.
func (x *exchange) respond(r *work.Response) *work.Response {
	if r.Body != nil {
		defer r.Body.Close() //nolint:errcheck // reads have reported any error
	}
	x.discardSmallBody()
	if r.Explain != "" {
		x.server.opts.Events.Log(event.Decision, "request", x.id, "explain", r.Explain)
	}
	if r.Outcome != work.Run {
		x.writeOutcome(r)
		return r
	}
	x.setUpstreamHeader(r)
	err := writeResponse(x.w, x.r, r)
	if err == nil {
		return r
	}
	uncertain := work.UnknownOutcome(work.ReasonUpstreamBroken)
	uncertain.Upstream = r.Upstream
	if errors.Is(err, errIncomplete) {
		clear(x.w.Header())
		x.writeOutcome(uncertain)
		return uncertain
	}
	x.aborted = true
	x.server.opts.Events.Log(event.AnswerCut, "request", x.id, "error", err)
	return uncertain
}

// refusalEvents maps the reasons for which a request did not reach an upstream to log
// events.
var refusalEvents = map[work.Reason]event.ID{
	work.ReasonNoUpstream:  event.NoUpstream,
	work.ReasonNoOwner:     event.NoUpstream,
	work.ReasonHeadroom:    event.HeadroomUsedUp,
	work.ReasonShiftCap:    event.ShiftAtCap,
	work.ReasonLinkCap:     event.LinkAtCap,
	work.ReasonTableFull:   event.KeyTableFull,
	work.ReasonKeyConflict: event.KeyConflict,
	work.ReasonKeyInvalid:  event.KeyForged,
}

// logOutcome logs the event for an outcome other than run, if its reason has one.
func (x *exchange) logOutcome(r *work.Response) {
	service, _, _ := splitTarget(x.r.URL)
	if r.Reason == work.ReasonUpstreamBroken {
		x.server.opts.Events.Log(event.UpstreamBroken, "service", service, "request", x.id, "upstream", r.Upstream)
		return
	}
	if id, ok := refusalEvents[r.Reason]; ok {
		x.server.opts.Events.Log(id, "service", service, "request", x.id, "reason", r.Reason)
	}
}

// setUpstreamHeader copies the header fields of an upstream's response.
func (x *exchange) setUpstreamHeader(r *work.Response) {
	h := r.Header.Clone()
	removeHeaders(h, reservedResponseHeaders)
	for name, values := range h {
		x.w.Header()[name] = values
	}
	if r.Header.Get("Content-Type") == "" {
		x.w.Header()["Content-Type"] = nil // prevents content sniffing by net/http
	}
	x.setOutcomeHeader(r)
}

// setOutcomeHeader sets the header fields that every response to a caller has.
func (x *exchange) setOutcomeHeader(r *work.Response) {
	h := x.w.Header()
	h.Set(wire.HeaderRequestID, x.id)
	h.Set(wire.HeaderOutcome, r.Outcome.String())
	if r.Reason != "" {
		h.Set(wire.HeaderOutcomeReason, string(r.Reason))
	}
	if r.Upstream != "" {
		h.Set(wire.HeaderUpstream, r.Upstream)
	}
	if x.bodyUnread() || x.leaving() {
		h.Set("Connection", "close")
	}
}

// leaving reports whether this instance is shutting down, so that callers should
// reconnect to another one.
func (x *exchange) leaving() bool {
	if x.server.http.stopping.Load() {
		return true
	}
	snap := x.server.opts.Snapshot()
	return snap != nil && snap.State >= control.Leaving
}

// writeOutcome writes the JSON response for an outcome other than run.
func (x *exchange) writeOutcome(r *work.Response) {
	x.logOutcome(r)
	delay := retryAfter(r)
	setRetryAfter(x.w.Header(), delay)
	x.setOutcomeHeader(r)
	writeJSON(x.w, httpStatus(r), wire.Outcome{
		Outcome:      r.Outcome.String(),
		Reason:       string(r.Reason),
		RequestID:    x.id,
		RetryAfterMs: delay.Milliseconds(),
	})
}

// retryAfter returns the retry delay of a refusal, with a default for temporary
// refusals, or 0 if a retry does not help.
func retryAfter(r *work.Response) time.Duration {
	if r.Outcome != work.NotRun {
		return 0
	}
	if r.RetryAfter > 0 {
		return max(r.RetryAfter, time.Millisecond)
	}
	switch httpStatus(r) {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return defaultRetryAfter
	default:
		return 0
	}
}

func setRetryAfter(h http.Header, d time.Duration) {
	if d <= 0 {
		return
	}
	seconds := (d + time.Second - 1) / time.Second
	h.Set(wire.HeaderRetryAfter, strconv.Itoa(int(seconds)))
	h.Set(wire.HeaderRetryAfterMs, strconv.FormatInt(d.Milliseconds(), 10))
}
