// Package claims elects exactly one instance as the home of an idempotency key
// that was chosen by a caller. Unlike a key issued by an instance, such a key does
// not identify its home, so the instances claim it on the platform by conditional
// updates.
package claims

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/zeebo/errs"

	"sycamoreledge.example/internal/control"
)

// Error classes of Claim. Callers tell them apart with Class.Has.
var (
	// Unreachable means that the platform did not confirm the claim in time. The
	// call has not won the key.
	Unreachable = errs.Class("platform unreachable")
	// Full means that there is no room for another claim until earlier ones have
	// completed or expired. The key was not claimed.
	Full = errs.Class("claims full")
	// Corrupt means that the object of a shard cannot be decoded or encoded.
	Corrupt = errs.Class("corrupt object")
)

// Claim is the claim of a key as stored on the platform.
type Claim struct {
	// Won is set for exactly one call of Claim among all instances until the claim
	// expires.
	Won bool
	// Holder is the instance that won: the home of the key.
	Holder control.Identity
	// Expires is when the claim expires. The home starts no work for the key after
	// that.
	Expires time.Time
}

// Config sets the limits of claims. Shards must be the same on all instances.
type Config struct {
	// Shards is the number of platform objects over which the keys are distributed.
	Shards int
	// Lifetime is how long a claim lasts.
	Lifetime time.Duration
	// Timeout limits the time to write one batch, including retries.
	Timeout time.Duration
	// MaxBatch limits the number of claims in one write; 0 means no limit and 1
	// disables batching.
	MaxBatch int
	// MaxPending limits the queued calls, and also the unresolved keys, of one shard.
	MaxPending int
}

// The defaults of Config.
const (
	DefaultShards     = 128
	DefaultLifetime   = 10 * time.Minute
	DefaultTimeout    = time.Second
	DefaultMaxPending = 4096
)

func (c Config) withDefaults() Config {
	if c.Shards == 0 {
		c.Shards = DefaultShards
	}
	if c.Lifetime == 0 {
		c.Lifetime = DefaultLifetime
	}
	if c.Timeout == 0 {
		c.Timeout = DefaultTimeout
	}
	if c.MaxPending == 0 {
		c.MaxPending = DefaultMaxPending
	}
	return c
}

// maxClockSkew is the tolerated difference between the clocks of two instances. A
// claim is kept this long after it expired, because the clock of its home may be
// behind.
const maxClockSkew = time.Minute

// keyHash is a hash of a service and a key, which gives all claims the same small
// size.
type keyHash [16]byte

func hashKey(service, key string) keyHash {
	h := sha256.New()
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(service)))
	h.Write(length[:])
	h.Write([]byte(service))
	h.Write([]byte(key))
	return keyHash(h.Sum(nil)[:len(keyHash{})])
}

// Shard returns the index of the shard of a key. Claims are cheapest when all
// requests with keys of a shard are routed to one instance, which then writes the
// shard without conflicts and in larger batches. Correctness does not depend on it.
func (c *Claimer) Shard(service, key string) int {
	return hashKey(service, key).shardIndex(len(c.shards))
}

// shardIndex returns the index of the shard of a key.
func (id keyHash) shardIndex(shards int) int {
	return int(binary.BigEndian.Uint32(id[:]) % uint32(shards))
}
