package control

import (
	"time"

	"sycamoreledge.example/internal/work"
)

// EventKind tells events apart.
type EventKind uint8

// The kinds of events.
const (
	// EventState: this instance changed its State.
	EventState EventKind = iota + 1
	// EventPaused: this process did not run for Duration.
	EventPaused
	// EventMemberUp: Instance was heard, for the first time or again.
	EventMemberUp
	// EventMemberFailed: Instance has been silent for a lease.
	EventMemberFailed
	// EventMemberState: Instance reported a new State.
	EventMemberState
	// EventPoolOwned: this instance now dispatches to Pool.
	EventPoolOwned
	// EventPoolReleased: this instance no longer dispatches to Pool.
	EventPoolReleased
	// EventPoolAdopted: this instance dispatches to Pool for a silent zone.
	EventPoolAdopted
	// EventPoolReturned: an adopted Pool was given back.
	EventPoolReturned
	// EventGrantLapsed: the adopting zone is silent; reserved slots are off.
	EventGrantLapsed
	// EventGrantRenewed: reserved slots are in use again.
	EventGrantRenewed
	// EventConfigAccepted: a configuration with Version is in force here.
	EventConfigAccepted
	// EventConfigIgnored: a configuration older than ours arrived.
	EventConfigIgnored
	// EventZoneSilent: all instances of Zone, whose pools this zone adopts, are
	// silent.
	EventZoneSilent
	// EventSuperseded: another process runs under this instance's name.
	EventSuperseded
)

// Event is something an operator may want to know.
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
