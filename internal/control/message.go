package control

import (
	"sycamoreledge.example/internal/settings"
	"sycamoreledge.example/internal/work"
)

// Message is a message between the control cores of two instances. Exactly one
// of the pointers is set.
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

// LeavingUpstreams lists the upstreams of the sender's zone, and of the zones
// that it may adopt, that the platform lists as leaving. Watchers send it to
// the other members of their zone, which do not read the platform's list.
type LeavingUpstreams struct {
	Upstreams []string `cbor:"1,keyasint"`
}

// Config carries the whole dynamic configuration to a peer that has an older
// version. With a nil Value it requests the configuration of the receiver.
type Config struct {
	Value *settings.Config
	// compressed is Value, encoded and compressed, or nil if not yet computed.
	compressed []byte
}

// Heartbeat tells a peer that the sender is alive. Peers send heartbeats in both
// directions, so that each heartbeat also acknowledges the receiver's last one.
type Heartbeat struct {
	// SentAt is the sender's time in nanoseconds since its start. It increases
	// with each heartbeat.
	SentAt int64 `cbor:"1,keyasint"`
	// Echo is the highest SentAt that the sender received from the receiver of
	// this message, or 0.
	Echo          int64         `cbor:"2,keyasint,omitempty"`
	State         InstanceState `cbor:"3,keyasint"`
	ConfigVersion int64         `cbor:"4,keyasint"`
	// Grants lists the pools of the receiver's zone of which the receiver may
	// use all slots for one lease after Echo: the sender has not adopted them
	// and will not adopt them before the grant has expired.
	Grants []int `cbor:"5,keyasint,omitempty"`
	// Owned lists the pools that the sender dispatches to, and adopted pools
	// that it returned with requests still in flight, as indexes into the pools
	// of the topology in declared order.
	Owned []int `cbor:"6,keyasint,omitempty"`
	// Loads are the loads of the pools in Owned, in the same order. The members
	// of a zone receive them sooner than through digests.
	Loads []Load `cbor:"9,keyasint,omitempty"`
	// Claimed lists the pools that the sender has claimed but does not own yet.
	Claimed []int `cbor:"8,keyasint,omitempty"`
	// EchoIncarnation is the incarnation of the receiver that Echo belongs to.
	EchoIncarnation uint64 `cbor:"7,keyasint,omitempty"`
}

// Load is the load of a pool as counted by its owner; for the fields see
// PoolStatus.
type Load struct {
	_      struct{} `cbor:",toarray"`
	Slots  int
	Busy   int
	Queued int
}

// Digest carries rows about instances and reports about zones. Speakers relay
// rows to the members of their zone, and send those of their zone to others.
type Digest struct {
	Rows []DigestRow `cbor:"1,keyasint,omitempty"`
	// UnreachableZones lists the zones from which the sender, a speaker of the
	// receiver's zone, has received nothing for zoneSilenceTimeout, as indexes
	// in declared order.
	UnreachableZones []int `cbor:"2,keyasint,omitempty"`
	// ConfigVersion is the configuration version of the sender.
	ConfigVersion int64 `cbor:"3,keyasint,omitempty"`
	// ResendRows requests all rows of the receiver's zone, since digests of it
	// may have been lost.
	ResendRows bool `cbor:"4,keyasint,omitempty"`
	// ReachableZones lists the zones from which the sender, which is not a speaker,
	// has received a digest. It is sent to the speakers of the sender's zone.
	ReachableZones []int `cbor:"5,keyasint,omitempty"`
	// LowestVersion is the lowest configuration version in the sender's zone; it
	// is sent to other zones. ZoneVersions relays the lowest versions of other
	// zones to the members of the sender's zone.
	LowestVersion int64         `cbor:"6,keyasint,omitempty"`
	ZoneVersions  []ZoneVersion `cbor:"7,keyasint,omitempty"`
}

// ZoneVersion is the lowest configuration version among the live instances of a
// zone. Zone is an index in declared order.
type ZoneVersion struct {
	_       struct{} `cbor:",toarray"`
	Zone    int
	Version int64
}

// DigestRow describes one instance. Of two rows about the same instance the one
// with the higher (Incarnation, Sequence) is newer.
type DigestRow struct {
	Instance      string        `cbor:"1,keyasint"`
	Incarnation   uint64        `cbor:"2,keyasint"`
	Sequence      uint64        `cbor:"3,keyasint"`
	State         InstanceState `cbor:"4,keyasint"`
	ConfigVersion int64         `cbor:"5,keyasint"`
	// InheritedRuns are the former runs whose idempotency keys the instance
	// holds.
	InheritedRuns []Identity `cbor:"6,keyasint,omitempty"`
	// Pools are the pools that the instance dispatches to.
	Pools []PoolStatus `cbor:"7,keyasint,omitempty"`
	// Failed is set by the other members of the instance's zone when no message
	// of it has arrived for a lease. An instance that receives a row about itself
	// with Failed set answers with a row of a higher Sequence.
	Failed bool `cbor:"8,keyasint,omitempty"`
}

// PoolStatus is the load of a pool as counted by its owner.
type PoolStatus struct {
	Pool work.PoolID `cbor:"1,keyasint"`
	// Slots is the number of slots that the owner may use now, Busy the number
	// in use, and Queued the number of requests that wait for a slot.
	Slots  int `cbor:"2,keyasint"`
	Busy   int `cbor:"3,keyasint"`
	Queued int `cbor:"4,keyasint"`
}

// Release tells the next owner that the sender no longer dispatches to some
// pools. For each pool it is repeated until the receiver owns the pool and Busy
// is zero.
type Release struct {
	// SentAt is on the clock of Heartbeat.SentAt, and orders releases among the
	// sender's heartbeats.
	SentAt int64 `cbor:"2,keyasint"`
	// Pools lists the released pools, with the requests of the sender that are
	// still in flight in Busy.
	Pools []PoolStatus `cbor:"1,keyasint"`
}

// InstanceState is the state of an instance.
type InstanceState uint8

// The states of an instance. Each instance passes through them in this order,
// except that it enters CatchingUp only after a pause and then returns to
// Serving.
const (
	// Joining: started, and does not dispatch yet.
	Joining InstanceState = iota + 1
	// Serving: takes requests and may own pools.
	Serving
	// CatchingUp: was paused, and does not dispatch until it has heard from all
	// live instances of its zone.
	CatchingUp
	// Leaving: in a planned stop. It takes requests until cached answers that
	// name it have expired; its pools pass to other instances.
	Leaving
	// Left: the planned stop is complete; announced once before the process
	// exits.
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
