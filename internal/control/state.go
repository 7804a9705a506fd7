package control

import (
	"context"
	"time"

	"github.com/qmuntal/stateless"
)

// trigger is an input of the instance's state machine.
type trigger string

const (
	triggerCaughtUp trigger = "caught-up"
	triggerPaused   trigger = "paused"
	triggerLeave    trigger = "leave"
	triggerFinish   trigger = "finish"
)

// maxPauseLeaseFraction times the lease is the longest gap between two ticks
// that does not count as a pause. It is below 1, so that an instance detects its
// own pause before its peers treat it as failed.
const maxPauseLeaseFraction = 0.5

// newInstanceMachine returns the state machine of an instance, which stores its
// state in *state.
func newInstanceMachine(state *InstanceState) *stateless.StateMachine {
	m := stateless.NewStateMachineWithExternalStorage(
		func(context.Context) (stateless.State, error) { return *state, nil },
		func(_ context.Context, next stateless.State) error {
			*state = next.(InstanceState)
			return nil
		}, stateless.FiringImmediate)
	m.Configure(Joining).
		Permit(triggerCaughtUp, Serving).
		Permit(triggerLeave, Leaving).
		Ignore(triggerPaused)
	m.Configure(Serving).
		Permit(triggerPaused, CatchingUp).
		Permit(triggerLeave, Leaving).
		Ignore(triggerCaughtUp)
	m.Configure(CatchingUp).
		Permit(triggerCaughtUp, Serving).
		Permit(triggerLeave, Leaving).
		Ignore(triggerPaused)
	m.Configure(Leaving).
		Permit(triggerFinish, Left).
		Ignore(triggerPaused).
		Ignore(triggerCaughtUp).
		Ignore(triggerLeave)
	m.Configure(Left).
		Ignore(triggerPaused).
		Ignore(triggerCaughtUp).
		Ignore(triggerLeave).
		Ignore(triggerFinish)
	return m
}

// fire applies a trigger and reports whether the state changed.
func (c *Core) fire(t trigger) bool {
	before := c.state
	if err := c.stateMachine.Fire(t); err != nil {
		return false
	}
	if c.state == before {
		return false
	}
	c.emit(Event{Kind: EventState, Instance: c.identity.Instance, State: c.state})
	return true
}

func (c *Core) maxPause() time.Duration {
	return time.Duration(float64(c.timing.Lease) * maxPauseLeaseFraction)
}

// detectPause releases all pools and starts catching up if the last tick is
// more than maxPause ago: peers may have taken the pools while this process did
// not run.
func (c *Core) detectPause(lastTick time.Time) {
	gap := c.now.Sub(lastTick)
	if gap <= c.maxPause() {
		return
	}
	c.emit(Event{Kind: EventPaused, Instance: c.identity.Instance, Duration: gap})
	c.resumedAt = c.now
	c.fire(triggerPaused)
	c.releaseAllPools()
	c.resetFailureDetection()
	c.resetAdoptableZones()
}

// finishCatchUp moves from Joining or CatchingUp to Serving once every other
// instance of the zone has acknowledged a heartbeat sent after the start or
// pause, or has been silent for a lease, and a heartbeat interval has passed.
func (c *Core) finishCatchUp() {
	if c.state != Joining && c.state != CatchingUp {
		return
	}
	for _, i := range c.ix.zones[c.zone].instances {
		if i == c.self || c.members[i].failed {
			continue
		}
		// Only a reply to a recent heartbeat shows what the peer owns now; other
		// messages may have been buffered while this process was paused.
		if c.members[i].ackedAt.Before(c.resumedAt) {
			return
		}
	}
	if c.now.Sub(c.resumedAt) < c.timing.Heartbeat {
		return
	}
	c.fire(triggerCaughtUp)
}

// Leave starts the planned stop.
func (c *Core) Leave() {
	c.fire(triggerLeave)
	c.gossip.markChanged(&c.members[c.self])
}

// ReleaseAllPools releases all pools permanently. A planned stop calls it before it waits
// for the requests in flight.
func (c *Core) ReleaseAllPools() {
	c.retired = true
	c.releaseAllPools()
	c.snapshotStale = true
}

// Finish completes the planned stop, when no requests are in flight any more.
// The next Ready returns the last messages.
func (c *Core) Finish() {
	c.fire(triggerFinish)
	c.releaseAllPools()
	c.gossip.markChanged(&c.members[c.self])
	c.sendHeartbeatsNow()
	c.sendDigestsNow()
	c.snapshotStale = true
}

// State returns the current state of the instance.
func (c *Core) State() InstanceState { return c.state }
