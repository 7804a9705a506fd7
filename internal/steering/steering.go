// Package steering decides which upstream gets a request, which requests are
// retried, and which are refused. It is a state machine without I/O and without a
// clock: the caller passes the time in, executes the decisions and reports their
// results.
package steering

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"sycamoreledge.example/internal/deployment"
	"sycamoreledge.example/internal/routing"
	"sycamoreledge.example/internal/work"
)

// Upstream is the state that an upstream reports about itself.
type Upstream struct {
	ID string
	// Incarnation increases with each start of the upstream under its ID.
	Incarnation int64
	Service     string
	Address     string
	Place       deployment.Place
	Slots       int
	// Leaving is set when the upstream accepts no new requests.
	Leaving bool
	// ColdFor is the remaining time for which it is cold, from the time of the report.
	ColdFor time.Duration
	// Revision orders the reports. A report that is not newer is ignored.
	Revision int64
}

// Config is the configuration of a Core.
type Config struct {
	// Instance is the name of this instance.
	Instance string
	Place    deployment.Place
	Bounds   deployment.Bounds
	// Seed makes random decisions reproducible.
	Seed uint64
	// OnZoneReachability is called when the upstreams of a zone become unreachable, with the
	// number of consecutive times, and when they respond again. It may be nil. It is
	// called with the lock of the Core held and must not call the Core.
	OnZoneReachability func(zone string, reachable bool, failures int)
}

// Core is the state on which decisions are based. It is safe for concurrent use;
// each method is atomic.
type Core struct {
	mu     sync.Mutex
	config Config
	random *rand.Rand
	table  *routing.Table
	// upstreams holds all known upstreams by ID, services the same ones by service.
	upstreams map[string]*upstream
	services  map[string]*service
	evacuated map[string]evacuation
	// members are the serving instances, including this one.
	members []Member
	routes  map[string]*routeState
	regions regionShares
	zones   map[string]*zone
	// isolated is set while upstream reports may be missing for a long time.
	isolated bool
	// connectRTT is the time to open a connection to a place, in seconds.
	connectRTT map[deployment.Place]ewma
}

// Member is an instance that serves requests.
type Member struct {
	Name  string
	Place deployment.Place
}

// evacuation keeps requests from the upstreams of a zone.
type evacuation struct {
	// ended is set when the operator has ended the evacuation. It stays in effect
	// until the upstream reports have reached that revision, since the upstreams may
	// have become cold.
	ended    bool
	revision int64
}

// service holds the upstreams of a service and their common retry budget.
type service struct {
	upstreams   []*upstream
	retryBudget retryBudget
}

// New returns a Core that knows no upstreams and no configuration.
func New(config Config) *Core {
	if config.OnZoneReachability == nil {
		config.OnZoneReachability = func(string, bool, int) {}
	}
	return &Core{
		config:     config,
		random:     rand.New(rand.NewPCG(config.Seed, uint64(len(config.Instance)))),
		upstreams:  make(map[string]*upstream),
		services:   make(map[string]*service),
		evacuated:  make(map[string]evacuation),
		members:    []Member{{Name: config.Instance, Place: config.Place}},
		routes:     make(map[string]*routeState),
		zones:      make(map[string]*zone),
		connectRTT: make(map[deployment.Place]ewma),
	}
}

// SetTable puts a version of the configuration into effect, and reports whether it
// did. A version that is not newer than the current one is ignored.
func (c *Core) SetTable(t *routing.Table) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.table != nil && t.Revision <= c.table.Revision {
		return false
	}
	c.table = t
	return true
}

// Table returns the configuration in effect, or nil.
func (c *Core) Table() *routing.Table {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table
}

// SetBounds replaces the bounds that apply to all instances together.
func (c *Core) SetBounds(b deployment.Bounds) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.config.Bounds = b
}

// SetMembers sets the serving instances. This instance is added when it is missing.
func (c *Core) SetMembers(members []Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.members = members
	if !slices.ContainsFunc(members, func(m Member) bool { return m.Name == c.config.Instance }) {
		c.members = append(c.members, Member{Name: c.config.Instance, Place: c.config.Place})
	}
}

// SetIsolated sets whether upstream reports may be missing for a long time. While
// they may, each upstream is treated as one that may have become cold. It reports
// whether the value changed.
func (c *Core) SetIsolated(isolated bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	changed := c.isolated != isolated
	c.isolated = isolated
	return changed
}

