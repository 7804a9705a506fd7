// Package claims lets exactly one instance become the home of an idempotency
// key that a caller has chosen. Such a key names no home, so the instances
// claim it on the platform by conditional updates.
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
	// Unreachable means that the platform did not settle the claim. This
	// instance has not won the key by this call.
	Unreachable = errs.Class("platform unreachable")
	// Full means that there is no room for another claim until older ones have
	// expired. The key was not claimed.
	Full = errs.Class("claims full")
	// Corrupt means that a shard on the platform cannot be read.
	Corrupt = errs.Class("corrupt object")
)

// Claim is the settled claim of a key.
type Claim struct {
	// Won is set for exactly one caller of Claim among all instances, until the
	// claim has expired.
	Won bool
	// Holder is the instance that won: the home of the key.
	Holder control.Identity
	// Expires is when the claim ends. The home starts no work for the key after
	// that.
	Expires time.Time
}

// Config bounds the claims. All instances use the same number of shards.
type Config struct {
	// Shards is the number of objects over which the keys are spread.
	Shards int
	// Lifetime is how long a claim lasts.
	Lifetime time.Duration
	// Timeout bounds the writing of one batch with its retries.
	Timeout time.Duration
	// MaxBatch is the largest number of claims in one write; 0 sets no bound
	// and 1 switches batching off.
	MaxBatch int
	// MaxPending is the largest number of claims that wait for one shard.
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

// maxClockSkew is by how much the clocks of two instances may differ. A claim
// is kept for that long after its end, because its home may see the end later.
const maxClockSkew = time.Minute

// keyID is the digest of a service and a key, so that claims have a small and
// fixed size.
type keyID [16]byte

func identify(service, key string) keyID {
	h := sha256.New()
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(service)))
	h.Write(length[:])
	h.Write([]byte(service))
	h.Write([]byte(key))
	return keyID(h.Sum(nil)[:len(keyID{})])
}

// Shard returns the index of the shard of a key. Claims cost the least when the
// requests for the keys of a shard go to one instance, which then writes it
// without conflicts and in larger batches; correctness does not depend on it.
func (c *Claimer) Shard(service, key string) int {
	return identify(service, key).shardOf(len(c.shards))
}

// shardOf returns the index of the shard of a key.
func (id keyID) shardOf(shards int) int {
	return int(binary.BigEndian.Uint32(id[:]) % uint32(shards))
}
