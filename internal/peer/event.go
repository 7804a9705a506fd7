package peer

import "sync/atomic"

// EventKind classifies an Event.
type EventKind uint8

// The kinds of events.
const (
	// Connected: a connection to or from a peer stands.
	Connected EventKind = iota + 1
	// Disconnected: a connection ended; Err says why.
	Disconnected
	// DialFailed: a peer could not be reached.
	DialFailed
	// PeerRefused: a connection was not authenticated as one of a declared
	// instance.
	PeerRefused
	// VersionRefused: a peer speaks another version of the protocol.
	VersionRefused
	// MalformedRefused: a frame could not be understood.
	MalformedRefused
	// OversizedRefused: a frame or value is over its limit.
	OversizedRefused
	// SenderRefused: a control message names another sender than the
	// authenticated peer.
	SenderRefused
	// KeysRefused: the handover of idempotency keys was not taken.
	KeysRefused

	eventKinds
)

// String returns the kind in lower case.
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

// Event reports a change of a connection or refused input.
type Event struct {
	Kind EventKind
	// Peer is the declared name, or empty when it is not authenticated.
	Peer string
	// Address is the remote address, where known.
	Address string
	Err     error
}

// counters count events by kind and messages that were not sent.
type counters struct {
	events  [eventKinds]atomic.Uint64
	dropped atomic.Uint64
}

// Stats are counts since the start of a Node.
type Stats struct {
	// Events holds the number of events by kind.
	Events map[EventKind]uint64
	// ControlDropped is the number of control messages that were dropped
	// because a peer could not be reached or its queue was full.
	ControlDropped uint64
	// Connections is the number of present connections.
	Connections int
}

// report counts the event and passes it on.
func (n *Node) report(event Event) {
	n.counters.events[event.Kind].Add(1)
	if n.config.Events != nil {
		n.config.Events(event)
	}
}

// refused reports input of a peer that was not accepted.
func (n *Node) refused(peer, address string, err error) {
	n.report(Event{Kind: refusalKind(err), Peer: peer, Address: address, Err: err})
}

func refusalKind(err error) EventKind {
	switch {
	case errVersion.Has(err):
		return VersionRefused
	case errOversized.Has(err):
		return OversizedRefused
	default:
		return MalformedRefused
	}
}
