package control

import (
	"slices"
	"time"

	"sycamoreledge.example/internal/settings"
)

// minConfigInterval is the shortest interval between two configuration
// messages, or two configuration requests, to the same peer.
const minConfigInterval = 500 * time.Millisecond

// AcceptConfig puts cfg into force and sends it to peers if its version is
// higher than that of the configuration in force. It reports whether it did.
// The version in force never decreases.
func (c *Core) AcceptConfig(cfg *settings.Config) bool {
	if !c.applyIfNewer(cfg) {
		return false
	}
	c.broadcastConfig()
	return true
}

func (c *Core) applyIfNewer(cfg *settings.Config) bool {
	if cfg.Version <= c.config.Version {
		if cfg.Version < c.config.Version {
			c.emit(Event{Kind: EventConfigIgnored, Version: cfg.Version})
		}
		return false
	}
	if _, defined := cfg.Presets[cfg.InForce]; !defined {
		c.emit(Event{Kind: EventConfigIgnored, Version: cfg.Version, Detail: "the configuration does not contain the preset that it puts in force"})
		return false
	}
	c.setConfig(cfg)
	c.gossip.makeDigestDue()
	c.snapshotStale = true
	c.emit(Event{Kind: EventConfigAccepted, Version: cfg.Version, Detail: cfg.InForce})
	return true
}

func (c *Core) setConfig(cfg *settings.Config) {
	preset := cfg.Presets[cfg.InForce]
	c.config = cfg
	c.preset = &preset
	c.servicePolicies = map[string]settings.ServicePolicy{}
	for _, policy := range preset.Services {
		c.servicePolicies[policy.Name] = policy
	}
	c.recordDispatchTimeouts(cfg)
}

// recordDispatchTimeouts keeps the longest dispatch timeout seen for each
// service, since requests dispatched under an earlier preset keep the timeout
// of that preset.
func (c *Core) recordDispatchTimeouts(cfg *settings.Config) {
	if c.gossip.maxDispatchTimeouts == nil {
		c.gossip.maxDispatchTimeouts = map[string]time.Duration{}
	}
	for _, preset := range cfg.Presets {
		for _, policy := range preset.Services {
			c.gossip.maxDispatchTimeouts[policy.Name] = max(c.gossip.maxDispatchTimeouts[policy.Name], policy.DispatchTimeout)
		}
	}
}

// broadcastConfig sends the configuration to the members of the local zone and,
// in a full mesh of zones, to one speaker of each other zone, without waiting
// for the next heartbeat or digest.
func (c *Core) broadcastConfig() {
	for n, i := range c.ix.zones[c.zone].instances {
		if i != c.self && c.broadcastsTo(n) {
			c.sendConfig(i)
		}
	}
	if len(c.ix.zones) > fullMeshZones {
		// The watchers of each zone read the configuration from the platform;
		// digests bring it to zones whose watchers did not.
		return
	}
	for _, z := range c.digestZones() {
		if i := c.digestTarget(z); i >= 0 {
			c.sendConfig(i)
		}
	}
}

// broadcastsTo reports whether this instance sends a new configuration to the
// n-th instance of its zone. In a large zone, the watchers, which all read the
// configuration from the platform, divide the members among themselves. If a
// watcher fails to send, its share is served after the configuration versions
// in heartbeats are compared.
func (c *Core) broadcastsTo(n int) bool {
	watchers := c.watchers()
	rank := slices.Index(watchers, c.self)
	return rank < 0 || len(c.ix.zones[c.zone].instances) <= unscaledZoneSize || n%len(watchers) == rank
}

// sendConfig sends the configuration without its audit records: only operators
// read those, and the platform stores them.
func (c *Core) sendConfig(to int) {
	m := &c.members[to]
	if c.config.Version == 0 || c.now.Sub(m.configSentAt) < minConfigInterval {
		return
	}
	m.configSentAt = c.now
	if msg := c.configMessage(); msg != nil {
		c.send(to, Message{Config: msg})
	}
}

// configMessage returns the message with the configuration in force. It is
// encoded once for each version. It returns nil if encoding fails.
func (c *Core) configMessage() *Config {
	if c.configMsg != nil && c.configMsg.Value.Version == c.config.Version {
		return c.configMsg
	}
	withoutAudit := *c.config
	withoutAudit.Audit = nil
	msg, err := newConfigMessage(&withoutAudit)
	if err != nil {
		c.emit(Event{Kind: EventConfigIgnored, Version: withoutAudit.Version, Detail: err.Error()})
		return nil
	}
	c.configMsg = msg
	return msg
}

// reconcileConfig sends the configuration to a peer that has an older version,
// and requests it from a peer that has a newer one.
func (c *Core) reconcileConfig(peer int, version int64) {
	m := &c.members[peer]
	switch {
	case version < c.config.Version:
		c.sendConfig(peer)
	case version > c.config.Version && c.now.Sub(m.configRequestedAt) >= minConfigInterval:
		m.configRequestedAt = c.now
		c.send(peer, Message{Config: &Config{}})
	}
}

func (c *Core) onConfig(from int, msg *Config) {
	if msg.Value == nil {
		c.sendConfig(from)
		return
	}
	c.applyIfNewer(msg.Value)
}
