package traffic

import (
	"context"
	"sync"
	"time"

	"sycamoreledge.example/internal/peer"
	"sycamoreledge.example/internal/work"
)

const (
	// livenessMaxAge is how recent the last answered request to a peer in this
	// region must be for requests to be sent without a ping.
	livenessMaxAge = 100 * time.Millisecond
	// livenessRoundTrips is how many declared round trips are added to
	// livenessMaxAge for a peer in another region.
	livenessRoundTrips = 10
	// pingTimeout bounds a ping; the declared round trip between regions is added.
	pingTimeout = 150 * time.Millisecond
	// minPeerBackoff is how long a peer that did not answer gets no requests. It
	// doubles with each consecutive failure, up to maxPeerBackoff.
	minPeerBackoff = 250 * time.Millisecond
	maxPeerBackoff = 2 * time.Second
	// pingMethod is the request method of a ping. The receiver always refuses it.
	pingMethod = "PEER-PING"
)

// liveness tracks which peers answer. Non-idempotent work sent to a peer that has
// just died ends with an unknown outcome, and a lookup waits until its timeout.
// Pinging a peer that has not answered recently makes both rare, but can't rule
// them out.
type liveness struct {
	mu    sync.Mutex
	peers map[string]*peerState
}

// peerState is what is known of one peer.
type peerState struct {
	lastAnswered time.Time // when the last request that it answered was sent
	backoffUntil time.Time // no requests are sent to it until then
	backoff      time.Duration
	pingDone     chan struct{}
}

func newLiveness() *liveness { return &liveness{peers: make(map[string]*peerState)} }

// state returns the state of a peer and creates it if needed. The caller must hold
// the mutex.
func (l *liveness) state(name string) *peerState {
	p := l.peers[name]
	if p == nil {
		p = &peerState{}
		l.peers[name] = p
	}
	return p
}

// backingOff reports whether the peer recently failed to answer and its backoff
// has not passed.
func (l *liveness) backingOff(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Now().Before(l.state(name).backoffUntil)
}

// recordResponse applies the response to a request that was sent to the peer at
// the given time.
func (l *liveness) recordResponse(name string, sent time.Time, resp *work.Response) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.state(name)
	switch resp.Reason {
	case work.ReasonCanceled, work.ReasonLinkCap:
	case work.ReasonPeerUnreachable, work.ReasonPeerBroken:
		if p.lastAnswered.After(sent) {
			return // it has answered a request that was sent later
		}
		p.backoff = min(max(2*p.backoff, minPeerBackoff), maxPeerBackoff)
		p.backoffUntil = time.Now().Add(p.backoff)
		p.lastAnswered = time.Time{}
	default:
		if sent.After(p.lastAnswered) {
			p.lastAnswered = sent
		}
		p.backoffUntil, p.backoff = time.Time{}, 0
	}
}

// beginPing returns true if the caller must ping the peer and then call
// finishPing. Otherwise it returns a channel that is closed when the ping in
// flight ends, or nil if the peer answered within maxAge.
func (l *liveness) beginPing(name string, maxAge time.Duration) (bool, chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.state(name)
	switch {
	case time.Since(p.lastAnswered) < maxAge:
		return false, nil
	case p.pingDone != nil:
		return false, p.pingDone
	}
	p.pingDone = make(chan struct{})
	return true, nil
}

// finishPing wakes the callers that wait for the ping.
func (l *liveness) finishPing(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.state(name)
	close(p.pingDone)
	p.pingDone = nil
}

// confirmLive reports whether the peer answered recently, and pings it first if it
// did not.
func (r *Router) confirmLive(ctx context.Context, name string, to *route) bool {
	maxAge := livenessMaxAge + livenessRoundTrips*to.roundTrip
	mustPing, pending := r.liveness.beginPing(name, maxAge)
	switch {
	case mustPing:
		r.ping(ctx, name, to)
		r.liveness.finishPing(name)
	case pending != nil:
		select {
		case <-pending:
		case <-ctx.Done():
			return false
		}
	}
	r.liveness.mu.Lock()
	defer r.liveness.mu.Unlock()
	return time.Since(r.liveness.state(name).lastAnswered) < maxAge+pingTimeout
}

func (r *Router) ping(ctx context.Context, name string, to *route) {
	sent := time.Now()
	timeout := pingTimeout + to.roundTrip
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r.stats.Pings.Add(1)
	resp := r.peers.Do(bounded, name, peer.RolePool, &work.Request{
		Service: to.pool.Service, Kind: work.Lookup, Method: pingMethod, Path: "/",
		Pool: to.pool, Deadline: sent.Add(timeout),
	})
	if bounded.Err() != nil && ctx.Err() == nil {
		resp = work.UnknownOutcome(work.ReasonPeerBroken)
	}
	r.liveness.recordResponse(name, sent, resp)
}
