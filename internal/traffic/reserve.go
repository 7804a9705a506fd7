package traffic

import (
	"context"
	"net/http"
	"time"

	"sycamoreledge.example/internal/peer"
	"sycamoreledge.example/internal/replay"
	"sycamoreledge.example/internal/work"
)

const (
	// askMethod is the method of a request without a body that asks a peer to
	// hold a slot for the one that follows. It never runs.
	askMethod = "PEER-ASK"
	// heldHeader marks the answer to it when a slot is held.
	heldHeader = "Slot-Held"
)

// bulk reports whether the body may be too long to be sent again after a refusal.
func (t *trip) bulk() bool {
	return t.req.Body != nil && (t.req.Length < 0 || t.req.Length > replay.Limit)
}

// reserve asks a peer to hold a slot before the body is sent, so that a refusal
// leaves the body for the next candidate. Whatever happens to the question, the
// request did not run.
func (t *trip) reserve(ctx context.Context, name string, req *work.Request) *work.Response {
	ask := *req
	ask.Method = askMethod
	ask.Body, ask.Length = nil, 0
	sent := time.Now()
	resp := t.router.peers.Do(ctx, name, peer.RolePool, &ask)
	t.router.liveness.note(name, sent, resp)
	switch {
	case resp.Outcome != work.NotRun:
		return work.Refuse(work.ReasonPeerUnreachable, 0)
	case resp.Header.Get(heldHeader) == "":
		return resp
	default:
		return nil
	}
}

// reserve answers the question of a peer.
func reserve(ctx context.Context, reserver Reserver, req *work.Request) *work.Response {
	if reserver == nil {
		return work.Refuse(work.ReasonBadRequest, 0)
	}
	if refusal := reserver.Reserve(ctx, req); refusal != nil {
		return refusal
	}
	held := work.Refuse(work.ReasonNotReady, 0)
	held.Header = http.Header{heldHeader: {"true"}}
	return held
}
