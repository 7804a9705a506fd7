package owner

import (
	"context"
	"io"
	"sync"
	"time"

	"sycamoreledge.example/internal/replay"
	"sycamoreledge.example/internal/upstream"
	"sycamoreledge.example/internal/work"
)

// maxAttempts is the maximum number of attempts of one request at this owner,
// hedges not included.
const maxAttempts = 3

// Serve runs a request on the pool that it names and returns its outcome. The
// caller must close the body of the response; a slot may stay occupied until then.
func (o *Owner) Serve(ctx context.Context, req *work.Request) *work.Response {
	resp := o.serve(ctx, req)
	switch resp.Outcome {
	case work.Run:
		o.stats.Run.Add(1)
	case work.NotRun:
		o.stats.NotRun.Add(1)
	default:
		o.stats.Unknown.Add(1)
	}
	return resp
}

func (o *Owner) serve(ctx context.Context, req *work.Request) *work.Response {
	p := o.pools[req.Pool]
	if p == nil {
		return work.Refuse(work.ReasonUnknownService, 0)
	}
	body := replay.New(req.Body)
	if req.Kind.Idempotent() {
		// The body is read before a slot is occupied, so that a slow caller
		// occupies none.
		if err := body.Fill(); err != nil {
			return work.Refuse(work.ReasonBadRequest, 0)
		}
	}
	var last *work.Response
	var failed *upstreamEntry
	for attempt := 1; ; attempt++ {
		s, refusal := p.admit(ctx, req, failed)
		if refusal != nil {
			return combineResponses(last, refusal)
		}
		failed = s.upstream
		resp := p.run(ctx, s, req, body)
		last = combineResponses(last, resp)
		if resp.Outcome == work.Run {
			return resp
		}
		if attempt == maxAttempts || !p.spendRetry(ctx, req, resp, body) {
			return last
		}
	}
}

// combineResponses returns the response for two consecutive attempts. If the
// earlier one may have run, a later one that did not run does not change that.
func combineResponses(earlier, later *work.Response) *work.Response {
	if earlier != nil && earlier.Outcome == work.Unknown && later.Outcome == work.NotRun {
		return earlier
	}
	return later
}

// spendRetry reports whether a further attempt is safe and within the retry
// budget, and takes it from the budget.
func (p *pool) spendRetry(ctx context.Context, req *work.Request, resp *work.Response, body *replay.Body) bool {
	switch resp.Reason {
	case work.ReasonNoUpstream, work.ReasonUpstreamConnect, work.ReasonUpstreamShed, work.ReasonUpstreamBroken, work.ReasonUpstreamTimeout:
	default:
		return false
	}
	if resp.Outcome == work.Unknown && !req.Kind.Idempotent() {
		return false
	}
	if ctx.Err() != nil || !body.Replayable() {
		return false
	}
	p.mu.Lock()
	ok := p.retries.spend()
	p.mu.Unlock()
	if ok {
		p.owner.stats.Retries.Add(1)
	}
	return ok
}

// attempt is one dispatch of a request in a slot.
type attempt struct {
	pool     *pool
	slot     *slot
	ctx      context.Context
	cancel   context.CancelFunc
	deadline time.Time
}

// run sends one attempt in the slot, or a hedged one if the request is idempotent.
func (p *pool) run(ctx context.Context, s *slot, req *work.Request, body *replay.Body) *work.Response {
	if req.Kind.Idempotent() {
		if first, ok := body.Shared(); ok {
			return p.runHedged(ctx, s, req, body, first)
		}
	}
	reader, ok := body.Next()
	if !ok {
		s.release(attemptEnd{})
		return work.Refuse(work.ReasonBadRequest, 0)
	}
	defer reader.Detach()
	a, refusal := p.beginAttempt(ctx, s, req)
	if refusal != nil {
		return refusal
	}
	return a.send(req, reader)
}

