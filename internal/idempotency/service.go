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

// Claim is the result of claiming a caller-chosen key.
type Claim struct {
	// Won is true for exactly one call per key until the claim expires.
	Won bool
	// Holder is the home of the key.
	Holder control.Identity
	// Expires is when the claim ends. The home starts no attempt after that.
	Expires time.Time
}

// Claimer determines the home of a caller-chosen key.
type Claimer interface {
	// Claim makes this instance the home of a key, or returns the existing home.
	// It fails immediately when the platform is unreachable.
	Claim(ctx context.Context, service, key string) (Claim, error)
}

// Options configures a Service.
type Options struct {
	Self     control.Identity
	Issuer   *Issuer
	Snapshot func() *control.Snapshot
	Peers    peer.Transport
	// Run executes a request once and ignores its key.
	Run     func(ctx context.Context, req *work.Request) *work.Response
	Claimer Claimer
	// MaxKeys and MaxBytes limit the number of stored keys and their approximate
	// memory.
	MaxKeys  int
	MaxBytes int64
}

// Service executes requests with idempotency keys at most once. It is safe for
// concurrent use.
type Service struct {
	self     control.Identity
	issuer   *Issuer
	snapshot func() *control.Snapshot
	peers    peer.Transport
	run      func(ctx context.Context, req *work.Request) *work.Response
	claimer  Claimer
	table    *table
	stats    Stats

	mu             sync.Mutex
	inheritedHomes map[control.Identity]time.Time // export times by former home
	successor      string                         // set once a handover has begun
	// handoverDone is closed when the handover has succeeded or failed.
	handoverDone chan struct{}
}

// New returns a Service for one run of an instance.
func New(opt Options) *Service {
	return &Service{
		self:           opt.Self,
		issuer:         opt.Issuer,
		snapshot:       opt.Snapshot,
		peers:          opt.Peers,
		run:            opt.Run,
		claimer:        opt.Claimer,
		table:          newTable(opt.MaxKeys, opt.MaxBytes),
		inheritedHomes: make(map[control.Identity]time.Time),
		handoverDone:   make(chan struct{}),
	}
}

// Stats returns the counters of the service.
func (s *Service) Stats() *Stats { return &s.stats }

// Size returns the number of stored keys and their approximate memory in bytes.
func (s *Service) Size() (int, int64) { return s.table.size() }

// Issue returns a new key for a service and the time at which it expires. It
// fails once a handover has begun.
func (s *Service) Issue(service string) (string, time.Time, error) {
	if s.handoverTarget() != "" {
		return "", time.Time{}, Error.New("no key issued: this instance is leaving and handing over its keys")
	}
	return s.issuer.Issue(service)
}

// Serve executes a caller's request at most once per key, here or at the home of
// the key. A request without a key is executed without deduplication.
func (s *Service) Serve(ctx context.Context, req *work.Request) *work.Response {
	if req.Key == "" {
		return s.run(ctx, req)
	}
	resp := s.serve(ctx, req, true)
	s.stats.count(resp)
	return resp
}

// ServeHome executes a request that a peer forwarded to this instance as the
// home of the key. The outcome of a request without a key is unknown.
func (s *Service) ServeHome(ctx context.Context, req *work.Request) *work.Response {
	if req.Key == "" {
		return work.UnknownOutcome(work.ReasonKeyInvalid)
	}
	resp := s.serve(ctx, req, false)
	s.stats.count(resp)
	return markFromHome(resp)
}

