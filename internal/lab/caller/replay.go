package caller

import (
	"context"
	"time"

	"sycamoreledge.example/internal/work"
)

// OrderBody is the size of an order of the standard load in bytes.
const OrderBody = orderBody

// Single is an operation that a replay sends once, without retries.
type Single struct {
	Service  string
	Kind     work.Kind
	Nonce    string
	BodySeed uint64
	BodySize int
	// OwnKey is the idempotency key if the caller generates it itself.
	OwnKey   string
	Deadline time.Duration
}

// Send makes one attempt at an operation. If the operation needs a key that the
// system issues, Send requests it first.
func (c *Caller) Send(ctx context.Context, s Single) *Op {
	load := Load{Kind: s.Kind}
	setSizes(&load)
	call := &Call{Service: s.Service, Kind: s.Kind, Nonce: s.Nonce, Key: s.OwnKey, Size: load.AnswerSize, Deadline: s.Deadline}
	call.Body = randomBody(s.BodySeed, s.BodySize)
	if !s.Kind.Idempotent() && call.Key == "" {
		call.Key = c.requestKey(ctx, s.Service)
	}
	op := newOp(call)
	if !s.Kind.Idempotent() && call.Key == "" {
		op.Outcome, op.Reason, op.End = work.NotRun, work.ReasonNotReady, time.Now()
		return op
	}
	c.attempt(ctx, call, op, false)
	op.End = time.Now()
	return op
}
