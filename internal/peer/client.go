package peer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"sycamoreledge.example/internal/work"
)

// maxInlineBytes is the size of the largest body in memory that is written
// together with its head.
const maxInlineBytes = 64 << 10

// Do implements Transport. The request body may still be read after Do has
// returned: after a refusal no new read starts, though one may be in progress,
// and after a Run reads may go on until Response.Body is closed. The context must
// stay valid until Response.Body is closed: reading the response body fails once
// the context ends, or once Timing.Idle has passed after the request's deadline.
func (n *Node) Do(ctx context.Context, to string, role Role, req *work.Request) *work.Response {
	remaining := time.Until(req.Deadline)
	if remaining <= 0 {
		return work.Refuse(work.ReasonDeadline, 0)
	}
	if ctx.Err() != nil {
		return refuseUnsent(ctx)
	}
	head, err := encMode.Marshal(newRequestHead(role, req, remaining))
	if err != nil || len(head) > n.config.Limits.HeadBytes {
		return work.Refuse(work.ReasonBadRequest, 0)
	}
	r, ok := n.peers[to]
	if !ok {
		return work.Refuse(work.ReasonPeerUnreachable, 0)
	}
	// The wait goes on for Timing.Idle after the deadline, because the response
	// that the peer sends at the deadline is more precise than a local timeout.
	ctx, cancel := context.WithDeadline(ctx, req.Deadline.Add(n.config.Timing.Idle))
	x, err := r.openExchange(ctx, cancel, connClassOf(req.Kind))
	if err != nil {
		defer cancel()
		return refuseUnsent(ctx)
	}
	return x.roundTrip(head, req)
}

// openExchange opens a stream to the peer, which is reset when ctx ends. The
// exchange calls cancel when it finishes.
func (r *remotePeer) openExchange(ctx context.Context, cancel context.CancelFunc, class connClass) (*exchange, error) {
	c, err := r.connect(ctx, class)
	if err != nil {
		return nil, err
	}
	stream, err := c.openStream()
	if err != nil {
		return nil, err
	}
	x := &exchange{ctx: ctx, cancel: cancel, conn: c, stream: stream, frames: newFrameReader(stream)}
	x.stopContextWatch = context.AfterFunc(ctx, func() { reset(stream, codeCanceled) })
	return x, nil
}

// refuseUnsent returns the response to a request that was not sent.
func refuseUnsent(ctx context.Context) *work.Response {
	return work.Refuse(contextReason(ctx, work.ReasonPeerUnreachable), 0)
}

// contextReason returns the reason for which the context ended, or fallback if it
// has not ended.
func contextReason(ctx context.Context, fallback work.Reason) work.Reason {
	switch {
	case ctx.Err() == nil:
		return fallback
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return work.ReasonDeadline
	default:
		return work.ReasonCanceled
	}
}

// exchange is a stream opened by this side, with the request or key handover and
// the reply on it.
type exchange struct {
	ctx    context.Context
	cancel context.CancelFunc
	conn   *conn
	stream *quic.Stream
	frames *frameReader
	// stopContextWatch cancels the reset of the stream at the end of the context.
	stopContextWatch func() bool
	finishOnce       sync.Once
}

// finish ends the exchange. Transfers that are not complete in either direction
// are stopped with the code. Calls after the first have no effect.
func (x *exchange) finish(code quic.StreamErrorCode) {
	x.finishOnce.Do(func() {
		x.stopContextWatch()
		reset(x.stream, code)
		x.conn.release()
		x.cancel()
	})
}

// roundTrip sends a request with the encoded head and returns the response.
func (x *exchange) roundTrip(head []byte, req *work.Request) *work.Response {
	var continued chan struct{}
	if expectsContinue(req.Body, req.Length) {
		continued = make(chan struct{})
	}
	x.send(frameRequest, head, req.Body, req.Length, continued)
	payload, err := x.readResponseFrame(continued)
	if err != nil {
		return x.failedResponse(err)
	}
	x.conn.receivedAny.Store(true)
	respHead, err := parseResponseHead(payload)
	if err != nil {
		return x.failedResponse(err)
	}
	resp := respHead.response()
	if !respHead.HasBody {
		x.finish(codeNotNeeded)
		return resp
	}
	resp.Body = &responseBody{exchange: x, body: newBodyReader(x.frames, respHead.Length)}
	return resp
}

