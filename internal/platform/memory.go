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

// Memory is an in-memory Client with fault injection. It is used in tests and as
// the store of the simulated platform.
type Memory struct {
	mu           sync.Mutex
	objects      map[string]Object
	staleObjects map[string]Object
	instances    []Instance
	version      int64
	faults       Faults
	counts       Counts
	// changed is closed and replaced to wake all pending watches.
	changed chan struct{}
}

// Faults are the failures that Memory simulates.
type Faults struct {
	// Down makes every call fail with Unavailable and without effect.
	Down bool
	// LoseAnswers is the number of next updates that take effect but return
	// Unavailable, as when the response is lost.
	LoseAnswers int
	// LoseCalls is the number of next updates that return Unavailable without
	// effect, as when the request is lost.
	LoseCalls int
	// Throttle is the number of next calls that are rejected with Throttled.
	Throttle int
	// Stale makes reads and watches return the state as of the time when it was
	// enabled.
	Stale bool
	// SilentWatch keeps watches pending, whatever changes.
	SilentWatch bool
	// Latency delays every call.
	Latency time.Duration
}

// Counts holds the number of calls that Memory has received. Calls lost by
// LoseAnswers and LoseCalls are included, those rejected by Down and Throttle are
// not.
type Counts struct {
	Reads   int
	Writes  int
	Watches int
}

var _ Client = (*Memory)(nil)

// NewMemory returns an empty Memory.
func NewMemory() *Memory {
	return &Memory{
		objects: make(map[string]Object),
		changed: make(chan struct{}),
	}
}

// SetFaults replaces the injected faults.
func (m *Memory) SetFaults(f Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case f.Stale && !m.faults.Stale:
		m.staleObjects = maps.Clone(m.objects)
	case !f.Stale:
		m.staleObjects = nil
	}
	m.faults = f
	m.notifyWatchesLocked()
}

// Faults returns the current faults, with the remaining values of their counters.
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

// SetInstances replaces the list that Instances returns.
func (m *Memory) SetInstances(list []Instance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.instances = slices.Clone(list)
}

func (m *Memory) notifyWatchesLocked() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// lockForCall delays a call and applies the faults that reject it without effect.
// When it returns nil, the mutex is locked and the caller must unlock it.
func (m *Memory) lockForCall(ctx context.Context) error {
	if err := delayCall(ctx, m.Faults().Latency); err != nil {
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
		return Throttled.New("the platform rejects calls above the permitted rate")
	}
	return nil
}

func delayCall(ctx context.Context, d time.Duration) error {
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
	if err := m.lockForCall(ctx); err != nil {
		return Object{}, err
	}
	defer m.mu.Unlock()
	m.counts.Reads++
	obj, ok := m.readViewLocked()[key]
	if !ok {
		return Object{}, NotFound.New("%s", key)
	}
	return cloneObject(obj), nil
}

func (m *Memory) readViewLocked() map[string]Object {
	if m.staleObjects != nil {
		return m.staleObjects
	}
	return m.objects
}

func cloneObject(obj Object) Object {
	obj.Value = bytes.Clone(obj.Value)
	return obj
}

// List implements Client.
func (m *Memory) List(ctx context.Context, prefix string) ([]Object, error) {
	if err := m.lockForCall(ctx); err != nil {
		return nil, err
	}
	defer m.mu.Unlock()
	m.counts.Reads++
	var list []Object
	for key, obj := range m.readViewLocked() {
		if strings.HasPrefix(key, prefix) {
			list = append(list, cloneObject(obj))
		}
	}
	slices.SortFunc(list, func(a, b Object) int { return strings.Compare(a.Key, b.Key) })
	return list, nil
}

// Put implements Client.
func (m *Memory) Put(ctx context.Context, key string, value []byte, version int64) (Object, error) {
	if err := validateUpdate(key, value, version); err != nil {
		return Object{}, err
	}
	if err := m.lockForCall(ctx); err != nil {
		return Object{}, err
	}
	defer m.mu.Unlock()
	m.counts.Writes++
	if err := m.requestLossLocked(); err != nil {
		return Object{}, err
	}
	// A missing object has version 0, the version with which objects are created.
	if have := m.objects[key].Version; have != version {
		return Object{}, Conflict.New("%s has version %d, but version %d was expected", key, have, version)
	}
	m.version++
	obj := Object{Key: key, Version: m.version, Value: bytes.Clone(value)}
	m.objects[key] = obj
	m.notifyWatchesLocked()
	return cloneObject(obj), m.responseLossLocked()
}

// Delete implements Client.
func (m *Memory) Delete(ctx context.Context, key string, version int64) error {
	if err := validateUpdate(key, nil, version); err != nil {
		return err
	}
	if err := m.lockForCall(ctx); err != nil {
		return err
	}
	defer m.mu.Unlock()
	m.counts.Writes++
	if err := m.requestLossLocked(); err != nil {
		return err
	}
	obj, ok := m.objects[key]
	if !ok {
		return NotFound.New("%s", key)
	}
	if obj.Version != version {
		return Conflict.New("%s has version %d, but version %d was expected", key, obj.Version, version)
	}
	m.version++
	delete(m.objects, key)
	return m.responseLossLocked()
}

func (m *Memory) requestLossLocked() error {
	if m.faults.LoseCalls == 0 {
		return nil
	}
	m.faults.LoseCalls--
	return Unavailable.New("the request was lost")
}

func (m *Memory) responseLossLocked() error {
	if m.faults.LoseAnswers == 0 {
		return nil
	}
	m.faults.LoseAnswers--
	return Unavailable.New("the response was lost")
}

// Watch implements Client.
func (m *Memory) Watch(ctx context.Context, key string, version int64) (Object, error) {
	if err := CheckKey(key); err != nil {
		return Object{}, err
	}
	if err := m.lockForCall(ctx); err != nil {
		return Object{}, err
	}
	m.counts.Watches++
	defer m.mu.Unlock()
	for {
		if m.faults.Down {
			return Object{}, Unavailable.New("the platform went down during a watch")
		}
		obj := m.readViewLocked()[key]
		if obj.Version > version && !m.faults.SilentWatch {
			return cloneObject(obj), nil
		}
		if err := m.awaitChangeLocked(ctx); err != nil {
			return Object{}, err
		}
	}
}

// awaitChangeLocked unlocks the mutex, waits for a change or the end of the
// context, and locks the mutex again.
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
	if err := m.lockForCall(ctx); err != nil {
		return nil, err
	}
	defer m.mu.Unlock()
	m.counts.Reads++
	return slices.Clone(m.instances), nil
}
