// Package trace defines traces: timed lists of the operations that callers send
// and of events around the instances. A trace determines a replay completely, so
// that two replays of it send the same requests.
package trace

import (
	"time"

	"github.com/zeebo/errs"

	"sycamoreledge.example/internal/work"
)

// Error is the class of errors of this package.
var Error = errs.Class("trace")

// Suffix is the suffix of the names of trace files.
const Suffix = ".trace.gz"

// Resolution is the unit of time in a trace file.
const Resolution = 100 * time.Microsecond

// Trace is a recorded trace.
type Trace struct {
	Firm string
	Name string
	// Seed determines nonces, bodies and service times.
	Seed uint64
	// Preset is in force from the start.
	Preset   string
	Services []Service
	// Zones are the availability zones of the callers.
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

// Phase is a part of the trace that is reported separately.
type Phase struct {
	Name string
	// Start is inclusive and End exclusive.
	Start, End time.Duration
}

// Send is one operation of a caller.
type Send struct {
	At time.Duration
	// Service and Zone are indexes into Trace.Services and Trace.Zones.
	Service, Zone int
	// Size is the size of the request body in bytes.
	Size int
	// Own is set if the caller generates the idempotency key itself.
	Own bool
}

// Action is what an Event does.
type Action string

// The actions.
const (
	// Slow multiplies the service times of an upstream by Factor; 1 restores
	// the normal speed.
	Slow Action = "slow"
	// Lag delays the load and health reports of an upstream by Factor seconds.
	Lag Action = "lag"
	// Restart restarts an upstream, which is cold afterwards.
	Restart Action = "restart"
	// Leave makes an upstream announce that it is about to stop.
	Leave Action = "leave"
	// Use puts the named preset in force.
	Use Action = "use"
	// DrainZone and DrainUpstream stop new requests to a zone or an upstream;
	// Undrain ends the drain of an upstream.
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
	// Factor is 0 for actions without a factor.
	Factor float64
}

// Duration returns the end of the last phase.
func (t *Trace) Duration() time.Duration {
	if len(t.Phases) == 0 {
		return 0
	}
	return t.Phases[len(t.Phases)-1].End
}

// PhaseAt returns the index of the phase at the given time, or -1.
func (t *Trace) PhaseAt(at time.Duration) int {
	for i, p := range t.Phases {
		if at >= p.Start && at < p.End {
			return i
		}
	}
	return -1
}