// SetUpstream adds an upstream or applies its newer report.
func (c *Core) SetUpstream(now time.Time, u Upstream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.upstreams[u.ID]
	if known != nil && known.Incarnation == u.Incarnation && known.Service == u.Service && known.Address == u.Address {
		if u.Revision > 0 && u.Revision <= known.Revision {
			return
		}
		known.Upstream, known.unreachable = u, false
		known.zone = c.zoneState(u.Place)
		known.coldUntil = now.Add(u.ColdFor)
		return
	}
	if known != nil {
		c.remove(known)
	}
	known = &upstream{Upstream: u, key: hashKey(u.ID), zone: c.zoneState(u.Place), lastSent: make(map[string]time.Time)}
	known.setCold(now, u.ColdFor)
	c.upstreams[u.ID] = known
	s := c.serviceState(u.Service)
	s.upstreams = append(s.upstreams, known)
}

// RemoveUpstream removes an upstream and returns its address, or "" if it is unknown.
func (c *Core) RemoveUpstream(id string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.upstreams[id]
	if u == nil {
		return ""
	}
	c.remove(u)
	return u.Address
}

// Upstreams returns the IDs of all known upstreams.
func (c *Core) Upstreams() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Collect(maps.Keys(c.upstreams))
}

func (c *Core) remove(u *upstream) {
	delete(c.upstreams, u.ID)
	s := c.services[u.Service]
	s.upstreams = slices.DeleteFunc(s.upstreams, func(other *upstream) bool { return other == u })
}

func (c *Core) serviceState(name string) *service {
	s := c.services[name]
	if s == nil {
		s = &service{}
		c.services[name] = s
	}
	return s
}

// Evacuate keeps requests from the upstreams of a zone.
func (c *Core) Evacuate(zone string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evacuated[zone] = evacuation{}
}

// EndEvacuation allows requests to the zone again once the reports of its upstreams
// have been applied up to the revision.
func (c *Core) EndEvacuation(zone string, revision int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e, ok := c.evacuated[zone]; ok && !e.ended {
		c.evacuated[zone] = evacuation{ended: true, revision: revision}
	}
}

// SetReportRevision records that all upstream reports up to a revision have been applied.
func (c *Core) SetReportRevision(revision int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for zone, e := range c.evacuated {
		if e.ended && e.revision <= revision {
			delete(c.evacuated, zone)
		}
	}
}

// EvacuatedZones returns the zones whose upstreams get no requests.
func (c *Core) EvacuatedZones() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Collect(maps.Keys(c.evacuated))
}

// Request is a caller's request for which an upstream is to be chosen.
type Request struct {
	ID    string
	Route *routing.Route
	// Service is the service of the route that the request is assigned to; see Assign.
	Service string
	Object  string
	// Bytes is the size of the body.
	Bytes int
	// Arrived is when the request was received, Deadline the latest time for its
	// response.
	Arrived  time.Time
	Deadline time.Time
	// Tried are the IDs of the upstreams of all attempts. Delivered is the number of
	// attempts that were, or may have been, received by their upstream.
	Tried     []string
	Delivered int
	// Hedge asks for a further attempt while a slow one is in flight. It is granted
	// only on an upstream with spare capacity.
	Hedge bool
}

// Decision is the result of Choose.
type Decision struct {
	// Ticket is set when the request is to be sent to Target, and nil when it is refused.
	Ticket *Ticket
	Target Upstream
	// Reason is why the request is refused, and RetryAfter when the caller may retry.
	Reason     work.Reason
	RetryAfter time.Duration
	// Wait and Load explain the decision: the expected time that the request waits for
	// a slot, and the estimated number of requests at the upstream, out of Slots.
	Wait  time.Duration
	Load  float64
	Slots int
	// Cached is set when the upstream is expected to have cached the object. Expected
	// is the expected response time.
	Cached   bool
	Expected time.Duration
	// HedgeAfter is the time after which the request is hedged if there is no response.
	HedgeAfter time.Duration
}

// Ticket identifies one attempt at an upstream until its result is passed to Done.
type Ticket struct {
	upstream *upstream
	route    *routeState
	object   string
	cached   bool
	cold     bool
	sentAt   time.Time
	expected time.Duration
	done     bool
}
