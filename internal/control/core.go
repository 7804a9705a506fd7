package control

import (
	"time"

	"github.com/qmuntal/stateless"

	"sycamoreledge.example/internal/settings"
)

// Params are the inputs of a Core that stay constant while it runs.
type Params struct {
	// Self is the name of this instance in the topology.
	Self string
	// Incarnation increases with each start of the process.
	Incarnation uint64
	Topology    *settings.Topology
	Timing      settings.ControlSettings
	// Initial is the preset in force until a configuration is received.
	Initial *settings.Preset
	// UncleanRuns are the runs of instances of the local zone, this instance
	// included, that are not known to have stopped cleanly and may therefore
	// still have requests in flight. An Incarnation of 0 means any run.
	UncleanRuns []Identity
	// Start is the time of the first tick.
	Start time.Time
}

// Core holds the control tables of one instance. It is not safe for concurrent
// use.
type Core struct {
	ix       *index
	timing   settings.ControlSettings
	self     int
	zone     int
	identity Identity
	start    time.Time
	now      time.Time

	stateMachine *stateless.StateMachine
	state        InstanceState
	// resumedAt is when the instance last started or resumed after a pause.
	resumedAt time.Time
	// retired is set once a planned stop has released all pools; this instance
	// takes none again.
	retired bool

	config *settings.Config
	// configMsg is the message that was encoded last; its configuration may be
	// older than config.
	configMsg       *Config
	preset          *settings.Preset
	servicePolicies map[string]settings.ServicePolicy // by service

	members        []member
	remoteZones    []remoteZone // by zone
	pools          []poolState
	adoptableZones []adoptableZone
	uncleanRuns    map[Identity]bool
	gossip         gossip
	lastSentAt     int64
	poolLoads      map[int]PoolStatus
	leavingLists   leavingLists
	inherited      []inheritedRun
	messages       []Outbound
	events         []Event
	fleetViews     fleetViews
	// snapshotStale is set when the tables changed after the last snapshot.
	snapshotStale bool
}

// Outbound is a message to send to an instance.
type Outbound struct {
	To  string
	Msg Message
}

// Ready is the output that the caller has to carry out after Step and Tick.
type Ready struct {
	Messages []Outbound
	Events   []Event
	// Snapshot is to be published before Messages are sent. It is nil if the
	// last snapshot is still current.
	Snapshot *Snapshot
}

// New returns the core of an instance, in state Joining.
func New(p Params) *Core {
	ix := newIndex(p.Topology)
	self := ix.byName[p.Self]
	c := &Core{
		ix:           ix,
		timing:       scaledTiming(p.Timing, ix),
		self:         self,
		zone:         ix.instances[self].zone,
		identity:     Identity{Instance: p.Self, Incarnation: p.Incarnation},
		start:        p.Start,
		now:          p.Start,
		resumedAt:    p.Start,
		state:        Joining,
		poolLoads:    map[int]PoolStatus{},
		leavingLists: leavingLists{},
		members:      newMembers(ix, p.Start),
		remoteZones:  newRemoteZones(ix, p.Start),
	}
	c.stateMachine = newInstanceMachine(&c.state)
	c.gossip = newGossip(ix)
	c.setConfig(&settings.Config{
		InForce: p.Initial.Name,
		Presets: map[string]settings.Preset{p.Initial.Name: *p.Initial},
	})
	c.pools = newPoolStates(ix)
	c.adoptableZones = c.newAdoptableZones()
	c.blockUncleanRuns(p.UncleanRuns)
	c.updateHeartbeatPeers()
	return c
}

// SetPoolLoads replaces the load of the pools that this instance dispatches to, and
// of released pools that still have requests of it in flight.
func (c *Core) SetPoolLoads(statuses []PoolStatus) {
	clear(c.poolLoads)
	for _, status := range statuses {
		if p, known := c.ix.byPool[status.Pool]; known {
			c.poolLoads[p] = status
		}
	}
}

// Tick advances the time to now and runs all periodic work once.
func (c *Core) Tick(now time.Time) {
	lastTick := c.now
	c.now = now
	c.detectPause(lastTick)
	c.updateHeartbeatPeers()
	c.detectFailures()
	c.finishCatchUp()
	c.updateOwnership()
	c.updateAdoptions()
	c.sendReleases()
	c.sendHeartbeats()
	c.sendDigests()
	c.leavingLists.expire(c.now)
	c.expireInheritedRuns()
	c.snapshotStale = true
}

// Ready returns the pending output and clears it.
func (c *Core) Ready() Ready {
	r := Ready{Messages: c.messages, Events: c.events}
	c.messages = nil
	c.events = nil
	if c.snapshotStale {
		r.Snapshot = c.buildSnapshot()
		c.snapshotStale = false
	}
	return r
}

// Step handles a message that arrived from a peer at the time now. Messages of
// instances that are not in the topology are dropped.
func (c *Core) Step(now time.Time, msg Message) {
	from, declared := c.ix.byName[msg.From]
	if !declared || from == c.self {
		return
	}
	if now.After(c.now) && now.Sub(c.now) <= c.maxPause() {
		// Messages advance the time between ticks, but not across a pause: the
		// next tick has to detect it.
		c.now = now
	}
	if !c.acceptSender(from, msg.Incarnation) {
		return
	}
	switch {
	case msg.Heartbeat != nil:
		c.onHeartbeat(from, msg.Heartbeat)
	case msg.Digest != nil:
		c.onDigest(from, msg.Digest)
	case msg.Config != nil:
		c.onConfig(from, msg.Config)
	case msg.Release != nil:
		c.onRelease(from, msg.Release)
	case msg.Leaving != nil:
		c.onLeaving(from, msg.Leaving)
	}
}

func (c *Core) send(to int, msg Message) {
	msg.From = c.identity.Instance
	msg.Incarnation = c.identity.Incarnation
	c.messages = append(c.messages, Outbound{To: c.ix.instances[to].Name, Msg: msg})
}

// UncleanRunsEnded reports whether none of the unclean runs given at the start can have
// requests in flight any more: each was heard from as a live process, or a
// lease and the longest dispatch timeout have passed since the start.
func (c *Core) UncleanRunsEnded() bool {
	maxTimeout := time.Duration(0)
	for _, timeout := range c.gossip.maxDispatchTimeouts {
		maxTimeout = max(maxTimeout, timeout)
	}
	return len(c.uncleanRuns) == 0 || c.now.After(c.start.Add(c.timing.Lease+maxTimeout))
}

// participatesInOwnership reports whether this instance acquires and releases
// pools of its zone.
func (c *Core) participatesInOwnership() bool {
	return !c.retired && (c.state == Serving || c.state == Leaving)
}

// nextSentAt returns the nanoseconds since the start of the core, increased if
// needed so that each value is higher than the one before.
func (c *Core) nextSentAt() int64 {
	c.lastSentAt = max(c.lastSentAt+1, int64(c.now.Sub(c.start)))
	return c.lastSentAt
}
