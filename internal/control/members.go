package control

import (
	"slices"
	"time"

	"sycamoreledge.example/internal/work"
)

// member is the state kept for a declared instance.
type member struct {
	incarnation   uint64
	state         InstanceState
	configVersion int64
	inheritedRuns []Identity

	// heardAt is when a message last arrived directly from the instance, or when
	// failure detection of it last started. A heartbeat peer that stays silent
	// for one lease after it has failed.
	heardAt time.Time
	heard   bool // a message arrived in this incarnation
	failed  bool

	// heartbeatSentAt is the newest SentAt of its heartbeats, which is echoed to
	// it.
	heartbeatSentAt int64
	// ackedAt is the local send time of the newest heartbeat that it echoed.
	ackedAt time.Time
	// grantedAt is, by pool, the local send time of the newest heartbeat that it
	// answered with a grant.
	grantedAt map[int]time.Time
	// owned are the pools that it dispatches to, according to its newest
	// heartbeat or release.
	owned []int
	// claimed are the pools that it has claimed but does not own yet.
	claimed []int
	// releaseSentAt is the SentAt of its newest release.
	releaseSentAt int64

	// The newest digest row about the instance.
	sequence       uint64
	poolLoads      []PoolStatus
	rowUpdatedAt   time.Time
	reportedFailed bool
	// rowSource is the instance that sent the row. fleetMarkedAt is when the row
	// was last marked for dissemination to the whole fleet.
	rowSource     int
	fleetMarkedAt time.Time
	// changeClock and loadClock are values of gossip.rowClock: at the last change
	// to be sent to the whole fleet, and at the last change of any kind.
	changeClock uint64
	loadClock   uint64

	configSentAt      time.Time
	configRequestedAt time.Time

	// firstSeenAt is when this incarnation became known.
	firstSeenAt time.Time
	// heartbeatPeer is set if the instance and this one exchange heartbeats.
	heartbeatPeer bool
}

func newMembers(ix *index, start time.Time) []member {
	members := make([]member, len(ix.instances))
	for i := range members {
		members[i].heardAt = start
	}
	return members
}

// acceptSender records the arrival of a direct message and reports whether the
// message is to be handled. It is not if its sender has left or was replaced by
// a newer process.
func (c *Core) acceptSender(from int, incarnation uint64) bool {
	m := &c.members[from]
	if incarnation < m.incarnation {
		return false
	}
	if incarnation > m.incarnation {
		c.resetForNewProcess(from, incarnation)
	}
	if m.state == Left {
		return false
	}
	if !m.heard {
		c.unblockLiveRun(from, incarnation)
	}
	if !m.heard || m.failed {
		c.emit(Event{Kind: EventMemberUp, Instance: c.ix.instances[from].Name})
		c.gossip.markChanged(m)
	}
	m.heard = true
	m.failed = false
	m.heardAt = c.now
	return true
}

// resetForNewProcess resets the state of an instance that runs as a new process.
// The pools of the former process stay blocked until its dispatches have ended.
func (c *Core) resetForNewProcess(i int, incarnation uint64) {
	m := &c.members[i]
	if m.heard && m.state != Left {
		c.blockPoolsOf(i, m.heardAt)
	}
	c.gossip.sentClock[i] = 0 // The new process has received no rows yet.
	*m = member{
		incarnation:   incarnation,
		state:         Joining,
		heardAt:       c.now,
		rowUpdatedAt:  m.rowUpdatedAt,
		changeClock:   m.changeClock,
		loadClock:     m.loadClock,
		heartbeatPeer: m.heartbeatPeer,
		firstSeenAt:   c.now,
	}
}

