package steering

import (
	"time"

	"sycamoreledge.example/internal/deployment"
	"sycamoreledge.example/internal/limit"
)

// retryBudget limits the retries and hedged requests of a service.
type retryBudget struct {
	bucket      limit.Bucket
	initialized bool
}

// retryBudgetFraction is the fraction of the allowed retries that is used. The rest
// is a margin for instances that restart and for differing views of the membership.
const retryBudgetFraction = 0.7

// init empties the bucket at its first use: an instance that restarts must not get
// the full slack again.
func (r *retryBudget) init(now time.Time, b deployment.Bounds, members int) {
	if !r.initialized {
		r.initialized = true
		r.bucket.Take(now, retryBurst(b, members), 0, retryBurst(b, members))
	}
}

// deposit adds the fraction of a retry that one request allows.
func (r *retryBudget) deposit(now time.Time, b deployment.Bounds, members int) {
	r.init(now, b, members)
	r.bucket.Borrow(now, -retryBudgetFraction*b.RetryRatio, retryRate(b, members), retryBurst(b, members), 0)
}

// withdraw takes one retry from the budget. It reports false when the budget is
// exhausted.
func (r *retryBudget) withdraw(now time.Time, b deployment.Bounds, members int) bool {
	r.init(now, b, members)
	return r.bucket.Take(now, 1, retryRate(b, members), retryBurst(b, members))
}

// retryBurst returns the part of the slack that one instance may use at once, in
// retries.
func retryBurst(b deployment.Bounds, members int) float64 {
	return max(retryBudgetFraction*b.RetrySlack/float64(max(members, 1))/2, 1)
}

// retryRate spreads the other half of the slack over the retry window, in retries
// per second.
func retryRate(b deployment.Bounds, members int) float64 {
	if b.RetryWindow <= 0 {
		return 0
	}
	return retryBudgetFraction * b.RetrySlack / float64(max(members, 1)) / 2 / b.RetryWindow.Seconds()
}
