package control

import (
	"slices"
	"time"
)

const (
	// inheritedRunTTL is how long an instance announces the runs whose keys it took
	// over. It exceeds the lifetime of the keys.
	inheritedRunTTL = 30 * time.Minute
	// maxInheritedRuns limits the runs that one instance announces. Other instances
	// treat the keys of further runs as unknown.
	maxInheritedRuns = 256
)

// inheritedRun is a former run whose idempotency keys this instance took over.
type inheritedRun struct {
	run       Identity
	expiresAt time.Time
}

// AnnounceInheritedRuns announces to the fleet that this instance holds the idempotency keys of
// former runs: of those that handed their keys over to it, and of those whose
// keys these had taken over before. More than maxInheritedRuns are ignored.
func (c *Core) AnnounceInheritedRuns(runs []Identity) {
	for _, run := range runs {
		known := slices.ContainsFunc(c.inherited, func(inherited inheritedRun) bool { return inherited.run == run })
		if known || len(c.inherited) >= maxInheritedRuns {
			continue
		}
		c.inherited = append(c.inherited, inheritedRun{run: run, expiresAt: c.now.Add(inheritedRunTTL)})
	}
	c.gossip.makeDigestDue()
	c.snapshotStale = true
}

func (c *Core) expireInheritedRuns() {
	c.inherited = slices.DeleteFunc(c.inherited, func(inherited inheritedRun) bool { return !inherited.expiresAt.After(c.now) })
}

// inheritedRuns returns the runs to announce in the local digest row.
func (c *Core) inheritedRuns() []Identity {
	var runs []Identity
	for _, inherited := range c.inherited {
		runs = append(runs, inherited.run)
	}
	return runs
}

// successors maps former runs to the instances that hold their keys, according to
// the newest row of each instance. An instance that has left has handed its keys
// over to another; one that is unreachable still holds them.
func (c *Core) successors() map[Identity]string {
	successors := map[Identity]string{}
	for i := range c.members {
		runs, state := c.members[i].inheritedRuns, c.members[i].state
		if i == c.self {
			runs, state = c.inheritedRuns(), c.state
		}
		for _, run := range runs {
			if _, known := successors[run]; !known || state != Left {
				successors[run] = c.ix.instances[i].Name
			}
		}
	}
	return successors
}
