package entry

import (
	"sycamoreledge.example/internal/event"
	"sycamoreledge.example/internal/traffic"
	"sycamoreledge.example/internal/traffic/owner"
)

// upstreamEvents maps state changes of upstreams to log events.
var upstreamEvents = map[owner.EventKind]event.ID{
	owner.UpstreamLive:     event.UpstreamLive,
	owner.UpstreamCold:     event.UpstreamCold,
	owner.UpstreamSuspect:  event.UpstreamSuspect,
	owner.UpstreamDown:     event.UpstreamDown,
	owner.UpstreamLeaving:  event.UpstreamLeaving,
	owner.UpstreamDrained:  event.UpstreamDrained,
	owner.UpstreamMismatch: event.UpstreamMismatch,
}

// shiftEvents maps state changes of shifts to log events.
var shiftEvents = map[traffic.EventKind]event.ID{
	traffic.ShiftStarted: event.ShiftStarted,
	traffic.ShiftEnded:   event.ShiftEnded,
	traffic.ShiftCapped:  event.ShiftAtCap,
}

func (e *entryInstance) logUpstreamEvent(ev owner.Event) {
	e.events.Log(upstreamEvents[ev.Kind], "upstream", ev.Upstream, "pool", ev.Pool)
}

func (e *entryInstance) logShiftEvent(ev traffic.Event) {
	e.events.Log(shiftEvents[ev.Kind], "service", ev.Service,
		"from", e.loop.Snapshot().Region, "to", ev.Region)
}
