package presets

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"sycamoreledge.example/internal/platform"
	"sycamoreledge.example/internal/settings"
)

// Timeout and backoff of the retries of one change.
const (
	// DefaultTimeout limits the duration of one change including its retries.
	DefaultTimeout  = 5 * time.Second
	retryBackoffMin = 20 * time.Millisecond
	retryBackoffMax = 500 * time.Millisecond
)

// Store reads and changes the configuration. It is safe for concurrent use,
// including concurrently with Stores of other instances.
type Store struct {
	client  platform.Client
	topo    *settings.Topology
	initial *settings.Preset
	// Now returns the time for audit records. Timeout limits the duration of one
	// change including its retries.
	Now     func() time.Time
	Timeout time.Duration

	mu sync.Mutex
	// minVersion is the lowest version that a read may return. A lower one comes
	// from a stale copy.
	minVersion int64
}

// NewStore returns a store. While the platform holds no configuration, the
// initial preset is in force.
func NewStore(client platform.Client, topo *settings.Topology, initial *settings.Preset) *Store {
	return &Store{client: client, topo: topo, initial: initial, Now: time.Now, Timeout: DefaultTimeout}
}

// Initial returns the configuration of version 0, in which the given preset is
// the only one and is in force.
func Initial(preset *settings.Preset) *settings.Config {
	return &settings.Config{
		InForce: preset.Name,
		Presets: map[string]settings.Preset{preset.Name: *preset},
	}
}

// Observe records a version that the caller learned from another source. From
// then on, reads reject older versions as stale.
func (s *Store) Observe(version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.minVersion = max(s.minVersion, version)
}

func (s *Store) isStale(version int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return version < s.minVersion
}

// Current reads the configuration from the platform. It never returns a version
// older than one that this store has observed. The error is Unreachable or
// Corrupt.
func (s *Store) Current(ctx context.Context) (*settings.Config, error) {
	cfg, err := s.read(ctx)
	if err != nil && !Corrupt.Has(err) {
		return nil, Unreachable.Wrap(err)
	}
	return cfg, err
}

func (s *Store) read(ctx context.Context) (*settings.Config, error) {
	cfg, err := Fetch(ctx, s.client)
	if platform.NotFound.Has(err) {
		cfg, err = Initial(s.initial), nil
	}
	if err != nil {
		return nil, err
	}
	if s.isStale(cfg.Version) {
		return nil, Unreachable.New("the platform returned version %d from a stale copy; a newer version is known", cfg.Version)
	}
	s.Observe(cfg.Version)
	return cfg, nil
}

// Fetch reads the configuration from the platform. The error is one of the
// platform client, or Corrupt.
func Fetch(ctx context.Context, client platform.Client) (*settings.Config, error) {
	obj, err := client.Get(ctx, ConfigKey)
	if err != nil {
		return nil, err
	}
	return decodeConfig(obj)
}

func decodeConfig(obj platform.Object) (*settings.Config, error) {
	cfg := new(settings.Config)
	if err := json.Unmarshal(obj.Value, cfg); err != nil {
		return nil, Corrupt.New("configuration object %s cannot be decoded as JSON: %w", obj.Key, err)
	}
	if _, ok := cfg.Presets[cfg.InForce]; !ok {
		return nil, Corrupt.New("configuration object %s does not contain the preset that is in force", obj.Key)
	}
	cfg.Version = obj.Version
	return cfg, nil
}

// Apply creates or replaces a preset. The new contents take effect immediately
// if the preset is in force.
func (s *Store) Apply(ctx context.Context, req Request, preset settings.Preset) (Result, error) {
	c, err := applyChange(s.topo, preset)
	if err != nil {
		return Result{}, err
	}
	return s.update(ctx, req, c)
}

// Remove deletes a preset that is not in force.
func (s *Store) Remove(ctx context.Context, req Request, name string) (Result, error) {
	return s.update(ctx, req, removeChange(name))
}

// Use puts a preset in force.
func (s *Store) Use(ctx context.Context, req Request, name string) (Result, error) {
	return s.update(ctx, req, useChange(s.topo, name))
}

// AddDrain drains an upstream or a zone, so that it receives no new work.
func (s *Store) AddDrain(ctx context.Context, req Request, d settings.Drain) (Result, error) {
	return s.update(ctx, req, drainChange(s.topo, d))
}

// RemoveDrain ends a drain.
func (s *Store) RemoveDrain(ctx context.Context, req Request, d settings.Drain) (Result, error) {
	return s.update(ctx, req, undrainChange(s.topo, d))
}

// update writes a change and its audit record with one conditional update of the
// configuration. It retries until the outcome is known or Timeout has passed.
//
// With IfVersion, the change applies to exactly that version. Without it, the
// version found by the first read of this call counts as the one that the
// operator has seen. If other changes come in between, the change is rebased
// onto the newer version, provided that it is still valid there and that none of
// them has the same target (the same preset, the choice of the preset in force,
// or the drain of the same zone or upstream). If one of them has the same
// target, the error is Conflict; if the change is no longer valid, it is Refused.
func (s *Store) update(ctx context.Context, req Request, c change) (Result, error) {
	if err := req.check(); err != nil {
		return Result{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	a := &attempt{store: s, req: req, change: c, baseVersion: baseUnset}
	backoff := platform.Backoff{Min: retryBackoffMin, Max: retryBackoffMax}
	for {
		err := a.try(ctx)
		if err == nil || !a.retryable(err) {
			return a.result, err
		}
		if backoff.Wait(ctx) != nil {
			return Result{}, a.abortError(err)
		}
	}
}