// serve executes a request here or forwards it to the home of its key. fromCaller
// is false for requests forwarded by a peer; with an issued key of another home
// those are not forwarded a second time.
func (s *Service) serve(ctx context.Context, req *work.Request, fromCaller bool) *work.Response {
	if len(req.Key) > MaxKeyBytes {
		return work.Refuse(work.ReasonKeyInvalid, 0) // keys of this length are never run
	}
	if !IsIssued(req.Key) {
		return s.serveCallerKey(ctx, req)
	}
	key, err := s.issuer.Verify(req.Key)
	switch {
	case err == errUnknownSecret:
		return work.UnknownOutcome(work.ReasonKeyInvalid)
	case err != nil:
		return work.Refuse(work.ReasonKeyInvalid, 0)
	case key.Service != req.Service:
		return work.UnknownOutcome(work.ReasonKeyInvalid)
	}
	return s.serveIssuedKey(ctx, req, key, fromCaller)
}

// serveIssuedKey handles a request with a verified key issued by the system.
func (s *Service) serveIssuedKey(ctx context.Context, req *work.Request, key IssuedKey, fromCaller bool) *work.Response {
	exportedAt, isHome := s.lookupHome(key.Home)
	switch successor := s.handoverTarget(); {
	case isHome && successor != "":
		return s.forwardAfterHandover(ctx, successor, req)
	case isHome:
		buffered, err := bufferRequest(req)
		if err != nil {
			return work.UnknownOutcome(work.ReasonBadRequest)
		}
		defer buffered.body.Detach()
		id := entryID{Home: key.Home, Service: key.Service, Key: req.Key}
		absent := func() *work.Response { return refuseAbsentKey(key, exportedAt) }
		return s.runOnce(ctx, buffered, id, key.Expires, absent)
	case !fromCaller:
		return work.UnknownOutcome(work.ReasonHomeReplaced)
	}
	if successor, ok := s.snapshot().Successors[key.Home]; ok && successor != s.self.Instance {
		return s.forwardToHome(ctx, successor, req)
	}
	if key.Home.Instance == s.self.Instance {
		return work.UnknownOutcome(work.ReasonHomeReplaced)
	}
	return s.forwardToHome(ctx, key.Home.Instance, req)
}

// refuseAbsentKey returns the refusal for a key that is not in the table, or nil
// if the key is known never to have run and may run now. exportedAt is when the
// former home exported its table, or zero for keys of this instance.
func refuseAbsentKey(key IssuedKey, exportedAt time.Time) *work.Response {
	now := time.Now()
	if !exportedAt.IsZero() && !key.Expires.After(exportedAt) {
		// The former home may have swept the key before the export.
		return work.UnknownOutcome(work.ReasonKeyExpired)
	}
	switch {
	case now.Before(key.Expires):
		return nil
	case now.Sub(key.Expires) < retentionAfterExpiry:
		return work.Refuse(work.ReasonKeyExpired, 0)
	default:
		return work.UnknownOutcome(work.ReasonKeyExpired)
	}
}

// lookupHome reports whether the keys of home belong to this instance or did
// until a handover began. For inherited keys it also returns when the former
// home exported them.
func (s *Service) lookupHome(home control.Identity) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if home == s.self {
		return time.Time{}, true
	}
	exportedAt, ok := s.inheritedHomes[home]
	return exportedAt, ok
}

// handoverTarget returns the instance that receives the keys of this one, or ""
// if no handover has begun.
func (s *Service) handoverTarget() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.successor
}