// readResponseFrame reads frames up to frameResponse and returns its payload. On
// frameContinue it closes continued, which is nil if the request does not expect
// that frame.
func (x *exchange) readResponseFrame(continued chan struct{}) ([]byte, error) {
	for {
		kind, payload, err := x.frames.readFrame(x.conn.node.config.Limits.HeadBytes)
		switch {
		case err != nil:
			return nil, err
		case kind == frameResponse:
			return payload, nil
		case kind == frameContinue && continued != nil:
			close(continued)
			continued = nil
		default:
			return nil, errMalformed.New("got a frame of type %d, expected a response", kind)
		}
	}
}

// failedResponse ends an exchange that failed with err and returns the response
// for the caller: a refusal if the peer provably did not handle the request, else
// an unknown outcome.
func (x *exchange) failedResponse(err error) *work.Response {
	if !errInterrupted.Has(err) {
		x.conn.reportRefusedInput(err)
	}
	reason := contextReason(x.ctx, work.ReasonPeerBroken)
	x.finish(codeCanceled)
	if x.conn.provesNotHandled(err) {
		return work.Refuse(work.ReasonPeerUnreachable, 0)
	}
	return work.UnknownOutcome(reason)
}

// send writes a head and a body. A body that is not in memory is sent by a
// separate goroutine, so that an early response is read at once. If continued is
// not nil, that goroutine waits until it is closed. Write errors are not returned,
// since reading the response then fails as well.
func (x *exchange) send(kind frameType, head []byte, body io.Reader, length int64, continued <-chan struct{}) {
	buffer := make([]byte, 0, frameHeaderBytes+len(head))
	buffer = appendFrame(buffer, kind, head)
	if body == nil {
		x.write(buffer)
		_ = x.stream.Close()
		return
	}
	if data, ok := readInMemory(body, length); ok {
		x.write(appendBody(buffer, data))
		_ = x.stream.Close()
		return
	}
	x.write(buffer)
	go func() {
		if !x.awaitContinue(continued) {
			return
		}
		if err := sendBody(x.stream, body, length); err != nil {
			x.stream.CancelWrite(codeBodyFailed)
			return
		}
		_ = x.stream.Close()
	}()
}

// awaitContinue waits until the peer asks for the body. It returns false if the
// exchange ended first.
func (x *exchange) awaitContinue(continued <-chan struct{}) bool {
	if continued == nil {
		return true
	}
	select {
	case <-continued:
		return true
	case <-x.ctx.Done():
		return false
	}
}

func (x *exchange) write(b []byte) { _, _ = x.stream.Write(b) }

// readInMemory reads and returns the body if it is in memory, has at most
// maxInlineBytes and has the declared length (-1 accepts any length).
func readInMemory(body io.Reader, length int64) ([]byte, bool) {
	var size int
	switch b := body.(type) {
	case *bytes.Reader:
		size = b.Len()
	case *bytes.Buffer:
		size = b.Len()
	case *strings.Reader:
		size = b.Len()
	default:
		return nil, false
	}
	if size > maxInlineBytes || (length >= 0 && int64(size) != length) {
		return nil, false
	}
	data, err := io.ReadAll(body)
	return data, err == nil
}

// responseBody is the body of a response. Read returns io.EOF only at the end of
// a complete body.
type responseBody struct {
	exchange *exchange
	body     *bodyReader
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if err == nil {
		return n, nil
	}
	if errors.Is(err, io.EOF) {
		b.exchange.finish(codeNotNeeded)
		return n, io.EOF
	}
	if !errInterrupted.Has(err) {
		b.exchange.conn.reportRefusedInput(err)
	}
	cause := b.exchange.ctx.Err()
	b.exchange.finish(codeCanceled)
	if cause != nil {
		return n, Error.Wrap(cause)
	}
	return n, Error.Wrap(err)
}

// Close implements io.Closer. A call before the end of the body cancels the
// request.
func (b *responseBody) Close() error {
	b.exchange.finish(codeCanceled)
	return nil
}
