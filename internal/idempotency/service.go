package idempotency

import (
	"context"
	"net/http"
	"sync"
	"time"

	"sycamoreledge.example/internal/control"
	"sycamoreledge.example/internal/peer"
	"sycamoreledge.example/internal/work"
)

// Claim is the answer of a Claimer.
type Claim struct {
	// Won is set for exactly one call until the claim has expired.
	Won bool
	// Holder is the home of the key.
	Holder control.Identity
	// Expires is when the claim ends; the home starts no work after it.
	Expires time.Time
}

// Claimer finds the home of a caller's own key.
type Claimer interface {
	// Claim makes this instance the home of a key, or returns which one is. It
	// fails at once when the platform is out of reach.
	Claim(ctx context.Context, service, key string) (Claim, error)
}

// Options are what a Service needs.
type Options struct {
	Self     control.Identity
	Issuer   *Issuer
	Snapshot func() *control.Snapshot
	Peers    peer.Transport
	// Run runs a request once, without regard to keys.
	Run     func(ctx context.Context, req *work.Request) *work.Response
	Claimer Claimer
	// MaxKeys and MaxBytes bound what is kept.
	MaxKeys  int
	MaxBytes int64
}

// Service runs requests with keys at most once. It is safe for concurrent use.
type Service struct {
	self     control.Identity
	issuer   *Issuer
	snapshot func() *control.Snapshot
	peers    peer.Transport
	run      func(ctx context.Context, req *work.Request) *work.Response
	claimer  Claimer
	table    *table
	stats    Stats

	mu        sync.Mutex
	adopted   map[control.Identity]time.Time // by former home, with the time of its export
	successor string                         // set once the keys are given up
	// settled is closed when the attempt to give the keys has ended.
	settled chan struct{}
}

// New returns a Service for one run of an instance.
func New(opt Options) *Service {
	return &Service{
		self:     opt.Self,
		issuer:   opt.Issuer,
		snapshot: opt.Snapshot,
		peers:    opt.Peers,
		run:      opt.Run,
		claimer:  opt.Claimer,
		table:    newTable(opt.MaxKeys, opt.MaxBytes),
		adopted:  make(map[control.Identity]time.Time),
		settled:  make(chan struct{}),
	}
}

// Stats returns the counters of the service.
func (s *Service) Stats() *Stats { return &s.stats }

// Size returns the number of keys kept and about their memory in bytes.
func (s *Service) Size() (int, int64) { return s.table.size() }

// Issue returns a new key for a service and when it expires.
func (s *Service) Issue(service string) (string, time.Time, error) {
	if s.leaving() != "" {
		return "", time.Time{}, Error.New("the instance is leaving")
	}
	return s.issuer.Issue(service)
}

// Serve runs a request of a caller at most once for its key, here or at the
// home of the key. A request without a key is run at once.
func (s *Service) Serve(ctx context.Context, req *work.Request) *work.Response {
	if req.Key == "" {
		return s.run(ctx, req)
	}
	resp := s.serve(ctx, req, true)
	s.stats.count(resp)
	return resp
}

// ServeHome runs a request that a peer sent to this instance as the home of its
// key.
func (s *Service) ServeHome(ctx context.Context, req *work.Request) *work.Response {
	if req.Key == "" {
		return work.Uncertain(work.ReasonKeyInvalid)
	}
	resp := s.serve(ctx, req, false)
	s.stats.count(resp)
	return mark(resp)
}

// serve runs a request here or, where asked by a caller, at its home.
func (s *Service) serve(ctx context.Context, req *work.Request, caller bool) *work.Response {
	if len(req.Key) > MaxKeyBytes {
		return work.Refuse(work.ReasonKeyInvalid, 0) // no such key is ever run
	}
	if !IsIssued(req.Key) {
		return s.serveOwnKey(ctx, req)
	}
	key, err := s.issuer.Verify(req.Key)
	switch {
	case err == errSecret:
		return work.Uncertain(work.ReasonKeyInvalid)
	case err != nil:
		return work.Refuse(work.ReasonKeyInvalid, 0)
	case key.Service != req.Service:
		return work.Uncertain(work.ReasonKeyInvalid)
	}
	return s.serveIssued(ctx, req, key, caller)
}

// serveIssued runs a request with a key of the system.
func (s *Service) serveIssued(ctx context.Context, req *work.Request, key Key, caller bool) *work.Response {
	exported, here := s.homeOf(key.Home)
	switch next := s.leaving(); {
	case here && next != "":
		return s.forwardLater(ctx, next, req)
	case here:
		p, err := prepare(req)
		if err != nil {
			return work.Uncertain(work.ReasonBadRequest)
		}
		defer p.body.Detach()
		id := entryID{Home: key.Home, Service: key.Service, Key: req.Key}
		absent := func() *work.Response { return absentKey(key, exported) }
		return s.runOnce(ctx, p, id, key.Expires, absent)
	case !caller:
		return work.Uncertain(work.ReasonHomeReplaced)
	}
	if next, ok := s.snapshot().Successors[key.Home]; ok && next != s.self.Instance {
		return s.forward(ctx, next, req)
	}
	if key.Home.Instance == s.self.Instance {
		return work.Uncertain(work.ReasonHomeReplaced)
	}
	return s.forward(ctx, key.Home.Instance, req)
}

