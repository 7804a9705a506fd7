package peer

import "sync/atomic"

// EventKind classifies an Event.
type EventKind uint8

// The kinds of events.
const (
	// Connected reports a new connection to or from a peer.
	Connected EventKind = iota + 1
	// Disconnected reports the end of a connection; Err is the cause.
	Disconnected
	// DialFailed reports a failed attempt to connect to a peer.
	DialFailed
	// PeerRefused reports a connection whose client could not be authenticated as
	// a declared instance.
	PeerRefused
	// VersionRefused reports input of another version of the protocol.
	VersionRefused
	// MalformedRefused reports input that is not valid.
	MalformedRefused
	// OversizedRefused reports a frame or value that exceeds its limit.
	OversizedRefused
	// SenderRefused reports a control message whose sender is not the
	// authenticated peer.
	SenderRefused
	// KeysRefused reports that the Handler refused a handover of idempotency
	// keys.
	KeysRefused

	eventKindCount
)

// String returns the name of the kind in snake case, or "invalid".
func (k EventKind) String() string {
	names := [...]string{
		"invalid", "connected", "disconnected", "dial_failed", "peer_refused",
		"version_refused", "malformed_refused", "oversized_refused", "sender_refused", "keys_refused",
	}
	if int(k) >= len(names) {
		return names[0]
	}
	return names[k]
}

// Event is a change of the state of a connection, or input that was refused.
type Event struct {
	Kind EventKind
	// Peer is the declared name, or empty if the peer is not authenticated.
	Peer string
	// Address is the remote address, or empty if it is not known.
	Address string
	Err     error
}

// counters counts the events by kind and the control messages that were dropped.
type counters struct {
	events  [eventKindCount]atomic.Uint64
	dropped atomic.Uint64
}

// Stats holds the counters of a Node since its start.
type Stats struct {
	// Events is the number of events by kind. Kinds without events are absent.
	Events map[EventKind]uint64
	// ControlDropped is the number of control messages that were dropped: the
	// peer is not declared or was not reachable, its queue was full, the message
	// could not be sent, or the Node was closed.
	ControlDropped uint64
	// Connections is the number of open connections.
	Connections int
}

// report counts the event and passes it to Config.Events.
func (n *Node) report(event Event) {
	n.counters.events[event.Kind].Add(1)
	if n.config.Events != nil {
		n.config.Events(event)
	}
}

// reportRefusedInput reports input of a peer that was refused with err.
func (n *Node) reportRefusedInput(peer, address string, err error) {
	n.report(Event{Kind: eventKindOf(err), Peer: peer, Address: address, Err: err})
}

func eventKindOf(err error) EventKind {
	switch {
	case errVersion.Has(err):
		return VersionRefused
	case errOversized.Has(err):
		return OversizedRefused
	default:
		return MalformedRefused
	}
}
