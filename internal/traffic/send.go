package traffic

import (
	"context"
	"io"
	"time"

	"sycamoreledge.example/internal/peer"
	"sycamoreledge.example/internal/work"
)

// send makes one attempt at the instance. It returns false if the body can't be
// sent again.
func (t *traversal) send(ctx context.Context, r *route, instance string, queue bool) (*work.Response, bool) {
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
	t.router.stats.Attempts.Add(1)
	if instance == t.router.self {
		return t.router.pools.Serve(ctx, &req), true
	}
	return t.sendToPeer(ctx, r, instance, &req), true
}

// sendToPeer makes one attempt at a peer. The attempt of an idempotent request
// gets a share of the remaining time only.
func (t *traversal) sendToPeer(ctx context.Context, r *route, instance string, req *work.Request) *work.Response {
	if t.router.liveness.backingOff(instance) {
		return work.Refuse(work.ReasonPeerUnreachable, 0)
	}
	if !t.router.confirmLive(ctx, instance, r) {
		return work.Refuse(work.ReasonPeerUnreachable, 0)
	}
	sent := time.Now()
	if !req.Kind.Idempotent() {
		resp := t.router.peers.Do(ctx, instance, peer.RolePool, req)
		t.router.liveness.recordResponse(instance, sent, resp)
		return resp
	}
	remaining := time.Until(req.Deadline)
	req.Deadline = sent.Add(min(time.Duration(float64(remaining)*lookupAttemptShare), t.lookupTimeout(r)))
	bounded, cancel := context.WithDeadline(ctx, req.Deadline.Add(responseGrace+r.roundTrip))
	resp := t.router.peers.Do(bounded, instance, peer.RolePool, req)
	if resp.Outcome != work.Run && bounded.Err() != nil && ctx.Err() == nil {
		resp = work.UnknownOutcome(work.ReasonPeerBroken)
	}
	t.router.liveness.recordResponse(instance, sent, resp)
	if resp.Body == nil {
		cancel()
		return resp
	}
	resp.Body = &cancelBody{ReadCloser: resp.Body, cancel: cancel}
	return resp
}

// lookupTimeout is the upper bound of one attempt of an idempotent request at a
// peer.
func (t *traversal) lookupTimeout(r *route) time.Duration {
	return t.policy.DispatchTimeout + r.roundTrip
}

// cancelBody releases the context of an attempt when the response body is closed.
type cancelBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (b *cancelBody) Close() error {
	b.cancel()
	return b.ReadCloser.Close()
}
