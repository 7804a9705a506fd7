package control

import (
	"time"

	"sycamoreledge.example/internal/work"
)

// EventKind is the kind of an Event.
type EventKind uint8

// The kinds of events.
const (
	// EventState: this instance changed to State.
	EventState EventKind = iota + 1
	// EventPaused: there was no tick for Duration.
	EventPaused
	// EventMemberUp: a message of Instance arrived, the first of this
	// incarnation or the first after a failure.
	EventMemberUp
	// EventMemberFailed: no message of Instance arrived for a lease.
	EventMemberFailed
	// EventMemberState: Instance reported a new State.
	EventMemberState
	// EventPoolOwned: this instance now dispatches to Pool, of its own zone.
	EventPoolOwned
	// EventPoolReleased: this instance no longer dispatches to Pool, of its own
	// zone.
	EventPoolReleased
	// EventPoolAdopted: this instance now dispatches to Pool of Zone, all of
	// whose instances are silent or have left.
	EventPoolAdopted
	// EventPoolReturned: this instance no longer dispatches to an adopted Pool.
	EventPoolReturned
	// EventGrantLapsed: the grant of the adopting zone for Pool has expired; the
	// reserved slots are not used.
	EventGrantLapsed
	// EventGrantRenewed: the grant for Pool is valid again; the reserved slots
	// are used.
	EventGrantRenewed
	// EventConfigAccepted: the configuration with Version is now in force in
	// this instance; Detail names its preset.
	EventConfigAccepted
	// EventConfigIgnored: a configuration with Version was not put into force,
	// since it is older than the one in force or does not contain its preset, or
	// was not sent, since it could not be encoded.
	EventConfigIgnored
	// EventZoneUnreachable: no instance of Zone, whose pools this zone adopts, has
	// been heard from for Duration.
	EventZoneUnreachable
	// EventSuperseded: a newer process runs under this instance's name.
	EventSuperseded
)

// Event is a state change of interest to operators. Fields that do not apply to
// its Kind are zero.
type Event struct {
	Kind     EventKind
	Instance string
	Zone     string
	Pool     work.PoolID
	State    InstanceState
	Version  int64
	Detail   string
	Duration time.Duration
}

func (c *Core) emit(e Event) { c.events = append(c.events, e) }
