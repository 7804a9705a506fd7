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
	// overloadRetry is advised when too many requests run at once.
	overloadRetry = 100 * time.Millisecond
	// defaultRetry is advised for refusals that pass and name no time.
	defaultRetry = 50 * time.Millisecond
	// smallBody is the length, in bytes, up to which the rest of a body is read
	// before an early answer, for at most smallBodyTime.
	smallBody     = 16 << 10
	smallBodyTime = 100 * time.Millisecond
)

// exchange is one request of a caller with its answer.
type exchange struct {
	server  *Callers
	w       http.ResponseWriter
	r       *http.Request
	control *http.ResponseController
	id      string
	body    *requestBody
	// cut is set when the connection must be broken, since the caller got the
	// beginning of an answer that cannot be completed.
	cut bool
}

func newExchange(s *Callers, w http.ResponseWriter, r *http.Request) *exchange {
	x := &exchange{server: s, w: w, r: r, control: http.NewResponseController(w), id: requestID(r.Header)}
	// Without full duplex the server would read on in the body before it sends
	// an early answer.
	x.control.EnableFullDuplex() //nolint:errcheck // HTTP/1.1 has it
	x.body = &requestBody{source: r.Body}
	return x
}

// request builds the request to run, or returns a refusal.
func (x *exchange) request(now time.Time) (*work.Request, *work.Response) {
	snap := x.server.opts.Snapshot()
	if snap == nil {
		return nil, work.Refuse(work.ReasonNotReady, overloadRetry)
	}
	service, path, ok := splitTarget(x.r.URL)
	if !ok {
		return nil, work.Refuse(work.ReasonBadRequest, 0)
	}
	kind, ok := x.server.opts.Services[service]
	if !ok {
		return nil, work.Refuse(work.ReasonUnknownService, 0)
	}
	deadline, ok := deadlineOf(x.r.Header, now, limitOf(snap, service))
	if !ok {
		return nil, work.Refuse(work.ReasonBadRequest, 0)
	}
	key, ok := keyOf(x.r.Header)
	if !ok {
		return nil, work.Refuse(work.ReasonKeyInvalid, 0)
	}
	header := x.r.Header.Clone()
	removeHeaders(header, ownRequestHeaders)
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
	x.openBody(req)
	return req, nil
}

// openBody attaches the body as it arrives, bounded by the deadline.
func (x *exchange) openBody(req *work.Request) {
	if x.r.ContentLength == 0 {
		return
	}
	x.control.SetReadDeadline(req.Deadline) //nolint:errcheck // a failed read shows it
	req.Body = x.body
	req.Length = x.r.ContentLength
}

// finish waits only a moment for the rest of a body that was not read whole.
// The connection is closed after it.
func (x *exchange) finish() {
	if x.bodyOpen() {
		x.control.SetReadDeadline(time.Now().Add(lingerTime)) //nolint:errcheck // closed next
	}
}

// takeSmallBody reads what is left of a short body, which has mostly arrived
// already, so that a refusal does not cost the caller its connection.
func (x *exchange) takeSmallBody() {
	length := x.r.ContentLength
	if length <= 0 || length > smallBody || x.body.ended.Load() || x.r.Header.Get("Expect") != "" {
		return
	}
	x.control.SetReadDeadline(time.Now().Add(smallBodyTime)) //nolint:errcheck // a failed read shows it
	io.Copy(io.Discard, x.body)                              //nolint:errcheck // the connection is closed then
}

// bodyOpen reports whether part of the body has not been read.
func (x *exchange) bodyOpen() bool {
	return x.r.ContentLength != 0 && !x.body.ended.Load()
}

// respond writes the response and returns the outcome that the caller has
// seen: a run whose answer could not be read whole becomes unknown.
func (x *exchange) respond(r *work.Response) *work.Response {
	if r.Body != nil {
		defer r.Body.Close() //nolint:errcheck // its reads told of errors
	}
	x.takeSmallBody()
	if r.Explain != "" {
		x.server.opts.Events.Log(event.Decision, "request", x.id, "explain", r.Explain)
	}
	if r.Outcome != work.Run {
		x.respondInWords(r)
		return r
	}
	x.runHeader(r)
	err := writeAnswer(x.w, x.r, r)
	if err == nil {
		return r
	}
	broken := work.UnknownOutcome(work.ReasonUpstreamBroken)
	broken.Upstream = r.Upstream
	if errors.Is(err, errNotWhole) {
		clear(x.w.Header())
		x.respondInWords(broken)
		return broken
	}
	x.cut = true
	x.server.opts.Events.Log(event.AnswerCut, "request", x.id, "error", err)
	return broken
}

// refusalEvents are the events that tell operators why callers get no answer of
// an upstream.
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

// logOutcome writes the event that fits an outcome other than run.
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

// runHeader sets the fields of an upstream's answer.
func (x *exchange) runHeader(r *work.Response) {
	h := r.Header.Clone()
	removeHeaders(h, ownResponseHeaders)
	for name, values := range h {
		x.w.Header()[name] = values
	}
	if r.Header.Get("Content-Type") == "" {
		x.w.Header()["Content-Type"] = nil // none is guessed
	}
	x.ownHeader(r)
}

// ownHeader sets the fields that every answer carries.
func (x *exchange) ownHeader(r *work.Response) {
	h := x.w.Header()
	h.Set(wire.HeaderRequestID, x.id)
	h.Set(wire.HeaderOutcome, r.Outcome.String())
	if r.Reason != "" {
		h.Set(wire.HeaderOutcomeReason, string(r.Reason))
	}
	if r.Upstream != "" {
		h.Set(wire.HeaderUpstream, r.Upstream)
	}
	if x.bodyOpen() || x.leaving() {
		h.Set("Connection", "close")
	}
}

// leaving reports whether this instance wants callers to reconnect elsewhere.
func (x *exchange) leaving() bool {
	if x.server.http.stopping.Load() {
		return true
	}
	snap := x.server.opts.Snapshot()
	return snap != nil && snap.State >= control.Leaving
}

// respondInWords writes an outcome other than run.
func (x *exchange) respondInWords(r *work.Response) {
	x.logOutcome(r)
	retry := retryAfter(r)
	setRetryAfter(x.w.Header(), retry)
	x.ownHeader(r)
	writeJSON(x.w, statusOf(r), wire.Outcome{
		Outcome:      r.Outcome.String(),
		Reason:       string(r.Reason),
		RequestID:    x.id,
		RetryAfterMs: retry.Milliseconds(),
	})
}

// retryAfter returns the advice of a refusal, with a default for refusals that
// pass by themselves, or 0 for those that do not.
func retryAfter(r *work.Response) time.Duration {
	if r.Outcome != work.NotRun {
		return 0
	}
	if r.RetryAfter > 0 {
		return max(r.RetryAfter, time.Millisecond)
	}
	switch statusOf(r) {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return defaultRetry
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
