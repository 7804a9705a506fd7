package control

import (
	"time"

	"github.com/qmuntal/stateless"

	"sycamoreledge.example/internal/settings"
)

// Params are the inputs of a Core that do not change while it runs.
type Params struct {
	// Self is the declared name of this instance.
	Self string
	// Incarnation grows with each start of the process.
	Incarnation uint64
	Topology    *settings.Topology
	Timing      settings.ControlSettings
	// Initial is in force until a configuration is learned.
	Initial *settings.Preset
	// Unclean are the runs of the instances of the own zone, itself included,
	// that did not stop cleanly as far as is known, and so may still have
	// requests in flight. An Incarnation of 0 means any run.
	Unclean []Identity
	// Start is the time of the first tick.
	Start time.Time
}

// Core owns the tables of one instance. It is not safe for concurrent use.
type Core struct {
	ix       *index
	timing   settings.ControlSettings
	self     int
	zone     int
	identity Identity
	start    time.Time
	now      time.Time

	machine *stateless.StateMachine
	state   InstanceState
	// resumed is when the instance last started or came back from a pause.
	resumed time.Time
	// retired is set once all pools are given up for good.
	retired bool

	config *settings.Config
	// sendable is the message with the configuration, or with an older one.
	sendable *Config
	preset   *settings.Preset
	policy   map[string]settings.ServicePolicy // by service

	members  []member
	outside  []outsideZone // by zone
	pools    []ownedPool
	wards    []ward
	unclean  map[Identity]bool
	spread   spread
	lastSent int64
	load     map[int]PoolStatus
	leaving  leavingLists
	held     []held
	messages []Outbound
	events   []Event
	views    views
	// stale is set when the last snapshot no longer shows the tables.
	stale bool
}

// Outbound is a message to send to an instance.
type Outbound struct {
	To  string
	Msg Message
}

// Ready is what the caller has to carry out after Step and Tick.
type Ready struct {
	Messages []Outbound
	Events   []Event
	// Snapshot is the new view, to be published before messages are sent, or
	// nil where the last one still holds.
	Snapshot *Snapshot
}

// New returns the core of an instance in state Joining.
func New(p Params) *Core {
	ix := newIndex(p.Topology)
	self := ix.byName[p.Self]
	c := &Core{
		ix:       ix,
		timing:   scaledTiming(p.Timing, ix),
		self:     self,
		zone:     ix.instances[self].zone,
		identity: Identity{Instance: p.Self, Incarnation: p.Incarnation},
		start:    p.Start,
		now:      p.Start,
		resumed:  p.Start,
		state:    Joining,
		load:     map[int]PoolStatus{},
		leaving:  leavingLists{},
		members:  newMembers(ix, p.Start),
		outside:  newOutside(ix, p.Start),
	}
	c.machine = newInstanceMachine(&c.state)
	c.spread = newSpread(ix)
	c.useConfig(&settings.Config{
		InForce: p.Initial.Name,
		Presets: map[string]settings.Preset{p.Initial.Name: *p.Initial},
	})
	c.pools = newOwnedPools(ix)
	c.wards = c.newWards()
	c.blockUnclean(p.Unclean)
	c.updateContacts()
	return c
}

// SetLoad passes in the load of the pools that this instance dispatches to,
// and of those it gave up that still have requests in flight.
func (c *Core) SetLoad(statuses []PoolStatus) {
	clear(c.load)
	for _, s := range statuses {
		if p, known := c.ix.byPool[s.Pool]; known {
			c.load[p] = s
		}
	}
}

// Tick runs all systems once at the time now.
func (c *Core) Tick(now time.Time) {
	last := c.now
	c.now = now
	c.detectPause(last)
	c.updateContacts()
	c.detectFailures()
	c.finishCatchUp()
	c.updateOwnership()
	c.updateWards()
	c.sendReleases()
	c.sendHeartbeats()
	c.sendDigests()
	c.leaving.expire(c.now)
	c.expireHeld()
	c.stale = true
}

// Ready returns what is to be done and forgets it.
func (c *Core) Ready() Ready {
	r := Ready{Messages: c.messages, Events: c.events}
	c.messages = nil
	c.events = nil
	if c.stale {
		r.Snapshot = c.buildSnapshot()
		c.stale = false
	}
	return r
}

// Step takes in a message of a peer at the time now. Messages of undeclared
// instances are dropped.
func (c *Core) Step(now time.Time, msg Message) {
	from, declared := c.ix.byName[msg.From]
	if !declared || from == c.self {
		return
	}
	if now.After(c.now) && now.Sub(c.now) <= c.maxPause() {
		// Between ticks time moves on; after a pause the next tick must see it.
		c.now = now
	}
	if !c.heard(from, msg.Incarnation) {
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

// Settled reports whether all runs that were not known to have stopped cleanly
// at the start are by now accounted for.
func (c *Core) Settled() bool {
	longest := time.Duration(0)
	for _, timeout := range c.spread.longest {
		longest = max(longest, timeout)
	}
	return len(c.unclean) == 0 || c.now.After(c.start.Add(c.timing.Lease+longest))
}

// owns reports whether this instance may take part in ownership.
func (c *Core) owns() bool {
	return !c.retired && (c.state == Serving || c.state == Leaving)
}

// monotonic returns the time since the start of the core, raised where needed
// so that no two messages carry the same value.
func (c *Core) monotonic() int64 {
	c.lastSent = max(c.lastSent+1, int64(c.now.Sub(c.start)))
	return c.lastSent
}
