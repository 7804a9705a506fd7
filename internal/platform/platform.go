// Package platform is a client of the platform's object API: versioned objects with
// conditional updates and watches, and the list of live and leaving instances, which
// lags behind the actual state.
package platform

import (
	"context"

	"github.com/zeebo/errs"
)

// Error classes of the object API, to be tested with Class.Has.
var (
	// NotFound means that no object with the key exists.
	NotFound = errs.Class("not found")
	// Conflict means that the object does not have the expected version, and that
	// the update had no effect.
	Conflict = errs.Class("conflict")
	// Throttled means that the call was rejected by rate limiting and had no effect.
	Throttled = errs.Class("throttled")
	// Unavailable means that no valid response arrived; an update may have taken
	// effect.
	Unavailable = errs.Class("unavailable")
	// NotSent means that the platform could not be reached or did not process the
	// call, so that it had no effect.
	NotSent = errs.Class("not sent")
	// Invalid means that the call itself is malformed, for example with a value
	// larger than MaxValueBytes.
	Invalid = errs.Class("invalid")
)

// MaxValueBytes is the maximum size of an object's value, in bytes.
const MaxValueBytes = 1 << 20

// OutOfReach reports whether an error is Unavailable or NotSent: the platform did
// not respond, whether or not an update took effect.
func OutOfReach(err error) bool { return Unavailable.Has(err) || NotSent.Has(err) }

// Object is a versioned value. Versions increase with every update of any object.
type Object struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
	Value   []byte `json:"value"`
}

// InstanceState is the state of an instance in the platform's list.
type InstanceState string

// States of an instance.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// Instance is an element of the platform's list: an entry instance or an upstream.
type Instance struct {
	Name  string        `json:"name"`
	State InstanceState `json:"state"`
}

// Client is the object API. All methods respect the context's deadline.
type Client interface {
	// Get returns the object, or NotFound.
	Get(ctx context.Context, key string) (Object, error)
	// List returns the objects whose keys start with the prefix, sorted by key.
	List(ctx context.Context, prefix string) ([]Object, error)
	// Put stores the value if the object has the given version; with version 0 it
	// creates the object. It returns the new object, or Conflict.
	Put(ctx context.Context, key string, value []byte, version int64) (Object, error)
	// Delete removes the object if it has the given version.
	Delete(ctx context.Context, key string, version int64) error
	// Watch waits until the object has a version above the given one, and returns
	// the object. It fails when the context ends.
	Watch(ctx context.Context, key string, version int64) (Object, error)
	// Instances returns the list of live and leaving instances, which lags behind
	// the actual state.
	Instances(ctx context.Context) ([]Instance, error)
}
