package control

import (
	"time"

	"sycamoreledge.example/internal/settings"
	"sycamoreledge.example/internal/work"
)

// MaxSnapshotAge is the age at which a snapshot no longer permits dispatches:
// the control loop has not run, so the process was paused or is overloaded.
const MaxSnapshotAge = time.Second

// Snapshot is an immutable view of the control tables. The control loop
// publishes a new one each tick; traffic reads it without locks.
type Snapshot struct {
	// At is when the control loop last ran. Traffic that finds it older than
	// MaxSnapshotAge dispatches nothing: the process was paused.
	At          time.Time
	Self        string
	Zone        string
	Region      string
	Incarnation uint64
	State       InstanceState
	Config      *settings.Config
	// Preset is the one in force; it is never nil.
	Preset *settings.Preset
	// Entries are all declared instances with what is known of them.
	Entries []EntryView
	// Pools are all pools with their present owners, in the order of the
	// topology.
	Pools map[work.PoolID]*PoolView
	// Owned are the pools that this instance may dispatch to.
	Owned map[work.PoolID]Grant
	// LeavingUpstreams get no new work; by name of the upstream.
	LeavingUpstreams map[string]bool
	// DrainedZones get no new work.
	DrainedZones map[string]bool
	// Watcher is set where this instance watches the platform for its zone.
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

// EntryView is what is known of a declared instance.
type EntryView struct {
	Name          string        `json:"name"`
	Zone          string        `json:"zone"`
	Region        string        `json:"region"`
	Callers       string        `json:"callers"`
	Alive         bool          `json:"alive"`
	State         InstanceState `json:"state"`
	Incarnation   uint64        `json:"incarnation"`
	ConfigVersion int64         `json:"config_version"`
	// Busy and Slots sum the pools the instance owns.
	Busy  int `json:"busy"`
	Slots int `json:"slots"`
}

// PoolView is a pool with the instances that dispatch to it: one, or two while
// a partition separates its home zone from the adopting zone.
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
	// At is when the load was learned.
	At time.Time
}

// Grant is the right to dispatch to a pool.
type Grant struct {
	// BaseUntil bounds the use of the base slots: BaseSlots for an owner in the
	// pool's own zone, ReservedSlots for an adopter.
	BaseUntil time.Time
	// FullUntil bounds the use of all slots; zero for an adopter.
	FullUntil time.Time
	// Adopted is set where the pool belongs to another zone.
	Adopted bool
	// Occupied is the number of requests of a former owner still in flight.
	Occupied int
}

// reservedDivisor sets the part of an upstream's slots that an adopter may use.
const reservedDivisor = 3

// ReservedSlots is how many slots of an upstream an adopting zone may use
// while the home zone is silent. The home zone uses them only under a grant,
// so that both sides of a partition together stay within the slots.
func ReservedSlots(slots int) int {
	if slots < 2 {
		return 0
	}
	return max(1, slots/reservedDivisor)
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
