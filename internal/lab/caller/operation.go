package caller

import (
	"context"
	"errors"
	"time"

	"sycamoreledge.example/internal/lab/answer"
	"sycamoreledge.example/internal/work"
)

// Limits of the retries of one operation.
const (
	maxAttempts   = 10
	maxOperation  = 40 * time.Second
	minRetryDelay = 50 * time.Millisecond
	// lateSlack is added to the deadline for the latency of both directions.
	lateSlack     = 100 * time.Millisecond
	maxRetryDelay = 5 * time.Second
)

// Op is one operation of a caller with all its attempts, as the caller saw it.
type Op struct {
	Key     string    `json:"key,omitempty"`
	Nonce   string    `json:"nonce"`
	Service string    `json:"service"`
	Kind    work.Kind `json:"kind"`
	// Digest is the SHA-256 of the request body in hexadecimal.
	Digest  string       `json:"digest"`
	Start   time.Time    `json:"start"`
	End     time.Time    `json:"end"`
	Outcome work.Outcome `json:"outcome"`
	Reason  work.Reason  `json:"reason,omitempty"`
	// NotRun lists the times at which an entry reported that the key had not
	// been run.
	NotRun   []time.Time `json:"not_run,omitempty"`
	Attempts int         `json:"attempts"`
	// Failed lists the failed attempts in order.
	Failed   []Failure `json:"failed,omitempty"`
	Upstream string    `json:"upstream,omitempty"`
	Bad      string    `json:"bad,omitempty"`
	// Cut counts responses that were truncated and detected as such.
	Cut int `json:"cut,omitempty"`
	// Unreached counts attempts whose entry accepted no connection.
	Unreached int `json:"unreached,omitempty"`
	// TimedOut counts attempts without a response within the deadline and
	// deadlineGrace.
	TimedOut int `json:"timed_out,omitempty"`
	// Unlabelled counts responses without an Outcome header.
	Unlabelled int `json:"unlabelled,omitempty"`
	// Late is set if the response of the only attempt came after the deadline.
	Late bool `json:"late,omitempty"`
}

// Failure is an attempt whose request was not run or has an unknown outcome.
type Failure struct {
	At time.Time `json:"at"`
	// Entry is the address that the request was sent to.
	Entry   string       `json:"entry"`
	Outcome work.Outcome `json:"outcome"`
	// Reason is that of the entry, or one of the caller's own reasons.
	Reason work.Reason `json:"reason"`
}

// Reasons of failures that the caller detects itself.
const (
	reasonUnreached work.Reason = "no connection"
	reasonBroken    work.Reason = "broken off"
	// ReasonTimeout means that the entry did not respond within the deadline
	// and deadlineGrace.
	ReasonTimeout    work.Reason = "no answer in time"
	reasonUnlabelled work.Reason = "no outcome"
)

// newFailure returns the failure of an attempt.
func newFailure(r Result) Failure {
	f := Failure{At: r.At, Entry: r.Entry, Outcome: r.Outcome, Reason: r.Reason}
	switch {
	case !r.Sent:
		f.Reason = reasonUnreached
	case r.Told:
	case errors.Is(r.Err, context.DeadlineExceeded):
		f.Reason = ReasonTimeout
	case r.Status == 0 || r.Err != nil:
		f.Reason = reasonBroken
	default:
		f.Reason = reasonUnlabelled
	}
	return f
}

// Operate sends the call until it has been run, has been refused permanently or
// the limits are reached. All attempts use the same key. With duplicate, each
// attempt is sent through two entries concurrently.
func (c *Caller) Operate(ctx context.Context, call *Call, duplicate bool) *Op {
	op := newOp(call)
	ctx, cancel := context.WithTimeout(ctx, c.config.MaxOperation)
	defer cancel()
	for op.Attempts < maxAttempts && ctx.Err() == nil {
		r := c.attempt(ctx, call, op, duplicate)
		if isFinal(r) {
			break
		}
		sleep(ctx, retryDelay(r, op.Attempts))
	}
	op.End = time.Now()
	return op
}

