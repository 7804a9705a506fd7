package entry

import (
	"sycamoreledge.example/internal/event"
	"sycamoreledge.example/internal/traffic"
	"sycamoreledge.example/internal/traffic/owner"
)

// upstreamEvents maps changes of upstreams to numbered events.
var upstreamEvents = map[owner.EventKind]event.ID{
	owner.UpstreamLive:     event.UpstreamLive,
	owner.UpstreamCold:     event.UpstreamCold,
	owner.UpstreamSuspect:  event.UpstreamSuspect,
	owner.UpstreamDown:     event.UpstreamDown,
	owner.UpstreamLeaving:  event.UpstreamLeaving,
	owner.UpstreamDrained:  event.UpstreamDrained,
	owner.UpstreamMismatch: event.UpstreamMismatch,
}

// shiftEvents maps changes of shifts to numbered events.
var shiftEvents = map[traffic.EventKind]event.ID{
	traffic.ShiftStarted: event.ShiftStarted,
	traffic.ShiftEnded:   event.ShiftEnded,
	traffic.ShiftCapped:  event.ShiftAtCap,
}

// logUpstream writes a change of an upstream to the log.
func (e *entry) logUpstream(ev owner.Event) {
	e.events.Log(upstreamEvents[ev.Kind], "upstream", ev.Upstream, "pool", ev.Pool)
}

// logShift writes a change of a shift to the log.
func (e *entry) logShift(ev traffic.Event) {
	e.events.Log(shiftEvents[ev.Kind], "service", ev.Service,
		"from", e.loop.Snapshot().Region, "to", ev.Region)
}
