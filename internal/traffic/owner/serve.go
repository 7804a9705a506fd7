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

// maxAttempts bounds the attempts of one request at this owner.
const maxAttempts = 3

// Serve runs a request on the pool that it names and returns its outcome. The
// body of the response must be closed; until then its slot stays occupied.
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
		// Read before a slot is taken, so that a slow caller holds none.
		if err := body.Fill(); err != nil {
			return work.Refuse(work.ReasonBadRequest, 0)
		}
	}
	var last *work.Response
	var avoid *row
	for attempt := 1; ; attempt++ {
		s, refusal := p.admit(ctx, req, avoid)
		if refusal != nil {
			return worse(last, refusal)
		}
		avoid = s.row
		resp := p.run(ctx, s, req, body)
		last = worse(last, resp)
		if resp.Outcome == work.Run {
			return resp
		}
		if attempt == maxAttempts || !p.mayRetry(ctx, req, resp, body) {
			return last
		}
	}
}

// worse returns the response that stands for two attempts: an earlier attempt
// that may have run is not undone by a later one that did not.
func worse(earlier, later *work.Response) *work.Response {
	if earlier != nil && earlier.Outcome == work.Unknown && later.Outcome == work.NotRun {
		return earlier
	}
	return later
}

// mayRetry decides on a further attempt, and counts it.
func (p *pool) mayRetry(ctx context.Context, req *work.Request, resp *work.Response, body *replay.Body) bool {
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

// run sends one attempt in the slot and releases the slot when the exchange is
// over.
func (p *pool) run(ctx context.Context, s *slot, req *work.Request, body *replay.Body) *work.Response {
	if req.Kind.Idempotent() {
		if first, ok := body.Shared(); ok {
			return p.runHedged(ctx, s, req, body, first)
		}
	}
	reader, ok := body.Next()
	if !ok {
		s.release(ending{})
		return work.Refuse(work.ReasonBadRequest, 0)
	}
	defer reader.Detach()
	a, refusal := p.begin(ctx, s, req)
	if refusal != nil {
		return refusal
	}
	return a.do(req, reader)
}

// begin checks the right to dispatch a last time and bounds the attempt. It
// releases the slot when it refuses.
func (p *pool) begin(ctx context.Context, s *slot, req *work.Request) (*attempt, *work.Response) {
	may, refusal := p.recheck(s.row)
	if refusal != nil {
		s.release(ending{})
		return nil, refusal
	}
	if !req.Kind.Idempotent() {
		// Work with an effect is followed to its end, so that its outcome is
		// known also when the caller left.
		ctx = context.WithoutCancel(ctx)
	}
	a := &attempt{pool: p, slot: s, deadline: may.now.Add(may.policy.DispatchTimeout)}
	if req.Deadline.Before(a.deadline) {
		a.deadline = req.Deadline
	}
	a.ctx, a.cancel = context.WithDeadline(ctx, a.deadline)
	return a, nil
}

// do sends the attempt. Unless the answer is still being received the slot is
// free, or held, when it returns.
func (a *attempt) do(req *work.Request, body io.Reader) *work.Response {
	result := a.pool.owner.upstreams.Do(a.ctx, a.slot.row.target, req, body, a.deadline)
	if !result.Open {
		a.cancel()
		a.pool.conclude(a.slot, result)
		return result.Response
	}
	result.Response.Body = newOpenBody(a.ctx, a.cancel, result.Response.Body, a.slot)
	return result.Response
}

// recheck returns a refusal when the right to dispatch was lost since the slot
// was given, such as by a pause of the process. Otherwise it counts a dispatch.
func (p *pool) recheck(r *row) (permit, *work.Response) {
	p.mu.Lock()
	defer p.mu.Unlock()
	may := p.owner.permit(p)
	switch {
	case !may.owned:
		return may, work.Refuse(work.ReasonNotOwner, 0)
	case !may.fresh:
		return may, work.Refuse(work.ReasonNotReady, 0)
	case r.allowed(may) == 0:
		return may, work.Refuse(work.ReasonNoUpstream, 0)
	}
	p.owner.stats.Dispatches.Add(1)
	p.retries.earn(may.policy.RetryBudget)
	p.hedges.earn(may.policy.HedgeBudget)
	return may, nil
}

// conclude releases the slot of an attempt and applies what it shows of the
// upstream.
func (p *pool) conclude(s *slot, result upstream.Result) {
	resp := result.Response
	p.mu.Lock()
	if trigger := symptom(resp, s); trigger != "" {
		s.row.fire(trigger)
	}
	if result.Foreign {
		p.emit(UpstreamMismatch, s.row)
	}
	if resp.Reason == work.ReasonUpstreamShed {
		s.row.shedUntil = time.Now().Add(shedPause)
	}
	p.mu.Unlock()
	s.release(ending{
		answered: resp.Outcome == work.Run,
		silent:   result.Silent,
		late:     resp.Outcome == work.Unknown && resp.Reason != work.ReasonUpstreamBroken,
	})
}

// symptom returns what a failed attempt tells of the upstream, or "". One that
// answered others meanwhile is not silent.
func symptom(resp *work.Response, s *slot) stateTrigger {
	switch {
	case resp.Reason == work.ReasonUpstreamConnect:
		return triggerRefused
	case resp.Outcome != work.Unknown || s.row.lastAnswer.After(s.start):
		return ""
	case resp.Reason == work.ReasonUpstreamTimeout, resp.Reason == work.ReasonUpstreamBroken:
		return triggerSilent
	default:
		return ""
	}
}

// openBody is the body of an answer that is still being received. The slot is
// released when it ends, is closed, or the deadline of the dispatch passes.
type openBody struct {
	io.ReadCloser
	finish func(whole bool)
}

func newOpenBody(ctx context.Context, cancel context.CancelFunc, body io.ReadCloser, s *slot) io.ReadCloser {
	var once sync.Once
	finish := func(whole bool) {
		once.Do(func() {
			cancel()
			s.release(ending{answered: whole, silent: !whole, late: !whole})
		})
	}
	context.AfterFunc(ctx, func() { finish(false) })
	return &openBody{ReadCloser: body, finish: finish}
}

// Read implements io.Reader.
func (b *openBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.finish(err == io.EOF)
	}
	return n, err
}

// Close implements io.Closer.
func (b *openBody) Close() error {
	b.finish(false)
	return b.ReadCloser.Close()
}