// beginAttempt checks for the last time that the request may be dispatched, and
// sets the deadline of the attempt. It releases the slot if it refuses.
func (p *pool) beginAttempt(ctx context.Context, s *slot, req *work.Request) (*attempt, *work.Response) {
	perm, refusal := p.recheckDispatch(s.upstream)
	if refusal != nil {
		s.release(attemptEnd{})
		return nil, refusal
	}
	if !req.Kind.Idempotent() {
		// Non-idempotent work is awaited after the caller has cancelled it, so
		// that its outcome becomes known.
		ctx = context.WithoutCancel(ctx)
	}
	a := &attempt{pool: p, slot: s, deadline: perm.now.Add(perm.policy.DispatchTimeout)}
	if req.Deadline.Before(a.deadline) {
		a.deadline = req.Deadline
	}
	a.ctx, a.cancel = context.WithDeadline(ctx, a.deadline)
	return a, nil
}

// send sends the attempt. When it returns, the slot has been freed or is held,
// unless the response is still being received.
func (a *attempt) send(req *work.Request, body io.Reader) *work.Response {
	result := a.pool.owner.upstreams.Do(a.ctx, a.slot.upstream.target, req, body, a.deadline)
	if !result.Streaming {
		a.cancel()
		a.pool.finishAttempt(a.slot, result)
		return result.Response
	}
	result.Response.Body = newStreamedBody(a.ctx, a.cancel, result.Response.Body, a.slot)
	return result.Response
}

// recheckDispatch returns a refusal if the request may no longer be dispatched,
// for example because the process was paused after the slot was assigned.
// Otherwise it counts a dispatch.
func (p *pool) recheckDispatch(u *upstreamEntry) (permissions, *work.Response) {
	p.mu.Lock()
	defer p.mu.Unlock()
	perm := p.owner.permissions(p)
	switch {
	case !perm.owned:
		return perm, work.Refuse(work.ReasonNotOwner, 0)
	case !perm.snapshotFresh:
		return perm, work.Refuse(work.ReasonNotReady, 0)
	case u.allowedSlots(perm) == 0:
		return perm, work.Refuse(work.ReasonNoUpstream, 0)
	}
	p.owner.stats.Dispatches.Add(1)
	p.retries.earn(perm.policy.RetryBudget)
	p.hedges.earn(perm.policy.HedgeBudget)
	return perm, nil
}

// finishAttempt releases the slot of an attempt and updates the state of the
// upstream.
func (p *pool) finishAttempt(s *slot, result upstream.Result) {
	resp := result.Response
	p.mu.Lock()
	if trigger := failureTrigger(resp, s); trigger != "" {
		s.upstream.trigger(trigger)
	}
	if result.WrongRequestID {
		p.emit(UpstreamMismatch, s.upstream)
	}
	if resp.Reason == work.ReasonUpstreamShed {
		s.upstream.shedUntil = time.Now().Add(shedPause)
	}
	p.mu.Unlock()
	s.release(attemptEnd{
		answered: resp.Outcome == work.Run,
		silent:   result.MaybeRunning,
		cutOff:   resp.Outcome == work.Unknown && resp.Reason != work.ReasonUpstreamBroken,
	})
}

// failureTrigger returns the state trigger for a failed attempt, or "". An
// upstream that answered another request since the attempt started is not silent.
func failureTrigger(resp *work.Response, s *slot) stateTrigger {
	switch {
	case resp.Reason == work.ReasonUpstreamConnect:
		return triggerRefused
	case resp.Outcome != work.Unknown || s.upstream.lastResponse.After(s.start):
		return ""
	case resp.Reason == work.ReasonUpstreamTimeout, resp.Reason == work.ReasonUpstreamBroken:
		return triggerSilent
	default:
		return ""
	}
}

// streamedBody is the body of a response that is still being received. The slot is
// released when the body ends or is closed, or when the deadline of the attempt
// passes.
type streamedBody struct {
	io.ReadCloser
	finish func(complete bool)
}

func newStreamedBody(ctx context.Context, cancel context.CancelFunc, body io.ReadCloser, s *slot) io.ReadCloser {
	var once sync.Once
	finish := func(complete bool) {
		once.Do(func() {
			cancel()
			s.release(attemptEnd{answered: complete, silent: !complete, cutOff: !complete})
		})
	}
	context.AfterFunc(ctx, func() { finish(false) })
	return &streamedBody{ReadCloser: body, finish: finish}
}

// Read implements io.Reader.
func (b *streamedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.finish(err == io.EOF)
	}
	return n, err
}

// Close implements io.Closer.
func (b *streamedBody) Close() error {
	b.finish(false)
	return b.ReadCloser.Close()
}
