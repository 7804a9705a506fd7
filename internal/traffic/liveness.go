package traffic

import (
	"context"
	"sync"
	"time"

	"sycamoreledge.example/internal/peer"
	"sycamoreledge.example/internal/work"
)

const (
	// heardWithin is the age of the last answer of a peer of the region up to
	// which requests are sent to it without a ping.
	heardWithin = 100 * time.Millisecond
	// heardRoundTrips is by how many round trips it is larger beyond the region.
	heardRoundTrips = 10
	// pingTimeout bounds a ping, beside the travel time between regions.
	pingTimeout = 150 * time.Millisecond
	// avoidFor is how long a peer that did not answer is not asked, and twice as
	// long after each further time, up to maxAvoid.
	avoidFor = 250 * time.Millisecond
	maxAvoid = 2 * time.Second
	// pingMethod is the method of a ping, which the receiver always refuses.
	pingMethod = "PEER-PING"
)

// liveness is what the answers of peers tell of them. Work with an effect that
// is sent to a peer which died a moment ago ends unknown, and a lookup waits in
// vain; a ping before it, where there was no other answer for a while, makes
// that rare. It is no proof.
type liveness struct {
	mu    sync.Mutex
	peers map[string]*peerState
}

// peerState is one peer.
type peerState struct {
	heard time.Time // start of the last request that it answered
	avoid time.Time // until then it is not asked
	pause time.Duration
	ping  chan struct{}
}

func newLiveness() *liveness { return &liveness{peers: make(map[string]*peerState)} }

// state returns the row of a peer; the mutex is held.
func (l *liveness) state(name string) *peerState {
	p := l.peers[name]
	if p == nil {
		p = &peerState{}
		l.peers[name] = p
	}
	return p
}

// avoided reports whether the peer did not answer a moment ago.
func (l *liveness) avoided(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Now().Before(l.state(name).avoid)
}

// note applies the result of a request that was sent to the peer at a time.
func (l *liveness) note(name string, sent time.Time, resp *work.Response) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.state(name)
	switch resp.Reason {
	case work.ReasonCanceled, work.ReasonLinkCap:
	case work.ReasonPeerUnreachable, work.ReasonPeerBroken:
		if p.heard.After(sent) {
			return // it answered a later request
		}
		p.pause = min(max(2*p.pause, avoidFor), maxAvoid)
		p.avoid = time.Now().Add(p.pause)
		p.heard = time.Time{}
	default:
		if sent.After(p.heard) {
			p.heard = sent
		}
		p.avoid, p.pause = time.Time{}, 0
	}
}

// begin returns true when the caller must ping the peer, and otherwise a channel
// to wait for, or nil when the peer was heard of lately.
func (l *liveness) begin(name string, within time.Duration) (bool, chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.state(name)
	switch {
	case time.Since(p.heard) < within:
		return false, nil
	case p.ping != nil:
		return false, p.ping
	}
	p.ping = make(chan struct{})
	return true, nil
}

// finish wakes those who wait for a ping.
func (l *liveness) finish(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.state(name)
	close(p.ping)
	p.ping = nil
}

// answers reports whether the peer was heard of lately, and asks it if not.
func (r *Router) answers(ctx context.Context, name string, to *route) bool {
	within := heardWithin + heardRoundTrips*to.roundTrip
	mine, pending := r.liveness.begin(name, within)
	switch {
	case mine:
		r.ping(ctx, name, to)
		r.liveness.finish(name)
	case pending != nil:
		select {
		case <-pending:
		case <-ctx.Done():
			return false
		}
	}
	r.liveness.mu.Lock()
	defer r.liveness.mu.Unlock()
	return time.Since(r.liveness.state(name).heard) < within+pingTimeout
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
		resp = work.Uncertain(work.ReasonPeerBroken)
	}
	r.liveness.note(name, sent, resp)
}
