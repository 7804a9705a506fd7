package entry

import (
	"fmt"
	"slices"

	"sycamoreledge.example/internal/control"
	"sycamoreledge.example/internal/event"
	"sycamoreledge.example/internal/peer"
)

// logControl writes an event of the control core to the log.
func (e *entry) logControl(ev control.Event) {
	switch ev.Kind {
	case control.EventState:
		e.logState(ev)
	case control.EventPaused:
		e.events.Log(event.Paused, "pause", ev.Duration)
	case control.EventMemberUp:
		e.events.Log(event.MemberJoined, "instance", ev.Instance, "zone", e.bundle.Topology.ZoneOf(ev.Instance))
	case control.EventMemberFailed:
		e.events.Log(event.MemberFailed, "instance", ev.Instance, "zone", ev.Zone, "silent", ev.Duration)
	case control.EventMemberState:
		e.logMemberState(ev)
	case control.EventPoolOwned:
		e.events.Log(event.PoolOwned, "pool", ev.Pool)
	case control.EventPoolReleased:
		e.events.Log(event.PoolReleased, "pool", ev.Pool)
	case control.EventPoolAdopted:
		e.events.Log(event.PoolAdopted, "pool", ev.Pool, "from", ev.Zone)
	case control.EventPoolReturned:
		e.events.Log(event.PoolReturned, "pool", ev.Pool)
	case control.EventGrantLapsed:
		e.events.Log(event.GrantLapsed, "zone", ev.Pool.Zone)
	case control.EventGrantRenewed:
		e.events.Log(event.GrantRenewed, "zone", ev.Pool.Zone)
	case control.EventConfigAccepted:
		e.events.Log(event.ConfigInForce, "version", ev.Version, "preset", ev.Detail)
		e.logDrains()
	case control.EventConfigIgnored:
		e.events.Log(event.ConfigOlderIgnored, "version", ev.Version, "have", e.loop.Snapshot().Config.Version)
	case control.EventZoneUnreachable:
		e.events.Log(event.ZoneSilent, "zone", ev.Zone, "silent", ev.Duration)
	case control.EventSuperseded:
		e.events.Log(event.MemberReplaced, "instance", ev.Instance)
		e.requestLeave()
	}
}

// logDrains compares the drains in force with those that were reported last. It
// runs on the control goroutine.
func (e *entry) logDrains() {
	now := e.loop.Snapshot().Config.Drains
	for _, d := range now {
		if !slices.Contains(e.drains, d) {
			e.events.Log(event.DrainStarted, "kind", d.Kind, "name", d.Name)
		}
	}
	for _, d := range e.drains {
		if !slices.Contains(now, d) {
			e.events.Log(event.DrainEnded, "kind", d.Kind, "name", d.Name)
		}
	}
	e.drains = slices.Clone(now)
}

func (e *entry) logState(ev control.Event) {
	switch ev.State {
	case control.CatchingUp:
		e.events.Log(event.CatchingUp, "instance", ev.Instance)
	case control.Serving:
		e.events.Log(event.CaughtUp, "instance", ev.Instance)
	default:
		e.events.Log(event.StateChanged, "to", ev.State)
	}
}

func (e *entry) logMemberState(ev control.Event) {
	zone := e.bundle.Topology.ZoneOf(ev.Instance)
	switch ev.State {
	case control.Leaving:
		e.events.Log(event.MemberLeaving, "instance", ev.Instance, "zone", zone)
	case control.Left:
		e.events.Log(event.MemberLeft, "instance", ev.Instance, "zone", zone)
	}
}

// logPeer writes an event of the transport between instances to the log.
func (e *entry) logPeer(ev peer.Event) {
	who := ev.Peer
	if who == "" {
		who = ev.Address
	}
	switch ev.Kind {
	case peer.Connected:
		e.events.Log(event.PeerConnected, "peer", who)
	case peer.DialFailed:
		e.events.Log(event.PeerUnreachable, "peer", who, "error", ev.Err)
	case peer.Disconnected:
		e.events.Log(event.PeerLost, "peer", who, "error", ev.Err)
	case peer.PeerRefused:
		e.events.Log(event.PeerUnauthenticated, "address", who, "error", ev.Err)
	case peer.VersionRefused:
		e.events.Log(event.PeerVersion, "peer", who, "error", ev.Err)
	case peer.OversizedRefused:
		e.events.Log(event.PeerOversized, "peer", who, "error", ev.Err)
	case peer.SenderRefused:
		e.events.Log(event.PeerImpostor, "peer", who, "error", ev.Err)
	default:
		e.events.Log(event.PeerMalformed, "peer", who, "error", ev.Err)
	}
}

// explain describes the counters behind the present behaviour.
func (e *entry) explain() []string {
	r, o, k := e.router.Stats(), e.owner.Stats(), e.once.Stats()
	lines := []string{
		fmt.Sprintf("router: run %d, not run %d, unknown %d, shifted %d, retries %d",
			r.Run.Load(), r.NotRun.Load(), r.Unknown.Load(), r.Shifted.Load(), r.Retries.Load()),
		fmt.Sprintf("owner: dispatches %d, queued %d, withdrawn %d, hedges %d (won %d), retries %d, held slots %d",
			o.Dispatches.Load(), o.Queued.Load(), o.Withdrawn.Load(), o.Hedges.Load(), o.HedgeWins.Load(),
			o.Retries.Load(), o.HeldSlots.Load()),
		fmt.Sprintf("keys: replayed %d, waited %d, forwarded %d, claims %d",
			k.Replayed.Load(), k.Waited.Load(), k.Forwarded.Load(), k.Claims.Load()),
		fmt.Sprintf("control: messages dropped %d", e.loop.dropped.Load()),
	}
	for reason, n := range r.Reasons() {
		lines = append(lines, fmt.Sprintf("answers with reason %s: %d", reason, n))
	}
	return lines
}
