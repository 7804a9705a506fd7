package control

import (
	"sycamoreledge.example/internal/settings"
	"sycamoreledge.example/internal/work"
)

// Message is what control cores of two instances exchange. Exactly one of the
// pointers is set.
type Message struct {
	// From and Incarnation are set by the sender's core; the transport checks
	// From against the authenticated peer.
	From        string            `cbor:"1,keyasint"`
	Incarnation uint64            `cbor:"2,keyasint"`
	Heartbeat   *Heartbeat        `cbor:"3,keyasint,omitempty"`
	Digest      *Digest           `cbor:"5,keyasint,omitempty"`
	Config      *Config           `cbor:"6,keyasint,omitempty"`
	Release     *Release          `cbor:"7,keyasint,omitempty"`
	Leaving     *LeavingUpstreams `cbor:"8,keyasint,omitempty"`
}

// LeavingUpstreams names the upstreams of the sender's zone, and of the zones that it
// adopts, that the platform lists as leaving. Watchers send it to the other
// members of their zone, which do not read the list.
type LeavingUpstreams struct {
	Upstreams []string `cbor:"1,keyasint"`
}

// Config carries the whole dynamic configuration to a peer that has an older
// version, or, with a nil Value, asks a peer for its own.
type Config struct {
	Value *settings.Config
	// packed is the encoded form of Value, or nil where it is not made yet.
	packed []byte
}

// Heartbeat tells a peer that the sender is alive. Heartbeats flow both ways
// between partners, so that each also acknowledges the other's last one.
type Heartbeat struct {
	// SentAt is the sender's monotonic time in nanoseconds since its start.
	SentAt int64 `cbor:"1,keyasint"`
	// Echo is the newest SentAt that the sender has from the receiver, or 0.
	Echo          int64         `cbor:"2,keyasint,omitempty"`
	State         InstanceState `cbor:"3,keyasint"`
	ConfigVersion int64         `cbor:"4,keyasint"`
	// Grants lists the pools of the receiver's zone of which it may use all
	// slots for one lease after Echo: the sender has not adopted them and will
	// not before the grant has run out.
	Grants []int `cbor:"5,keyasint,omitempty"`
	// Owned lists the pools that the sender dispatches to, and adopted ones
	// that it gave back with requests still in flight, as indexes into the
	// pools of the topology in declared order.
	Owned []int `cbor:"6,keyasint,omitempty"`
	// Loads are the loads of the pools in Owned, in the same order: the members
	// of a zone learn them sooner than from digests.
	Loads []Load `cbor:"9,keyasint,omitempty"`
	// Claimed lists the pools that the sender is about to own.
	Claimed []int `cbor:"8,keyasint,omitempty"`
	// EchoOf is the incarnation of the receiver that Echo belongs to.
	EchoOf uint64 `cbor:"7,keyasint,omitempty"`
}

// Load is the load of a pool as its owner counts it, see PoolStatus.
type Load struct {
	_      struct{} `cbor:",toarray"`
	Slots  int
	Busy   int
	Queued int
}

// Digest describes one instance to others. Relays pass digests on to the
// members of their zone and to other zones.
type Digest struct {
	Rows []DigestRow `cbor:"1,keyasint,omitempty"`
	// Silent lists the zones that the sender, a speaker of the receiver's zone,
	// has not heard for long, as indexes in declared order.
	Silent []int `cbor:"2,keyasint,omitempty"`
	// ConfigVersion is that of the sender.
	ConfigVersion int64 `cbor:"3,keyasint,omitempty"`
	// Resend asks the receiver for all rows of its zone: its digests may have
	// been lost.
	Resend bool `cbor:"4,keyasint,omitempty"`
	// Heard lists the zones of which the sender, no speaker, has got a digest
	// that was meant for the speakers of its zone.
	Heard []int `cbor:"5,keyasint,omitempty"`
	// Lowest is the lowest configuration version in the sender's zone, for
	// other zones, and Versions passes on those of other zones within one.
	Lowest   int64         `cbor:"6,keyasint,omitempty"`
	Versions []ZoneVersion `cbor:"7,keyasint,omitempty"`
}

// ZoneVersion is the lowest configuration version of the live instances of a
// zone, which is given by its index in declared order.
type ZoneVersion struct {
	_       struct{} `cbor:",toarray"`
	Zone    int
	Version int64
}

// DigestRow is what is known of one instance. Of two rows about the same
// instance the one with the higher (Incarnation, Sequence) is newer.
type DigestRow struct {
	Instance      string        `cbor:"1,keyasint"`
	Incarnation   uint64        `cbor:"2,keyasint"`
	Sequence      uint64        `cbor:"3,keyasint"`
	State         InstanceState `cbor:"4,keyasint"`
	ConfigVersion int64         `cbor:"5,keyasint"`
	// Holds are the former runs whose idempotency keys the instance holds.
	Holds []Identity `cbor:"6,keyasint,omitempty"`
	// Pools are the pools that the instance dispatches to.
	Pools []PoolStatus `cbor:"7,keyasint,omitempty"`
	// Failed is set by the instance's zone when it no longer hears it. An
	// instance that hears this of itself raises its Sequence.
	Failed bool `cbor:"8,keyasint,omitempty"`
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
// Busy is zero.
type Release struct {
	// SentAt orders a release among the sender's heartbeats.
	SentAt int64 `cbor:"2,keyasint"`
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
