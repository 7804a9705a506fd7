package steering

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sycamoreledge.example/internal/routing"
	"sycamoreledge.example/internal/work"
)

// routeState is what was learned about the requests of a route. It outlives
// versions of the configuration.
type routeState struct {
	// fresh and warm are the times in seconds that an idle upstream takes for an
	// object it does not remember, and for one it does.
	fresh estimate
	warm  estimate
	// answer is the size of an answer in bytes.
	answer estimate
	// given counts the requests that each part of the route got.
	given map[string]float64
	total float64
}

const (
	// freshGuess and warmGuess are the parts of a route's target that an answer
	// takes before any was measured.
	freshGuess = 0.8
	warmGuess  = 0.35
	// workFraction is the weight of a new measurement of the time of work.
	workFraction = 0.05
	// nearTrip and farTrip are the times to open a connection in the region and
	// beyond it before any was opened.
	nearTrip = 2 * time.Millisecond
	farTrip  = 50 * time.Millisecond
	// tripFraction is the weight of a new measurement of that time.
	tripFraction = 0.2
	// transferCost stands for the price of a byte between zones: a kilobyte counts
	// like a delay of 5 ms.
	transferCost = 5 * time.Millisecond / 1024
	// hashSpread is the largest difference that the rank of upstreams for an object
	// makes, as a part of the time of work on an object that is not remembered.
	hashSpread = 0.5
	// displacement stands for the object that an upstream forgets when it gets to
	// know another one, as a part of what that makes work longer.
	displacement = 1.0
	// crowding keeps objects from upstreams without a free slot that do not know
	// them, as a part of the route's target.
	crowding = 2.0
	// waitWeight is the weight of the time for which a request would wait. It is
	// known roughly, since others' requests are.
	waitWeight = 0.5
	// coldFactor is how much longer a cold upstream takes.
	coldFactor = 2
	// waitShare is for how long a request may wait for a slot at the homes of its
	// object, in targets of its route.
	waitShare = 1.5
	// hedgeFactor is how many times longer than expected an answer takes when a
	// second attempt makes sense: few do so by chance. hedgeLeast keeps short
	// delays of the way from causing one.
	hedgeFactor = 1.8
	hedgeLeast  = 100 * time.Millisecond
	// hedgeLoad is the part of the slots of an upstream up to which second attempts
	// are sent there: on a busy one they would delay first attempts.
	hedgeLoad = 0.75
	// faultCost stands for an upstream that refuses every request.
	faultCost = 1.0
)

func (c *Core) routeOf(r *routing.Route) *routeState {
	s := c.routes[r.Key()]
	if s == nil {
		s = &routeState{given: make(map[string]float64)}
		c.routes[r.Key()] = s
	}
	return s
}

// rank is a number in [0, 1) that all instances compute alike for two keys.
func rank(a, b uint64) float64 {
	var both [16]byte
	binary.LittleEndian.PutUint64(both[:8], a)
	binary.LittleEndian.PutUint64(both[8:], b)
	return float64(xxhash.Sum64(both[:])>>11) / (1 << 53)
}

// keyOf is the key of a name for rank.
func keyOf(name string) uint64 { return xxhash.Sum64String(name) }

// candidate is an upstream with what a request would meet there.
type candidate struct {
	u    *upstream
	warm bool
	// measured is set when the time of work on the route was measured before.
	measured bool
	work     time.Duration
	wait     time.Duration
	trip     time.Duration
	load     float64
	cost     time.Duration
	// excess is by how much the request would wait too long, or not above 0.
	excess time.Duration
}

// Choose decides on the next attempt of a request.
func (c *Core) Choose(now time.Time, r *Request) Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.routeOf(r.Route)
	svc := c.serviceOf(r.Service)
	if len(r.Tried) == 0 {
		svc.repeats.earn(now, c.config.Bounds, len(c.members))
	}
	best, ok := c.best(now, r, state, svc)
	if !ok {
		return Decision{Reason: work.ReasonNoUpstream, RetryAfter: c.jitter(noUpstreamWait)}
	}
	d := Decision{
		Target: best.u.Upstream, Wait: best.wait, Load: best.load, Slots: best.u.Slots,
		Remembered: best.warm, Expected: best.work + best.wait + best.trip,
	}
	if best.excess > 0 {
		d.Reason, d.RetryAfter = work.ReasonQueueFull, c.jitter(max(best.excess, minRetryAfter))
		return d
	}
	if r.Hedge && best.load+1 > hedgeLoad*float64(best.u.Slots) {
		d.Reason = work.ReasonQueueFull
		return d
	}
	if (r.Reached > 0 || r.Hedge) && !svc.repeats.spend(now, c.config.Bounds, len(c.members)) {
		d.Reason, d.RetryAfter = work.ReasonNoUpstream, c.jitter(noUpstreamWait)
		return d
	}
	d.HedgeAfter = max(scale(d.Expected, hedgeFactor), hedgeLeast)
	d.Ticket = c.send(now, r, state, best)
	return d
}

const (
	// noUpstreamWait is when callers may come back to a service that has no
	// upstream to use: a restart takes seconds, but another may be free sooner.
	noUpstreamWait = 300 * time.Millisecond
	// minRetryAfter is the least time that callers are asked to wait.
	minRetryAfter = 100 * time.Millisecond
)

// jitter spreads callers that were refused at the same moment.
func (c *Core) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(c.random.Int64N(int64(d)+1))
}

// excess is by how much a request would wait too long at its best upstream.
func (c *Core) excess(now time.Time, r *Request, best candidate) time.Duration {
	if best.wait == 0 {
		return 0
	}
	allowed := max(r.Route.Target-best.work-best.trip, time.Duration(waitShare*float64(r.Route.Target)))
	excess := best.wait - allowed
	if !best.measured {
		// A guess of the time of work is no reason to refuse.
		return excess
	}
	return max(excess, best.wait+best.work+best.trip-r.Deadline.Sub(now))
}

