package control

import (
	"slices"
	"time"

	"sycamoreledge.example/internal/work"
)

// member is what is known of a declared instance.
type member struct {
	incarnation   uint64
	state         InstanceState
	configVersion int64
	holds         []Identity

	// heardAt is when a message last arrived directly. For contacts, silence
	// of one lease after it means failure.
	heardAt time.Time
	heard   bool // in this incarnation
	failed  bool

	// sentAt is the newest SentAt of its heartbeats, echoed to it.
	sentAt int64
	// ackedAt is the local time of our newest heartbeat that it echoed.
	ackedAt time.Time
	// grantedAt is, by pool, the local time of our newest heartbeat that it
	// answered with a grant.
	grantedAt map[int]time.Time
	// owned are the pools it dispatches to, by its newest heartbeat.
	owned []int
	// claimed are the pools it is about to own.
	claimed []int
	// releasedAt is the SentAt of its newest release.
	releasedAt int64

	// The row of its digest.
	sequence  uint64
	pools     []PoolStatus
	learnedAt time.Time
	rowFailed bool
	// learnedFrom is the instance that sent the row, passedAt when it was last
	// marked for the whole fleet.
	learnedFrom int
	passedAt    time.Time
	// changedAt and loadedAt are clocks of the spread: of the last change that
	// concerns the whole fleet, and of the last one of any kind.
	changedAt uint64
	loadedAt  uint64

	configSentAt  time.Time
	configAskedAt time.Time

	// joinedAt is when the present incarnation was first known.
	joinedAt time.Time
	// contact is set where heartbeats flow between the instance and this one.
	contact bool
}

func newMembers(ix *index, start time.Time) []member {
	members := make([]member, len(ix.instances))
	for i := range members {
		members[i].heardAt = start
	}
	return members
}

// heard notes a direct message. It reports false for a message of a process
// that a newer one has replaced.
func (c *Core) heard(from int, incarnation uint64) bool {
	m := &c.members[from]
	if incarnation < m.incarnation {
		return false
	}
	if incarnation > m.incarnation {
		c.replaceMember(from, incarnation)
	}
	if m.state == Left {
		return false
	}
	if !m.heard {
		c.clearUnclean(from, incarnation)
	}
	if !m.heard || m.failed {
		c.emit(Event{Kind: EventMemberUp, Instance: c.ix.instances[from].Name})
		c.spread.touch(m)
	}
	m.heard = true
	m.failed = false
	m.heardAt = c.now
	return true
}

// replaceMember resets the row of an instance whose process is a new one. The
// pools of the former process stay blocked until its dispatches have ended.
func (c *Core) replaceMember(i int, incarnation uint64) {
	m := &c.members[i]
	if m.heard && m.state != Left {
		c.blockPoolsOf(i, m.heardAt)
	}
	c.spread.sentTo[i] = 0 // It knows nothing yet.
	*m = member{
		incarnation: incarnation,
		state:       Joining,
		heardAt:     c.now,
		learnedAt:   m.learnedAt,
		changedAt:   m.changedAt,
		loadedAt:    m.loadedAt,
		contact:     m.contact,
		joinedAt:    c.now,
	}
}

// detectFailures marks contacts that have been silent for a lease.
func (c *Core) detectFailures() {
	for i := range c.members {
		m := &c.members[i]
		if m.failed || m.state == Left || !m.contact {
			continue
		}
		if c.now.Sub(m.heardAt) <= c.timing.Lease {
			continue
		}
		m.failed = true
		if m.heard {
			c.emit(Event{
				Kind:     EventMemberFailed,
				Instance: c.ix.instances[i].Name,
				Zone:     c.zoneName(i),
				Duration: c.timing.Lease,
			})
		}
		if c.ix.instances[i].zone == c.zone && m.heard {
			c.blockPoolsOf(i, m.heardAt)
		}
		c.spread.touchUrgent(m)
	}
}

// forgiveSilence restarts the silence of all members, also of those that had
// failed: while this process did not run it could not hear them, and they may
// have taken pools meanwhile.
func (c *Core) forgiveSilence() {
	for i := range c.members {
		c.members[i].heardAt = c.now
		c.members[i].failed = false
	}
}

// alive reports whether the instance can be expected to answer.
func (c *Core) alive(i int) bool {
	if i == c.self {
		return c.state != Left
	}
	m := &c.members[i]
	switch {
	case m.state == Left || m.incarnation == 0:
		return false
	case m.contact:
		return m.heard && !m.failed
	default:
		return c.rowAlive(i)
	}
}

