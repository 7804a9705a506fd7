// Package exchange sends single attempts to upstreams over its own pool of
// HTTP/1.1 connections, and reports whether each attempt was run, was not run,
// or may have been run.
package exchange

import (
	"net/http"
	"time"
)

// Caller holds what a caller declares in the header of its request.
type Caller struct {
	// ID identifies one attempt by a caller.
	ID string
	// Patience is how long the caller waits for the response, or 0 if not declared.
	Patience time.Duration
	// Object identifies what the request is about, or is empty if not declared.
	Object string
}

// Load is the number of requests at an upstream, as reported by the upstream.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Slowness is the current processing time relative to the usual one; 1 is normal.
	Slowness float64
}

// Verdict is what the header of an upstream's response says about the attempt and the upstream.
type Verdict struct {
	// RequestID identifies the request that the response belongs to, or is empty if not given.
	RequestID string
	// Signed is set when the response carries the upstream's signature.
	Signed bool
	// NotRun is set when the upstream states that it did not run the request.
	NotRun bool
	// Stranger is set when a different upstream than the addressed one responded.
	Stranger  bool
	Load      Load
	LoadKnown bool
	// ColdFor is the remaining time of the upstream's cold phase.
	ColdFor time.Duration
}

// Health is the result of a health check.
type Health struct {
	// Upstream is the ID of the upstream that responded.
	Upstream  string
	Healthy   bool
	ColdFor   time.Duration
	Load      Load
	LoadKnown bool
}

// Dialect reads and writes the headers used between callers, instances and
// upstreams. Only its implementations know the header names.
type Dialect interface {
	// Caller parses the header of a caller's request.
	Caller(h http.Header) Caller
	// Address sets the intended upstream and the remaining time on a request.
	Address(h http.Header, upstream string, remaining time.Duration)
	// Answer parses the status and header of an upstream's response.
	Answer(status int, h http.Header) Verdict
	// Health parses the status and header of the response to a health check.
	Health(status int, h http.Header) Health
	// RetryAfter sets how long the caller should wait before it retries.
	RetryAfter(h http.Header, wait time.Duration)
	// Identify sets the ID of the request that a response belongs to.
	Identify(h http.Header, requestID string)
}
