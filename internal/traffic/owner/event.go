package owner

import "sycamoreledge.example/internal/work"

// EventKind is the kind of change of an upstream.
type EventKind uint8

// The kinds of events.
const (
	// UpstreamLive: it accepts work on all of its slots again.
	UpstreamLive EventKind = iota + 1
	// UpstreamCold: it is in slow start, with a growing number of its slots in
	// use.
	UpstreamCold
	// UpstreamSuspect: it did not answer, and gets no work until a probe succeeds.
	UpstreamSuspect
	// UpstreamDown: it refused a connection or several probes failed.
	UpstreamDown
	// UpstreamLeaving: it gets no new work.
	UpstreamLeaving
	// UpstreamDrained: it is leaving and has no requests in flight.
	UpstreamDrained
	// UpstreamMismatch: its response carried the ID of another request.
	UpstreamMismatch
)

// Event is a change of an upstream.
type Event struct {
	Kind     EventKind
	Pool     work.PoolID
	Upstream string
}

// eventBufferSize is the number of events that may wait for Run; further ones are
// dropped.
const eventBufferSize = 256

// emit queues an event for Run without blocking.
func (p *pool) emit(kind EventKind, u *upstreamEntry) {
	select {
	case p.owner.events <- Event{Kind: kind, Pool: p.id, Upstream: u.target.Name}:
	default:
		p.owner.stats.DroppedEvents.Add(1)
	}
}

// emitStateChange emits the event of an upstream's new state. The caller must hold
// the mutex. trackDrain emits UpstreamLeaving, since that also depends on the
// snapshot.
func (p *pool) emitStateChange(u *upstreamEntry) {
	switch u.state {
	case stateLive:
		p.emit(UpstreamLive, u)
	case stateCold:
		p.emit(UpstreamCold, u)
	case stateSuspect:
		p.emit(UpstreamSuspect, u)
	case stateDown:
		p.emit(UpstreamDown, u)
	}
}

// trackDrain emits an event when an upstream starts to leave, according to its own
// health or the snapshot, and when its last request has ended. The caller must
// hold the mutex.
func (p *pool) trackDrain(perm permissions, u *upstreamEntry) {
	leaving := u.state == stateLeaving || perm.leaving[u.target.Name]
	if leaving && !u.leavingReported {
		p.emit(UpstreamLeaving, u)
	}
	drained := leaving && u.inUse() == 0
	if drained && !u.drainedReported {
		p.emit(UpstreamDrained, u)
	}
	u.leavingReported, u.drainedReported = leaving, drained
}
