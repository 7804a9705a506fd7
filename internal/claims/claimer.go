package claims

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"strconv"
	"sync"
	"time"

	"sycamoreledge.example/internal/control"
	"sycamoreledge.example/internal/platform"
)

// Claimer claims keys for one instance. It is safe for concurrent use.
type Claimer struct {
	self   control.Identity
	config Config
	shards []*shard
}

// New returns a claimer for the given incarnation of an instance.
func New(client platform.Client, self control.Identity, config Config) *Claimer {
	config = config.withDefaults()
	c := &Claimer{self: self, config: config, shards: make([]*shard, config.Shards)}
	for i := range c.shards {
		c.shards[i] = newShard(client, "claims/"+strconv.Itoa(i), config)
	}
	return c
}

// Claim makes this instance the home of a key, or returns the instance that
// already is. Only the call that returns Won may run work for the key. Its errors
// are of the classes Unreachable, Full and Corrupt.
//
// A claim may be stored on the platform although Claim returned an error. In that
// case the next call on this instance for the same key returns Won. A home that
// receives a request with a key it does not know therefore calls Claim itself. If
// the result names it as the holder without Won, another of its calls has won.
func (c *Claimer) Claim(ctx context.Context, service, key string) (Claim, error) {
	if err := ctx.Err(); err != nil {
		return Claim{}, Unreachable.Wrap(err)
	}
	id := hashKey(service, key)
	s := c.shards[id.shardIndex(len(c.shards))]
	p, err := s.enqueue(id, c.newRow())
	if err != nil {
		return Claim{}, err
	}
	select {
	case <-p.done:
		return p.claim, p.err
	case <-ctx.Done():
		return s.abandon(p, ctx.Err())
	}
}

func (c *Claimer) newRow() row {
	return row{
		Instance:    c.self.Instance,
		Incarnation: c.self.Incarnation,
		Nonce:       newNonce(),
		Expires:     time.Now().Add(c.config.Lifetime).UnixMilli(),
	}
}

func newNonce() uint64 {
	var b [8]byte
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(b[:])
	return binary.BigEndian.Uint64(b[:])
}

// candidate is the row with which this instance claims a key. All calls for the
// key share it until one of them has returned Won, because the row may have been
// stored by a call that failed.
type candidate struct {
	row row
	// pendingCalls is how many calls use the candidate.
	pendingCalls int
	// maybeStored is set when the row may be stored on the platform, and
	// winReported when a call has returned Won for it.
	maybeStored bool
	winReported bool
}

// pendingCall is a call of Claim that waits for its shard to be written. Its fields are
// guarded by the shard's mutex until done is closed.
type pendingCall struct {
	id        keyHash
	candidate *candidate
	done      chan struct{}
	// abandoned is set when the caller's context ended before the call completed.
	abandoned bool
	completed bool
	claim     Claim
	err       error
}

// shard queues the claims of one platform object and writes them in batches.
type shard struct {
	client platform.Client
	key    string
	config Config

	mu         sync.Mutex
	queue      []*pendingCall
	running    bool
	candidates map[keyHash]*candidate
	// unreachable is set after a flush could not reach the platform. Until a flush
	// succeeds, claims are refused before refuseUntil and while a flush is running.
	unreachable bool
	refuseUntil time.Time

	// table and version are the last known state of the object; table is nil when
	// the object must be read. Only the flush goroutine uses them.
	table   *table
	version int64
	// contended is set while other instances also write the object.
	contended bool
}

func newShard(client platform.Client, key string, config Config) *shard {
	return &shard{client: client, key: key, config: config, candidates: make(map[keyHash]*candidate)}
}

// enqueue adds a call and starts the flush goroutine when it is not running. The
// row is used only when there is no candidate for the key yet.
func (s *shard) enqueue(id keyHash, claimRow row) (*pendingCall, error) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unreachable && (s.running || now.Before(s.refuseUntil)) {
		return nil, Unreachable.New("the platform did not respond to earlier claims; the claim is refused without a call")
	}
	c, err := s.candidateLocked(id, claimRow, now)
	if err != nil {
		return nil, err
	}
	if len(s.queue) >= s.config.MaxPending {
		return nil, Full.New("the claim is refused: %d claims for %s are queued already", len(s.queue), s.key)
	}
	c.pendingCalls++
	s.candidates[id] = c
	p := &pendingCall{id: id, candidate: c, done: make(chan struct{})}
	s.queue = append(s.queue, p)
	if !s.running {
		s.running = true
		go s.run()
	}
	return p, nil
}

// candidateLocked returns the candidate for a key. It refuses a new one when there
// are too many: evicting an existing one could leave its key with no instance
// that runs its work.
func (s *shard) candidateLocked(id keyHash, r row, now time.Time) (*candidate, error) {
	c, ok := s.candidates[id]
	if ok && (c.pendingCalls > 0 || !c.row.endedForHolder(now)) {
		return c, nil
	}
	if !ok && len(s.candidates) >= s.config.MaxPending {
		s.sweepLocked(now)
	}
	if !ok && len(s.candidates) >= s.config.MaxPending {
		return nil, Full.New("the claim is refused: %d claims for %s are unresolved already", len(s.candidates), s.key)
	}
	return &candidate{row: r}, nil
}

// sweepLocked removes candidates whose claims have expired.
func (s *shard) sweepLocked(now time.Time) {
	for id, c := range s.candidates {
		if c.pendingCalls == 0 && c.row.endedForHolder(now) {
			delete(s.candidates, id)
		}
	}
}

// abandon stops waiting for a call, unless the call has just completed.
func (s *shard) abandon(p *pendingCall, cause error) (Claim, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.completed {
		return p.claim, p.err
	}
	p.abandoned = true
	return Claim{}, Unreachable.Wrap(cause)
}

// complete completes a call whose key has the given row on the platform. If it is
// the row of this instance's candidate, the first call that still waits has won.
func (s *shard) complete(p *pendingCall, r row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := p.candidate
	isCandidate := r.Nonce == c.row.Nonce
	won := isCandidate && !c.winReported && !p.abandoned
	c.winReported = c.winReported || won
	c.maybeStored = isCandidate
	p.claim = r.claim(won)
	s.completeLocked(p)
}

// fail completes a call with an error.
func (s *shard) fail(p *pendingCall, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.err = err
	s.completeLocked(p)
}

// completeLocked completes a call. It removes the candidate once no call uses it,
// unless its row may be stored on the platform and no call has returned Won.
func (s *shard) completeLocked(p *pendingCall) {
	c := p.candidate
	c.pendingCalls--
	if c.pendingCalls == 0 && (c.winReported || !c.maybeStored) {
		delete(s.candidates, p.id)
	}
	p.completed = true
	close(p.done)
}

// markMaybeStored records that the rows of these calls may be stored on the platform.
func (s *shard) markMaybeStored(calls []*pendingCall) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range calls {
		p.candidate.maybeStored = true
	}
}

func (s *shard) setUnreachable(unreachable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unreachable = unreachable
	s.refuseUntil = time.Now().Add(unreachableBackoff)
}
