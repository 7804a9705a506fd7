package gateway

import (
	"context"
	"time"

	"sycamoreledge.example/internal/exchange"
	"sycamoreledge.example/internal/steering"
	"sycamoreledge.example/internal/work"
)

const (
	// shedWait is when callers may come back after upstreams refused their request.
	shedWait = 200 * time.Millisecond
	// maxTried bounds the upstreams that are tried for one request, those that
	// could not be reached included.
	maxTried = 4
)

// flight is one attempt on its way.
type flight struct {
	decision steering.Decision
	sent     time.Time
	result   exchange.Result
}

// flights are the attempts of one request.
type flights struct {
	trip    *trip
	request *steering.Request
	ctx     context.Context
	landed  chan *flight
	flying  int
	last    exchange.Result
	// hedge fires when a further attempt at the same time makes sense.
	hedge *time.Timer
}

// run sends the request until there is an answer for the caller.
func (t *trip) run() {
	t.service = t.gateway.Core.Assign(t.route, t.caller.Object)
	ctx := t.r.Context()
	if !t.route.Kind.Idempotent() {
		// Work with an effect is followed to its end, also when the caller left.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithCancel(ctx)
	// An attempt that another one has overtaken is of no use any more.
	defer cancel()
	f := &flights{
		trip: t, ctx: ctx, landed: make(chan *flight, maxTried),
		request: &steering.Request{
			ID: t.caller.ID, Route: t.route, Object: t.caller.Object, Service: t.service,
			Bytes: len(t.body), Arrived: t.arrived, Deadline: t.deadline,
		},
		hedge: time.NewTimer(time.Hour),
	}
	defer f.hedge.Stop()
	for {
		if f.flying == 0 && !f.next() {
			return
		}
		select {
		case landed := <-f.landed:
			if f.finish(landed) {
				return
			}
		case <-f.hedge.C:
			f.sendAnother()
		}
	}
}

// next sends the next attempt, or answers the caller and returns false.
func (f *flights) next() bool {
	t := f.trip
	if t.r.Context().Err() != nil {
		t.abort(work.ReasonCanceled, t.r.Context().Err())
	}
	now := time.Now()
	if !now.Before(t.deadline) {
		t.giveUp(f.last, steering.Decision{Reason: work.ReasonDeadline, RetryAfter: notReadyWait})
		return false
	}
	d := t.gateway.Core.Choose(now, f.request)
	if d.Ticket == nil {
		t.logRefusal(f.request, d)
		t.giveUp(f.last, d)
		return false
	}
	f.launch(now, d)
	return true
}

// launch sends an attempt.
func (f *flights) launch(now time.Time, d steering.Decision) {
	t := f.trip
	f.flying++
	f.request.Tried = append(f.request.Tried, d.Target.ID)
	attempt := t.attempt(d)
	if t.route.Kind.Idempotent() && t.route.MaxAttempts > 1 {
		f.hedge.Reset(d.HedgeAfter)
	}
	go func() {
		landed := &flight{decision: d, sent: now, result: t.gateway.Sender.Do(f.ctx, attempt)}
		t.gateway.Core.Done(time.Now(), d.Ticket, landed.result)
		f.landed <- landed
		if landed.result.Rest != nil {
			// Nobody may read it any more once the request has ended.
			context.AfterFunc(f.ctx, func() { _ = landed.result.Rest.Close() })
		}
	}()
}

// sendAnother sends a second attempt beside one that takes long, if an upstream
// is free for it. The first answer counts.
func (f *flights) sendAnother() {
	if f.request.Delivered+f.flying >= f.trip.route.MaxAttempts || len(f.request.Tried) >= maxTried {
		return
	}
	hedge := *f.request
	hedge.Hedge = true
	now := time.Now()
	if d := f.trip.gateway.Core.Choose(now, &hedge); d.Ticket != nil {
		f.launch(now, d)
	}
}

// finish takes the result of an attempt. It reports whether the caller was
// answered.
func (f *flights) finish(landed *flight) bool {
	t, r := f.trip, landed.result
	f.flying--
	t.logAttempt(f.request, landed.decision, r, time.Since(landed.sent))
	if r.Reason != work.ReasonUpstreamConnect {
		f.request.Delivered++
	}
	if r.Outcome == work.Run && (r.Status < 500 || !f.mayRepeat(r) && f.flying == 0) {
		t.deliver(r)
		return true
	}
	if r.Rest != nil {
		// It is not delivered: another attempt may do better, or is under way.
		_ = r.Rest.Close()
		r = exchange.Result{Outcome: work.Unknown, Reason: work.ReasonUpstreamBroken}
	}
	if f.last.Outcome == 0 || r.Outcome != work.NotRun {
		f.last = r
	}
	if f.flying > 0 {
		return false
	}
	if !f.mayRepeat(r) {
		t.giveUp(f.last, steering.Decision{Reason: r.Reason, RetryAfter: shedWait})
		return true
	}
	return false
}

// mayRepeat reports whether the request may be sent once more: never when it
// may have run and must not run twice.
func (f *flights) mayRepeat(r exchange.Result) bool {
	if r.Outcome != work.NotRun && !f.trip.route.Kind.Idempotent() || r.Reason == work.ReasonCanceled {
		return false
	}
	return f.request.Delivered < f.trip.route.MaxAttempts && len(f.request.Tried) < maxTried
}
