package control

import "time"

const (
	// successorLifetime is how long it is remembered who holds the keys of an
	// instance that left; it exceeds the lifetime of the keys.
	successorLifetime = 30 * time.Minute
	// maxSuccessors bounds the table.
	maxSuccessors = 4096
)

// successors maps processes that left to the instances that hold their keys.
type successors map[Identity]succession

type succession struct {
	instance string
	until    time.Time
}

// noteSuccessor remembers the successor that a leaving instance names. A full
// table drops new entries: their keys are then answered as unknown.
func (c *Core) noteSuccessor(i int, row *DigestRow) {
	if row.Successor == "" {
		return
	}
	c.addSuccessor(Identity{Instance: c.ix.instances[i].Name, Incarnation: row.Incarnation}, row.Successor)
}

func (c *Core) addSuccessor(of Identity, instance string) {
	if c.succeed == nil {
		c.succeed = successors{}
	}
	if _, known := c.succeed[of]; !known && len(c.succeed) >= maxSuccessors {
		return
	}
	c.succeed[of] = succession{instance: instance, until: c.now.Add(successorLifetime)}
}

func (c *Core) expireSuccessors() {
	for of, s := range c.succeed {
		if !s.until.After(c.now) {
			delete(c.succeed, of)
		}
	}
}
