// Package wire defines the JSON bodies and header fields of the HTTP APIs, which the
// servers and the operators' client share.
package wire

import (
	"encoding/json"
	"time"

	"sycamoreledge.example/internal/settings"
)

// Header fields of the callers' API.
const (
	HeaderDeadline      = "Deadline-Ms"
	HeaderKey           = "Idempotency-Key"
	HeaderRequestID     = "Request-Id"
	HeaderOutcome       = "Outcome"
	HeaderOutcomeReason = "Outcome-Reason"
	HeaderUpstream      = "Upstream"
	HeaderRetryAfter    = "Retry-After"
	HeaderRetryAfterMs  = "Retry-After-Ms"
)

// Header fields of the operators' API.
const (
	// HeaderOperation carries the operation id of a change. Repeats with the same
	// id take effect only once.
	HeaderOperation = "Operation-Id"
	// HeaderIfVersion carries a configuration version. The change fails if the
	// configuration has another version.
	HeaderIfVersion = "If-Version"
)

// Error codes of the operators' API. Their values do not change.
const (
	CodeBadRequest       = "bad_request"
	CodeUnauthorized     = "unauthorized"
	CodeTooManyRefusals  = "too_many_refusals"
	CodeNotFound         = "not_found"
	CodeConflict         = "conflict"
	CodeRefused          = "refused"
	CodeInvalidPreset    = "invalid_preset"
	CodeUnavailable      = "platform_unreachable"
	CodeUncertain        = "outcome_unknown"
	CodeNotReady         = "not_ready"
	CodeInternal         = "internal"
	CodeMethodNotAllowed = "method_not_allowed"
)

// Error is the body of an error response.
type Error struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	// Detail depends on the code: for CodeConflict it is a Conflict.
	Detail json.RawMessage `json:"detail,omitempty"`
}

// Conflict describes the changes that preceded a conflicting one.
type Conflict struct {
	// Base is the version that the rejected change was based on, Current the version
	// of the configuration when it was rejected.
	Base    int64 `json:"base"`
	Current int64 `json:"current"`
	// Won are the known changes between Base and Current, the oldest first.
	Won []settings.AuditRecord `json:"won"`
}

// Entries is the response to GET /v1/entries.
type Entries struct {
	Service  string  `json:"service"`
	MaxAgeMs int64   `json:"max_age_ms"`
	Entries  []Entry `json:"entries"`
	// Key is a new idempotency key, if the query has issue_key=true.
	Key        string     `json:"key,omitempty"`
	KeyExpires *time.Time `json:"key_expires,omitempty"`
}

// Entry is an entry instance that a caller may use.
type Entry struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
	Address string `json:"address"`
}

// Key is the response to POST /v1/keys.
type Key struct {
	Key     string    `json:"key"`
	Expires time.Time `json:"expires"`
}

// Outcome is the body of a response to a caller that does not come from an upstream.
type Outcome struct {
	Outcome      string `json:"outcome"`
	Reason       string `json:"reason"`
	RequestID    string `json:"request_id"`
	RetryAfterMs int64  `json:"retry_after_ms,omitempty"`
}

// Health is the body of /healthz and /readyz.
type Health struct {
	Status string `json:"status"`
	Reason string `json:"reason,omitempty"`
}

// Presets is the response to GET /v1/presets.
type Presets struct {
	Version int64    `json:"version"`
	InForce string   `json:"in_force"`
	Names   []string `json:"names"`
}

// Preset is the response to GET /v1/presets/{name}.
type Preset struct {
	Version int64           `json:"version"`
	InForce bool            `json:"in_force"`
	Preset  settings.Preset `json:"preset"`
}

// History is the response to GET /v1/history, with the newest record first.
type History struct {
	Version int64                  `json:"version"`
	Records []settings.AuditRecord `json:"records"`
}

// InForce is the body of a POST /v1/in-force request.
type InForce struct {
	Name string `json:"name"`
}

// Changed is the response to an accepted change.
type Changed struct {
	Operation string `json:"operation"`
	// Repeated is set if an earlier request with the same operation id made the
	// change.
	Repeated bool             `json:"repeated"`
	Version  int64            `json:"version"`
	InForce  string           `json:"in_force"`
	Drains   []settings.Drain `json:"drains"`
}

// Leaving is the response to POST /v1/leave.
type Leaving struct {
	Instance string `json:"instance"`
	State    string `json:"state"`
}
