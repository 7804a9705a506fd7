package control

import (
	"slices"
	"time"
)

const (
	// heldLifetime is how long an instance announces the keys it took over; it
	// exceeds the lifetime of the keys.
	heldLifetime = 30 * time.Minute
	// maxHeld bounds the runs whose keys one instance announces. The keys of
	// further ones are answered as unknown by other instances.
	maxHeld = 256
)

// held is a run whose idempotency keys this instance took over.
type held struct {
	run   Identity
	until time.Time
}

// Hold announces that this instance holds the idempotency keys of former runs,
// those it took over itself and those that were handed on with them.
func (c *Core) Hold(runs []Identity) {
	for _, run := range runs {
		known := slices.ContainsFunc(c.held, func(h held) bool { return h.run == run })
		if known || len(c.held) >= maxHeld {
			continue
		}
		c.held = append(c.held, held{run: run, until: c.now.Add(heldLifetime)})
	}
	c.spread.hurry()
	c.stale = true
}

func (c *Core) expireHeld() {
	c.held = slices.DeleteFunc(c.held, func(h held) bool { return !h.until.After(c.now) })
}

// holds lists the runs for the own digest row.
func (c *Core) holds() []Identity {
	var runs []Identity
	for _, h := range c.held {
		runs = append(runs, h.run)
	}
	return runs
}

// successorView maps runs to the instances that hold their keys, by the newest
// word of each. A holder that left has handed them on; one that cannot be
// reached at the moment still holds them.
func (c *Core) successorView() map[Identity]string {
	view := map[Identity]string{}
	for i := range c.members {
		runs, state := c.members[i].holds, c.members[i].state
		if i == c.self {
			runs, state = c.holds(), c.state
		}
		for _, run := range runs {
			if _, known := view[run]; !known || state != Left {
				view[run] = c.ix.instances[i].Name
			}
		}
	}
	return view
}
