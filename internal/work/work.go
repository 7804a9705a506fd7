// Package work defines the requests that callers send, the responses they get
// and the outcomes that every layer reports. It holds types only, so that the
// layers between a caller and an upstream share one vocabulary.
package work

import (
	"io"
	"net/http"
	"time"
)

// Kind classifies a service by what a repeated or late request costs.
type Kind string

// The kinds of work.
const (
	// Lookup is an idempotent read; it may be retried and hedged.
	Lookup Kind = "lookup"
	// Order has an effect that must happen at most once.
	Order Kind = "order"
	// Upload carries a large body and must happen at most once.
	Upload Kind = "upload"
)

// Idempotent reports whether work of this kind may run more than once.
func (k Kind) Idempotent() bool { return k == Lookup }

// Outcome says whether the effect of a request took place.
type Outcome uint8

// The outcomes. The zero value is not a valid outcome.
const (
	// Run means that an upstream ran the request and the answer is complete.
	Run Outcome = iota + 1
	// NotRun means that the request was proven not to have run and never will.
	NotRun
	// Unknown means that the request may have run.
	Unknown
)

// String returns the outcome as it stands in the Outcome header of an answer.
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

// Reason says why an outcome is not Run. It is empty for Run.
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

// Request is one request of a caller on its way to an upstream.
type Request struct {
	// ID identifies the request end to end: 32 hexadecimal digits.
	ID string
	// Service names the service of the topology that is asked.
	Service string
	// Kind is the kind of the service.
	Kind Kind
	// Method, Path (with query) and Header are passed on to the upstream.
	Method string
	Path   string
	Header http.Header
	// Body is nil when there is none. Length is its size in bytes, or -1 when
	// the size is not known in advance.
	Body   io.Reader
	Length int64
	// Deadline is when the caller stops waiting. It is always set.
	Deadline time.Time
	// Key is the idempotency key, or empty.
	Key string
	// Pool names the pool that the receiver is asked to run the request on.
	// It is set only between instances, for RolePool.
	Pool PoolID
	// Origin is the availability zone of the instance that took the request.
	Origin string
	// Sender is the name of the instance that sent the request to the pool
	// owner; the receiver fills it in from the authenticated peer.
	Sender string
	// Queue permits the owner to queue the request. Without it the owner runs
	// the request at once or refuses it.
	Queue bool
}

// Response is the answer to a Request.
type Response struct {
	Outcome Outcome
	Reason  Reason
	// Status, Header and Body are the answer of the upstream, for Run. The
	// reader of Body must close it. Body fails with an error, and never ends
	// with io.EOF, when the answer could not be read whole.
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Length is the size of Body in bytes, or -1 when it is not known.
	Length int64
	// RetryAfter advises the caller when to try again, for NotRun.
	RetryAfter time.Duration
	// Upstream names the upstream that ran the request, where known.
	Upstream string
	// Explain is a human-readable trace of the decisions taken.
	Explain string
}

// PoolID names the upstreams of one service in one availability zone.
type PoolID struct {
	Service string `cbor:"1,keyasint" json:"service"`
	Zone    string `cbor:"2,keyasint" json:"zone"`
}

// String returns the pool as service@zone.
func (p PoolID) String() string { return p.Service + "@" + p.Zone }

// Refuse returns a response that proves that the request did not run.
func Refuse(reason Reason, retryAfter time.Duration) *Response {
	return &Response{Outcome: NotRun, Reason: reason, RetryAfter: retryAfter}
}

// Uncertain returns a response for a request that may have run.
func Uncertain(reason Reason) *Response {
	return &Response{Outcome: Unknown, Reason: reason}
}