// newOp returns the operation of a call before its first attempt.
func newOp(call *Call) *Op {
	return &Op{Key: call.Key, Nonce: call.Nonce, Service: call.Service, Kind: call.Kind, Digest: answer.Digest(call.Body), Start: time.Now()}
}

// Combine returns the operation of separately made attempts.
func Combine(call *Call, attempts ...Result) *Op {
	op := newOp(call)
	for _, r := range attempts {
		op.record(r)
		op.Outcome, op.Reason, op.End = r.Outcome, r.Reason, r.At
	}
	return op
}

// attempt sends the call once, or to two entries with duplicate, and records the
// results in op.
func (c *Caller) attempt(ctx context.Context, call *Call, op *Op, duplicate bool) Result {
	entries := c.entryCache.entries(ctx, call.Service)
	var second chan Result
	if duplicate && len(entries) > 1 {
		second = make(chan Result, 1)
		go func() { second <- c.client.Send(ctx, entries[1], call) }()
	}
	r := c.sendToFirst(ctx, entries, call, op)
	if second != nil {
		other := <-second
		op.record(other)
		r = mergeOutcomes(r, other)
	}
	// An attempt that was not sent says nothing about the earlier ones.
	if r.Sent || op.Outcome == 0 {
		op.Outcome, op.Reason = r.Outcome, r.Reason
	}
	return r
}

// mergeOutcomes returns the result of two concurrent attempts: run if one was
// run, otherwise unknown if one is unknown. A refusal of one attempt says nothing
// about the other.
func mergeOutcomes(a, b Result) Result {
	switch {
	case a.Outcome == work.Run || !b.Sent:
		return a
	case b.Outcome == work.Run || b.Outcome == work.Unknown || !a.Sent:
		return b
	default:
		return a
	}
}

// sendToFirst sends the call to the first entry that accepts a connection.
func (c *Caller) sendToFirst(ctx context.Context, entries []string, call *Call, op *Op) Result {
	var r Result
	for _, address := range entries {
		r = c.client.Send(ctx, address, call)
		op.record(r)
		if r.Sent || ctx.Err() != nil {
			return r
		}
	}
	c.entryCache.invalidate(call.Service)
	return r
}

// record adds the result of one attempt.
func (op *Op) record(r Result) {
	op.Attempts++
	if !r.Sent {
		op.Unreached++
	}
	if r.Told && r.Outcome == work.NotRun {
		op.NotRun = append(op.NotRun, r.At)
	}
	if r.Bad != nil {
		op.Bad = r.Bad.Error()
	}
	if r.Outcome == work.Run {
		op.Upstream = r.Upstream
		return
	}
	f := newFailure(r)
	op.Failed = append(op.Failed, f)
	switch f.Reason {
	case reasonBroken:
		op.Cut++
	case ReasonTimeout:
		op.TimedOut++
	case reasonUnlabelled:
		op.Unlabelled++
	}
}

// isFinal reports whether a retry could not change the outcome.
func isFinal(r Result) bool {
	if r.Outcome == work.Run {
		return true
	}
	if !r.Told || r.Outcome != work.NotRun {
		return false
	}
	switch r.Reason {
	case work.ReasonBadRequest, work.ReasonKeyConflict, work.ReasonKeyExpired, work.ReasonKeyInvalid, work.ReasonUnknownService:
		return true
	default:
		return false
	}
}

// retryDelay returns the delay before the next attempt: the one that the entry
// requested, or else exponential backoff.
func retryDelay(r Result, attempts int) time.Duration {
	d := r.RetryAfter
	if d == 0 {
		d = minRetryDelay << min(attempts, 8)
	}
	return min(max(d, minRetryDelay), maxRetryDelay)
}
