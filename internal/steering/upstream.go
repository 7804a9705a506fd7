package steering

import (
	"time"

	"sycamoreledge.example/internal/limit"
)

// ewma is an exponentially weighted moving average.
type ewma struct {
	value float64
	known bool
}

// add includes a new sample with weight alpha. The first sample sets the value.
func (e *ewma) add(value, alpha float64) {
	if !e.known {
		e.value, e.known = value, true
		return
	}
	e.value += alpha * (value - e.value)
}

// valueOr returns the average, or fallback when there are no samples.
func (e *ewma) valueOr(fallback float64) float64 {
	if e.known {
		return e.value
	}
	return fallback
}

// upstream is the state of one upstream.
type upstream struct {
	Upstream
	// key is the hash key of its ID.
	key uint64
	// zone is the reachability of its zone.
	zone *zone
	// inFlight are the requests of this instance to it.
	inFlight map[*Ticket]struct{}
	// otherLoad is the estimated number of requests of other instances to it, as of
	// otherLoadAt.
	otherLoad   float64
	otherLoadAt time.Time
	// slowdown is the ratio of actual to expected response times, as of slowdownAt.
	slowdown   ewma
	slowdownAt time.Time
	// failures counts consecutive failures. No requests are sent before blockedUntil.
	failures     int
	blockedUntil time.Time
	lastResponse time.Time
	// shedRate is the fraction of requests that it shed recently, as of lastShed.
	shedRate ewma
	lastShed time.Time
	// coldUntil is when it is warm; coldLimit limits requests until then.
	coldUntil time.Time
	coldLimit limit.Bucket
	// isolatedLimit limits requests while this instance is isolated.
	isolatedLimit limit.Bucket
	// unreachable is set after several consecutive connection failures: the upstream
	// may have restarted and be cold.
	unreachable bool
	// lastSent is when each object was last sent to it.
	lastSent map[string]time.Time
}

const (
	// loadReportAge is the age up to which the load of other instances counts in full;
	// after that it decays in inverse proportion to the age.
	loadReportAge = time.Second
	// loadAlpha is the EWMA weight of a new load report.
	loadAlpha = 0.4
	// slowdownTTL is how long a measured slowdown counts; after that the upstream is
	// assumed to respond as fast as expected, so that it gets requests again.
	slowdownTTL = 3 * time.Second
	// slowdownAlpha is the EWMA weight of a new measurement.
	slowdownAlpha = 0.3
	// minSlowdownSample and maxSlowdownSample bound one measurement: one response in
	// thirty is an outlier that takes many times longer than the others.
	minSlowdownSample = 0.3
	maxSlowdownSample = 8
	// shedTTL is how long shed requests of an upstream count.
	shedTTL = time.Second
	// shedAlpha is the EWMA weight of one response.
	shedAlpha = 0.3
	// initialBackoff is the backoff after the first failure of an upstream; it doubles
	// with each further failure, up to maxBackoff.
	initialBackoff = 250 * time.Millisecond
	maxBackoff     = 4 * time.Second
	// unreachableFailures is the number of consecutive failures after which a failed
	// connection is taken for a crash rather than a lost packet.
	unreachableFailures = 2
	// objectTTL is how long an object is assumed to be cached by an upstream.
	objectTTL = 30 * time.Second
)

// setCold marks the upstream as cold for the remaining time, if it is above 0.
func (u *upstream) setCold(now time.Time, remaining time.Duration) {
	if remaining > 0 {
		u.coldUntil = now.Add(remaining)
	}
}

func (u *upstream) isCold(now time.Time) bool { return now.Before(u.coldUntil) }

// load returns the estimated number of requests at the upstream.
func (u *upstream) load(now time.Time) float64 {
	otherLoad := u.otherLoad
	if age := now.Sub(u.otherLoadAt); age > loadReportAge {
		otherLoad *= float64(loadReportAge) / float64(age)
	}
	return float64(len(u.inFlight)) + otherLoad
}

// recordLoad applies the upstream's report of its total number of requests.
func (u *upstream) recordLoad(now time.Time, total int) {
	otherLoad := max(float64(total-len(u.inFlight)), 0)
	if now.Sub(u.otherLoadAt) > loadReportAge {
		u.otherLoad = otherLoad
	} else {
		u.otherLoad += loadAlpha * (otherLoad - u.otherLoad)
	}
	u.otherLoadAt = now
}

// currentSlowdown returns the slowdown factor, which decays to 1 with the age of the
// measurement.
func (u *upstream) currentSlowdown(now time.Time) float64 {
	if !u.slowdown.known {
		return 1
	}
	age := now.Sub(u.slowdownAt)
	if age >= slowdownTTL {
		return 1
	}
	weight := 1 - float64(age)/float64(slowdownTTL)
	return 1 + weight*(u.slowdown.value-1)
}

func (u *upstream) recordSlowdown(now time.Time, ratio float64) {
	if now.Sub(u.slowdownAt) >= slowdownTTL {
		u.slowdown = ewma{}
	}
	u.slowdown.add(min(max(ratio, minSlowdownSample), maxSlowdownSample), slowdownAlpha)
	u.slowdownAt = now
}

// recordFailure blocks the upstream for its backoff. Failures while it is blocked
// are not counted.
func (u *upstream) recordFailure(now time.Time) {
	if now.Before(u.blockedUntil) {
		return
	}
	u.failures++
	u.blockedUntil = now.Add(min(initialBackoff<<min(u.failures-1, 10), maxBackoff))
}

// currentShedRate returns the fraction of requests that the upstream shed, which
// decays to 0 with the time since it last shed one.
func (u *upstream) currentShedRate(now time.Time) float64 {
	age := now.Sub(u.lastShed)
	if age >= shedTTL {
		return 0
	}
	return u.shedRate.value * (1 - float64(age)/float64(shedTTL))
}

func (u *upstream) recordShed(now time.Time, shed bool) {
	if now.Sub(u.lastShed) >= shedTTL {
		if !shed {
			return
		}
		u.shedRate = ewma{known: true}
	}
	value := 0.0
	if shed {
		value = 1
		u.lastShed = now
	}
	u.shedRate.add(value, shedAlpha)
}

// maxObjects bounds the objects tracked for an upstream. It is far more than any
// upstream caches.
const maxObjects = 4096

// recordObject records that an object is sent to the upstream.
func (u *upstream) recordObject(now time.Time, object string) {
	if len(u.lastSent) >= maxObjects {
		for o, at := range u.lastSent {
			if now.Sub(at) >= objectTTL {
				delete(u.lastSent, o)
			}
		}
		if len(u.lastSent) >= maxObjects {
			clear(u.lastSent)
		}
	}
	u.lastSent[object] = now
}

// hasCached reports whether the object was sent to the upstream within objectTTL.
func (u *upstream) hasCached(now time.Time, object string) bool {
	at, ok := u.lastSent[object]
	return ok && now.Sub(at) < objectTTL
}

// overdueCount returns how many of its requests are overdue.
func (u *upstream) overdueCount(now time.Time) int {
	n := 0
	for t := range u.inFlight {
		if now.Sub(t.sentAt) > max(overdueFactor*t.expected, minOverdue) && u.lastResponse.Before(t.sentAt) {
			n++
		}
	}
	return n
}

const (
	// A request is overdue after overdueFactor times its expected response time, and at
	// least minOverdue, if its upstream has responded to nothing else since it was sent.
	overdueFactor = 2
	minOverdue    = 300 * time.Millisecond
)
