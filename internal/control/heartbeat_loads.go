package control

import "slices"

// loadsOf returns the loads of pools for a heartbeat.
func (c *Core) loadsOf(pools []int) []Load {
	loads := make([]Load, len(pools))
	for n, p := range pools {
		status := c.load[p]
		loads[n] = Load{Slots: status.Slots, Busy: status.Busy, Queued: status.Queued}
	}
	return loads
}

// noteLoads takes the loads of a contact's pools from its heartbeat. Which
// pools it dispatches to is said by its row.
func (c *Core) noteLoads(m *member, h *Heartbeat) {
	if len(h.Loads) != len(h.Owned) || len(m.pools) == 0 {
		return
	}
	pools := slices.Clone(m.pools)
	for n := range pools {
		p, known := c.ix.byPool[pools[n].Pool]
		at := slices.Index(h.Owned, p)
		if !known || at < 0 {
			continue
		}
		load := h.Loads[at]
		pools[n].Slots, pools[n].Busy, pools[n].Queued = load.Slots, load.Busy, load.Queued
	}
	m.pools = pools
	m.learnedAt = c.now
}
