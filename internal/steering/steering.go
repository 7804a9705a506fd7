// Package steering decides which upstream gets a request, which request is sent
// again, and which is refused. It is a state machine without I/O and without a
// clock: the caller passes the time in, executes the decisions and reports what
// became of them.
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

// Upstream is what an upstream says about itself.
type Upstream struct {
	ID string
	// Incarnation grows with each start of the upstream under its ID.
	Incarnation int64
	Service     string
	Address     string
	Place       deployment.Place
	Slots       int
	// Leaving is set when it wants no new requests.
	Leaving bool
	// ColdFor is how much longer it is cold, from the time of the report.
	ColdFor time.Duration
	// Revision orders its reports. One that was read before changes nothing.
	Revision int64
}

// Config holds what a Core needs.
type Config struct {
	// Instance is the name of this instance.
	Instance string
	Place    deployment.Place
	Bounds   deployment.Bounds
	// Seed makes decisions repeatable.
	Seed uint64
	// ZoneReach is told when the upstreams of a zone are out of reach, for how many
	// times in a row, and when they answer again; nil is not. It must not call back.
	ZoneReach func(zone string, reached bool, silences int)
}

// Core is the state of the decisions. It is safe for concurrent use; each
// method is one step.
type Core struct {
	mu     sync.Mutex
	config Config
	random *rand.Rand
	table  *routing.Table
	// upstreams are all known upstreams by ID, services the same by service.
	upstreams map[string]*upstream
	services  map[string]*service
	evacuated map[string]evacuation
	// members are the instances that serve, this one included.
	members []Member
	routes  map[string]*routeState
	regions regions
	zones   map[string]*zone
	// isolated is set while reports about upstreams may be missing for long.
	isolated bool
	// opening is the time that a new connection to another place takes.
	opening map[deployment.Place]estimate
}

// Member is an instance that takes requests.
type Member struct {
	Name  string
	Place deployment.Place
}

// evacuation keeps requests from the upstreams of a zone.
type evacuation struct {
	// ended is set when the operator has withdrawn it. It stays in force until
	// the upstreams' reports are as new as that, since they may have become cold.
	ended    bool
	revision int64
}

// service holds what the upstreams of a service have in common.
type service struct {
	upstreams []*upstream
	repeats   repeats
}

// New returns a Core that knows no upstreams and no configuration.
func New(config Config) *Core {
	if config.ZoneReach == nil {
		config.ZoneReach = func(string, bool, int) {}
	}
	return &Core{
		config:    config,
		random:    rand.New(rand.NewPCG(config.Seed, uint64(len(config.Instance)))),
		upstreams: make(map[string]*upstream),
		services:  make(map[string]*service),
		evacuated: make(map[string]evacuation),
		members:   []Member{{Name: config.Instance, Place: config.Place}},
		routes:    make(map[string]*routeState),
		zones:     make(map[string]*zone),
		opening:   make(map[deployment.Place]estimate),
	}
}

// SetTable puts a version of the configuration in force. An older one than the
// present is ignored.
func (c *Core) SetTable(t *routing.Table) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.table != nil && t.Revision <= c.table.Revision {
		return false
	}
	c.table = t
	return true
}

// Table returns the configuration in force, or nil.
func (c *Core) Table() *routing.Table {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table
}

// SetBounds replaces the bounds that hold for all instances together.
func (c *Core) SetBounds(b deployment.Bounds) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.config.Bounds = b
}

// SetMembers sets the instances that serve. This instance always counts.
func (c *Core) SetMembers(members []Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.members = members
	if !slices.ContainsFunc(members, func(m Member) bool { return m.Name == c.config.Instance }) {
		c.members = append(c.members, Member{Name: c.config.Instance, Place: c.config.Place})
	}
}

// SetIsolated says whether this instance may miss reports about upstreams for long.
// It then treats each as one that may have become cold. It returns whether that is
// a change.
func (c *Core) SetIsolated(isolated bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	changed := c.isolated != isolated
	c.isolated = isolated
	return changed
}

// SetUpstream adds an upstream, or takes over what it says now.
func (c *Core) SetUpstream(now time.Time, u Upstream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.upstreams[u.ID]
	if known != nil && known.Incarnation == u.Incarnation && known.Service == u.Service && known.Address == u.Address {
		if u.Revision > 0 && u.Revision <= known.Revision {
			return
		}
		known.Upstream, known.absent = u, false
		known.zone = c.zoneOf(u.Place)
		known.coldUntil = now.Add(u.ColdFor)
		return
	}
	if known != nil {
		c.remove(known)
	}
	known = &upstream{Upstream: u, key: keyOf(u.ID), zone: c.zoneOf(u.Place), warm: make(map[string]time.Time)}
	known.cold(now, u.ColdFor)
	c.upstreams[u.ID] = known
	s := c.serviceOf(u.Service)
	s.upstreams = append(s.upstreams, known)
}

// RemoveUpstream forgets an upstream and returns its address, or "".
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

func (c *Core) serviceOf(name string) *service {
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

// EndEvacuation lets requests go to the zone again, as soon as reports of its
// upstreams as of the revision have been taken over.
func (c *Core) EndEvacuation(zone string, revision int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e, ok := c.evacuated[zone]; ok && !e.ended {
		c.evacuated[zone] = evacuation{ended: true, revision: revision}
	}
}

// ReportedAsOf notes that the upstreams' reports are complete as of a revision.
func (c *Core) ReportedAsOf(revision int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for zone, e := range c.evacuated {
		if e.ended && e.revision <= revision {
			delete(c.evacuated, zone)
		}
	}
}

// Evacuated returns the zones whose upstreams get no requests.
func (c *Core) Evacuated() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Collect(maps.Keys(c.evacuated))
}

// Request is a request of a caller that is to be sent to an upstream.
type Request struct {
	ID    string
	Route *routing.Route
	// Service is the part of the route that the request belongs to; see Assign.
	Service string
	Object  string
	// Bytes is the size of the body.
	Bytes int
	// Arrived is when it was read, Deadline when its caller gets an answer at the
	// latest.
	Arrived  time.Time
	Deadline time.Time
	// Tried are the upstreams that it was sent to, Reached how many of them took
	// it or may have.
	Tried   []string
	Reached int
	// Hedge asks for an upstream beside one that takes long. It gets one that is
	// free, or none.
	Hedge bool
}

// Decision says what to do with a request.
type Decision struct {
	// Ticket is set when the request is to be sent to Target.
	Ticket *Ticket
	Target Upstream
	// Otherwise it is refused for a reason. The caller may come back after a time.
	Reason     work.Reason
	RetryAfter time.Duration
	// Wait and Load explain the decision: the time for which the request is
	// expected to wait for a slot, and the requests that the upstream is thought
	// to have, out of Slots.
	Wait  time.Duration
	Load  float64
	Slots int
	// Remembered is set when the upstream is thought to remember the object, and
	// Expected is how long its answer is expected to take.
	Remembered bool
	Expected   time.Duration
	// HedgeAfter is when an answer is so late that a second attempt makes sense.
	HedgeAfter time.Duration
}

// Ticket stands for one request at an upstream until Done.
type Ticket struct {
	upstream *upstream
	route    *routeState
	object   string
	warm     bool
	cold     bool
	sent     time.Time
	expected time.Duration
	settled  bool
}
