package gateway

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"sycamoreledge.example/internal/exchange"
	"sycamoreledge.example/internal/hop"
	"sycamoreledge.example/internal/work"
)

// forwardedHeader returns a copy of a header without hop-by-hop and framing fields.
func forwardedHeader(h http.Header) http.Header {
	out := h.Clone()
	hop.StripFraming(out)
	return out
}

// deliver sends an upstream's response to the caller unchanged.
func (t *transaction) deliver(r exchange.Result) {
	h := t.w.Header()
	for name, values := range forwardedHeader(r.Header) {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		// A nil value keeps net/http from detecting a content type.
		h["Content-Type"] = nil
	}
	if r.UnreadBody != nil {
		defer func() { _ = r.UnreadBody.Close() }()
	} else if bodyAllowed(t.r.Method, r.Status) {
		h.Set("Content-Length", strconv.Itoa(len(r.Body)))
	}
	t.w.WriteHeader(r.Status)
	_, err := t.w.Write(r.Body)
	if r.UnreadBody != nil && err == nil {
		if _, err = io.Copy(t.w, r.UnreadBody); err != nil {
			reason := work.ReasonCanceled
			if exchange.IsReadError(err) {
				reason = work.ReasonUpstreamBroken
			}
			// A truncated body must not appear complete to the caller.
			t.abort(reason, err)
		}
	}
	t.logRequest(r.Status, work.Run, "", err)
}

func bodyAllowed(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// refuse responds that the request has not run and will not run, with a retry delay
// if retryAfter is above 0.
func (t *transaction) refuse(status int, reason work.Reason, retryAfter time.Duration) {
	if retryAfter > 0 {
		t.gateway.Dialect.SetRetryAfter(t.w.Header(), retryAfter)
	}
	t.writeEmpty(status)
	t.logRequest(status, work.NotRun, reason, nil)
}

// fail responds with a status that does not tell the caller whether the request has
// run.
func (t *transaction) fail(status int, reason work.Reason, err error) {
	t.writeEmpty(status)
	outcome := work.NotRun
	if t.mayHaveRun() {
		outcome = work.Unknown
	}
	t.logRequest(status, outcome, reason, err)
}

// writeEmpty writes a response of this instance, without a body.
func (t *transaction) writeEmpty(status int) {
	h := t.w.Header()
	t.gateway.Dialect.SetRequestID(h, t.caller.ID)
	h["Content-Type"] = nil
	h.Set("Content-Length", "0")
	t.w.WriteHeader(status)
}

// abort logs the request and closes the caller's connection. It panics with
// http.ErrAbortHandler.
func (t *transaction) abort(reason work.Reason, err error) {
	t.logRequest(0, work.Unknown, reason, err)
	if !t.r.ProtoAtLeast(1, 1) {
		t.resetConnection()
	}
	panic(http.ErrAbortHandler)
}

// resetConnection resets the caller's connection. The end of an HTTP/1.0 connection may be
// the end of a body, so that an orderly close would make a truncated body appear complete.
func (t *transaction) resetConnection() {
	conn, _, err := http.NewResponseController(t.w).Hijack()
	if err != nil {
		// Only a connection that has ended or is hijacked already cannot be taken over.
		return
	}
	if c, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		// SetLinger fails only when the connection is already closed or is not TCP.
		_ = c.SetLinger(0)
	}
	_ = conn.Close()
}
