// Package peer carries messages and requests between instances over QUIC with
// mutual TLS, in CBOR frames.
package peer

import (
	"context"

	"sycamoreledge.example/internal/control"
	"sycamoreledge.example/internal/work"
)

// Role says in which capacity a peer is asked to run a request.
type Role uint8

// The roles.
const (
	// RolePool asks the owner of Request.Pool to admit and dispatch it.
	RolePool Role = iota + 1
	// RoleHome asks the home of Request.Key to run it at most once.
	RoleHome
)

// Handler receives what peers send. Its methods run concurrently.
type Handler interface {
	// HandleControl takes a control message; it must not block.
	HandleControl(msg control.Message)
	// ServeWork runs a request of a peer and returns its response.
	ServeWork(ctx context.Context, role Role, req *work.Request) *work.Response
	// TakeKeys accepts the idempotency keys of a leaving peer. The value is
	// opaque to this package.
	TakeKeys(ctx context.Context, from control.Identity, value []byte) error
}

// Transport reaches other instances by their declared names.
type Transport interface {
	// SendControl sends a message without waiting; it may be lost.
	SendControl(to string, msg control.Message)
	// Do runs a request at a peer. When the request provably never reached the
	// peer the outcome is NotRun with ReasonPeerUnreachable; when the answer
	// was lost it is Unknown. A body that replay could not keep is read only
	// when the peer's handler reads it.
	Do(ctx context.Context, to string, role Role, req *work.Request) *work.Response
	// GiveKeys hands idempotency keys to a peer and returns when it has them.
	GiveKeys(ctx context.Context, to string, value []byte) error
	// Close ends all connections.
	Close() error
}