// best returns the candidate with the least cost.
func (c *Core) best(now time.Time, r *Request, state *routeState, svc *service) (candidate, bool) {
	var best candidate
	found := false
	usable, object := c.usableOf(now, r, svc), objectKey(r)
	if object != "" {
		usable = c.homes(object, r.Route.Kind, usable)
	}
	// An object that this instance has not sent anywhere is taken to be known at its
	// first home, where the other instances send it.
	sent := slices.ContainsFunc(usable, func(u *upstream) bool { return u.remembers(now, object) })
	for i, u := range usable {
		cand := c.evaluate(now, r, object, state, u, !sent && i == 0)
		cand.excess = c.excess(now, r, cand)
		// A home with room is better than a refusal, whatever it costs.
		full, bestFull := cand.excess > 0, best.excess > 0
		if !found || bestFull && !full || bestFull == full && cand.cost < best.cost {
			best, found = cand, true
		}
	}
	return best, found
}

// usableOf returns the upstreams of the service that may get the request.
func (c *Core) usableOf(now time.Time, r *Request, svc *service) []*upstream {
	var list, silent []*upstream
	for _, u := range svc.upstreams {
		switch {
		case !c.usable(now, r, u):
		case u.zone.isSilent(now):
			silent = append(silent, u)
		default:
			list = append(list, u)
		}
	}
	if len(list) == 0 {
		// The fault may be on this side, and one of them is better than none.
		return silent
	}
	return list
}

// usable reports whether a request may be sent to the upstream at all.
func (c *Core) usable(now time.Time, r *Request, u *upstream) bool {
	if u.Leaving || slices.Contains(r.Tried, u.ID) || !r.Route.Permits(u.Place.Region) {
		return false
	}
	if _, evacuated := c.evacuated[u.Place.Zone]; evacuated {
		return false
	}
	if now.Before(u.blocked) || u.faults > 0 && len(u.inFlight) > 0 || c.isFullUnseen(now, u) {
		return false
	}
	return !u.isCold(now) || c.warmsUp(u) && u.trickle.Wait(now, 1, c.coldRate(u), coldBurst) == 0
}

// evaluate estimates what a request would meet at an upstream. Presumed is set
// when others are taken to have made the object known there.
func (c *Core) evaluate(now time.Time, r *Request, object string, state *routeState, u *upstream, presumed bool) candidate {
	target := r.Route.Target.Seconds()
	fresh := seconds(state.fresh.or(freshGuess * target))
	warm := seconds(state.warm.or(warmGuess * target))
	cand := candidate{u: u, work: fresh, load: u.load(now), measured: state.fresh.known}
	if u.remembers(now, object) {
		cand.warm, cand.work = true, warm
	}
	slow := u.slow(now)
	if u.isCold(now) {
		slow = max(slow, coldFactor)
	}
	cand.work = scale(cand.work, slow)
	cand.trip = c.trip(u)
	// A request waits when all slots are taken, for as long as the ones before it
	// need to free them.
	typical := scale((fresh+warm)/2, slow)
	slots := float64(u.Slots)
	if over := cand.load + 1 - slots; over > 0 {
		cand.wait = scale(typical, over/slots)
	}
	cand.cost = cand.work + scale(cand.wait, waitWeight) + cand.trip
	if u.Place.Zone != c.config.Place.Zone {
		bytes := float64(r.Bytes) + state.answer.or(0)
		cand.cost += scale(transferCost, bytes)
	}
	if object != "" {
		cand.cost += scale(fresh, hashSpread*rank(keyOf(object), u.key))
		if !cand.warm && !presumed {
			cand.cost += scale(fresh-warm, displacement)
			if cand.wait > 0 {
				cand.cost += scale(r.Route.Target, crowding)
			}
		}
	}
	cand.cost += scale(r.Route.Target, faultCost*u.shedding(now))
	cand.cost += c.shiftPenalty(u.Place.Region, r.Route.Target)
	if u.overdue(now) > 0 {
		cand.cost += r.Route.Target
	}
	return cand
}

// objectKey tells objects of different routes apart. It is empty when it does not
// matter which upstream handled the object before.
func objectKey(r *Request) string {
	if r.Object == "" || !r.Route.Sticky {
		return ""
	}
	return r.Route.Prefix + "\x00" + r.Object
}

// trip is the time on the way to an upstream and back.
func (c *Core) trip(u *upstream) time.Duration {
	guess := nearTrip
	if u.Place.Region != c.config.Place.Region {
		guess = farTrip
	} else if u.Place.Zone == c.config.Place.Zone {
		guess = 0
	}
	e := c.opening[u.Place]
	return seconds(e.or(guess.Seconds()))
}

// send books an attempt.
func (c *Core) send(now time.Time, r *Request, state *routeState, best candidate) *Ticket {
	u := best.u
	t := &Ticket{
		upstream: u, route: state, warm: best.warm, cold: u.isCold(now),
		sent: now, expected: best.work + best.wait + best.trip, object: objectKey(r),
	}
	if t.object != "" {
		// Later requests for the object go the same way already now.
		u.learn(now, t.object)
	}
	if u.inFlight == nil {
		u.inFlight = make(map[*Ticket]struct{})
	}
	u.inFlight[t] = struct{}{}
	c.regions.note(now, u.Place.Region)
	u.zone.sent(t)
	if t.cold {
		u.trickle.Take(now, 1, c.coldRate(u), coldBurst)
	}
	c.noteUnseen(now, u)
	return t
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func scale(d time.Duration, by float64) time.Duration { return time.Duration(float64(d) * by) }
