package owner

import (
	"slices"
	"time"

	"sycamoreledge.example/internal/settings"
	"sycamoreledge.example/internal/upstream"
)

// row is one upstream in the table of its pool.
type row struct {
	target upstream.Target
	state  upstreamState
	// started are the starts of the requests in flight, oldest first.
	started []time.Time
	// held are the times since which slots are kept for attempts that were
	// given up and may still be running.
	held    []time.Time
	service estimate
	// lastAnswer is when the last whole answer ended.
	lastAnswer time.Time
	// warm counts answers since the upstream started cold.
	warm int
	// shedUntil is when an upstream that shed a request gets work again.
	shedUntil time.Time
	// tried is when a slow upstream was last given a request to see whether
	// it recovered.
	tried time.Time

	// leaving and drained are what was told of its leaving.
	leaving bool
	drained bool
	// changed is called after each change of the state.
	changed func(*row)

	probing     bool
	probed      time.Time // start of the last probe
	probeLosses int
}

// shedPause is how long an upstream that shed a request gets no further ones.
const shedPause = 20 * time.Millisecond

func newRow(u settings.Upstream) *row {
	return &row{
		target: upstream.Target{Name: u.Name, Address: u.Address, Slots: u.Slots},
		state:  stateLive,
	}
}

// inUse is the number of occupied slots.
func (r *row) inUse() int { return len(r.started) + len(r.held) }

// allowed is how many slots may be occupied now. The requests of a former owner
// may all be at this upstream, so that each counts in full.
func (r *row) allowed(may permit) int {
	if !may.owned || may.leaving[r.target.Name] || !r.state.takesWork() {
		return 0
	}
	slots := may.grant.Slots(r.target.Slots, may.now) - may.grant.Occupied
	if r.state == stateCold {
		slots = min(slots, 1+r.warm)
	}
	return max(slots, 0)
}

// free is how many further requests may be sent now.
func (r *row) free(may permit) int {
	if may.now.Before(r.shedUntil) {
		return 0
	}
	return max(r.allowed(may)-r.inUse(), 0)
}

// remove ends one request that started at the given time.
func (r *row) remove(start time.Time) {
	i := slices.IndexFunc(r.started, start.Equal)
	r.started = slices.Delete(r.started, i, i+1)
}

// answered notes a whole answer.
func (r *row) answered(now time.Time) {
	r.lastAnswer = now
	if r.state != stateCold {
		return
	}
	r.warm++
	if r.warm >= r.target.Slots {
		r.fire(triggerWarm)
	}
}

// hold keeps a slot for an attempt that may still be running.
func (r *row) hold(now time.Time) { r.held = append(r.held, now) }

// expected is the expected duration of a request sent now: the typical one, or
// the age of the requests in flight when half of them are older.
func (r *row) expected(now time.Time) time.Duration {
	d := r.service.typical()
	if n := len(r.started); n >= 2 {
		d = max(d, now.Sub(r.started[n/2]))
	}
	return d
}
