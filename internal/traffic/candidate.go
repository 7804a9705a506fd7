package traffic

import "time"

// nearestRemoteRoute returns the route to the nearest available pool of another
// region, or nil.
func (t *traversal) nearestRemoteRoute() *route {
	for _, r := range t.service.routes {
		if r.tier == otherRegion && t.available(r) {
			return r
		}
	}
	return nil
}

// available reports whether the pool has an owner and its zone is not drained.
func (t *traversal) available(r *route) bool {
	view := t.snap.Pools[r.pool]
	return view != nil && len(view.Owners) > 0 && !t.snap.DrainedZones[r.pool.Zone]
}

// reportedWithoutSlots reports whether every owner of the pool is another instance
// that recently reported no slots, that is, no upstream that takes work. A request
// sent there would be refused after its body was transferred, and a body larger
// than the replay buffer can't be sent again.
func (t *traversal) reportedWithoutSlots(r *route) bool {
	for _, o := range t.snap.Pools[r.pool].Owners {
		if o.Instance == t.router.self || o.Slots > 0 || time.Since(o.LoadAt) > loadMaxAge {
			return false
		}
	}
	return true
}

// mayHaveFreeSlot reports whether the pool may have a slot for this zone,
// according to its last reported load and its recent refusals.
func (t *traversal) mayHaveFreeSlot(r *route) bool {
	now := time.Now()
	if now.UnixNano() < r.fullUntil.Load() {
		return false
	}
	view := t.snap.Pools[r.pool]
	if view == nil {
		return false
	}
	for _, o := range view.Owners {
		if now.Sub(o.LoadAt) > loadMaxAge {
			return true
		}
		if float64(o.Busy) < float64(o.Slots)*(1-t.snap.Preset.Headroom) || r.tier != otherRegion {
			return true
		}
	}
	return false
}
