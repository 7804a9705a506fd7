package control

import "slices"

// heartbeatLoads returns the loads of the pools, in the same order.
func (c *Core) heartbeatLoads(pools []int) []Load {
	loads := make([]Load, len(pools))
	for n, p := range pools {
		status := c.poolLoads[p]
		loads[n] = Load{Slots: status.Slots, Busy: status.Busy, Queued: status.Queued}
	}
	return loads
}

// recordLoads updates the loads in the row of a heartbeat peer from its
// heartbeat. It does not change which pools the row contains.
func (c *Core) recordLoads(m *member, h *Heartbeat) {
	if len(h.Loads) != len(h.Owned) || len(m.poolLoads) == 0 {
		return
	}
	pools := slices.Clone(m.poolLoads)
	for n := range pools {
		p, known := c.ix.byPool[pools[n].Pool]
		ownedIndex := slices.Index(h.Owned, p)
		if !known || ownedIndex < 0 {
			continue
		}
		load := h.Loads[ownedIndex]
		pools[n].Slots, pools[n].Busy, pools[n].Queued = load.Slots, load.Busy, load.Queued
	}
	m.poolLoads = pools
	m.rowUpdatedAt = c.now
}