// absentKey returns the refusal of a key that is not in the table, or nil when
// it provably never ran and may run now. exported is when the table was handed
// over, or zero.
func absentKey(key Key, exported time.Time) *work.Response {
	now := time.Now()
	if !exported.IsZero() && !key.Expires.After(exported) {
		// The former home may have forgotten it.
		return work.Uncertain(work.ReasonKeyExpired)
	}
	switch {
	case now.Before(key.Expires):
		return nil
	case now.Sub(key.Expires) < keepAfterExpiry:
		return work.Refuse(work.ReasonKeyExpired, 0)
	default:
		return work.Uncertain(work.ReasonKeyExpired)
	}
}

// homeOf reports whether this instance is the home of the keys of an identity,
// or was until it gave them up, and, if it took them over, when they were
// exported.
func (s *Service) homeOf(home control.Identity) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if home == s.self {
		return time.Time{}, true
	}
	exported, ok := s.adopted[home]
	return exported, ok
}

// leaving returns the instance to which this one gives its keys, or "".
func (s *Service) leaving() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.successor
}

// serveOwnKey runs a request with a caller's own key.
func (s *Service) serveOwnKey(ctx context.Context, req *work.Request) *work.Response {
	if next := s.leaving(); next != "" {
		return s.forwardLater(ctx, next, req)
	}
	id := entryID{Service: req.Service, Key: req.Key}
	never := func() *work.Response { return nil }
	e, mine, refusal := s.table.begin(id, time.Now().Add(s.issuer.life), time.Now(), never)
	if refusal != nil {
		// The key may have run at a home that is not known here.
		return work.Uncertain(refusal.Reason)
	}
	if mine && !e.claimed {
		holder, err := s.claim(ctx, req, id, e)
		if err != nil {
			return work.Uncertain(work.ReasonPlatformUnreachable)
		}
		if holder != s.self {
			return s.serveClaimed(ctx, req, holder)
		}
	}
	p, err := prepare(req)
	if err != nil {
		if mine {
			s.table.end(id, e, stored{Outcome: work.NotRun})
		}
		return work.Uncertain(work.ReasonBadRequest)
	}
	defer p.body.Detach()
	if mine {
		return s.attempt(ctx, p, id, e)
	}
	if resp := s.repeat(ctx, p, e); resp != nil {
		return resp
	}
	again := *req
	if req.Body != nil {
		reader, ok := p.body.Next()
		if !ok {
			return work.Uncertain(work.ReasonBadRequest)
		}
		again.Body = reader
	}
	return s.serveOwnKey(ctx, &again)
}

// claim finds the home of the key of an entry that this call took. When that is
// not this instance the entry is dropped.
func (s *Service) claim(ctx context.Context, req *work.Request, id entryID, e *entry) (control.Identity, error) {
	bounded, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	s.stats.Claims.Add(1)
	claim, err := s.claimer.Claim(bounded, req.Service, req.Key)
	if err != nil {
		s.table.drop(id, e)
		return control.Identity{}, Error.Wrap(err)
	}
	if claim.Won {
		s.table.claim(e, claim.Expires)
		return s.self, nil
	}
	s.table.drop(id, e)
	if claim.Holder == s.self {
		// It is not in the table any more: it may have run.
		return control.Identity{}, nil
	}
	return claim.Holder, nil
}

// serveClaimed runs a request whose key belongs to another instance.
func (s *Service) serveClaimed(ctx context.Context, req *work.Request, holder control.Identity) *work.Response {
	if _, here := s.homeOf(holder); here || holder == (control.Identity{}) {
		return work.Uncertain(work.ReasonHomeReplaced)
	}
	next, ok := s.snapshot().Successors[holder]
	if !ok {
		next = holder.Instance
	}
	if next == s.self.Instance {
		return work.Uncertain(work.ReasonHomeReplaced)
	}
	return s.forward(ctx, next, req)
}

// homeHeader marks the responses of homes, so that a refusal on the way is not
// taken for one that speaks of the key.
const homeHeader = "Idempotency-Home"

// mark returns a response with the mark of a home.
func mark(resp *work.Response) *work.Response {
	marked := *resp
	marked.Header = resp.Header.Clone()
	if marked.Header == nil {
		marked.Header = http.Header{}
	}
	marked.Header.Set(homeHeader, "true")
	return &marked
}

// forward sends the request to the home of its key. Only the home can prove
// that the key did not run; without its answer the outcome is unknown.
func (s *Service) forward(ctx context.Context, home string, req *work.Request) *work.Response {
	s.stats.Forwarded.Add(1)
	resp := s.peers.Do(ctx, home, peer.RoleHome, req)
	if resp.Header.Get(homeHeader) == "" {
		if resp.Body != nil {
			resp.Body.Close()
		}
		return work.Uncertain(work.ReasonHomeUnreachable)
	}
	resp.Header.Del(homeHeader)
	return resp
}

// forwardLater forwards the request once the successor has the keys.
func (s *Service) forwardLater(ctx context.Context, next string, req *work.Request) *work.Response {
	if !wait(ctx, s.settled, req.Deadline) {
		return work.Uncertain(work.ReasonHomeReplaced)
	}
	return s.forward(ctx, next, req)
}
