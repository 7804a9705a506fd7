package owner

import (
	"context"

	"github.com/qmuntal/stateless"
)

// upstreamState is the state of an upstream as its owner sees it.
type upstreamState string

const (
	// stateLive takes work.
	stateLive upstreamState = "live"
	// stateCold takes a growing share of its slots.
	stateCold upstreamState = "cold"
	// stateSuspect takes none until a probe succeeds.
	stateSuspect upstreamState = "suspect"
	// stateDown refuses connections or lost several probes.
	stateDown upstreamState = "down"
	// stateLeaving takes no new work.
	stateLeaving upstreamState = "leaving"
)

// takesWork reports whether new requests may be sent.
func (s upstreamState) takesWork() bool { return s == stateLive || s == stateCold }

// stateTrigger is what changes the state of an upstream.
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

// rowKey carries the row that an event is about through the machine.
type rowKey struct{}

// machine holds the transitions for all upstreams; the state is in their rows.
var machine = newMachine()

func newMachine() *stateless.StateMachine {
	read := func(ctx context.Context) (stateless.State, error) {
		return ctx.Value(rowKey{}).(*row).state, nil
	}
	write := func(ctx context.Context, s stateless.State) error {
		ctx.Value(rowKey{}).(*row).enter(s.(upstreamState))
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

// fire applies a trigger to the row; triggers without a transition are ignored.
func (r *row) fire(t stateTrigger) {
	ctx := context.WithValue(context.Background(), rowKey{}, r)
	if err := machine.FireCtx(ctx, t); err != nil {
		panic("owner: transition table is broken: " + err.Error())
	}
}

// enter changes the state.
func (r *row) enter(s upstreamState) {
	if s == stateCold {
		r.warm = 0
	}
	r.state = s
	r.changed(r)
}
