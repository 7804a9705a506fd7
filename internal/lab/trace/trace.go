// Package trace holds recorded traces: what callers send and what happens
// around the instances, each at its own time. A trace says everything that a
// replay does, so that two replays send the same.
package trace

import (
	"time"

	"github.com/zeebo/errs"

	"sycamoreledge.example/internal/work"
)

// Error is the class of errors of this package.
var Error = errs.Class("trace")

// Suffix ends the names of the files of traces.
const Suffix = ".trace.gz"

// Resolution is the unit of time of a written trace.
const Resolution = 100 * time.Microsecond

// Trace is a recorded trace.
type Trace struct {
	Firm string
	Name string
	// Seed gives nonces and bodies; service times come from the same seed.
	Seed uint64
	// Preset is in force from the start.
	Preset   string
	Services []Service
	// Zones are those of the callers.
	Zones  []string
	Phases []Phase
	// Sends and Events are ordered by time.
	Sends  []Send
	Events []Event
}

// Service is a service that the trace uses.
type Service struct {
	Name string
	Kind work.Kind
}

// Phase is a part of the trace whose figures are kept apart.
type Phase struct {
	Name string
	// Start is included and End is not.
	Start, End time.Duration
}

// Send is one operation of a caller.
type Send struct {
	At time.Duration
	// Service and Zone are places in the lists of the trace.
	Service, Zone int
	// Size is that of the request's body in bytes.
	Size int
	// Own is set when the caller makes the key itself.
	Own bool
}

// Action is what an Event does.
type Action string

// The actions.
const (
	// Slow multiplies the service times of an upstream by Factor; 1 ends it.
	Slow Action = "slow"
	// Lag makes the load and health reports of an upstream late by Factor
	// seconds.
	Lag Action = "lag"
	// Restart makes an upstream cold.
	Restart Action = "restart"
	// Leave lets an upstream announce that it stops.
	Leave Action = "leave"
	// Use puts the preset with the name in force.
	Use Action = "use"
	// DrainZone and DrainUpstream keep new work away; Undrain ends the drain
	// of an upstream.
	DrainZone     Action = "drain-zone"
	DrainUpstream Action = "drain-upstream"
	Undrain       Action = "undrain-upstream"
	// Stop is the planned stop of an instance.
	Stop Action = "stop"
)

// Event is something that happens around the instances.
type Event struct {
	At     time.Duration
	Action Action
	Name   string
	// Factor is 0 for actions that need none.
	Factor float64
}

// Duration is the end of the last phase.
func (t *Trace) Duration() time.Duration {
	if len(t.Phases) == 0 {
		return 0
	}
	return t.Phases[len(t.Phases)-1].End
}

// PhaseAt returns the place of the phase of a time, or -1.
func (t *Trace) PhaseAt(at time.Duration) int {
	for i, p := range t.Phases {
		if at >= p.Start && at < p.End {
			return i
		}
	}
	return -1
}
