package owner

import (
	"slices"
	"time"

	"sycamoreledge.example/internal/settings"
	"sycamoreledge.example/internal/upstream"
)

// upstreamEntry is the state of one upstream of a pool.
type upstreamEntry struct {
	target upstream.Target
	state  upstreamState
	// startTimes are the start times of the requests in flight, oldest first.
	startTimes []time.Time
	// heldSince are the times since which slots are held for abandoned attempts
	// that may still be running.
	heldSince []time.Time
	durations durationEstimate
	// lastResponse is when the last complete response ended.
	lastResponse time.Time
	// slowStartResponses counts the complete responses in slow start.
	slowStartResponses int
	// shedUntil is when an upstream that shed a request may get work again.
	shedUntil time.Time
	// lastTrial is when a slow upstream was last given a trial request.
	lastTrial time.Time

	// leavingReported and drainedReported are set when UpstreamLeaving and
	// UpstreamDrained are emitted, and cleared when the upstream is no longer
	// leaving or drained.
	leavingReported bool
	drainedReported bool
	// onStateChange is called after each change of the state.
	onStateChange func(*upstreamEntry)

	probeInFlight bool
	lastProbe     time.Time // start of the last probe
	lostProbes    int
}

// shedPause is how long an upstream that shed a request gets no further ones.
const shedPause = 20 * time.Millisecond

func newUpstreamEntry(u settings.Upstream) *upstreamEntry {
	return &upstreamEntry{
		target: upstream.Target{Name: u.Name, Address: u.Address, Slots: u.Slots},
		state:  stateLive,
	}
}

// inUse returns the number of occupied slots.
func (u *upstreamEntry) inUse() int { return len(u.startTimes) + len(u.heldSince) }

// allowedSlots returns how many slots may be occupied now. All requests of a
// former owner that may still be in flight could be at this upstream, so that the
// full number is subtracted.
func (u *upstreamEntry) allowedSlots(perm permissions) int {
	if !perm.owned || perm.leaving[u.target.Name] || !u.state.acceptsWork() {
		return 0
	}
	slots := perm.grant.Slots(u.target.Slots, perm.now) - perm.grant.Occupied
	if u.state == stateCold {
		slots = min(slots, 1+u.slowStartResponses)
	}
	return max(slots, 0)
}

// freeSlots returns how many more requests may be sent now.
func (u *upstreamEntry) freeSlots(perm permissions) int {
	if perm.now.Before(u.shedUntil) {
		return 0
	}
	return max(u.allowedSlots(perm)-u.inUse(), 0)
}

// removeStart removes one request that started at the given time.
func (u *upstreamEntry) removeStart(start time.Time) {
	i := slices.IndexFunc(u.startTimes, start.Equal)
	u.startTimes = slices.Delete(u.startTimes, i, i+1)
}

// recordResponse records a complete response. Slow start ends after as many of
// them as the upstream has slots.
func (u *upstreamEntry) recordResponse(now time.Time) {
	u.lastResponse = now
	if u.state != stateCold {
		return
	}
	u.slowStartResponses++
	if u.slowStartResponses >= u.target.Slots {
		u.trigger(triggerWarm)
	}
}

// hold keeps a slot occupied for an attempt that may still be running.
func (u *upstreamEntry) hold(now time.Time) { u.heldSince = append(u.heldSince, now) }

// expectedDuration returns the expected duration of a request sent now: the
// typical duration, or, if longer, the age that half of the requests in flight
// have reached.
func (u *upstreamEntry) expectedDuration(now time.Time) time.Duration {
	d := u.durations.typical()
	if n := len(u.startTimes); n >= 2 {
		d = max(d, now.Sub(u.startTimes[n/2]))
	}
	return d
}