// serveCallerKey handles a request with a caller-chosen key.
func (s *Service) serveCallerKey(ctx context.Context, req *work.Request) *work.Response {
	if successor := s.handoverTarget(); successor != "" {
		return s.forwardAfterHandover(ctx, successor, req)
	}
	id := entryID{Service: req.Service, Key: req.Key}
	allowAbsent := func() *work.Response { return nil }
	e, started, refusal := s.table.startAttempt(id, time.Now().Add(s.issuer.keyLifetime), time.Now(), allowAbsent)
	if refusal != nil {
		// The key may have run at a home that is unknown here.
		return work.UnknownOutcome(refusal.Reason)
	}
	if started && !e.claimed {
		holder, err := s.claimHome(ctx, req, id, e)
		if err != nil {
			return work.UnknownOutcome(work.ReasonPlatformUnreachable)
		}
		if holder != s.self {
			return s.forwardToHolder(ctx, req, holder)
		}
	}
	buffered, err := bufferRequest(req)
	if err != nil {
		if started {
			s.table.finishAttempt(id, e, storedOutcome{Outcome: work.NotRun})
		}
		return work.UnknownOutcome(work.ReasonBadRequest)
	}
	defer buffered.body.Detach()
	if started {
		return s.runAttempt(ctx, buffered, id, e)
	}
	if resp := s.answerRepeat(ctx, buffered, e); resp != nil {
		return resp
	}
	retry := *req
	if req.Body != nil {
		reader, ok := buffered.body.Next()
		if !ok {
			return work.UnknownOutcome(work.ReasonBadRequest)
		}
		retry.Body = reader
	}
	return s.serveCallerKey(ctx, &retry)
}

// claimHome determines the home of the key for an entry whose attempt this call
// started. It discards the entry unless this instance wins the claim. It returns
// the zero Identity if this instance holds an earlier claim, and an error if the
// claim failed.
func (s *Service) claimHome(ctx context.Context, req *work.Request, id entryID, e *entry) (control.Identity, error) {
	claimCtx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	s.stats.Claims.Add(1)
	claim, err := s.claimer.Claim(claimCtx, req.Service, req.Key)
	if err != nil {
		s.table.discard(id, e)
		return control.Identity{}, Error.Wrap(err)
	}
	if claim.Won {
		s.table.setClaimed(e, claim.Expires)
		return s.self, nil
	}
	s.table.discard(id, e)
	if claim.Holder == s.self {
		// The claim is held here, but its entry is no longer in the table: the
		// request may have run.
		return control.Identity{}, nil
	}
	return claim.Holder, nil
}

// forwardToHolder forwards a request whose key was claimed by another instance.
func (s *Service) forwardToHolder(ctx context.Context, req *work.Request, holder control.Identity) *work.Response {
	if _, isHome := s.lookupHome(holder); isHome || holder == (control.Identity{}) {
		return work.UnknownOutcome(work.ReasonHomeReplaced)
	}
	successor, ok := s.snapshot().Successors[holder]
	if !ok {
		successor = holder.Instance
	}
	if successor == s.self.Instance {
		return work.UnknownOutcome(work.ReasonHomeReplaced)
	}
	return s.forwardToHome(ctx, successor, req)
}

// homeHeader marks responses sent by the home of a key, so that a refusal by the
// transport is not mistaken for the home's statement about the key.
const homeHeader = "Idempotency-Home"

// markFromHome returns a copy of the response with homeHeader set.
func markFromHome(resp *work.Response) *work.Response {
	marked := *resp
	marked.Header = resp.Header.Clone()
	if marked.Header == nil {
		marked.Header = http.Header{}
	}
	marked.Header.Set(homeHeader, "true")
	return &marked
}

// forwardToHome sends the request to the home of its key. Only the home can prove
// that a key did not run; without its response the outcome is unknown.
func (s *Service) forwardToHome(ctx context.Context, home string, req *work.Request) *work.Response {
	s.stats.Forwarded.Add(1)
	resp := s.peers.Do(ctx, home, peer.RoleHome, req)
	if resp.Header.Get(homeHeader) == "" {
		if resp.Body != nil {
			resp.Body.Close()
		}
		return work.UnknownOutcome(work.ReasonHomeUnreachable)
	}
	resp.Header.Del(homeHeader)
	return resp
}

// forwardAfterHandover waits for the handover to end and forwards the request to
// the successor.
func (s *Service) forwardAfterHandover(ctx context.Context, successor string, req *work.Request) *work.Response {
	if !waitDone(ctx, s.handoverDone, req.Deadline) {
		return work.UnknownOutcome(work.ReasonHomeReplaced)
	}
	return s.forwardToHome(ctx, successor, req)
}
