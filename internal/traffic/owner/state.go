package owner

import (
	"context"

	"github.com/qmuntal/stateless"
)

// upstreamState is the state of an upstream from its owner's view.
type upstreamState string

const (
	// stateLive accepts work on all slots.
	stateLive upstreamState = "live"
	// stateCold is slow start: the number of slots in use grows with each
	// response.
	stateCold upstreamState = "cold"
	// stateSuspect gets no work until a probe succeeds.
	stateSuspect upstreamState = "suspect"
	// stateDown refused a connection or failed several probes.
	stateDown upstreamState = "down"
	// stateLeaving gets no new work.
	stateLeaving upstreamState = "leaving"
)

// acceptsWork reports whether new requests may be sent.
func (s upstreamState) acceptsWork() bool { return s == stateLive || s == stateCold }

// stateTrigger is an observation that may change the state of an upstream.
type stateTrigger string

const (
	triggerProbeLive    stateTrigger = "probe_live"
	triggerProbeCold    stateTrigger = "probe_cold"
	triggerProbeLeaving stateTrigger = "probe_leaving"
	triggerProbeLost    stateTrigger = "probe_lost"
	triggerProbesLost   stateTrigger = "probes_lost"
	triggerSilent       stateTrigger = "silent"
	triggerRefused      stateTrigger = "refused"
	triggerWarm         stateTrigger = "warm"
)

// entryKey is the context key of the upstream that a trigger is fired for.
type entryKey struct{}

// stateMachine holds the transitions of all upstreams; the state is stored in each
// upstreamEntry.
var stateMachine = newStateMachine()

func newStateMachine() *stateless.StateMachine {
	read := func(ctx context.Context) (stateless.State, error) {
		return ctx.Value(entryKey{}).(*upstreamEntry).state, nil
	}
	write := func(ctx context.Context, s stateless.State) error {
		ctx.Value(entryKey{}).(*upstreamEntry).setState(s.(upstreamState))
		return nil
	}
	m := stateless.NewStateMachineWithExternalStorage(read, write, stateless.FiringImmediate)
	ignored := func(context.Context, stateless.State, stateless.Trigger, []string) error { return nil }
	m.OnUnhandledTrigger(ignored)
	m.Configure(stateLive).
		Permit(triggerProbeCold, stateCold).
		Permit(triggerProbeLeaving, stateLeaving).
		Permit(triggerProbeLost, stateSuspect).
		Permit(triggerProbesLost, stateDown).
		Permit(triggerSilent, stateSuspect).
		Permit(triggerRefused, stateDown)
	m.Configure(stateCold).
		Permit(triggerWarm, stateLive).
		Permit(triggerProbeLeaving, stateLeaving).
		Permit(triggerProbeLost, stateSuspect).
		Permit(triggerProbesLost, stateDown).
		Permit(triggerSilent, stateSuspect).
		Permit(triggerRefused, stateDown)
	m.Configure(stateSuspect).
		Permit(triggerProbeLive, stateLive).
		Permit(triggerProbeCold, stateCold).
		Permit(triggerProbeLeaving, stateLeaving).
		Permit(triggerProbesLost, stateDown).
		Permit(triggerRefused, stateDown)
	m.Configure(stateDown).
		Permit(triggerProbeLive, stateCold).
		Permit(triggerProbeCold, stateCold).
		Permit(triggerProbeLeaving, stateLeaving)
	m.Configure(stateLeaving).
		Permit(triggerProbeLive, stateCold).
		Permit(triggerProbeCold, stateCold).
		Permit(triggerProbesLost, stateDown).
		Permit(triggerRefused, stateDown)
	return m
}

// trigger applies a trigger; triggers without a transition in the current state
// are ignored.
func (u *upstreamEntry) trigger(t stateTrigger) {
	ctx := context.WithValue(context.Background(), entryKey{}, u)
	if err := stateMachine.FireCtx(ctx, t); err != nil {
		panic("owner: firing an upstream state trigger failed: " + err.Error())
	}
}

// setState changes the state.
func (u *upstreamEntry) setState(s upstreamState) {
	if s == stateCold {
		u.slowStartResponses = 0
	}
	u.state = s
	u.onStateChange(u)
}