// rowAlive reports whether an instance that this one does not hear is alive,
// by its row and by what is heard of its zone.
func (c *Core) rowAlive(i int) bool {
	return c.rowFresh(i) && !c.zoneSilent(c.ix.instances[i].zone)
}

// rowFresh reports whether the row of an instance alone says that it is alive.
func (c *Core) rowFresh(i int) bool {
	m := &c.members[i]
	return m.state != Left && m.incarnation > 0 &&
		!m.rowFailed && c.now.Sub(m.learnedAt) <= c.spread.timeout
}

// serving reports whether the instance may own pools.
func (c *Core) serving(i int) bool {
	if i == c.self {
		return c.state == Serving
	}
	return c.alive(i) && c.members[i].state == Serving
}

// servingMates returns the instances of the own zone that may own pools.
func (c *Core) servingMates() []int {
	var mates []int
	for _, i := range c.ix.zones[c.zone].instances {
		if c.serving(i) {
			mates = append(mates, i)
		}
	}
	return mates
}

func (c *Core) onHeartbeat(from int, h *Heartbeat) {
	m := &c.members[from]
	if h.SentAt <= m.sentAt {
		return // Datagrams may arrive out of order.
	}
	m.sentAt = h.SentAt
	if m.state != h.State {
		m.state = h.State
		c.emit(Event{Kind: EventMemberState, Instance: c.ix.instances[from].Name, State: h.State})
		c.spread.touch(m)
	}
	m.claimed = slices.Clone(h.Claimed)
	if h.SentAt > m.releasedAt {
		c.setOwned(from, h.Owned)
	}
	c.noteLoads(m, h)
	if h.EchoOf == c.identity.Incarnation {
		c.noteEcho(m, h)
	}
	m.configVersion = h.ConfigVersion
	c.compareConfig(from, h.ConfigVersion)
}

// noteEcho records how recent our heartbeat is that the peer has seen. The
// time of sending bounds its rights, so that delay only shortens them.
func (c *Core) noteEcho(m *member, h *Heartbeat) {
	at := c.start.Add(time.Duration(h.Echo))
	if at.After(m.ackedAt) {
		m.ackedAt = at
	}
	if m.grantedAt == nil {
		m.grantedAt = map[int]time.Time{}
	}
	for _, p := range h.Grants {
		m.grantedAt[p] = later(m.grantedAt[p], at)
	}
}

// setOwned records the pools a peer dispatches to. A pool that it no longer
// lists without a release may still have requests in flight.
func (c *Core) setOwned(from int, owned []int) {
	m := &c.members[from]
	for _, p := range m.owned {
		if !slices.Contains(owned, p) && p < len(c.pools) {
			c.pools[p].block(from, c.now.Add(c.dispatchTimeout(p)))
		}
	}
	m.owned = slices.Clone(owned)
}

// sendHeartbeats sends to the contacts that are due, all at the same time.
func (c *Core) sendHeartbeats() {
	if c.now.Before(c.spread.nextHeartbeat) {
		return
	}
	c.sendHeartbeatsNow()
}

func (c *Core) sendHeartbeatsNow() {
	c.spread.nextHeartbeat = c.now.Add(c.timing.Heartbeat)
	sentAt := c.monotonic()
	owned, claimed := c.ownedIndexes(), c.claimedIndexes()
	loads := c.loadsOf(owned)
	for i := range c.members {
		if !c.wantsHeartbeat(i) {
			continue
		}
		m := &c.members[i]
		c.send(i, Message{Heartbeat: &Heartbeat{
			SentAt:        sentAt,
			Echo:          m.sentAt,
			EchoOf:        m.incarnation,
			State:         c.state,
			ConfigVersion: c.config.Version,
			Grants:        c.grantsTo(i),
			Owned:         owned,
			Loads:         loads,
			Claimed:       claimed,
		}})
	}
}

func (c *Core) zoneName(i int) string { return c.ix.zones[c.ix.instances[i].zone].name }

func (c *Core) dispatchTimeout(pool int) time.Duration {
	return c.dispatchTimeoutOf(c.ix.pools[pool].id)
}

func (c *Core) dispatchTimeoutOf(id work.PoolID) time.Duration {
	return c.spread.longest[id.Service]
}
