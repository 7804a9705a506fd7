package entry

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"sycamoreledge.example/internal/claims"
	"sycamoreledge.example/internal/control"
	"sycamoreledge.example/internal/event"
	"sycamoreledge.example/internal/idempotency"
	"sycamoreledge.example/internal/peer"
	"sycamoreledge.example/internal/work"
)

// peerHandler serves what other instances send.
type peerHandler struct {
	entry *entry
	// active counts requests of peers whose answers are not sent yet.
	active atomic.Int64
}

// HandleControl implements peer.Handler.
func (h *peerHandler) HandleControl(msg control.Message) { h.entry.loop.Receive(msg) }

// ServeWork implements peer.Handler.
func (h *peerHandler) ServeWork(ctx context.Context, role peer.Role, req *work.Request) *work.Response {
	h.active.Add(1)
	resp := h.entry.links.PaceResponse(ctx, req.Sender, h.serve(ctx, role, req))
	if resp.Body == nil {
		h.active.Add(-1)
		return resp
	}
	resp.Body = &countedBody{ReadCloser: resp.Body, active: &h.active}
	return resp
}

// countedBody is the body of an answer to a peer. The answer counts as active
// until the body is closed, after it was sent.
type countedBody struct {
	io.ReadCloser
	active *atomic.Int64
	once   sync.Once
}

// Close implements io.Closer.
func (b *countedBody) Close() error {
	b.once.Do(func() { b.active.Add(-1) })
	return b.ReadCloser.Close()
}

func (h *peerHandler) serve(ctx context.Context, role peer.Role, req *work.Request) *work.Response {
	switch role {
	case peer.RolePool:
		return h.entry.router.ServePool(ctx, req)
	case peer.RoleHome:
		return h.entry.once.ServeHome(ctx, req)
	default:
		return work.Refuse(work.ReasonBadRequest, 0)
	}
}

// AcceptKeys implements peer.Handler.
func (h *peerHandler) AcceptKeys(_ context.Context, from control.Identity, value []byte) error {
	if err := h.entry.once.Import(from, value); err != nil {
		return err
	}
	held := h.entry.once.InheritedHomes()
	h.entry.loop.Do(func(c *control.Core) { c.AnnounceInheritedRuns(held) })
	keys, _ := h.entry.once.Size()
	h.entry.events.Log(event.KeysTaken, "from", from.Instance, "incarnation", from.Incarnation, "keys", keys)
	return nil
}

// claimer adapts the claims on the platform to the keys' service.
type claimer struct {
	claims *claims.Claimer
	events *event.Logger
}

// Claim implements idempotency.Claimer.
func (c *claimer) Claim(ctx context.Context, service, key string) (idempotency.Claim, error) {
	claim, err := c.claims.Claim(ctx, service, key)
	switch {
	case err != nil:
		c.events.Log(event.ClaimUncertain, "service", service, "error", err)
	case !claim.Won:
		c.events.Log(event.ClaimLost, "service", service)
	}
	return idempotency.Claim{Won: claim.Won, Holder: claim.Holder, Expires: claim.Expires}, err
}

// warnExpiry reports a certificate that has expired or soon will.
func (e *entry) warnExpiry() {
	const soon = 14 * 24 * time.Hour
	expires := e.keys.Expires()
	left := time.Until(expires)
	file := e.bundle.Settings.TLS.Certificate
	switch {
	case left <= 0:
		e.events.Log(event.CertificateExpired, "file", file, "not_after", expires)
	case left < soon:
		e.events.Log(event.CertificateExpiring, "file", file, "not_after", expires)
	}
}

func (e *entry) onReload(err error) {
	if err != nil {
		e.events.Log(event.CertificateInvalid, "file", e.bundle.Settings.TLS.Certificate, "error", err)
	}
}
