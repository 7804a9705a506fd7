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

// inlineBytes is the largest body in memory that is sent together with its
// head.
const inlineBytes = 64 << 10

// Do implements Transport. The request body may still be read after Do has
// returned: after a refusal no new read starts, though one may be in progress,
// and after a Run until Response.Body is closed. The context must stay valid
// until Response.Body is closed; its end cuts the body off, as does the idle
// timeout after the request's deadline.
func (n *Node) Do(ctx context.Context, to string, role Role, req *work.Request) *work.Response {
	remaining := time.Until(req.Deadline)
	if remaining <= 0 {
		return work.Refuse(work.ReasonDeadline, 0)
	}
	if ctx.Err() != nil {
		return notSent(ctx)
	}
	head, err := encoding.Marshal(newRequestHead(role, req, remaining))
	if err != nil || len(head) > n.config.Limits.HeadBytes {
		return work.Refuse(work.ReasonBadRequest, 0)
	}
	r, ok := n.peers[to]
	if !ok {
		return work.Refuse(work.ReasonPeerUnreachable, 0)
	}
	// The peer's own answer at the deadline says more than the end of the
	// wait, so it is given time to arrive.
	ctx, cancel := context.WithDeadline(ctx, req.Deadline.Add(n.config.Timing.Idle))
	x, err := r.open(ctx, cancel, classOf(req.Kind))
	if err != nil {
		defer cancel()
		return notSent(ctx)
	}
	return x.do(head, req)
}

// open starts an exchange with the peer. The function is called at its end.
func (r *remote) open(ctx context.Context, cancel context.CancelFunc, kind class) (*exchange, error) {
	c, err := r.connect(ctx, kind)
	if err != nil {
		return nil, err
	}
	stream, err := c.open()
	if err != nil {
		return nil, err
	}
	x := &exchange{ctx: ctx, cancel: cancel, conn: c, stream: stream, frames: newFrameReader(stream)}
	x.unwatch = context.AfterFunc(ctx, func() { reset(stream, codeCanceled) })
	return x, nil
}

// notSent is the response for a request that never left.
func notSent(ctx context.Context) *work.Response {
	return work.Refuse(contextReason(ctx, work.ReasonPeerUnreachable), 0)
}

// contextReason returns why the context ended, or the other reason if it did
// not.
func contextReason(ctx context.Context, other work.Reason) work.Reason {
	switch {
	case ctx.Err() == nil:
		return other
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return work.ReasonDeadline
	default:
		return work.ReasonCanceled
	}
}

// exchange is one stream opened by this end.
type exchange struct {
	ctx    context.Context
	cancel context.CancelFunc
	conn   *conn
	stream *quic.Stream
	frames *frameReader
	// unwatch ends the watch for the end of the context.
	unwatch func() bool
	once    sync.Once
}

// finish ends the exchange. What is still under way in either direction is
// stopped with the code.
func (x *exchange) finish(code quic.StreamErrorCode) {
	x.once.Do(func() {
		x.unwatch()
		reset(x.stream, code)
		x.conn.release()
		x.cancel()
	})
}

// do sends a request and returns the response.
func (x *exchange) do(head []byte, req *work.Request) *work.Response {
	var goAhead chan struct{}
	if holds(req.Body, req.Length) {
		goAhead = make(chan struct{})
	}
	x.send(frameRequest, head, req.Body, req.Length, goAhead)
	payload, err := x.response(goAhead)
	if err != nil {
		return x.fail(err)
	}
	x.conn.heard.Store(true)
	answer, err := parseResponseHead(payload)
	if err != nil {
		return x.fail(err)
	}
	resp := answer.response()
	if !answer.HasBody {
		x.finish(codeDone)
		return resp
	}
	resp.Body = &responseBody{exchange: x, body: newBodyReader(x.frames, answer.Length)}
	return resp
}

// response reads frames up to the response. It closes goAhead, which is nil for
// a body that was not held, when the peer wants the body.
func (x *exchange) response(goAhead chan struct{}) ([]byte, error) {
	for {
		kind, payload, err := x.frames.next(x.conn.node.config.Limits.HeadBytes)
		switch {
		case err != nil:
			return nil, err
		case kind == frameResponse:
			return payload, nil
		case kind == frameContinue && goAhead != nil:
			close(goAhead)
			goAhead = nil
		default:
			return nil, errMalformed.New("frame of type %d in place of a response", kind)
		}
	}
}

// fail ends the exchange without a response.
func (x *exchange) fail(err error) *work.Response {
	if !errCut.Has(err) {
		x.conn.refused(err)
	}
	reason := contextReason(x.ctx, work.ReasonPeerBroken)
	x.finish(codeCanceled)
	if x.conn.notHandled(err) {
		return work.Refuse(work.ReasonPeerUnreachable, 0)
	}
	return work.Uncertain(reason)
}

// send writes a head and a body. A body that is not in memory is sent by a
// goroutine of its own, so that an early response is seen at once, and after
// goAhead where that is not nil. Failures of the stream show in the response.
func (x *exchange) send(kind frameType, head []byte, body io.Reader, length int64, goAhead <-chan struct{}) {
	buffer := make([]byte, 0, frameHeaderBytes+len(head))
	buffer = appendFrame(buffer, kind, head)
	if body == nil {
		x.write(buffer)
		_ = x.stream.Close()
		return
	}
	if data, ok := inMemory(body, length); ok {
		x.write(appendBody(buffer, data))
		_ = x.stream.Close()
		return
	}
	x.write(buffer)
	go func() {
		if !x.await(goAhead) {
			return
		}
		if err := sendBody(x.stream, body, length); err != nil {
			x.stream.CancelWrite(codeBroken)
			return
		}
		_ = x.stream.Close()
	}()
}

// await waits for the peer to want the body; it returns false when the exchange
// ended before.
func (x *exchange) await(goAhead <-chan struct{}) bool {
	if goAhead == nil {
		return true
	}
	select {
	case <-goAhead:
		return true
	case <-x.ctx.Done():
		return false
	}
}

func (x *exchange) write(b []byte) { _, _ = x.stream.Write(b) }

// inMemory returns the whole body when it is a small one that is read without
// waiting and has the declared length.
func inMemory(body io.Reader, length int64) ([]byte, bool) {
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
	if size > inlineBytes || (length >= 0 && int64(size) != length) {
		return nil, false
	}
	data, err := io.ReadAll(body)
	return data, err == nil
}

// responseBody is the body of a response. It ends with io.EOF only when it was
// read whole.
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
		b.exchange.finish(codeDone)
		return n, io.EOF
	}
	if !errCut.Has(err) {
		b.exchange.conn.refused(err)
	}
	cause := b.exchange.ctx.Err()
	b.exchange.finish(codeCanceled)
	if cause != nil {
		return n, Error.Wrap(cause)
	}
	return n, Error.Wrap(err)
}

// Close implements io.Closer. Before the end of the body it cancels the
// request.
func (b *responseBody) Close() error {
	b.exchange.finish(codeCanceled)
	return nil
}
