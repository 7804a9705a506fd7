package control

import (
	"time"

	"sycamoreledge.example/internal/settings"
	"sycamoreledge.example/internal/work"
)

// MaxSnapshotAge is the age above which a snapshot no longer permits dispatches:
// the control loop has not run since, so the process was paused or is
// overloaded.
const MaxSnapshotAge = time.Second

// Snapshot is an immutable view of the control tables. The control loop
// publishes a new one on each tick; the traffic path reads it without locks.
type Snapshot struct {
	// At is when the snapshot was built. Nothing is dispatched under a snapshot
	// older than MaxSnapshotAge.
	At          time.Time
	Self        string
	Zone        string
	Region      string
	Incarnation uint64
	State       InstanceState
	Config      *settings.Config
	// Preset is the preset in force; it is never nil.
	Preset *settings.Preset
	// Instances are all declared instances, in the order of the topology.
	Instances []InstanceView
	// Pools are all declared pools with their current owners.
	Pools map[work.PoolID]*PoolView
	// Owned are the pools that this instance may dispatch to.
	Owned map[work.PoolID]Grant
	// LeavingUpstreams holds the names of upstreams that get no new work.
	LeavingUpstreams map[string]bool
	// DrainedZones holds the names of zones that get no new work.
	DrainedZones map[string]bool
	// Watcher is set if this instance watches the platform for its zone.
	Watcher bool
	// Successors maps a former run to the instance that holds its idempotency
	// keys.
	Successors map[Identity]string
}

// Identity is one run of the process of a declared instance.
type Identity struct {
	Instance    string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

// InstanceView describes a declared instance as this instance knows it.
type InstanceView struct {
	Name          string        `json:"name"`
	Zone          string        `json:"zone"`
	Region        string        `json:"region"`
	Callers       string        `json:"callers"`
	Alive         bool          `json:"alive"`
	State         InstanceState `json:"state"`
	Incarnation   uint64        `json:"incarnation"`
	ConfigVersion int64         `json:"config_version"`
	// Busy and Slots are the sums over the pools that the instance owns.
	Busy  int `json:"busy"`
	Slots int `json:"slots"`
}

// PoolView is a pool with the instances that dispatch to it: normally one, and two
// while a network partition separates its home zone from the adopting zone.
type PoolView struct {
	ID     work.PoolID
	Region string
	Owners []PoolOwner
}

// PoolOwner is an instance that dispatches to a pool, with its last known load.
type PoolOwner struct {
	Instance string
	Slots    int
	Busy     int
	Queued   int
	// LoadAt is when the load was received.
	LoadAt time.Time
}

// Grant is the right to dispatch to a pool.
type Grant struct {
	// BaseUntil is until when the base slots may be used: for an owner in the
	// pool's home zone all slots but ReservedSlots, for an adopter
	// ReservedSlots.
	BaseUntil time.Time
	// FullUntil is until when an owner in the home zone may use all slots; it is
	// zero for an adopter.
	FullUntil time.Time
	// Adopted is set if the pool belongs to another zone.
	Adopted bool
	// Occupied is the number of requests of former owners still in flight.
	Occupied int
}

// reservedSlotsDivisor divides an upstream's slots to give the share that an
// adopter may use.
const reservedSlotsDivisor = 3

// ReservedSlots returns how many of the slots of an upstream an adopting zone
// may use while the home zone is silent. The home zone uses them only under a
// grant, so that both sides of a partition together never exceed the slots.
func ReservedSlots(slots int) int {
	if slots < 2 {
		return 0
	}
	return max(1, slots/reservedSlotsDivisor)
}

// Slots returns how many of an upstream's slots may be in use at the time now.
func (g Grant) Slots(slots int, now time.Time) int {
	if now.After(g.BaseUntil) {
		return 0
	}
	if g.Adopted {
		return ReservedSlots(slots)
	}
	if now.Before(g.FullUntil) {
		return slots
	}
	return slots - ReservedSlots(slots)
}
