// Package peer carries control messages and requests between instances over
// QUIC with mutual TLS, encoded in CBOR.
package peer

import (
	"context"

	"sycamoreledge.example/internal/control"
	"sycamoreledge.example/internal/work"
)

// Role is the capacity in which a peer is asked to run a request.
type Role uint8

const (
	// RolePool asks the owner of Request.Pool to admit and dispatch the request.
	RolePool Role = iota + 1
	// RoleHome asks the home instance of the idempotency key Request.Key to run
	// the request at most once.
	RoleHome
)

// Handler processes control messages, requests and key handovers from peers.
// Its methods are called concurrently.
type Handler interface {
	// HandleControl processes a control message. It must not block.
	HandleControl(msg control.Message)
	// ServeWork runs a request from a peer and returns the response.
	ServeWork(ctx context.Context, role Role, req *work.Request) *work.Response
	// AcceptKeys accepts the idempotency keys of a leaving peer. The encoding of
	// value is opaque to this package. An error refuses the handover.
	AcceptKeys(ctx context.Context, from control.Identity, value []byte) error
}

// Transport sends messages and requests to other instances, addressed by their
// names in the topology.
type Transport interface {
	// SendControl queues a message and returns at once. Delivery is best effort.
	SendControl(to string, msg control.Message)
	// Do runs a request at a peer. If the request provably was not handled by
	// the peer, the outcome is NotRun with ReasonPeerUnreachable; if the response
	// was lost, it is Unknown. A body larger than replay.Limit, or of unknown
	// length, is not read before the peer's handler reads it.
	Do(ctx context.Context, to string, role Role, req *work.Request) *work.Response
	// HandOverKeys hands idempotency keys over to a peer and returns once the peer
	// has acknowledged them.
	HandOverKeys(ctx context.Context, to string, value []byte) error
	// Close closes all connections.
	Close() error
}