// detectFailures marks heartbeat peers as failed that have been silent for a
// lease.
func (c *Core) detectFailures() {
	for i := range c.members {
		m := &c.members[i]
		if m.failed || m.state == Left || !m.heartbeatPeer {
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
		c.gossip.markUrgent(m)
	}
}

// resetFailureDetection starts failure detection anew for all members, including
// those that had failed: this process received nothing while it did not run, and
// they may have taken pools in the meantime.
func (c *Core) resetFailureDetection() {
	for i := range c.members {
		c.members[i].heardAt = c.now
		c.members[i].failed = false
	}
}

// alive reports whether an instance is considered live: a heartbeat peer by the
// messages that arrived from it, any other instance by its digest row.
func (c *Core) alive(i int) bool {
	if i == c.self {
		return c.state != Left
	}
	m := &c.members[i]
	switch {
	case m.state == Left || m.incarnation == 0:
		return false
	case m.heartbeatPeer:
		return m.heard && !m.failed
	default:
		return c.aliveByRow(i)
	}
}

// aliveByRow reports whether an instance that is not a heartbeat peer is
// considered live, by the age of its row and by whether its zone is silent.
func (c *Core) aliveByRow(i int) bool {
	return c.rowIsFresh(i) && !c.zoneSilent(c.ix.instances[i].zone)
}

// rowIsFresh reports whether the row of an instance, by its content and age,
// shows the instance as live.
func (c *Core) rowIsFresh(i int) bool {
	m := &c.members[i]
	return m.state != Left && m.incarnation > 0 &&
		!m.reportedFailed && c.now.Sub(m.rowUpdatedAt) <= c.gossip.rowTimeout
}

// isServing reports whether the instance is live and in state Serving, which
// makes it a candidate for owning pools.
func (c *Core) isServing(i int) bool {
	if i == c.self {
		return c.state == Serving
	}
	return c.alive(i) && c.members[i].state == Serving
}

// servingZoneMembers returns the instances of the local zone, this one included,
// that are candidates for owning pools.
func (c *Core) servingZoneMembers() []int {
	var serving []int
	for _, i := range c.ix.zones[c.zone].instances {
		if c.isServing(i) {
			serving = append(serving, i)
		}
	}
	return serving
}

func (c *Core) onHeartbeat(from int, h *Heartbeat) {
	m := &c.members[from]
	if h.SentAt <= m.heartbeatSentAt {
		return // Datagrams may arrive out of order.
	}
	m.heartbeatSentAt = h.SentAt
	if m.state != h.State {
		m.state = h.State
		c.emit(Event{Kind: EventMemberState, Instance: c.ix.instances[from].Name, State: h.State})
		c.gossip.markChanged(m)
	}
	m.claimed = slices.Clone(h.Claimed)
	if h.SentAt > m.releaseSentAt {
		c.recordOwned(from, h.Owned)
	}
	c.recordLoads(m, h)
	if h.EchoIncarnation == c.identity.Incarnation {
		c.recordEcho(m, h)
	}
	m.configVersion = h.ConfigVersion
	c.reconcileConfig(from, h.ConfigVersion)
}

// recordEcho records the send time of the newest heartbeat of this instance that
// the peer has received, and the grants given in reply to it. Leases count from
// the send time, so that network delay can only shorten them.
func (c *Core) recordEcho(m *member, h *Heartbeat) {
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

// recordOwned records the pools that a peer dispatches to. A pool that it no
// longer lists, and has not released, is blocked for the dispatch timeout, since
// requests of the peer may still be in flight.
func (c *Core) recordOwned(from int, owned []int) {
	m := &c.members[from]
	for _, p := range m.owned {
		if !slices.Contains(owned, p) && p < len(c.pools) {
			c.pools[p].block(from, c.now.Add(c.dispatchTimeout(p)))
		}
	}
	m.owned = slices.Clone(owned)
}

// sendHeartbeats sends heartbeats to all peers once per heartbeat interval.
func (c *Core) sendHeartbeats() {
	if c.now.Before(c.gossip.nextHeartbeat) {
		return
	}
	c.sendHeartbeatsNow()
}

func (c *Core) sendHeartbeatsNow() {
	c.gossip.nextHeartbeat = c.now.Add(c.timing.Heartbeat)
	sentAt := c.nextSentAt()
	owned, claimed := c.ownedIndexes(), c.claimedIndexes()
	loads := c.heartbeatLoads(owned)
	for i := range c.members {
		if !c.sendsHeartbeatTo(i) {
			continue
		}
		m := &c.members[i]
		c.send(i, Message{Heartbeat: &Heartbeat{
			SentAt:          sentAt,
			Echo:            m.heartbeatSentAt,
			EchoIncarnation: m.incarnation,
			State:           c.state,
			ConfigVersion:   c.config.Version,
			Grants:          c.grantsFor(i),
			Owned:           owned,
			Loads:           loads,
			Claimed:         claimed,
		}})
	}
}

func (c *Core) zoneName(i int) string { return c.ix.zones[c.ix.instances[i].zone].name }

func (c *Core) dispatchTimeout(pool int) time.Duration {
	return c.dispatchTimeoutOf(c.ix.pools[pool].id)
}

func (c *Core) dispatchTimeoutOf(id work.PoolID) time.Duration {
	return c.gossip.maxDispatchTimeouts[id.Service]
}
