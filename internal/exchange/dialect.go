// Package exchange sends single attempts to upstreams over its own pool of
// HTTP/1.1 connections, and reports whether each attempt was run, was not run,
// or may have been run.
package exchange

import (
	"net/http"
	"time"
)

// CallerInfo holds what a caller declares in the header of its request.
type CallerInfo struct {
	// ID identifies one attempt by a caller.
	ID string
	// MaxWait is how long the caller waits for the response, or 0 if not declared.
	MaxWait time.Duration
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

// ResponseInfo is what the header of an upstream's response says about the attempt and the upstream.
type ResponseInfo struct {
	// RequestID identifies the request that the response belongs to, or is empty if not given.
	RequestID string
	// Signed is set when the response carries the upstream's signature.
	Signed bool
	// NotRun is set when the upstream states that it did not run the request.
	NotRun bool
	// WrongUpstream is set when a different upstream than the addressed one responded.
	WrongUpstream bool
	Load          Load
	LoadKnown     bool
	// ColdRemaining is the remaining time of the upstream's cold phase.
	ColdRemaining time.Duration
}

// Health is the result of a health check.
type Health struct {
	// Upstream is the ID of the upstream that responded.
	Upstream      string
	Healthy       bool
	ColdRemaining time.Duration
	Load          Load
	LoadKnown     bool
}

// HeaderCodec reads and writes the headers used between callers, instances and
// upstreams. Only its implementations know the header names.
type HeaderCodec interface {
	// ParseCaller parses the header of a caller's request.
	ParseCaller(h http.Header) CallerInfo
	// SetTarget sets the intended upstream and the remaining time on a request.
	SetTarget(h http.Header, upstream string, remaining time.Duration)
	// ParseResponse parses the status and header of an upstream's response.
	ParseResponse(status int, h http.Header) ResponseInfo
	// ParseHealth parses the status and header of the response to a health check.
	ParseHealth(status int, h http.Header) Health
	// SetRetryAfter sets how long the caller should wait before it retries.
	SetRetryAfter(h http.Header, wait time.Duration)
	// SetRequestID sets the ID of the request that a response belongs to.
	SetRequestID(h http.Header, requestID string)
}
