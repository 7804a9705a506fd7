package presets

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"sycamoreledge.example/internal/platform"
	"sycamoreledge.example/internal/settings"
)

// Timing of the retries of one change.
const (
	// DefaultTimeout bounds one change with all its retries.
	DefaultTimeout = 5 * time.Second
	retryMin       = 20 * time.Millisecond
	retryMax       = 500 * time.Millisecond
)

// Store changes and reads the configuration. It is safe for concurrent use, as
// are any number of Stores on other instances.
type Store struct {
	client  platform.Client
	topo    *settings.Topology
	initial *settings.Preset
	// Now gives the time of audit records; Timeout bounds one change.
	Now     func() time.Time
	Timeout time.Duration

	mu sync.Mutex
	// floor is the lowest version that a read may return; an older one comes
	// from a stale copy.
	floor int64
}

// NewStore returns a store. The initial preset is in force while the platform
// holds no configuration.
func NewStore(client platform.Client, topo *settings.Topology, initial *settings.Preset) *Store {
	return &Store{client: client, topo: topo, initial: initial, Now: time.Now, Timeout: DefaultTimeout}
}

// Initial returns the configuration of version 0: one preset, in force.
func Initial(preset *settings.Preset) *settings.Config {
	return &settings.Config{
		InForce: preset.Name,
		Presets: map[string]settings.Preset{preset.Name: *preset},
	}
}

// Observe tells the store of a version that the caller knows from elsewhere.
// Reads return no older one from then on.
func (s *Store) Observe(version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.floor = max(s.floor, version)
}

func (s *Store) isStale(version int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return version < s.floor
}

// Current returns the configuration on the platform, never one that is older
// than what this store has seen. The error is Unreachable or Corrupt.
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
		return nil, Unreachable.New("the platform answers with version %d from a stale copy", cfg.Version)
	}
	s.Observe(cfg.Version)
	return cfg, nil
}

// Fetch reads the configuration from the platform.
func Fetch(ctx context.Context, client platform.Client) (*settings.Config, error) {
	obj, err := client.Get(ctx, ConfigKey)
	if err != nil {
		return nil, err
	}
	return decode(obj)
}

func decode(obj platform.Object) (*settings.Config, error) {
	cfg := new(settings.Config)
	if err := json.Unmarshal(obj.Value, cfg); err != nil {
		return nil, Corrupt.New("%s: %w", obj.Key, err)
	}
	if _, ok := cfg.Presets[cfg.InForce]; !ok {
		return nil, Corrupt.New("%s: the preset in force is missing", obj.Key)
	}
	cfg.Version = obj.Version
	return cfg, nil
}

// Apply creates or replaces a preset. It takes effect at once when the preset
// is in force.
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

// AddDrain keeps new work away from an upstream or a zone.
func (s *Store) AddDrain(ctx context.Context, req Request, d settings.Drain) (Result, error) {
	return s.update(ctx, req, drainChange(s.topo, d))
}

// RemoveDrain ends a drain.
func (s *Store) RemoveDrain(ctx context.Context, req Request, d settings.Drain) (Result, error) {
	return s.update(ctx, req, undrainChange(s.topo, d))
}

// update makes one change and its audit record by one conditional update of
// the configuration, and retries until the outcome is known or the time is up.
//
// With IfVersion, the change is made to exactly that version. Without it, the
// version found by the first read of this call counts as the one that the
// operator has seen: when other changes come in between, the change is made to
// the newer version if it is still valid there and none of them has the same
// target (the same preset, the choice of the preset in force, or the drain of
// the same zone or upstream). Otherwise the error is Conflict.
func (s *Store) update(ctx context.Context, req Request, c change) (Result, error) {
	if err := req.check(); err != nil {
		return Result{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	a := &attempt{store: s, req: req, change: c, base: unread}
	backoff := platform.Backoff{Min: retryMin, Max: retryMax}
	for {
		err := a.try(ctx)
		if err == nil || !a.retryable(err) {
			return a.result, err
		}
		if backoff.Wait(ctx) != nil {
			return Result{}, a.giveUp(err)
		}
	}
}
