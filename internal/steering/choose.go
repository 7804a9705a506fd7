package steering

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sycamoreledge.example/internal/routing"
	"sycamoreledge.example/internal/work"
)

// routeState holds the measurements of one route. It is kept when a new version
// of the configuration takes effect.
type routeState struct {
	// missTime and hitTime are the service times in seconds of an idle upstream for
	// an object that it has not cached, and for one that it has.
	missTime ewma
	hitTime  ewma
	// responseBytes is the size of a response body in bytes.
	responseBytes ewma
	// assigned counts the requests assigned to each service of the route.
	assigned      map[string]float64
	assignedTotal float64
}

const (
	// defaultMissFraction and defaultHitFraction are the service times assumed before
	// the first measurement, as fractions of the route's target latency.
	defaultMissFraction = 0.8
	defaultHitFraction  = 0.35
	// serviceTimeAlpha is the EWMA weight of a new service time or response size.
	serviceTimeAlpha = 0.05
	// defaultRegionRTT and defaultRemoteRTT are the RTTs assumed within the region and
	// to other regions until a connection has been opened.
	defaultRegionRTT = 2 * time.Millisecond
	defaultRemoteRTT = 50 * time.Millisecond
	// rttAlpha is the EWMA weight of a new RTT measurement.
	rttAlpha = 0.2
	// crossZoneByteCost is the cost of transferring one byte between zones: a
	// kilobyte counts like a delay of 5 ms.
	crossZoneByteCost = 5 * time.Millisecond / 1024
	// hashCostFraction is the largest cost that the hash of an object and an upstream
	// adds, as a fraction of the cache-miss service time.
	hashCostFraction = 0.5
	// evictionCostFraction is the cost of the cache entry that an upstream evicts to
	// cache another object, as a fraction of the difference between the miss and hit
	// service times.
	evictionCostFraction = 1.0
	// queuedMissPenalty is the cost of sending an object to an upstream that has
	// neither a free slot nor the object cached, in targets of the route.
	queuedMissPenalty = 2.0
	// queueTimeWeight is the weight of the estimated queueing time. The estimate is
	// rough because the requests of other instances are known only approximately.
	queueTimeWeight = 0.5
	// coldSlowdown is the factor by which the service time of a cold upstream is longer.
	coldSlowdown = 2
	// maxQueueTargets is how long a request may wait for a slot at the preferred
	// upstreams of its object, in targets of its route.
	maxQueueTargets = 1.5
	// hedgeDelayFactor is the multiple of the expected response time after which a
	// request is hedged: few responses exceed it by chance. minHedgeDelay keeps short
	// network delays from triggering a hedge.
	hedgeDelayFactor = 1.8
	minHedgeDelay    = 100 * time.Millisecond
	// maxHedgeUtilization is the fraction of an upstream's slots up to which it gets
	// hedged requests: on a busy upstream they would delay first attempts.
	maxHedgeUtilization = 0.75
	// shedPenalty is the cost of an upstream that sheds every request, in targets of
	// the route.
	shedPenalty = 1.0
)

func (c *Core) routeStateFor(r *routing.Route) *routeState {
	s := c.routes[r.Key()]
	if s == nil {
		s = &routeState{assigned: make(map[string]float64)}
		c.routes[r.Key()] = s
	}
	return s
}

// rank hashes two keys to a number in [0, 1), the same on all instances.
func rank(a, b uint64) float64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], a)
	binary.LittleEndian.PutUint64(buf[8:], b)
	return float64(xxhash.Sum64(buf[:])>>11) / (1 << 53)
}

// hashKey returns the key of a name for rank.
func hashKey(name string) uint64 { return xxhash.Sum64String(name) }

// candidate is an upstream with the estimates for a request sent to it.
type candidate struct {
	u      *upstream
	cached bool
	// measured is set when a service time of the route has been measured.
	measured    bool
	serviceTime time.Duration
	queueTime   time.Duration
	rtt         time.Duration
	load        float64
	cost        time.Duration
	// excessWait is how far the queueing time exceeds the limit, or not above 0.
	excessWait time.Duration
}

