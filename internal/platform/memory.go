package platform

import (
	"bytes"
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// Memory is a Client that keeps the objects in the process and can be told to
// fail. It serves tests and the stand-in of the platform.
type Memory struct {
	mu        sync.Mutex
	objects   map[string]Object
	stale     map[string]Object
	instances []Instance
	version   int64
	faults    Faults
	counts    Counts
	// changed is closed and replaced whenever a watch must look again.
	changed chan struct{}
}

// Faults are the failures that Memory shows.
type Faults struct {
	// Down refuses every call with Unavailable and without effect.
	Down bool
	// LoseAnswers is how many of the next updates take effect and return
	// Unavailable.
	LoseAnswers int
	// LoseCalls is how many of the next updates return Unavailable without
	// effect.
	LoseCalls int
	// Throttle is how many of the next calls are refused with Throttled.
	Throttle int
	// Stale answers reads from the state at the time when it was switched on.
	Stale bool
	// SilentWatch keeps watches from ever returning an object.
	SilentWatch bool
	// Latency delays every call.
	Latency time.Duration
}

// Counts is the number of calls that Memory has taken, lost ones included and
// refused ones not.
type Counts struct {
	Reads   int
	Writes  int
	Watches int
}

var _ Client = (*Memory)(nil)

// NewMemory returns an empty store.
func NewMemory() *Memory {
	return &Memory{
		objects: make(map[string]Object),
		changed: make(chan struct{}),
	}
}

// SetFaults replaces the faults.
func (m *Memory) SetFaults(f Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case f.Stale && !m.faults.Stale:
		m.stale = maps.Clone(m.objects)
	case !f.Stale:
		m.stale = nil
	}
	m.faults = f
	m.wakeLocked()
}

// Faults returns the present faults, with what is left of their counters.
func (m *Memory) Faults() Faults {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.faults
}

// Counts returns the number of calls so far.
func (m *Memory) Counts() Counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counts
}

// SetInstances replaces the list of live and leaving instances.
func (m *Memory) SetInstances(list []Instance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.instances = slices.Clone(list)
}

func (m *Memory) wakeLocked() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// enter delays the call and applies the faults that refuse it without effect.
// It leaves the store locked when it returns nil.
func (m *Memory) enter(ctx context.Context) error {
	if err := wait(ctx, m.Faults().Latency); err != nil {
		return err
	}
	m.mu.Lock()
	if m.faults.Down {
		m.mu.Unlock()
		return Unavailable.New("the platform is down")
	}
	if m.faults.Throttle > 0 {
		m.faults.Throttle--
		m.mu.Unlock()
		return Throttled.New("over the rate")
	}
	return nil
}

func wait(ctx context.Context, d time.Duration) error {
	if err := ctx.Err(); err != nil {
		return NotSent.Wrap(err)
	}
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return Unavailable.Wrap(ctx.Err())
	}
}

// Get implements Client.
func (m *Memory) Get(ctx context.Context, key string) (Object, error) {
	if err := CheckKey(key); err != nil {
		return Object{}, err
	}
	if err := m.enter(ctx); err != nil {
		return Object{}, err
	}
	defer m.mu.Unlock()
	m.counts.Reads++
	obj, ok := m.readableLocked()[key]
	if !ok {
		return Object{}, NotFound.New("%s", key)
	}
	return clone(obj), nil
}

func (m *Memory) readableLocked() map[string]Object {
	if m.stale != nil {
		return m.stale
	}
	return m.objects
}

func clone(obj Object) Object {
	obj.Value = bytes.Clone(obj.Value)
	return obj
}

// List implements Client.
func (m *Memory) List(ctx context.Context, prefix string) ([]Object, error) {
	if err := m.enter(ctx); err != nil {
		return nil, err
	}
	defer m.mu.Unlock()
	m.counts.Reads++
	var list []Object
	for key, obj := range m.readableLocked() {
		if strings.HasPrefix(key, prefix) {
			list = append(list, clone(obj))
		}
	}
	slices.SortFunc(list, func(a, b Object) int { return strings.Compare(a.Key, b.Key) })
	return list, nil
}

// Put implements Client.
func (m *Memory) Put(ctx context.Context, key string, value []byte, version int64) (Object, error) {
	if err := checkUpdate(key, value, version); err != nil {
		return Object{}, err
	}
	if err := m.enter(ctx); err != nil {
		return Object{}, err
	}
	defer m.mu.Unlock()
	m.counts.Writes++
	if err := m.loseCallLocked(); err != nil {
		return Object{}, err
	}
	// A missing object has version 0, which is also what a creation expects.
	if have := m.objects[key].Version; have != version {
		return Object{}, Conflict.New("%s has version %d, not %d", key, have, version)
	}
	m.version++
	obj := Object{Key: key, Version: m.version, Value: bytes.Clone(value)}
	m.objects[key] = obj
	m.wakeLocked()
	return clone(obj), m.loseAnswerLocked()
}

// Delete implements Client.
func (m *Memory) Delete(ctx context.Context, key string, version int64) error {
	if err := checkUpdate(key, nil, version); err != nil {
		return err
	}
	if err := m.enter(ctx); err != nil {
		return err
	}
	defer m.mu.Unlock()
	m.counts.Writes++
	if err := m.loseCallLocked(); err != nil {
		return err
	}
	obj, ok := m.objects[key]
	if !ok {
		return NotFound.New("%s", key)
	}
	if obj.Version != version {
		return Conflict.New("%s has version %d, not %d", key, obj.Version, version)
	}
	m.version++
	delete(m.objects, key)
	return m.loseAnswerLocked()
}

func (m *Memory) loseCallLocked() error {
	if m.faults.LoseCalls == 0 {
		return nil
	}
	m.faults.LoseCalls--
	return Unavailable.New("the call was lost")
}

func (m *Memory) loseAnswerLocked() error {
	if m.faults.LoseAnswers == 0 {
		return nil
	}
	m.faults.LoseAnswers--
	return Unavailable.New("the answer was lost")
}

// Watch implements Client.
func (m *Memory) Watch(ctx context.Context, key string, version int64) (Object, error) {
	if err := CheckKey(key); err != nil {
		return Object{}, err
	}
	if err := m.enter(ctx); err != nil {
		return Object{}, err
	}
	m.counts.Watches++
	defer m.mu.Unlock()
	for {
		if m.faults.Down {
			return Object{}, Unavailable.New("the platform went down")
		}
		obj := m.readableLocked()[key]
		if obj.Version > version && !m.faults.SilentWatch {
			return clone(obj), nil
		}
		if err := m.awaitChangeLocked(ctx); err != nil {
			return Object{}, err
		}
	}
}

// awaitChangeLocked gives up the lock until something has changed.
func (m *Memory) awaitChangeLocked(ctx context.Context) error {
	changed := m.changed
	m.mu.Unlock()
	defer m.mu.Lock()
	select {
	case <-changed:
		return nil
	case <-ctx.Done():
		return Unavailable.Wrap(ctx.Err())
	}
}

// Instances implements Client.
func (m *Memory) Instances(ctx context.Context) ([]Instance, error) {
	if err := m.enter(ctx); err != nil {
		return nil, err
	}
	defer m.mu.Unlock()
	m.counts.Reads++
	return slices.Clone(m.instances), nil
}
