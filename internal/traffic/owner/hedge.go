package owner

import (
	"context"
	"io"
	"time"

	"sycamoreledge.example/internal/replay"
	"sycamoreledge.example/internal/settings"
	"sycamoreledge.example/internal/work"
)

const (
	// minHedgeDelay avoids hedging requests that usually end before the hedge is
	// sent.
	minHedgeDelay = time.Millisecond
	// hedgeSlotRetries is how many times per hedge delay a hedge that found no
	// free slot is tried again.
	hedgeSlotRetries = 4
)

// runHedged sends an idempotent request in the slot, and also to another upstream
// if it takes longer than the preset's hedge quantile. The first successful
// response wins; the other attempt is cancelled and its response is discarded.
func (p *pool) runHedged(ctx context.Context, s *slot, req *work.Request, body *replay.Body, reader io.Reader) *work.Response {
	first, refusal := p.beginAttempt(ctx, s, req)
	if refusal != nil {
		return refusal
	}
	results := make(chan *work.Response, 2)
	go func() { results <- first.send(req, reader) }()
	delay := p.hedgeDelay()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	var second *attempt
	var last *work.Response
	for pending := 1; pending > 0; {
		select {
		case resp := <-results:
			pending--
			if resp.Outcome == work.Run {
				p.cancelLoser(resp, s, first, second)
				go closeBodies(results, pending)
				return resp
			}
			last = combineResponses(last, resp)
		case <-timer.C:
			if second = p.startHedge(ctx, s, req); second == nil {
				timer.Reset(delay / hedgeSlotRetries)
				continue
			}
			secondBody, _ := body.Shared()
			pending++
			go func() { results <- second.send(req, secondBody) }()
		}
	}
	return last
}

// cancelLoser cancels the attempt that did not win.
func (p *pool) cancelLoser(winner *work.Response, s *slot, first, second *attempt) {
	if second == nil {
		return
	}
	if winner.Upstream == s.upstream.target.Name {
		second.cancel()
		return
	}
	p.owner.stats.HedgeWins.Add(1)
	first.cancel()
}

// closeBodies closes the bodies of the responses that did not win.
func closeBodies(results <-chan *work.Response, pending int) {
	for range pending {
		if resp := <-results; resp.Body != nil {
			resp.Body.Close()
		}
	}
}

// hedgeDelay returns the time after which a second attempt starts.
func (p *pool) hedgeDelay() time.Duration {
	const never = 24 * time.Hour
	p.mu.Lock()
	defer p.mu.Unlock()
	perm := p.owner.permissions(p)
	if perm.policy == nil || perm.policy.HedgeQuantile == 0 {
		return never
	}
	delay := p.durations.hedgeDelay(hedgePercent(perm.policy))
	if delay == 0 {
		return never
	}
	return max(delay, minHedgeDelay)
}

// plannedBudgetShare is the share of the hedge budget that is used under normal
// conditions; the rest is for times when more requests than usual are late.
const plannedBudgetShare = 2.0 / 3

// hedgePercent returns the quantile, in percent, after which a hedge starts. It is
// the preset's quantile, or a higher one if the budget would not cover all slower
// requests: otherwise the budget would be spent before the stragglers are due for
// a hedge.
func hedgePercent(policy *settings.ServicePolicy) float64 {
	return 100 * max(policy.HedgeQuantile, 1-plannedBudgetShare*policy.HedgeBudget)
}

// startHedge starts an attempt at another upstream if the budget allows it, a slot
// is free, and no request is queued. It returns nil otherwise.
func (p *pool) startHedge(ctx context.Context, first *slot, req *work.Request) *attempt {
	s := p.takeHedgeSlot(first, req)
	if s == nil {
		return nil
	}
	a, refusal := p.beginAttempt(ctx, s, req)
	if refusal != nil {
		return nil
	}
	p.owner.stats.Hedges.Add(1)
	return a
}

func (p *pool) takeHedgeSlot(first *slot, req *work.Request) *slot {
	p.mu.Lock()
	defer p.mu.Unlock()
	perm := p.owner.permissions(p)
	if p.precheck(perm, req) != nil || !perm.snapshotFresh || p.waiting.Len() > 0 {
		return nil
	}
	u := p.chooseUpstream(perm, first.upstream, 0)
	if u == nil || !p.hedges.spend() {
		return nil
	}
	return p.occupySlot(u, perm.now)
}
