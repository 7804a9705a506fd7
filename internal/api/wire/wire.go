// Package wire holds the JSON bodies and the header fields of the HTTP
// interfaces, which the servers and the operators' client share.
package wire

import (
	"encoding/json"
	"time"

	"sycamoreledge.example/internal/settings"
)

// Header fields of the callers' interface.
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

// Header fields of the operators' interface.
const (
	// HeaderOperation names one change; a repeat under the same name has the
	// effect of one.
	HeaderOperation = "Operation-Id"
	// HeaderIfVersion makes a change fail when the configuration has another
	// version.
	HeaderIfVersion = "If-Version"
)

// Error codes of the operators' interface. The text of a code is stable.
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

// Error is the body of an answer that tells of an error.
type Error struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	// Detail depends on the code; a conflict carries a Conflict.
	Detail json.RawMessage `json:"detail,omitempty"`
}

// Conflict tells which changes came first.
type Conflict struct {
	// Base is the version that the refused change was made for, Current the one
	// that was found.
	Base    int64 `json:"base"`
	Current int64 `json:"current"`
	// Won are the changes in between, the oldest first, as far as known.
	Won []settings.AuditRecord `json:"won"`
}

// Entries is the answer to GET /v1/entries.
type Entries struct {
	Service  string  `json:"service"`
	MaxAgeMs int64   `json:"max_age_ms"`
	Entries  []Entry `json:"entries"`
	// Key is an idempotency key, when one was asked for with issue_key=true.
	Key        string     `json:"key,omitempty"`
	KeyExpires *time.Time `json:"key_expires,omitempty"`
}

// Entry is one instance that a caller may use.
type Entry struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
	Address string `json:"address"`
}

// Key is the answer to POST /v1/keys.
type Key struct {
	Key     string    `json:"key"`
	Expires time.Time `json:"expires"`
}

// Outcome is the body of an answer to a caller that is not an upstream's.
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

// Presets is the answer to GET /v1/presets.
type Presets struct {
	Version int64    `json:"version"`
	InForce string   `json:"in_force"`
	Names   []string `json:"names"`
}

// Preset is the answer to GET /v1/presets/{name}.
type Preset struct {
	Version int64           `json:"version"`
	InForce bool            `json:"in_force"`
	Preset  settings.Preset `json:"preset"`
}

// History is the answer to GET /v1/history, the newest record first.
type History struct {
	Version int64                  `json:"version"`
	Records []settings.AuditRecord `json:"records"`
}

// InForce is the body of POST /v1/in-force.
type InForce struct {
	Name string `json:"name"`
}

// Changed is the answer to an accepted change.
type Changed struct {
	Operation string `json:"operation"`
	// Repeated is set when an earlier call had made the change already.
	Repeated bool             `json:"repeated"`
	Version  int64            `json:"version"`
	InForce  string           `json:"in_force"`
	Drains   []settings.Drain `json:"drains"`
}

// Leaving is the answer to POST /v1/leave.
type Leaving struct {
	Instance string `json:"instance"`
	State    string `json:"state"`
}
