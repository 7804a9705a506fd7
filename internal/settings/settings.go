// Package settings reads and validates the static settings of an instance, the
// topology of the deployment, and the presets and credentials of its operators.
// All but the key secrets are YAML files.
package settings

import "time"

// Settings is the settings file of one entry instance.
type Settings struct {
	// Instance is the declared name of this instance in the topology, which
	// also gives its zone and addresses.
	Instance string `yaml:"instance" validate:"required"`
	// Topology is the path of the topology file, relative to this file.
	Topology string `yaml:"topology" validate:"required"`
	// Preset is the path of the preset that is in force until the instance
	// receives the dynamic configuration.
	Preset   string           `yaml:"preset" validate:"required"`
	Platform PlatformSettings `yaml:"platform"`
	// TLS names the files for mutual TLS between instances and for the operators'
	// API.
	TLS TLSSettings `yaml:"tls"`
	// KeySecret is the path of the file with the secrets that authenticate issued
	// idempotency keys. All instances must have the same secrets.
	KeySecret string `yaml:"key_secret" validate:"required"`
	// Operators is the path of the file with the operators' credentials.
	Operators string `yaml:"operators" validate:"required"`
	// AddressMap maps addresses declared in the topology to those that this
	// instance must connect to instead, for networks with address translation.
	AddressMap map[string]string `yaml:"address_map"`
	Control    ControlSettings   `yaml:"control"`
	Log        LogSettings       `yaml:"log"`
	Traffic    TrafficSettings   `yaml:"traffic"`
}

// PlatformSettings holds the address of the platform's object API and the timeout
// of each call.
type PlatformSettings struct {
	Address string        `yaml:"address" validate:"required,hostname_port"`
	Timeout time.Duration `yaml:"timeout" default:"2s" validate:"min=10000000"`
}

// TLSSettings holds paths of PEM files, relative to the settings file.
type TLSSettings struct {
	Authority   string `yaml:"authority" validate:"required"`
	Certificate string `yaml:"certificate" validate:"required"`
	Key         string `yaml:"key" validate:"required"`
}

// ControlSettings holds the timing of membership and pool ownership. All instances
// of a deployment must use the same values.
type ControlSettings struct {
	// Tick is the interval of the control loop.
	Tick time.Duration `yaml:"tick" default:"100ms" validate:"min=10000000"`
	// Heartbeat is the interval between heartbeats to each peer.
	Heartbeat time.Duration `yaml:"heartbeat" default:"300ms" validate:"min=10000000"`
	// Lease is how long ownership lasts after an acknowledged heartbeat, and the
	// time without heartbeats after which a peer is considered failed.
	Lease time.Duration `yaml:"lease" default:"1500ms" validate:"min=50000000"`
	// Digest is the interval at which digests are sent to other zones.
	Digest time.Duration `yaml:"digest" default:"500ms" validate:"min=10000000"`
	// MaxAge is how long callers may cache the list of entry instances.
	MaxAge time.Duration `yaml:"max_age" default:"5s" validate:"min=100000000"`
}

// LogSettings selects the level and format of the log.
type LogSettings struct {
	Level  string `yaml:"level" default:"info" validate:"oneof=debug info warn error"`
	Format string `yaml:"format" default:"text" validate:"oneof=text json logfmt"`
}

// TrafficSettings holds the limits on idempotency keys, and the interval of health
// probes.
type TrafficSettings struct {
	// KeyLifetime is how long an issued idempotency key is valid.
	KeyLifetime time.Duration `yaml:"key_lifetime" default:"10m" validate:"min=1000000000"`
	// MaxKeys is the maximum number of keys that one instance stores.
	MaxKeys int `yaml:"max_keys" default:"100000" validate:"min=1"`
	// MaxKeyBytes is the maximum total size of the stored outcomes of all keys, in
	// bytes.
	MaxKeyBytes int64 `yaml:"max_key_bytes" default:"268435456" validate:"min=1"`
	// ProbeInterval is the time between health probes of one upstream.
	ProbeInterval time.Duration `yaml:"probe_interval" default:"500ms" validate:"min=10000000"`
}
