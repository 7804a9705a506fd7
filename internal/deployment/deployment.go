// Package deployment describes the environment of one instance: where it runs,
// which addresses it listens on, and the limits that it must keep. Adapters fill it
// in from the settings of the platform that the instance runs on.
package deployment

import (
	"net"
	"time"
)

// Deployment holds the start-up parameters of one instance.
type Deployment struct {
	// Instance is the name of this instance, unique in the deployment.
	Instance string
	Place    Place
	// Regions maps each availability zone of the deployment to its region.
	Regions map[string]string
	Listen  Listen
	// PeerAddress is the UDP address at which other instances reach this one.
	PeerAddress string
	// StoreAddress is the address of the platform's metadata store, IP:port.
	StoreAddress string
	// MemoryBytes is the memory limit above which the process is killed; 0 when
	// unknown.
	MemoryBytes int64
	// MaxOpenFiles is the limit on open file descriptors; 0 when unknown.
	MaxOpenFiles int
	// FirstStart is true when the whole deployment starts for the first time: no
	// instance has registered yet, and there are no requests from callers.
	FirstStart bool
	Bounds     Bounds
}

// Place is the location of an instance, a caller or an upstream.
type Place struct {
	Zone   string
	Region string
}

// Listen holds the TCP addresses that an instance listens on. For an empty address
// there is no listener.
type Listen struct {
	Requests  string
	Ready     string
	Directory string
}

// Bounds holds the limits that apply to all instances together, and the times
// within which changes must take effect.
type Bounds struct {
	// Drain is how long an upstream may still be sent requests after it has
	// announced that it leaves.
	Drain time.Duration
	// ApplyConfig is how long an older configuration may stay in use after a newer
	// one has been accepted.
	ApplyConfig time.Duration
	// Evacuate is how long the upstreams of a zone may still be sent requests after
	// an operator has ordered its evacuation.
	Evacuate time.Duration
	// Stop is the time within which the process must exit after the signal to stop.
	Stop time.Duration
	// StableAfter is how long a fault must have been gone before the system is
	// considered stable again.
	StableAfter time.Duration
	// RetryRatio, RetrySlack and RetryWindow form the retry budget: in each
	// RetryWindow there may be at most RetrySlack repeated attempts plus RetryRatio
	// times the number of requests.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// ColdRatio and ColdSlack limit the requests per second to a cold upstream (one
	// in slow start) to its own cold rate times ColdRatio, plus ColdSlack.
	ColdRatio float64
	ColdSlack float64
	// MaxShift is the largest fraction of a region's requests that may move to
	// another region from one window of 2 s to the next.
	MaxShift float64
	// MaxListAge is the longest time for which callers cache a response of the
	// directory.
	MaxListAge time.Duration
}

// PlaceOf returns the zone together with its region. The region is empty when the
// zone is not part of the deployment.
func (d *Deployment) PlaceOf(zone string) Place {
	return Place{Zone: zone, Region: d.Regions[zone]}
}

// Validate returns an error for the first missing or malformed field. Only the
// readiness and directory addresses may be empty.
func (d *Deployment) Validate() error {
	switch {
	case d.Instance == "":
		return Error.New("the name of the instance is missing")
	case d.Place.Zone == "" || d.Place.Region == "":
		return Error.New("zone %q and region %q must both be set", d.Place.Zone, d.Place.Region)
	case d.Regions[d.Place.Zone] != d.Place.Region:
		return Error.New("zone %q belongs to region %q in the list of zones, not to the configured region %q",
			d.Place.Zone, d.Regions[d.Place.Zone], d.Place.Region)
	}
	addresses := []struct{ name, value string }{
		{"requests", d.Listen.Requests}, {"readiness", d.Listen.Ready},
		{"directory", d.Listen.Directory}, {"peers", d.PeerAddress}, {"store", d.StoreAddress},
	}
	for _, a := range addresses {
		if a.value == "" {
			if a.name == "directory" || a.name == "readiness" {
				continue
			}
			return Error.New("the address for %s is missing", a.name)
		}
		if _, _, err := net.SplitHostPort(a.value); err != nil {
			return Error.New("the address for %s must have the form host:port: %w", a.name, err)
		}
	}
	return nil
}
