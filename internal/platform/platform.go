// Package platform is the client of the platform's object API: versioned
// objects with conditional updates and watches, and the lagging list of live
// and leaving instances.
package platform

import (
	"context"

	"github.com/zeebo/errs"
)

// Error classes of the object API. Callers tell them apart with Class.Has.
var (
	// NotFound means that there is no object with the key.
	NotFound = errs.Class("not found")
	// Conflict means that the object has another version than expected, and
	// that the update took no effect.
	Conflict = errs.Class("conflict")
	// Throttled means that the call was refused for its rate and had no effect.
	Throttled = errs.Class("throttled")
	// Unavailable means that no answer arrived; an update may have taken effect.
	Unavailable = errs.Class("unavailable")
	// NotSent means that the platform was not reached and that the call had no
	// effect.
	NotSent = errs.Class("not sent")
	// Invalid means that the call itself is malformed, such as a value over
	// MaxValueBytes.
	Invalid = errs.Class("invalid")
)

// MaxValueBytes is the largest value of an object.
const MaxValueBytes = 1 << 20

// OutOfReach reports whether an error says that the platform gave no answer,
// whether or not an update took effect.
func OutOfReach(err error) bool { return Unavailable.Has(err) || NotSent.Has(err) }

// Object is a versioned value. Versions grow with every update of any object.
type Object struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
	Value   []byte `json:"value"`
}

// InstanceState is the state of an instance in the platform's lagging list.
type InstanceState string

// The states of the list.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// Instance is a row of the platform's list: an entry instance or an upstream.
type Instance struct {
	Name  string        `json:"name"`
	State InstanceState `json:"state"`
}

// Client is the object API. All methods honour the context's deadline.
type Client interface {
	// Get returns the object, or NotFound.
	Get(ctx context.Context, key string) (Object, error)
	// List returns the objects whose keys start with the prefix, by key.
	List(ctx context.Context, prefix string) ([]Object, error)
	// Put stores the value if the object has the version; version 0 creates
	// it. It returns the new object, or Conflict.
	Put(ctx context.Context, key string, value []byte, version int64) (Object, error)
	// Delete removes the object if it has the version.
	Delete(ctx context.Context, key string, version int64) error
	// Watch waits until the object has a version above the given one and
	// returns it; it ends with the context.
	Watch(ctx context.Context, key string, version int64) (Object, error)
	// Instances returns the list of live and leaving instances. It lags.
	Instances(ctx context.Context) ([]Instance, error)
}
