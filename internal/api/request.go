package api

import (
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"sycamoreledge.example/internal/api/wire"
	"sycamoreledge.example/internal/hop"
	"sycamoreledge.example/internal/work"
)

const (
	servicesPrefix = "/v1/services/"
	// maxKeyBytes bounds an idempotency key.
	maxKeyBytes = 256
	// requestIDBytes is the length of a request id before hexadecimal encoding.
	requestIDBytes = 16
	// defaultDeadline applies to services without a policy in the preset.
	defaultDeadline = 30 * time.Second
)

// reservedRequestHeaders are removed from a caller's request: they are carried in the
// fields of work.Request or set on the way to the upstream.
var reservedRequestHeaders = []string{
	wire.HeaderDeadline, wire.HeaderKey, wire.HeaderRequestID, "Content-Length", "Host",
	"Expect", "Deadline-Unix-Ms", "Work-Kind",
}

// reservedResponseHeaders are removed from an upstream's response: only this package
// sets them.
var reservedResponseHeaders = []string{
	wire.HeaderOutcome, wire.HeaderOutcomeReason, wire.HeaderRequestID, wire.HeaderUpstream,
	wire.HeaderRetryAfterMs, "Content-Length", "Work-Not-Run",
}

// removeHeaders deletes the hop-by-hop fields, the fields named by Connection, and the
// reserved ones.
func removeHeaders(h http.Header, reserved []string) {
	hop.Strip(h)
	for _, name := range reserved {
		h.Del(name)
	}
}

// requestID returns the caller's request id if it is well-formed, and else a new one.
func requestID(h http.Header) string {
	id := h.Get(wire.HeaderRequestID)
	if validRequestID(id) {
		return id
	}
	return newRequestID()
}

func validRequestID(id string) bool {
	if len(id) != hex.EncodedLen(requestIDBytes) {
		return false
	}
	return strings.Trim(id, "0123456789abcdef") == ""
}

func newRequestID() string {
	var id [requestIDBytes]byte
	rand.Read(id[:]) //nolint:errcheck // never fails
	return hex.EncodeToString(id[:])
}

// splitTarget returns the service and the path with query for the upstream, which is
// neither decoded nor cleaned. It reports false if the target names no service.
func splitTarget(target *url.URL) (service, path string, ok bool) {
	rest, ok := strings.CutPrefix(target.EscapedPath(), servicesPrefix)
	if !ok {
		return "", "", false
	}
	escaped, path, _ := strings.Cut(rest, "/")
	service, err := url.PathUnescape(escaped)
	if err != nil || service == "" {
		return "", "", false
	}
	path = "/" + path
	if target.RawQuery != "" {
		path += "?" + target.RawQuery
	}
	return service, path, true
}

// parseDeadline returns the deadline of a request: the duration given by the caller,
// capped at the limit of the service. It reports false if the header field is malformed.
func parseDeadline(h http.Header, now time.Time, limit time.Duration) (time.Time, bool) {
	text := h.Get(wire.HeaderDeadline)
	if text == "" {
		return now.Add(limit), true
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 1 {
		return time.Time{}, false
	}
	if ms >= limit.Milliseconds() {
		return now.Add(limit), true
	}
	return now.Add(time.Duration(ms) * time.Millisecond), true
}

// parseKey returns the idempotency key, or "" if there is none. It reports false if the
// header field is malformed.
func parseKey(h http.Header) (string, bool) {
	values := h.Values(wire.HeaderKey)
	if len(values) == 0 {
		return "", true
	}
	key := values[0]
	if len(values) > 1 || key == "" || len(key) > maxKeyBytes {
		return "", false
	}
	for i := range len(key) {
		if key[i] <= ' ' || key[i] > '~' {
			return "", false
		}
	}
	return key, true
}

// httpStatus returns the HTTP status for an outcome.
func httpStatus(r *work.Response) int {
	switch r.Outcome {
	case work.Run:
		return r.Status
	case work.NotRun:
		return notRunStatus(r.Reason)
	default:
		return unknownStatus(r.Reason)
	}
}

func notRunStatus(reason work.Reason) int {
	switch reason {
	case work.ReasonShiftCap, work.ReasonLinkCap, work.ReasonQueueFull:
		return http.StatusTooManyRequests
	case work.ReasonBadRequest, work.ReasonKeyInvalid:
		return http.StatusBadRequest
	case work.ReasonUnknownService:
		return http.StatusNotFound
	case work.ReasonKeyConflict:
		return http.StatusConflict
	case work.ReasonKeyExpired:
		return http.StatusGone
	default:
		return http.StatusServiceUnavailable
	}
}

// unknownStatus returns the HTTP status for an unknown outcome. Errors of the request
// itself, which persist on a retry, have a 4xx status; for the others, a retry with
// the same key may return the outcome.
func unknownStatus(reason work.Reason) int {
	switch reason {
	case work.ReasonUpstreamBroken, work.ReasonPeerBroken:
		return http.StatusBadGateway
	case work.ReasonKeyConflict, work.ReasonKeyExpired, work.ReasonKeyInvalid:
		return notRunStatus(reason)
	default:
		return http.StatusGatewayTimeout
	}
}
