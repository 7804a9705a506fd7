package steering

import (
	"time"

	"sycamoreledge.example/internal/limit"
)

// estimate is a moving average.
type estimate struct {
	value float64
	known bool
}

// add takes over a new value by a fraction.
func (e *estimate) add(value, fraction float64) {
	if !e.known {
		e.value, e.known = value, true
		return
	}
	e.value += fraction * (value - e.value)
}

// or returns the estimate, or a value to use before there is one.
func (e *estimate) or(fallback float64) float64 {
	if e.known {
		return e.value
	}
	return fallback
}

// upstream is a row of the table of upstreams.
type upstream struct {
	Upstream
	// key is that of its ID for rank.
	key uint64
	// zone is what is known of the way to it.
	zone *zone
	// inFlight are the requests that this instance has there.
	inFlight map[*Ticket]struct{}
	// others is the number of requests of other instances there, as of seen.
	others float64
	seen   time.Time
	// slowness is how much longer than expected its answers take, as of measured.
	slowness estimate
	measured time.Time
	// faults counts failures in a row, and keeps requests away until blocked.
	faults   int
	blocked  time.Time
	answered time.Time
	// shed is the fraction of requests that it refused lately.
	shed   estimate
	shedAt time.Time
	// coldUntil is when it has warmed up, and trickle limits requests until then.
	coldUntil time.Time
	trickle   limit.Bucket
	// unseen limits requests while it may have become cold unseen.
	unseen limit.Bucket
	// absent is set while it could not be reached several times in a row: it may
	// have started again, and then it is cold.
	absent bool
	// warm holds when objects were handled there last.
	warm map[string]time.Time
}

const (
	// loadMemory is how long a report about others' requests counts in full.
	loadMemory = time.Second
	// loadFraction is the weight of a new report.
	loadFraction = 0.4
	// slownessMemory is how long a measured slowness counts; then the upstream
	// gets another chance.
	slownessMemory = 3 * time.Second
	// slownessFraction is the weight of a new measurement.
	slownessFraction = 0.3
	// minSlowness and maxSlowness bound one measurement: one answer in thirty
	// takes many times longer than the others and says little.
	minSlowness = 0.3
	maxSlowness = 8
	// shedMemory is how long refusals of an upstream count.
	shedMemory = time.Second
	// shedFraction is the weight of one answer.
	shedFraction = 0.3
	// firstBlock is for how long an upstream that failed is left alone at first;
	// it doubles with each further failure, up to maxBlock.
	firstBlock = 250 * time.Millisecond
	maxBlock   = 4 * time.Second
	// absentFaults is how many failed connections in a row tell a crash from a lost
	// packet.
	absentFaults = 2
	// warmMemory is how long an object is taken to be remembered by an upstream.
	warmMemory = 30 * time.Second
)

// cold notes for how much longer the upstream is cold.
func (u *upstream) cold(now time.Time, left time.Duration) {
	if left > 0 {
		u.coldUntil = now.Add(left)
	}
}

func (u *upstream) isCold(now time.Time) bool { return now.Before(u.coldUntil) }

// load is the number of requests that the upstream is thought to have.
func (u *upstream) load(now time.Time) float64 {
	others := u.others
	if age := now.Sub(u.seen); age > loadMemory {
		others *= float64(loadMemory) / float64(age)
	}
	return float64(len(u.inFlight)) + others
}

// observe takes over a report of its own count of requests.
func (u *upstream) observe(now time.Time, total int) {
	others := max(float64(total-len(u.inFlight)), 0)
	if now.Sub(u.seen) > loadMemory {
		u.others = others
	} else {
		u.others += loadFraction * (others - u.others)
	}
	u.seen = now
}

// slow is how much longer than expected its answers take.
func (u *upstream) slow(now time.Time) float64 {
	if !u.slowness.known {
		return 1
	}
	age := now.Sub(u.measured)
	if age >= slownessMemory {
		return 1
	}
	weight := 1 - float64(age)/float64(slownessMemory)
	return 1 + weight*(u.slowness.value-1)
}

func (u *upstream) measure(now time.Time, ratio float64) {
	if now.Sub(u.measured) >= slownessMemory {
		u.slowness = estimate{}
	}
	u.slowness.add(min(max(ratio, minSlowness), maxSlowness), slownessFraction)
	u.measured = now
}

// failed keeps requests away for a while.
func (u *upstream) failed(now time.Time) {
	if now.Before(u.blocked) {
		return
	}
	u.faults++
	u.blocked = now.Add(min(firstBlock<<min(u.faults-1, 10), maxBlock))
}

// shedding is the fraction of requests that the upstream refused lately.
func (u *upstream) shedding(now time.Time) float64 {
	age := now.Sub(u.shedAt)
	if age >= shedMemory {
		return 0
	}
	return u.shed.value * (1 - float64(age)/float64(shedMemory))
}

func (u *upstream) noteShed(now time.Time, refused bool) {
	if now.Sub(u.shedAt) >= shedMemory {
		if !refused {
			return
		}
		u.shed = estimate{known: true}
	}
	value := 0.0
	if refused {
		value = 1
		u.shedAt = now
	}
	u.shed.add(value, shedFraction)
}

// maxWarm bounds the objects that are noted for an upstream: far more than any
// remembers.
const maxWarm = 4096

// learn notes that an object is sent to the upstream.
func (u *upstream) learn(now time.Time, object string) {
	if len(u.warm) >= maxWarm {
		for o, at := range u.warm {
			if now.Sub(at) >= warmMemory {
				delete(u.warm, o)
			}
		}
		if len(u.warm) >= maxWarm {
			clear(u.warm)
		}
	}
	u.warm[object] = now
}

// remembers reports whether the upstream handled the object lately.
func (u *upstream) remembers(now time.Time, object string) bool {
	at, ok := u.warm[object]
	return ok && now.Sub(at) < warmMemory
}

// overdue is how many of its requests have taken far longer than expected.
func (u *upstream) overdue(now time.Time) int {
	n := 0
	for t := range u.inFlight {
		if now.Sub(t.sent) > max(overdueFactor*t.expected, overdueLeast) && u.answered.Before(t.sent) {
			n++
		}
	}
	return n
}

const (
	// overdueFactor and overdueLeast tell a request that takes far longer than
	// expected while its upstream answers nothing else.
	overdueFactor = 2
	overdueLeast  = 300 * time.Millisecond
)
