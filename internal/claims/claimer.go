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

// New returns a claimer for one run of an instance.
func New(client platform.Client, self control.Identity, config Config) *Claimer {
	config = config.withDefaults()
	c := &Claimer{self: self, config: config, shards: make([]*shard, config.Shards)}
	for i := range c.shards {
		c.shards[i] = newShard(client, "claims/"+strconv.Itoa(i), config)
	}
	return c
}

// Claim makes this instance the home of a key, or returns which one is. Only
// the caller that is told Won may run work for the key.
//
// A claim that ended with an error may stand on the platform all the same. It
// is not lost: the next call on this instance for the same key wins it. A home
// that is asked for a key it does not know therefore calls Claim itself; when
// it is told that it holds the key but has not won, another call has won it.
func (c *Claimer) Claim(ctx context.Context, service, key string) (Claim, error) {
	if err := ctx.Err(); err != nil {
		return Claim{}, Unreachable.Wrap(err)
	}
	id := identify(service, key)
	s := c.shards[id.shardOf(len(c.shards))]
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
// key share it until one of them has been told that it won, since more than
// one of them may have sent it.
type candidate struct {
	row row
	// users is how many calls are pending.
	users int
	// sent is set when the row may stand on the platform, delivered when a call
	// has been told that it won.
	sent      bool
	delivered bool
}

// pending is a call of Claim that waits for its shard to be written. Its
// fields are guarded by the shard's mutex until done is closed.
type pending struct {
	id        keyID
	candidate *candidate
	done      chan struct{}
	// abandoned is set when nobody waits any more.
	abandoned bool
	settled   bool
	claim     Claim
	err       error
}

// shard queues the claims of one object and writes them in batches.
type shard struct {
	client platform.Client
	key    string
	config Config

	mu         sync.Mutex
	queue      []*pending
	running    bool
	candidates map[keyID]*candidate
	// failing is set after a flush found the platform out of reach. Until a flush
	// succeeds, claims are refused before refuseUntil and while another one is
	// trying.
	failing     bool
	refuseUntil time.Time

	// table and version are the last known state of the object; table is nil
	// when it must be read. Only the goroutine that runs flushes uses them.
	table   *table
	version int64
	// contended is set while other instances write the object too.
	contended bool
}

func newShard(client platform.Client, key string, config Config) *shard {
	return &shard{client: client, key: key, config: config, candidates: make(map[keyID]*candidate)}
}

// enqueue adds a call and starts the flush goroutine when it is not running.
// The row is used unless there is a candidate for the key already.
func (s *shard) enqueue(id keyID, r row) (*pending, error) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failing && (s.running || now.Before(s.refuseUntil)) {
		return nil, Unreachable.New("the platform was out of reach a moment ago")
	}
	c, err := s.candidateLocked(id, r, now)
	if err != nil {
		return nil, err
	}
	if len(s.queue) >= s.config.MaxPending {
		return nil, Full.New("%d claims wait for %s", len(s.queue), s.key)
	}
	c.users++
	s.candidates[id] = c
	p := &pending{id: id, candidate: c, done: make(chan struct{})}
	s.queue = append(s.queue, p)
	if !s.running {
		s.running = true
		go s.run()
	}
	return p, nil
}

// candidateLocked returns the candidate for a key. It refuses a new one when
// there are too many, because dropping one could leave a key without a home.
func (s *shard) candidateLocked(id keyID, r row, now time.Time) (*candidate, error) {
	c, ok := s.candidates[id]
	if ok && (c.users > 0 || !c.row.ended(now)) {
		return c, nil
	}
	if !ok && len(s.candidates) >= s.config.MaxPending {
		s.sweepLocked(now)
	}
	if !ok && len(s.candidates) >= s.config.MaxPending {
		return nil, Full.New("%d claims for %s are open", len(s.candidates), s.key)
	}
	return &candidate{row: r}, nil
}

// sweepLocked forgets candidates that have ended.
func (s *shard) sweepLocked(now time.Time) {
	for id, c := range s.candidates {
		if c.users == 0 && c.row.ended(now) {
			delete(s.candidates, id)
		}
	}
}

// abandon gives up waiting for a call, unless it has just been settled.
func (s *shard) abandon(p *pending, cause error) (Claim, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.settled {
		return p.claim, p.err
	}
	p.abandoned = true
	return Claim{}, Unreachable.Wrap(cause)
}

// settle ends a call whose key has the row on the platform. Of the calls that
// share the row, the first one that still waits is told that it won.
func (s *shard) settle(p *pending, r row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := p.candidate
	ours := r.Nonce == c.row.Nonce
	won := ours && !c.delivered && !p.abandoned
	c.delivered = c.delivered || won
	c.sent = ours
	p.claim = r.claim(won)
	s.endLocked(p)
}

// fail ends a call with an error.
func (s *shard) fail(p *pending, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.err = err
	s.endLocked(p)
}

// endLocked ends a call, and forgets its candidate unless it may stand on the
// platform without any call having been told.
func (s *shard) endLocked(p *pending) {
	c := p.candidate
	c.users--
	if c.users == 0 && (c.delivered || !c.sent) {
		delete(s.candidates, p.id)
	}
	p.settled = true
	close(p.done)
}

// markSent notes that the rows of these calls may stand on the platform.
func (s *shard) markSent(calls []*pending) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range calls {
		p.candidate.sent = true
	}
}

func (s *shard) setFailing(failing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failing = failing
	s.refuseUntil = time.Now().Add(refusePause)
}
