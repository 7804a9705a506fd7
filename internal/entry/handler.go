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

// peerHandler handles messages and requests from other instances.
type peerHandler struct {
	instance *entryInstance
	// active counts requests from peers whose response has not been sent in full.
	active atomic.Int64
}

// HandleControl implements peer.Handler.
func (h *peerHandler) HandleControl(msg control.Message) { h.instance.loop.Receive(msg) }

// ServeWork implements peer.Handler.
func (h *peerHandler) ServeWork(ctx context.Context, role peer.Role, req *work.Request) *work.Response {
	h.active.Add(1)
	resp := h.instance.peerTransport.PaceResponse(ctx, req.Sender, h.dispatch(ctx, role, req))
	if resp.Body == nil {
		h.active.Add(-1)
		return resp
	}
	resp.Body = &countedBody{ReadCloser: resp.Body, active: &h.active}
	return resp
}

// countedBody is the body of a response to a peer. The request counts as active
// until the body is closed, which happens after it was sent.
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

func (h *peerHandler) dispatch(ctx context.Context, role peer.Role, req *work.Request) *work.Response {
	switch role {
	case peer.RolePool:
		return h.instance.router.ServePool(ctx, req)
	case peer.RoleHome:
		return h.instance.idempotency.ServeHome(ctx, req)
	default:
		return work.Refuse(work.ReasonBadRequest, 0)
	}
}

// TakeKeys implements peer.Handler.
func (h *peerHandler) AcceptKeys(_ context.Context, from control.Identity, value []byte) error {
	if err := h.instance.idempotency.Import(from, value); err != nil {
		return err
	}
	inheritedRuns := h.instance.idempotency.InheritedHomes()
	h.instance.loop.Do(func(c *control.Core) { c.AnnounceInheritedRuns(inheritedRuns) })
	keys, _ := h.instance.idempotency.Size()
	h.instance.events.Log(event.KeysTaken, "from", from.Instance, "incarnation", from.Incarnation, "keys", keys)
	return nil
}

// loggingClaimer adapts claims.Claimer to idempotency.Claimer and logs claims that
// were lost or whose outcome is uncertain.
type loggingClaimer struct {
	claims *claims.Claimer
	events *event.Logger
}

// Claim implements idempotency.Claimer.
func (c *loggingClaimer) Claim(ctx context.Context, service, key string) (idempotency.Claim, error) {
	claim, err := c.claims.Claim(ctx, service, key)
	switch {
	case err != nil:
		c.events.Log(event.ClaimUncertain, "service", service, "error", err)
	case !claim.Won:
		c.events.Log(event.ClaimLost, "service", service)
	}
	return idempotency.Claim{Won: claim.Won, Holder: claim.Holder, Expires: claim.Expires}, err
}

// warnCertificateExpiry logs a certificate that has expired or expires within the
// warning period.
func (e *entryInstance) warnCertificateExpiry() {
	const warningPeriod = 14 * 24 * time.Hour
	expires := e.credentials.Expires()
	remaining := time.Until(expires)
	file := e.bundle.Settings.TLS.Certificate
	switch {
	case remaining <= 0:
		e.events.Log(event.CertificateExpired, "file", file, "not_after", expires)
	case remaining < warningPeriod:
		e.events.Log(event.CertificateExpiring, "file", file, "not_after", expires)
	}
}

func (e *entryInstance) logReloadError(err error) {
	if err != nil {
		e.events.Log(event.CertificateInvalid, "file", e.bundle.Settings.TLS.Certificate, "error", err)
	}
}
