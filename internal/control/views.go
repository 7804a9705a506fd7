package control

import (
	"time"

	"sycamoreledge.example/internal/work"
)

// freshViews is the number of instances up to which the views of instances and
// pools are built with each snapshot. Above it those of an undisturbed fleet
// are built once in a digest interval, which is as often as other zones tell
// their load.
const freshViews = 100

// views are the parts of a snapshot whose size grows with the fleet. Snapshots
// share them until they are built again.
type views struct {
	at time.Time
	// changes is the count of the spread for which they were built.
	changes uint64
	entries []EntryView
	pools   map[work.PoolID]*PoolView
}

// currentViews returns the views, built again when a state, a failure or an
// owner changed, or when they are old.
func (c *Core) currentViews() *views {
	if c.views.entries != nil && !c.viewsOld() {
		return &c.views
	}
	c.views = views{
		at:      c.now,
		changes: c.spread.changes,
		entries: c.entryViews(),
		pools:   c.poolViews(),
	}
	return &c.views
}

func (c *Core) viewsOld() bool {
	return len(c.members) <= freshViews ||
		c.spread.changes != c.views.changes ||
		c.now.Sub(c.views.at) >= c.timing.Digest
}
