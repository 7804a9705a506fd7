// Package deployment describes the surroundings of one instance: where it
// runs, what it listens on, and the bounds that the firm holds it to. Adapters
// fill it in from the settings of the platform that the instance runs on.
package deployment

import (
	"net"
	"time"
)

// Deployment is what one instance is told when it starts.
type Deployment struct {
	// Instance is the name of this instance, unique in the deployment.
	Instance string
	Place    Place
	// Regions maps each availability zone to its region.
	Regions map[string]string
	Listen  Listen
	// PeerAddress is where instances reach this one, over UDP.
	PeerAddress string
	// StoreAddress is the platform's metadata store, as IP:port.
	StoreAddress string
	// MemoryBytes is the memory at which the process is killed; 0 when unknown.
	MemoryBytes int64
	// MaxFiles is the number of file descriptors; 0 when unknown.
	MaxFiles int
	// FirstStart is set when the whole deployment starts for the first time: no
	// instance is registered yet, and no caller waits.
	FirstStart bool
	Bounds     Bounds
}

// Place is where an instance, a caller or an upstream is.
type Place struct {
	Zone   string
	Region string
}

// Listen holds the TCP addresses of an instance; an empty one is not served.
type Listen struct {
	Requests  string
	Ready     string
	Directory string
}

// Bounds are the limits that hold for all instances together, and the times
// within which changes must be in force.
type Bounds struct {
	// Drain is how long after it was announced a leaving upstream may get requests.
	Drain time.Duration
	// ApplyConfig is how long after it was accepted an older configuration may
	// be in use.
	ApplyConfig time.Duration
	// Evacuate is how long after the operator's order the upstreams of a zone may
	// get requests.
	Evacuate time.Duration
	// Stop is the time between the signal to stop and the end of the process.
	Stop time.Duration
	// StableAfter is how long a fault must be over to count as over.
	StableAfter time.Duration
	// RetryRatio is the largest ratio of repeated sends to requests, beyond
	// RetrySlack sends in each RetryWindow.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// ColdRatio and ColdSlack bound the sends to a cold upstream in a second:
	// its own rate times the ratio, plus the slack.
	ColdRatio float64
	ColdSlack float64
	// MaxShift is the largest share of a region's requests that may change the
	// region in which they run between two windows of 2 s.
	MaxShift float64
	// MaxListAge is the longest time for which callers keep a directory answer.
	MaxListAge time.Duration
}

// PlaceOf returns the place of a zone. The region is empty when the zone is
// not part of the deployment.
func (d *Deployment) PlaceOf(zone string) Place {
	return Place{Zone: zone, Region: d.Regions[zone]}
}

// Validate reports the first missing or malformed field by the product's name.
func (d *Deployment) Validate() error {
	switch {
	case d.Instance == "":
		return Error.New("no name for the instance")
	case d.Place.Zone == "" || d.Place.Region == "":
		return Error.New("zone %q and region %q: both are needed", d.Place.Zone, d.Place.Region)
	case d.Regions[d.Place.Zone] != d.Place.Region:
		return Error.New("zone %q is listed in region %q and not in %q",
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
			return Error.New("no address for %s", a.name)
		}
		if _, _, err := net.SplitHostPort(a.value); err != nil {
			return Error.New("address for %s: %w", a.name, err)
		}
	}
	return nil
}
