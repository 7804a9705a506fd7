package settings

import "time"

// Preset is a named set of policies. Exactly one preset is in force at any time.
type Preset struct {
	Name string `yaml:"name" json:"name" cbor:"1,keyasint" validate:"required,max=64"`
	// Headroom is the fraction of a pool's slots that is reserved for requests
	// of the pool's own zone.
	Headroom float64 `yaml:"headroom" json:"headroom" cbor:"2,keyasint" validate:"gte=0,lt=1"`
	// DrainedZones are zones that get no new requests; their callers are directed
	// to other zones.
	DrainedZones []string        `yaml:"drained_zones" json:"drained_zones" cbor:"3,keyasint"`
	Services     []ServicePolicy `yaml:"services" json:"services" cbor:"4,keyasint" validate:"required,dive"`
	Links        []LinkPolicy    `yaml:"links" json:"links" cbor:"5,keyasint" validate:"dive"`
}

// ServicePolicy holds the settings of one service in a preset.
type ServicePolicy struct {
	Name string `yaml:"name" json:"name" cbor:"1,keyasint" validate:"required"`
	// Deadline is both the default and the longest deadline of a request.
	Deadline time.Duration `yaml:"deadline" json:"deadline" cbor:"2,keyasint" validate:"min=10000000"`
	// DispatchTimeout bounds one attempt at an upstream. A new owner of a pool
	// waits that long before it uses the slots of a failed former owner, whose
	// attempts may still be running.
	DispatchTimeout time.Duration `yaml:"dispatch_timeout" json:"dispatch_timeout" cbor:"3,keyasint" validate:"min=10000000"`
	// Queue is the maximum number of requests waiting for a slot of one pool.
	Queue int `yaml:"queue" json:"queue" cbor:"4,keyasint" validate:"min=0,max=100000"`
	// HedgeQuantile is the latency quantile after which an idempotent request is
	// hedged with a second attempt; 0 disables hedging.
	HedgeQuantile float64 `yaml:"hedge_quantile" json:"hedge_quantile" cbor:"5,keyasint" validate:"gte=0,lt=1"`
	// HedgeBudget and RetryBudget limit hedged attempts and retries to these
	// fractions of all dispatches.
	HedgeBudget float64 `yaml:"hedge_budget" json:"hedge_budget" cbor:"6,keyasint" validate:"gte=0,lte=1"`
	RetryBudget float64 `yaml:"retry_budget" json:"retry_budget" cbor:"7,keyasint" validate:"gte=0,lte=1"`
	// ShiftRate limits, in requests per second, what all instances of one region
	// together may send to another region; 0 disables shifts.
	ShiftRate float64 `yaml:"shift_rate" json:"shift_rate" cbor:"8,keyasint" validate:"gte=0"`
	// ShiftRamp is the time over which a new shift ramps up to ShiftRate.
	ShiftRamp time.Duration `yaml:"shift_ramp" json:"shift_ramp" cbor:"9,keyasint" validate:"gte=0"`
}

// LinkPolicy limits the traffic of the system on a link between two regions.
type LinkPolicy struct {
	Between []string `yaml:"between" json:"between" cbor:"1,keyasint" validate:"required,len=2"`
	// Cap is in Mbit/s (10^6 bits) for each direction.
	Cap float64 `yaml:"cap" json:"cap" cbor:"2,keyasint" validate:"gte=0"`
}

// DrainKind is the kind of object that a Drain applies to.
type DrainKind string

// Kinds of drains in the configuration.
const (
	DrainUpstream DrainKind = "upstream"
	DrainZone     DrainKind = "zone"
)

// Drain keeps new requests away from an upstream or a zone.
type Drain struct {
	Kind DrainKind `json:"kind" cbor:"1,keyasint"`
	Name string    `json:"name" cbor:"2,keyasint"`
}

// AuditRecord describes one accepted change of the configuration. It is written
// in the same conditional update as the change itself.
type AuditRecord struct {
	Sequence  int64     `json:"sequence" cbor:"1,keyasint"`
	Operation string    `json:"operation" cbor:"2,keyasint"` // operation id
	Operator  string    `json:"operator" cbor:"3,keyasint"`
	At        time.Time `json:"at" cbor:"4,keyasint"`
	Action    string    `json:"action" cbor:"5,keyasint"`
	Detail    string    `json:"detail" cbor:"6,keyasint"`
	// Target identifies what was changed; of two changes with the same target,
	// the later one overwrites the earlier one.
	Target string `json:"target" cbor:"7,keyasint"`
	// Base is the version of the configuration that the change was applied to.
	Base int64 `json:"base" cbor:"8,keyasint"`
}

// Config is the dynamic configuration: the presets, the name of the one in force,
// and the drains. Version is the version of the platform object that holds it; it
// is 0 in the configuration from files that an instance uses until it has received
// one.
type Config struct {
	Version int64             `json:"version" cbor:"1,keyasint"`
	InForce string            `json:"in_force" cbor:"2,keyasint"`
	Presets map[string]Preset `json:"presets" cbor:"3,keyasint"`
	Drains  []Drain           `json:"drains" cbor:"4,keyasint"`
	Audit   []AuditRecord     `json:"audit" cbor:"5,keyasint"`
}
