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

// forwarded returns a copy of headers without those of the connection.
func forwarded(h http.Header) http.Header {
	out := h.Clone()
	hop.Framed(out)
	return out
}

// deliver returns an upstream's answer unchanged.
func (t *trip) deliver(r exchange.Result) {
	h := t.w.Header()
	for name, values := range forwarded(r.Header) {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		// net/http would guess one.
		h["Content-Type"] = nil
	}
	if r.Rest != nil {
		defer func() { _ = r.Rest.Close() }()
	} else if bodyAllowed(t.r.Method, r.Status) {
		h.Set("Content-Length", strconv.Itoa(len(r.Body)))
	}
	t.w.WriteHeader(r.Status)
	_, err := t.w.Write(r.Body)
	if r.Rest != nil && err == nil {
		if _, err = io.Copy(t.w, r.Rest); err != nil {
			reason := work.ReasonCanceled
			if exchange.IsBroken(err) {
				reason = work.ReasonUpstreamBroken
			}
			// A part must not look like the whole.
			t.abort(reason, err)
		}
	}
	t.log(r.Status, work.Run, "", err)
}

func bodyAllowed(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// refuse says that the request has not run and never will.
func (t *trip) refuse(status int, reason work.Reason, retryAfter time.Duration) {
	if retryAfter > 0 {
		t.gateway.Dialect.RetryAfter(t.w.Header(), retryAfter)
	}
	t.own(status)
	t.log(status, work.NotRun, reason, nil)
}

// fail answers with a status that does not say whether the request has run.
func (t *trip) fail(status int, reason work.Reason, err error) {
	t.own(status)
	outcome := work.NotRun
	if t.mayHaveRun() {
		outcome = work.Unknown
	}
	t.log(status, outcome, reason, err)
}

// own writes an answer of the instance itself.
func (t *trip) own(status int) {
	h := t.w.Header()
	t.gateway.Dialect.Identify(h, t.caller.ID)
	h["Content-Type"] = nil
	h.Set("Content-Length", "0")
	t.w.WriteHeader(status)
}

// abort closes the connection of a caller that has left.
func (t *trip) abort(reason work.Reason, err error) {
	t.log(0, work.Unknown, reason, err)
	panic(http.ErrAbortHandler)
}
