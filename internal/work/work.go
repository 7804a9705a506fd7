// Package work defines requests, responses and outcomes. All layers between a caller
// and an upstream share these types.
package work

import (
	"io"
	"net/http"
	"time"
)

// Kind classifies requests by the effect of running them more than once.
type Kind string

// The kinds of requests.
const (
	// Lookup is an idempotent read, which may be retried and hedged.
	Lookup Kind = "lookup"
	// Order has a side effect and must run at most once.
	Order Kind = "order"
	// Upload has a large body and must run at most once.
	Upload Kind = "upload"
)

// Idempotent reports whether requests of this kind may run more than once.
func (k Kind) Idempotent() bool { return k == Lookup }

// Outcome says whether a request ran.
type Outcome uint8

// The outcomes. The zero value is not a valid outcome.
const (
	// Run means that an upstream ran the request and the response is complete.
	Run Outcome = iota + 1
	// NotRun means that the request is known not to have run and will not run.
	NotRun
	// Unknown means that the request may have run.
	Unknown
)

// String returns the value of the Outcome response header.
func (o Outcome) String() string {
	switch o {
	case Run:
		return "run"
	case NotRun:
		return "not-run"
	case Unknown:
		return "unknown"
	default:
		return "invalid"
	}
}

// Reason is why an outcome is not Run. It is empty for Run.
type Reason string

// The reasons.
const (
	ReasonBadRequest          Reason = "bad_request"
	ReasonCanceled            Reason = "canceled"
	ReasonDeadline            Reason = "deadline"
	ReasonHeadroom            Reason = "headroom"
	ReasonHomeUnreachable     Reason = "home_unreachable"
	ReasonHomeReplaced        Reason = "home_replaced"
	ReasonKeyConflict         Reason = "key_conflict"
	ReasonKeyExpired          Reason = "key_expired"
	ReasonKeyInvalid          Reason = "key_invalid"
	ReasonLinkCap             Reason = "link_cap"
	ReasonNoOwner             Reason = "no_owner"
	ReasonNoUpstream          Reason = "no_upstream"
	ReasonNotOwner            Reason = "not_owner"
	ReasonNotReady            Reason = "not_ready"
	ReasonPeerUnreachable     Reason = "peer_unreachable"
	ReasonPeerBroken          Reason = "peer_broken"
	ReasonPlatformUnreachable Reason = "platform_unreachable"
	ReasonQueueFull           Reason = "queue_full"
	ReasonShiftCap            Reason = "shift_cap"
	ReasonTableFull           Reason = "table_full"
	ReasonUnknownService      Reason = "unknown_service"
	ReasonUpstreamBroken      Reason = "upstream_broken"
	ReasonUpstreamConnect     Reason = "upstream_connect"
	ReasonUpstreamOverlong    Reason = "upstream_overlong"
	ReasonUpstreamShed        Reason = "upstream_shed"
	ReasonUpstreamTimeout     Reason = "upstream_timeout"
)

// Request is a caller's request that is forwarded to an upstream.
type Request struct {
	// ID identifies the request end to end: 32 hexadecimal digits.
	ID string
	// Service is the name of the requested service in the topology.
	Service string
	// Kind is the kind of the service.
	Kind Kind
	// Method, Path (with query) and Header are forwarded to the upstream.
	Method string
	Path   string
	Header http.Header
	// Body is nil when there is none. Length is its size in bytes, or -1 when
	// unknown.
	Body   io.Reader
	Length int64
	// Deadline is when the caller stops waiting. It is never zero.
	Deadline time.Time
	// Key is the idempotency key, or empty.
	Key string
	// Pool is the pool on which the receiving instance is to run the request. It
	// is set only between instances, for RolePool.
	Pool PoolID
	// Origin is the availability zone of the instance that received the request from
	// the caller.
	Origin string
	// Sender is the name of the instance that sent the request to the pool owner.
	// The receiver sets it to the name of the authenticated peer.
	Sender string
	// Queue allows the owner to queue the request. Otherwise the owner runs the
	// request immediately or refuses it.
	Queue bool
}

// Response is the result of a Request.
type Response struct {
	Outcome Outcome
	Reason  Reason
	// Status, Header and Body are the upstream's response, for Run. The reader
	// must close Body. Reading a truncated Body returns an error other than
	// io.EOF.
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Length is the size of Body in bytes, or -1 when unknown.
	Length int64
	// RetryAfter is the suggested retry delay, for NotRun.
	RetryAfter time.Duration
	// Upstream is the name of the upstream that ran the request, if known.
	Upstream string
	// Explain is a human-readable trace of the routing decisions.
	Explain string
}

// PoolID identifies the upstreams of one service in one availability zone.
type PoolID struct {
	Service string `cbor:"1,keyasint" json:"service"`
	Zone    string `cbor:"2,keyasint" json:"zone"`
}

// String returns the pool as service@zone.
func (p PoolID) String() string { return p.Service + "@" + p.Zone }

// Refuse returns a response with outcome NotRun.
func Refuse(reason Reason, retryAfter time.Duration) *Response {
	return &Response{Outcome: NotRun, Reason: reason, RetryAfter: retryAfter}
}

// UnknownOutcome returns a response with outcome Unknown.
func UnknownOutcome(reason Reason) *Response {
	return &Response{Outcome: Unknown, Reason: reason}
}
