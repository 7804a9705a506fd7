package control

import (
	"time"

	"sycamoreledge.example/internal/settings"
	"sycamoreledge.example/internal/work"
)

// Message is what control cores of two instances exchange. Exactly one of the
// pointers is set.
type Message struct {
	// From and Incarnation are set by the sender's core; the transport checks
	// From against the authenticated peer.
	From        string     `cbor:"1,keyasint"`
	Incarnation uint64     `cbor:"2,keyasint"`
	Heartbeat   *Heartbeat `cbor:"3,keyasint,omitempty"`
	Ack         *Ack       `cbor:"4,keyasint,omitempty"`
	Digest      *Digest    `cbor:"5,keyasint,omitempty"`
	Config      *Config    `cbor:"6,keyasint,omitempty"`
	Release     *Release   `cbor:"7,keyasint,omitempty"`
}

// Config carries the whole dynamic configuration to a peer that has an older
// version, or, with a nil Value, asks a peer for its own.
type Config struct {
	Value *settings.Config `cbor:"1,keyasint"`
}

// Heartbeat tells a peer that the sender is alive, and asks for an Ack.
type Heartbeat struct {
	// SentAt is the sender's monotonic time in nanoseconds, echoed by the Ack.
	SentAt        int64         `cbor:"1,keyasint"`
	State         InstanceState `cbor:"2,keyasint"`
	ConfigVersion int64         `cbor:"3,keyasint"`
	// Successor names the instance that took over the sender's idempotency
	// keys; it is set by a leaving instance.
	Successor string `cbor:"4,keyasint,omitempty"`
}

// Ack answers a Heartbeat.
type Ack struct {
	// SentAt echoes the Heartbeat.
	SentAt int64 `cbor:"1,keyasint"`
	// Grant permits the receiver to use all slots of its zone's pools for one
	// lease after SentAt: the sender has not adopted them and will not before
	// the grant has run out.
	Grant         bool  `cbor:"2,keyasint"`
	ConfigVersion int64 `cbor:"3,keyasint"`
}

// Digest describes one instance to others. Relays pass digests on to the
// members of their zone and to other zones.
type Digest struct {
	Rows []DigestRow `cbor:"1,keyasint"`
}

// DigestRow is what is known of one instance. Of two rows about the same
// instance the one with the higher (Incarnation, Sequence) is newer.
type DigestRow struct {
	Instance      string        `cbor:"1,keyasint"`
	Incarnation   uint64        `cbor:"2,keyasint"`
	Sequence      uint64        `cbor:"3,keyasint"`
	State         InstanceState `cbor:"4,keyasint"`
	ConfigVersion int64         `cbor:"5,keyasint"`
	Successor     string        `cbor:"6,keyasint,omitempty"`
	// Pools are the pools that the instance dispatches to.
	Pools []PoolStatus `cbor:"7,keyasint,omitempty"`
}

// PoolStatus is the load of a pool as its owner counts it.
type PoolStatus struct {
	Pool work.PoolID `cbor:"1,keyasint"`
	// Slots is how many slots the owner may use now, Busy how many it uses and
	// Queued how many requests wait.
	Slots  int `cbor:"2,keyasint"`
	Busy   int `cbor:"3,keyasint"`
	Queued int `cbor:"4,keyasint"`
}

// Release gives up pools. It is repeated until the receiver owns them and
// Busy is empty.
type Release struct {
	// Pools lists the pools with the number of requests still in flight.
	Pools []PoolStatus `cbor:"1,keyasint"`
}

// InstanceState is the state of an instance.
type InstanceState uint8

// The states of an instance, in the order in which it passes them.
const (
	// Joining: started, does not dispatch yet.
	Joining InstanceState = iota + 1
	// Serving: takes part in everything.
	Serving
	// CatchingUp: was paused, dispatches nothing until it heard its peers.
	CatchingUp
	// Leaving: planned stop; takes requests until cached answers that name it
	// have expired, owns no pools.
	Leaving
	// Left: finished; a last message before it exits.
	Left
)

// String returns the state in lower case.
func (s InstanceState) String() string {
	switch s {
	case Joining:
		return "joining"
	case Serving:
		return "serving"
	case CatchingUp:
		return "catching-up"
	case Leaving:
		return "leaving"
	case Left:
		return "left"
	default:
		return "unknown"
	}
}

// MonotonicTime is a reading of an instance's monotonic clock since its start.
type MonotonicTime = time.Duration
