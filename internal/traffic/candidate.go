package traffic

import "time"

// nearestFar is the nearest pool of another region, or nil.
func (t *trip) nearestFar() *route {
	for _, r := range t.service.routes {
		if r.tier == otherRegion && t.reachable(r) {
			return r
		}
	}
	return nil
}

// reachable reports whether the pool has an owner and takes work.
func (t *trip) reachable(r *route) bool {
	view := t.snap.Pools[r.pool]
	return view != nil && len(view.Owners) > 0 && !t.snap.DrainedZones[r.pool.Zone]
}

// empty reports whether another instance lately said that no upstream of the
// pool takes work. Asking it all the same would send it the body, which can't
// be sent again once it is longer than the replay buffer.
func (t *trip) empty(r *route) bool {
	for _, o := range t.snap.Pools[r.pool].Owners {
		if o.Instance == t.router.self || o.Slots > 0 || time.Since(o.At) > loadMaxAge {
			return false
		}
	}
	return true
}

// mayBeFree reports whether the pool may have a slot for this zone, by its last
// known load and refusals.
func (t *trip) mayBeFree(r *route) bool {
	now := time.Now()
	if now.UnixNano() < r.full.Load() {
		return false
	}
	view := t.snap.Pools[r.pool]
	if view == nil {
		return false
	}
	for _, o := range view.Owners {
		if now.Sub(o.At) > loadMaxAge {
			return true
		}
		if float64(o.Busy) < float64(o.Slots)*(1-t.snap.Preset.Headroom) || r.tier != otherRegion {
			return true
		}
	}
	return false
}