// Choose selects the upstream of the next attempt of a request, or refuses it.
func (c *Core) Choose(now time.Time, r *Request) Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.routeStateFor(r.Route)
	svc := c.serviceState(r.Service)
	if len(r.Tried) == 0 {
		svc.retryBudget.deposit(now, c.config.Bounds, len(c.members))
	}
	best, ok := c.bestCandidate(now, r, state, svc)
	if !ok {
		return Decision{Reason: work.ReasonNoUpstream, RetryAfter: c.jitter(noUpstreamRetryAfter)}
	}
	d := Decision{
		Target: best.u.Upstream, Wait: best.queueTime, Load: best.load, Slots: best.u.Slots,
		Cached: best.cached, Expected: best.serviceTime + best.queueTime + best.rtt,
	}
	if best.excessWait > 0 {
		d.Reason, d.RetryAfter = work.ReasonQueueFull, c.jitter(max(best.excessWait, minRetryAfter))
		return d
	}
	if r.Hedge && best.load+1 > maxHedgeUtilization*float64(best.u.Slots) {
		d.Reason = work.ReasonQueueFull
		return d
	}
	if (r.Delivered > 0 || r.Hedge) && !svc.retryBudget.withdraw(now, c.config.Bounds, len(c.members)) {
		d.Reason, d.RetryAfter = work.ReasonNoUpstream, c.jitter(noUpstreamRetryAfter)
		return d
	}
	d.HedgeAfter = max(scale(d.Expected, hedgeDelayFactor), minHedgeDelay)
	d.Ticket = c.startAttempt(now, r, state, best)
	return d
}

const (
	// noUpstreamRetryAfter is the retry delay for a service without a usable upstream:
	// a restart takes seconds, but another upstream may become usable sooner.
	noUpstreamRetryAfter = 300 * time.Millisecond
	// minRetryAfter is the minimum retry delay after a full queue, before jitter.
	minRetryAfter = 100 * time.Millisecond
)

// jitter returns a random delay between 0.5d and 1.5d, to spread the retries of
// callers that were refused at the same time.
func (c *Core) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(c.random.Int64N(int64(d)+1))
}

// excessWait returns how far the queueing time at a candidate exceeds what the
// route's target and the request's deadline allow.
func (c *Core) excessWait(now time.Time, r *Request, best candidate) time.Duration {
	if best.queueTime == 0 {
		return 0
	}
	maxWait := max(r.Route.Target-best.serviceTime-best.rtt, time.Duration(maxQueueTargets*float64(r.Route.Target)))
	excess := best.queueTime - maxWait
	if !best.measured {
		// An unmeasured service time is not compared with the deadline.
		return excess
	}
	return max(excess, best.queueTime+best.serviceTime+best.rtt-r.Deadline.Sub(now))
}

// bestCandidate returns the candidate with the least cost.
func (c *Core) bestCandidate(now time.Time, r *Request, state *routeState, svc *service) (candidate, bool) {
	var best candidate
	found := false
	usable, object := c.usableUpstreams(now, r, svc), objectKey(r)
	if object != "" {
		usable = c.preferredUpstreams(object, r.Route.Kind, usable)
	}
	// An object that this instance has not sent to any of them recently is assumed to
	// be cached at its first preferred upstream, where the other instances send it.
	cachedAnywhere := slices.ContainsFunc(usable, func(u *upstream) bool { return u.hasCached(now, object) })
	for i, u := range usable {
		cand := c.evaluate(now, r, object, state, u, !cachedAnywhere && i == 0)
		cand.excessWait = c.excessWait(now, r, cand)
		// A candidate with capacity is preferred to a refusal at any cost.
		full, bestFull := cand.excessWait > 0, best.excessWait > 0
		if !found || bestFull && !full || bestFull == full && cand.cost < best.cost {
			best, found = cand, true
		}
	}
	return best, found
}

// usableUpstreams returns the upstreams of the service that may get the request.
func (c *Core) usableUpstreams(now time.Time, r *Request, svc *service) []*upstream {
	var reachable, unreachable []*upstream
	for _, u := range svc.upstreams {
		switch {
		case !c.usable(now, r, u):
		case u.zone.isUnreachable(now):
			unreachable = append(unreachable, u)
		default:
			reachable = append(reachable, u)
		}
	}
	if len(reachable) == 0 {
		// This instance's own network may be at fault, so the unreachable upstreams are
		// used when there are no others.
		return unreachable
	}
	return reachable
}

