package control

import (
	"slices"
	"time"

	"sycamoreledge.example/internal/settings"
)

// configPause is the shortest time between two configurations, or requests for
// one, to the same peer.
const configPause = 500 * time.Millisecond

// AcceptConfig puts a configuration into force if it is newer than the one
// that is, and reports whether it did. Versions never go back.
func (c *Core) AcceptConfig(cfg *settings.Config) bool {
	if !c.acceptConfig(cfg) {
		return false
	}
	c.pushConfig()
	return true
}

func (c *Core) acceptConfig(cfg *settings.Config) bool {
	if cfg.Version <= c.config.Version {
		if cfg.Version < c.config.Version {
			c.emit(Event{Kind: EventConfigIgnored, Version: cfg.Version})
		}
		return false
	}
	if _, known := cfg.Presets[cfg.InForce]; !known {
		c.emit(Event{Kind: EventConfigIgnored, Version: cfg.Version, Detail: "the preset in force is missing"})
		return false
	}
	c.useConfig(cfg)
	c.spread.hurry()
	c.stale = true
	c.emit(Event{Kind: EventConfigAccepted, Version: cfg.Version, Detail: cfg.InForce})
	return true
}

func (c *Core) useConfig(cfg *settings.Config) {
	preset := cfg.Presets[cfg.InForce]
	c.config = cfg
	c.preset = &preset
	c.policy = map[string]settings.ServicePolicy{}
	for _, policy := range preset.Services {
		c.policy[policy.Name] = policy
	}
	c.rememberTimeouts(cfg)
}

// rememberTimeouts keeps the longest dispatch timeout of each service, since
// requests dispatched under an earlier preset keep their bound.
func (c *Core) rememberTimeouts(cfg *settings.Config) {
	if c.spread.longest == nil {
		c.spread.longest = map[string]time.Duration{}
	}
	for _, preset := range cfg.Presets {
		for _, policy := range preset.Services {
			c.spread.longest[policy.Name] = max(c.spread.longest[policy.Name], policy.DispatchTimeout)
		}
	}
}

// pushConfig sends the configuration to the members of the zone and to one
// speaker of each other zone, without waiting for their next heartbeat.
func (c *Core) pushConfig() {
	for n, i := range c.ix.zones[c.zone].instances {
		if i != c.self && c.pushesTo(n) {
			c.sendConfig(i)
		}
	}
	if len(c.ix.zones) > fullMeshZones {
		return // Each zone watches the platform; digests reach the rest.
	}
	for _, z := range c.digestZones() {
		if i := c.digestTarget(z); i >= 0 {
			c.sendConfig(i)
		}
	}
}

// pushesTo reports whether this instance sends a new configuration to the n-th
// instance of its zone. The watchers of a large zone, which all learn it from
// the platform, each send to their part; where one of them does not, the
// versions in heartbeats show it.
func (c *Core) pushesTo(n int) bool {
	watchers := c.watchers()
	rank := slices.Index(watchers, c.self)
	return rank < 0 || len(c.ix.zones[c.zone].instances) <= zoneAsSet || n%len(watchers) == rank
}

// sendConfig sends the configuration without its audit records, which only
// operators read and the platform keeps.
func (c *Core) sendConfig(to int) {
	m := &c.members[to]
	if c.config.Version == 0 || c.now.Sub(m.configSentAt) < configPause {
		return
	}
	m.configSentAt = c.now
	if msg := c.configMessage(); msg != nil {
		c.send(to, Message{Config: msg})
	}
}

// configMessage returns the message with the present configuration, which is
// made once for each version.
func (c *Core) configMessage() *Config {
	if c.sendable != nil && c.sendable.Value.Version == c.config.Version {
		return c.sendable
	}
	bare := *c.config
	bare.Audit = nil
	msg, err := newConfig(&bare)
	if err != nil {
		c.emit(Event{Kind: EventConfigIgnored, Version: bare.Version, Detail: err.Error()})
		return nil
	}
	c.sendable = msg
	return msg
}

// compareConfig sends or asks for the configuration when a peer's version
// differs from the own one.
func (c *Core) compareConfig(peer int, version int64) {
	m := &c.members[peer]
	switch {
	case version < c.config.Version:
		c.sendConfig(peer)
	case version > c.config.Version && c.now.Sub(m.configAskedAt) >= configPause:
		m.configAskedAt = c.now
		c.send(peer, Message{Config: &Config{}})
	}
}

func (c *Core) onConfig(from int, msg *Config) {
	if msg.Value == nil {
		c.sendConfig(from)
		return
	}
	c.acceptConfig(msg.Value)
}
