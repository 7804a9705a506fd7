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
	// minHedgeDelay keeps hedges off work that is over before they start.
	minHedgeDelay = time.Millisecond
	// hedgeRetries is how often within the delay a hedge that found no free
	// slot is tried again.
	hedgeRetries = 4
)

// runHedged sends an idempotent request in the slot, and again to another
// upstream when it takes longer than the quantile of the preset. The first
// whole answer wins and the other attempt is cancelled; its answer goes nowhere.
func (p *pool) runHedged(ctx context.Context, s *slot, req *work.Request, body *replay.Body, reader io.Reader) *work.Response {
	first, refusal := p.begin(ctx, s, req)
	if refusal != nil {
		return refusal
	}
	results := make(chan *work.Response, 2)
	go func() { results <- first.do(req, reader) }()
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
				p.settle(resp, s, first, second)
				go discard(results, pending)
				return resp
			}
			last = worse(last, resp)
		case <-timer.C:
			if second = p.startHedge(ctx, s, req); second == nil {
				timer.Reset(delay / hedgeRetries)
				continue
			}
			again, _ := body.Shared()
			pending++
			go func() { results <- second.do(req, again) }()
		}
	}
	return last
}

// settle cancels the attempt that did not win.
func (p *pool) settle(won *work.Response, s *slot, first, second *attempt) {
	if second == nil {
		return
	}
	if won.Upstream == s.row.target.Name {
		second.cancel()
		return
	}
	p.owner.stats.HedgeWins.Add(1)
	first.cancel()
}

// discard closes the answers of attempts that did not win.
func discard(results <-chan *work.Response, pending int) {
	for range pending {
		if resp := <-results; resp.Body != nil {
			resp.Body.Close()
		}
	}
}

// hedgeDelay is the time after which a second attempt starts.
func (p *pool) hedgeDelay() time.Duration {
	const never = 24 * time.Hour
	p.mu.Lock()
	defer p.mu.Unlock()
	may := p.owner.permit(p)
	if may.policy == nil || may.policy.HedgeQuantile == 0 {
		return never
	}
	delay := p.service.delay(hedgePercent(may.policy))
	if delay == 0 {
		return never
	}
	return max(delay, minHedgeDelay)
}

// budgetUse is the part of the hedge budget that is planned for: the rest is for
// times in which more requests than usual are late.
const budgetUse = 2.0 / 3

// hedgePercent is the quantile, in percent, after which a hedge starts: that of
// the preset, or a later one when the budget would not suffice for all beyond it
// and be spent before the stragglers come.
func hedgePercent(policy *settings.ServicePolicy) float64 {
	return 100 * max(policy.HedgeQuantile, 1-budgetUse*policy.HedgeBudget)
}

// startHedge takes a slot at another upstream when the budget permits it, one is
// free, and no request waits for it. It returns nil otherwise.
func (p *pool) startHedge(ctx context.Context, first *slot, req *work.Request) *attempt {
	s := p.hedgeSlot(first, req)
	if s == nil {
		return nil
	}
	a, refusal := p.begin(ctx, s, req)
	if refusal != nil {
		return nil
	}
	p.owner.stats.Hedges.Add(1)
	return a
}

func (p *pool) hedgeSlot(first *slot, req *work.Request) *slot {
	p.mu.Lock()
	defer p.mu.Unlock()
	may := p.owner.permit(p)
	if p.refuse(may, req) != nil || !may.fresh || p.waiting.Len() > 0 {
		return nil
	}
	r := p.choose(may, first.row, 0)
	if r == nil || !p.hedges.spend() {
		return nil
	}
	return p.take(r, may.now)
}
