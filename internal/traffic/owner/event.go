package owner

import "sycamoreledge.example/internal/work"

// EventKind says what happened to an upstream.
type EventKind uint8

// The kinds of events.
const (
	// UpstreamLive: it takes all work again.
	UpstreamLive EventKind = iota + 1
	// UpstreamCold: it takes a growing share of its slots.
	UpstreamCold
	// UpstreamSuspect: it was silent and takes none until a probe succeeds.
	UpstreamSuspect
	// UpstreamDown: it refuses connections or lost several probes.
	UpstreamDown
	// UpstreamLeaving: it gets no new work.
	UpstreamLeaving
	// UpstreamDrained: it is leaving and nothing is in flight any more.
	UpstreamDrained
	// UpstreamMismatch: it answered with the identity of another request.
	UpstreamMismatch
)

// Event is a change of an upstream.
type Event struct {
	Kind     EventKind
	Pool     work.PoolID
	Upstream string
}

// eventBuffer is how many events wait for Run; further ones are lost.
const eventBuffer = 256

// emit passes an event on to Run without waiting.
func (p *pool) emit(kind EventKind, r *row) {
	select {
	case p.owner.events <- Event{Kind: kind, Pool: p.id, Upstream: r.target.Name}:
	default:
		p.owner.stats.LostEvents.Add(1)
	}
}

// changed tells of a new state of an upstream; the mutex is held. Leaving is
// told by followDrain, which also knows the snapshot.
func (p *pool) changed(r *row) {
	switch r.state {
	case stateLive:
		p.emit(UpstreamLive, r)
	case stateCold:
		p.emit(UpstreamCold, r)
	case stateSuspect:
		p.emit(UpstreamSuspect, r)
	case stateDown:
		p.emit(UpstreamDown, r)
	}
}

// followDrain tells when an upstream starts to leave, by its own word or the
// snapshot's, and when its last request has ended; the mutex is held.
func (p *pool) followDrain(may permit, r *row) {
	leaving := r.state == stateLeaving || may.leaving[r.target.Name]
	if leaving && !r.leaving {
		p.emit(UpstreamLeaving, r)
	}
	idle := leaving && r.inUse() == 0
	if idle && !r.drained {
		p.emit(UpstreamDrained, r)
	}
	r.leaving, r.drained = leaving, idle
}
