package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/zeebo/errs"

	"sycamoreledge.example/internal/exchange"
	"sycamoreledge.example/internal/steering"
	"sycamoreledge.example/internal/work"
)

const (
	// shedRetryAfter is the retry delay of a request whose last attempt failed or was
	// shed.
	shedRetryAfter = 200 * time.Millisecond
	// maxUpstreams bounds the upstreams tried for one request, including those that
	// could not be reached.
	maxUpstreams = 4
)

// attemptResult is one attempt and its result.
type attemptResult struct {
	decision steering.Decision
	started  time.Time
	result   exchange.Result
}

// attempts are the attempts of one request.
type attempts struct {
	transaction *transaction
	request     *steering.Request
	ctx         context.Context
	results     chan *attemptResult
	inFlight    int
	lastResult  exchange.Result
	// hedgeTimer fires when the request is to be hedged.
	hedgeTimer *time.Timer
}

// forward sends the request to upstreams until there is a response for the caller.
func (t *transaction) forward() {
	t.service = t.gateway.Core.Assign(t.route, t.caller.Object)
	ctx := t.r.Context()
	if !t.route.Kind.Idempotent() {
		// A request with side effects is not canceled when the caller disconnects.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithCancel(ctx)
	// Cancels the attempts that are still running when another one has succeeded.
	defer cancel()
	a := &attempts{
		transaction: t, ctx: ctx, results: make(chan *attemptResult, maxUpstreams),
		request: &steering.Request{
			ID: t.caller.ID, Route: t.route, Object: t.caller.Object, Service: t.service,
			Bytes: len(t.body), Arrived: t.received, Deadline: t.deadline,
		},
		hedgeTimer: time.NewTimer(time.Hour),
	}
	defer a.hedgeTimer.Stop()
	for {
		if a.inFlight == 0 && !a.startNext() {
			return
		}
		select {
		case done := <-a.results:
			if a.handleResult(done) {
				return
			}
		case <-a.hedgeTimer.C:
			a.startHedge()
		}
	}
}

// startNext starts the next attempt, or responds to the caller and returns false.
func (a *attempts) startNext() bool {
	t := a.transaction
	if t.r.Context().Err() != nil {
		t.abort(work.ReasonCanceled, t.r.Context().Err())
	}
	now := time.Now()
	if !now.Before(t.deadline) {
		t.finish(a.lastResult, steering.Decision{Reason: work.ReasonDeadline, RetryAfter: notReadyRetryAfter})
		return false
	}
	d := t.gateway.Core.Choose(now, a.request)
	if d.Ticket == nil {
		t.logRefusal(a.request, d)
		t.finish(a.lastResult, d)
		return false
	}
	a.start(now, d)
	return true
}

// start starts an attempt at the chosen upstream and sets the hedge timer.
func (a *attempts) start(now time.Time, d steering.Decision) {
	t := a.transaction
	a.inFlight++
	a.request.Tried = append(a.request.Tried, d.Target.ID)
	request := t.newAttempt(d)
	if t.route.Kind.Idempotent() && t.route.MaxAttempts > 1 {
		a.hedgeTimer.Reset(d.HedgeAfter)
	}
	go func() {
		done := &attemptResult{decision: d, started: now, result: t.gateway.Sender.Do(a.ctx, request)}
		t.gateway.Core.Done(time.Now(), d.Ticket, done.result)
		a.results <- done
		if done.result.UnreadBody != nil {
			// Closed with the request, since the response may not be delivered.
			context.AfterFunc(a.ctx, func() { _ = done.result.UnreadBody.Close() })
		}
	}()
}

// startHedge starts a hedged attempt if an upstream has spare capacity. The first
// response is delivered.
func (a *attempts) startHedge() {
	if a.request.Delivered+a.inFlight >= a.transaction.route.MaxAttempts || len(a.request.Tried) >= maxUpstreams {
		return
	}
	request := *a.request
	request.Hedge = true
	now := time.Now()
	if d := a.transaction.gateway.Core.Choose(now, &request); d.Ticket != nil {
		a.start(now, d)
	}
}

// handleResult processes the result of an attempt. It reports whether the caller has
// been sent a response.
func (a *attempts) handleResult(done *attemptResult) bool {
	t, r := a.transaction, done.result
	a.inFlight--
	t.logAttempt(a.request, done.decision, r, time.Since(done.started))
	if r.Reason != work.ReasonUpstreamConnect {
		a.request.Delivered++
	}
	if r.Outcome == work.Run && statesNotRun(r.Status) {
		// Not proven by the upstream, so the caller must not be told so.
		r = discardResponse(r)
	}
	if r.Outcome == work.Run && (r.Status < 500 || !a.mayRetry(r) && a.inFlight == 0) {
		t.deliver(r)
		return true
	}
	if r.UnreadBody != nil {
		// Not delivered, since another attempt is in flight or follows.
		r = discardResponse(r)
	}
	if a.lastResult.Outcome == 0 || r.Outcome != work.NotRun {
		a.lastResult = r
	}
	if a.inFlight > 0 {
		return false
	}
	if !a.mayRetry(r) {
		t.finish(a.lastResult, steering.Decision{Reason: r.Reason, RetryAfter: shedRetryAfter})
		return true
	}
	return false
}

// statesNotRun reports whether a status tells callers that their request has not run and never will.
func statesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// discardResponse closes a response that is not delivered to the caller, and returns the result that
// stands in its place.
func discardResponse(r exchange.Result) exchange.Result {
	if r.UnreadBody != nil {
		_ = r.UnreadBody.Close()
	}
	return exchange.Result{Outcome: work.Unknown, Reason: work.ReasonUpstreamBroken, Err: errs.New("response with status %d is not delivered", r.Status)}
}

// mayRetry reports whether the request may be retried: never when it may have run
// and is not idempotent.
func (a *attempts) mayRetry(r exchange.Result) bool {
	if r.Outcome != work.NotRun && !a.transaction.route.Kind.Idempotent() || r.Reason == work.ReasonCanceled {
		return false
	}
	return a.request.Delivered < a.transaction.route.MaxAttempts && len(a.request.Tried) < maxUpstreams
}