// usable reports whether a request may be sent to the upstream.
func (c *Core) usable(now time.Time, r *Request, u *upstream) bool {
	if u.Leaving || slices.Contains(r.Tried, u.ID) || !r.Route.AllowsRegion(u.Place.Region) {
		return false
	}
	if _, evacuated := c.evacuated[u.Place.Zone]; evacuated {
		return false
	}
	if now.Before(u.blockedUntil) || u.failures > 0 && len(u.inFlight) > 0 || c.exceedsIsolatedLimit(now, u) {
		return false
	}
	return !u.isCold(now) || c.isWarmUpSender(u) && u.coldLimit.Wait(now, 1, c.coldRate(u), coldBurst) == 0
}

// evaluate estimates the response time and the cost of a request at an upstream.
// assumeCached says that other instances are assumed to have sent the object there.
func (c *Core) evaluate(now time.Time, r *Request, object string, state *routeState, u *upstream, assumeCached bool) candidate {
	target := r.Route.Target.Seconds()
	missTime := seconds(state.missTime.valueOr(defaultMissFraction * target))
	hitTime := seconds(state.hitTime.valueOr(defaultHitFraction * target))
	cand := candidate{u: u, serviceTime: missTime, load: u.load(now), measured: state.missTime.known}
	if u.hasCached(now, object) {
		cand.cached, cand.serviceTime = true, hitTime
	}
	slowdown := u.currentSlowdown(now)
	if u.isCold(now) {
		slowdown = max(slowdown, coldSlowdown)
	}
	cand.serviceTime = scale(cand.serviceTime, slowdown)
	cand.rtt = c.rtt(u)
	// When all slots are taken, a request waits until the requests ahead of it have
	// freed one.
	meanServiceTime := scale((missTime+hitTime)/2, slowdown)
	slots := float64(u.Slots)
	if excess := cand.load + 1 - slots; excess > 0 {
		cand.queueTime = scale(meanServiceTime, excess/slots)
	}
	cand.cost = cand.serviceTime + scale(cand.queueTime, queueTimeWeight) + cand.rtt
	if u.Place.Zone != c.config.Place.Zone {
		bytes := float64(r.Bytes) + state.responseBytes.valueOr(0)
		cand.cost += scale(crossZoneByteCost, bytes)
	}
	if object != "" {
		cand.cost += scale(missTime, hashCostFraction*rank(hashKey(object), u.key))
		if !cand.cached && !assumeCached {
			cand.cost += scale(missTime-hitTime, evictionCostFraction)
			if cand.queueTime > 0 {
				cand.cost += scale(r.Route.Target, queuedMissPenalty)
			}
		}
	}
	cand.cost += scale(r.Route.Target, shedPenalty*u.currentShedRate(now))
	cand.cost += c.shiftPenalty(u.Place.Region, r.Route.Target)
	if u.overdueCount(now) > 0 {
		cand.cost += r.Route.Target
	}
	return cand
}

// objectKey returns a key that is unique across routes. It is empty when the
// request has no affinity to an upstream.
func objectKey(r *Request) string {
	if r.Object == "" || !r.Route.Sticky {
		return ""
	}
	return r.Route.Prefix + "\x00" + r.Object
}

// rtt returns the estimated RTT to an upstream.
func (c *Core) rtt(u *upstream) time.Duration {
	fallback := defaultRegionRTT
	if u.Place.Region != c.config.Place.Region {
		fallback = defaultRemoteRTT
	} else if u.Place.Zone == c.config.Place.Zone {
		fallback = 0
	}
	e := c.connectRTT[u.Place]
	return seconds(e.valueOr(fallback.Seconds()))
}

// startAttempt records a new attempt and returns its ticket.
func (c *Core) startAttempt(now time.Time, r *Request, state *routeState, best candidate) *Ticket {
	u := best.u
	t := &Ticket{
		upstream: u, route: state, cached: best.cached, cold: u.isCold(now),
		sentAt: now, expected: best.serviceTime + best.queueTime + best.rtt, object: objectKey(r),
	}
	if t.object != "" {
		// Recorded before the response arrives, so that concurrent requests for the
		// object go to the same upstream.
		u.recordObject(now, t.object)
	}
	if u.inFlight == nil {
		u.inFlight = make(map[*Ticket]struct{})
	}
	u.inFlight[t] = struct{}{}
	c.regions.record(now, u.Place.Region)
	u.zone.requestSent(t)
	if t.cold {
		u.coldLimit.Take(now, 1, c.coldRate(u), coldBurst)
	}
	c.chargeIsolatedLimit(now, u)
	return t
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func scale(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) * factor) }
