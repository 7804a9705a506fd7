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

// pauseFactor times the lease is the gap between two ticks that counts as a
// pause. It is below 1, so that a pause is noticed before peers can act on it.
const pauseFactor = 0.5

// newInstanceMachine builds the machine that keeps its state in *state.
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
	if err := c.machine.Fire(t); err != nil {
		return false
	}
	if c.state == before {
		return false
	}
	c.emit(Event{Kind: EventState, Instance: c.identity.Instance, State: c.state})
	return true
}

func (c *Core) maxPause() time.Duration {
	return time.Duration(float64(c.timing.Lease) * pauseFactor)
}

// detectPause gives up all rights when the last tick is too long ago: peers
// may have taken over while this process did not run.
func (c *Core) detectPause(last time.Time) {
	gap := c.now.Sub(last)
	if gap <= c.maxPause() {
		return
	}
	c.emit(Event{Kind: EventPaused, Instance: c.identity.Instance, Duration: gap})
	c.resumed = c.now
	c.fire(triggerPaused)
	c.dropAllPools()
	c.forgiveSilence()
	c.resetWards()
}

// finishCatchUp ends Joining and CatchingUp once every peer in the zone has
// either answered a heartbeat since or been silent for a lease.
func (c *Core) finishCatchUp() {
	if c.state != Joining && c.state != CatchingUp {
		return
	}
	for _, m := range c.ix.zones[c.zone].instances {
		if m == c.self || c.members[m].failed {
			continue
		}
		// Only an answer to a heartbeat of ours tells what the peer owns by now;
		// others may have waited in a buffer while this process was paused.
		if c.members[m].ackedAt.Before(c.resumed) {
			return
		}
	}
	if c.now.Sub(c.resumed) < c.timing.Heartbeat {
		return
	}
	c.fire(triggerCaughtUp)
}

// Leave starts the planned stop.
func (c *Core) Leave() {
	c.fire(triggerLeave)
	c.spread.touch(&c.members[c.self])
}

// Retire gives up all pools for good, as the step of a planned stop before
// waiting for the requests in flight.
func (c *Core) Retire() {
	c.retired = true
	c.dropAllPools()
	c.stale = true
}

// Finish ends the planned stop: nothing is in flight any more. The next Ready
// carries the last messages.
func (c *Core) Finish() {
	c.fire(triggerFinish)
	c.dropAllPools()
	c.spread.touch(&c.members[c.self])
	c.sendHeartbeatsNow()
	c.sendDigestsNow()
	c.stale = true
}

// State returns the present state of the instance.
func (c *Core) State() InstanceState { return c.state }
