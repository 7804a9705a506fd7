package upstream

import "time"

// Fault is what is wrong with an upstream. The zero value is a sound one.
type Fault struct {
	// SlowFactor multiplies the service time when above 0.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// Leaving announces a planned stop by the health endpoint.
	Leaving bool `json:"leaving,omitempty"`
	// Refuse closes the listener and all connections.
	Refuse bool `json:"refuse,omitempty"`
	// Share is the part of the requests that the faults below hit; 0 is all.
	Share float64 `json:"share,omitempty"`
	// Shed refuses requests with the marker that they did not run.
	Shed bool `json:"shed,omitempty"`
	// Mute runs requests and never answers.
	Mute bool `json:"mute,omitempty"`
	// Half closes the connection in the middle of the answer.
	Half bool `json:"half,omitempty"`
	// Late delays the answer after the work was done; the slot stays in use.
	Late time.Duration `json:"late,omitempty"`
	// Deaf ignores cancellation: work goes on when its connection has gone.
	Deaf bool `json:"deaf,omitempty"`
	// HealthLag and LoadLag are how old the reports are.
	HealthLag time.Duration `json:"health_lag,omitempty"`
	LoadLag   time.Duration `json:"load_lag,omitempty"`
	// HealthLies always reports live and LoadLies always reports idle.
	HealthLies bool `json:"health_lies,omitempty"`
	LoadLies   bool `json:"load_lies,omitempty"`
}

// lagged is a report that is renewed only after a time.
type lagged[T any] struct {
	value T
	at    time.Time
	valid bool
}

// read returns the kept value, or takes a new one when it is older than lag.
func (l *lagged[T]) read(now time.Time, lag time.Duration, fresh func() T) T {
	if !l.valid || now.Sub(l.at) >= lag {
		l.value, l.at, l.valid = fresh(), now, true
	}
	return l.value
}
