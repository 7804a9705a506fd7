package traffic

import (
	"context"
	"io"
	"time"

	"sycamoreledge.example/internal/peer"
	"sycamoreledge.example/internal/work"
)

// send makes one attempt; it returns false when the body can't be sent again.
func (t *trip) send(ctx context.Context, r *route, name string, queue bool) (*work.Response, bool) {
	reader, ok := t.body.Next()
	if !ok {
		return nil, false
	}
	req := *t.req
	req.Pool = r.pool
	req.Queue = queue
	req.Body = nil
	if t.req.Body != nil {
		req.Body = reader
	}
	t.router.stats.Asks.Add(1)
	if name == t.router.self {
		return t.router.pools.Serve(ctx, &req), true
	}
	return t.sendPeer(ctx, r, name, &req), true
}

// sendPeer makes one attempt at a peer.
func (t *trip) sendPeer(ctx context.Context, r *route, name string, req *work.Request) *work.Response {
	if t.router.liveness.avoided(name) {
		return work.Refuse(work.ReasonPeerUnreachable, 0)
	}
	if !t.router.answers(ctx, name, r) {
		return work.Refuse(work.ReasonPeerUnreachable, 0)
	}
	sent := time.Now()
	if !req.Kind.Idempotent() {
		resp := t.router.peers.Do(ctx, name, peer.RolePool, req)
		t.router.liveness.note(name, sent, resp)
		return resp
	}
	left := time.Until(req.Deadline)
	req.Deadline = sent.Add(min(time.Duration(float64(left)*lookupShare), t.lookupTimeout(r)))
	bounded, cancel := context.WithDeadline(ctx, req.Deadline.Add(overdue+r.roundTrip))
	resp := t.router.peers.Do(bounded, name, peer.RolePool, req)
	if resp.Outcome != work.Run && bounded.Err() != nil && ctx.Err() == nil {
		resp = work.Uncertain(work.ReasonPeerBroken)
	}
	t.router.liveness.note(name, sent, resp)
	if resp.Body == nil {
		cancel()
		return resp
	}
	resp.Body = &cancelBody{ReadCloser: resp.Body, cancel: cancel}
	return resp
}

// lookupTimeout bounds one attempt of a lookup at a peer.
func (t *trip) lookupTimeout(r *route) time.Duration {
	return t.policy.DispatchTimeout + r.roundTrip
}

// cancelBody frees the context of an attempt once its answer was read.
type cancelBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (b *cancelBody) Close() error {
	b.cancel()
	return b.ReadCloser.Close()
}
