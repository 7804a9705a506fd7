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
	maxAttempts  = 10
	maxOperation = 40 * time.Second
	minPause     = 50 * time.Millisecond
	// lateSlack is what the latency of both ways may add to a deadline.
	lateSlack = 100 * time.Millisecond
	maxPause  = 5 * time.Second
)

// Op is one operation of a caller with all its attempts, as the caller saw it.
type Op struct {
	Key     string    `json:"key,omitempty"`
	Nonce   string    `json:"nonce"`
	Service string    `json:"service"`
	Kind    work.Kind `json:"kind"`
	// Digest is the SHA-256 of the body in hexadecimal digits.
	Digest  string       `json:"digest"`
	Start   time.Time    `json:"start"`
	End     time.Time    `json:"end"`
	Outcome work.Outcome `json:"outcome"`
	Reason  work.Reason  `json:"reason,omitempty"`
	// NotRun lists when an entry told that the key had not been run.
	NotRun   []time.Time `json:"not_run,omitempty"`
	Attempts int         `json:"attempts"`
	// Failed lists the attempts that brought no answer, in order.
	Failed   []Failure `json:"failed,omitempty"`
	Upstream string    `json:"upstream,omitempty"`
	Bad      string    `json:"bad,omitempty"`
	// Cut counts answers that broke off and were seen to.
	Cut int `json:"cut,omitempty"`
	// Unreached counts entries that took no connection.
	Unreached int `json:"unreached,omitempty"`
	// TimedOut counts attempts whose caller gave up after the deadline.
	TimedOut int `json:"timed_out,omitempty"`
	// Unlabelled counts answers without an outcome.
	Unlabelled int `json:"unlabelled,omitempty"`
	// Late is set when the answer came after the deadline of its attempt.
	Late bool `json:"late,omitempty"`
}

// Failure is an attempt that brought no answer.
type Failure struct {
	At time.Time `json:"at"`
	// Entry is the address that was asked.
	Entry   string       `json:"entry"`
	Outcome work.Outcome `json:"outcome"`
	// Reason is the entry's, or what the caller saw itself.
	Reason work.Reason `json:"reason"`
}

// Reasons of failures that a caller sees itself.
const (
	reasonUnreached work.Reason = "no connection"
	reasonBroken    work.Reason = "broken off"
	// ReasonTimeout is that of an entry that was silent until after the
	// deadline, so that the caller gave up.
	ReasonTimeout    work.Reason = "no answer in time"
	reasonUnlabelled work.Reason = "no outcome"
)

// failure describes an attempt without an answer.
func failure(r Result) Failure {
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

// Operate sends the call until it was run, was refused for good or the limits
// are reached. It always keeps the key. With twice each attempt goes through
// two entries at once.
func (c *Caller) Operate(ctx context.Context, call *Call, twice bool) *Op {
	op := newOp(call)
	ctx, cancel := context.WithTimeout(ctx, c.config.MaxOperation)
	defer cancel()
	for op.Attempts < maxAttempts && ctx.Err() == nil {
		r := c.attempt(ctx, call, op, twice)
		if final(r) {
			break
		}
		pause(ctx, pauseAfter(r, op.Attempts))
	}
	op.End = time.Now()
	return op
}

// newOp returns the operation of a call before its first attempt.
func newOp(call *Call) *Op {
	return &Op{Key: call.Key, Nonce: call.Nonce, Service: call.Service, Kind: call.Kind, Digest: answer.Digest(call.Body), Start: time.Now()}
}

// Combine returns the operation that consists of attempts made one by one.
func Combine(call *Call, attempts ...Result) *Op {
	op := newOp(call)
	for _, r := range attempts {
		op.note(r)
		op.Outcome, op.Reason, op.End = r.Outcome, r.Reason, r.At
	}
	return op
}

// attempt sends the call once and notes what was learned.
func (c *Caller) attempt(ctx context.Context, call *Call, op *Op, twice bool) Result {
	entries := c.directory.entries(ctx, call.Service)
	var second chan Result
	if twice && len(entries) > 1 {
		second = make(chan Result, 1)
		go func() { second <- c.client.Send(ctx, entries[1], call) }()
	}
	r := c.sendToFirst(ctx, entries, call, op)
	if second != nil {
		other := <-second
		op.note(other)
		r = surer(r, other)
	}
	// An attempt that was never sent says nothing of those before it.
	if r.Sent || op.Outcome == 0 {
		op.Outcome, op.Reason = r.Outcome, r.Reason
	}
	return r
}

// surer returns what two attempts at the same time say together: a refusal
// of one says nothing of the other.
func surer(a, b Result) Result {
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
		op.note(r)
		if r.Sent || ctx.Err() != nil {
			return r
		}
	}
	c.directory.forget(call.Service)
	return r
}

// note adds the result of one attempt.
func (op *Op) note(r Result) {
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
	f := failure(r)
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

// final reports whether another attempt makes no sense.
func final(r Result) bool {
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

// pauseAfter is the time to wait before the next attempt.
func pauseAfter(r Result, attempts int) time.Duration {
	d := r.RetryAfter
	if d == 0 {
		d = minPause << min(attempts, 8)
	}
	return min(max(d, minPause), maxPause)
}
