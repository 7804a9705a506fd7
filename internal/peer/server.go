package peer

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"sycamoreledge.example/internal/control"
	"sycamoreledge.example/internal/work"
)

// serveStream serves a stream that the peer has opened.
func (c *conn) serveStream(stream *quic.Stream) {
	frames := newFrameReader(stream)
	_ = stream.SetReadDeadline(time.Now().Add(c.node.config.Timing.Head))
	kind, payload, err := frames.next(c.node.config.Limits.HeadBytes)
	if err != nil {
		c.refuseStream(stream, err)
		return
	}
	_ = stream.SetReadDeadline(time.Time{})
	switch kind {
	case frameRequest:
		c.serveRequest(stream, frames, payload)
	case frameKeys:
		c.serveKeys(stream, frames, payload)
	default:
		c.refuseStream(stream, errMalformed.New("stream opens with a frame of type %d", kind))
	}
}

// refuseStream ends a stream before it was handled. A stream that was merely
// cut is not reported.
func (c *conn) refuseStream(stream *quic.Stream, err error) {
	code := codeMalformed
	switch {
	case errVersion.Has(err):
		code = codeVersion
	case errCut.Has(err):
		code = codeRefused
	}
	if !errCut.Has(err) {
		c.refused(err)
	}
	reset(stream, code)
}

// serveRequest runs a request and sends its response.
func (c *conn) serveRequest(stream *quic.Stream, frames *frameReader, payload []byte) {
	head, err := parseRequestHead(payload)
	if err != nil {
		c.refuseStream(stream, err)
		return
	}
	req := head.request(c.remote.name, time.Now())
	// The context of the stream ends when the peer resets it or is gone.
	ctx, cancel := context.WithDeadline(stream.Context(), req.Deadline)
	defer cancel()
	var body *servedBody
	if head.HasBody {
		body = &servedBody{conn: c, body: newBodyReader(frames, head.Length)}
		if head.Hold {
			body.held = stream
		}
		req.Body = body
	}
	resp := c.node.config.Handler.ServeWork(ctx, head.Role, req)
	body.stopAsking()
	// What the handler did not read is not wanted.
	stream.CancelRead(codeDone)
	c.respond(ctx, stream, resp)
}

// servedBody is the body of a request of a peer.
type servedBody struct {
	conn *conn
	body *bodyReader

	mu sync.Mutex
	// held is the stream on which the sender waits to be asked for the body.
	held io.Writer
}

// ask has a held body sent.
func (b *servedBody) ask() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.held == nil {
		return nil
	}
	_, err := b.held.Write(appendFrame(nil, frameContinue, nil))
	b.held = nil
	return err
}

// stopAsking keeps frames of the body's reader out of the response.
func (b *servedBody) stopAsking() {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held = nil
}

// Read implements io.Reader. It returns io.EOF only when the body is whole.
func (b *servedBody) Read(p []byte) (int, error) {
	if err := b.ask(); err != nil {
		return 0, Error.Wrap(err)
	}
	failed := b.body.err != nil
	n, err := b.body.Read(p)
	if err == nil || errors.Is(err, io.EOF) {
		return n, err
	}
	if !failed && !errCut.Has(err) {
		b.conn.refused(err)
	}
	return n, Error.Wrap(err)
}

// respond sends a response with its body.
func (c *conn) respond(ctx context.Context, stream *quic.Stream, resp *work.Response) {
	stop := func() bool { return true }
	if resp.Body != nil {
		defer resp.Body.Close()
		stop = context.AfterFunc(ctx, func() {
			resp.Body.Close()
			stream.CancelWrite(codeBroken)
		})
	}
	err := c.sendResponse(stream, resp)
	// Closing the stream ends its context too.
	stop()
	if err != nil {
		stream.CancelWrite(codeBroken)
		return
	}
	_ = stream.Close()
}

func (c *conn) sendResponse(stream *quic.Stream, resp *work.Response) error {
	if resp.Body == nil {
		return c.sendHead(stream, resp, nil)
	}
	if resp.Length >= 0 && resp.Length <= sendChunkBytes {
		return c.sendSmall(stream, resp)
	}
	head, err := c.encodeHead(resp)
	if err != nil {
		return err
	}
	if _, err := stream.Write(appendFrame(nil, frameResponse, head)); err != nil {
		return err
	}
	return sendBody(stream, resp.Body, resp.Length)
}

// sendSmall sends head and body at once. A body that fails shows in the
// outcome, since nothing was sent yet.
func (c *conn) sendSmall(stream *quic.Stream, resp *work.Response) error {
	buffer := chunkBuffers.Get().(*[]byte)
	defer chunkBuffers.Put(buffer)
	// One byte more than declared shows a body that is too long.
	n, err := readWhole(resp.Body, (*buffer)[:resp.Length+1])
	if err != nil || int64(n) != resp.Length {
		return c.sendHead(stream, work.Uncertain(work.ReasonUpstreamBroken), nil)
	}
	return c.sendHead(stream, resp, (*buffer)[:n])
}

func (c *conn) encodeHead(resp *work.Response) ([]byte, error) {
	head, err := encoding.Marshal(newResponseHead(resp))
	if err != nil {
		return nil, err
	}
	if len(head) > c.node.config.Limits.HeadBytes {
		return nil, errOversized.New("response head of %d bytes", len(head))
	}
	return head, nil
}

// sendHead sends a response whose body is in memory.
func (c *conn) sendHead(stream *quic.Stream, resp *work.Response, body []byte) error {
	head, err := c.encodeHead(resp)
	if err != nil {
		return err
	}
	buffer := make([]byte, 0, len(head)+len(body)+3*frameHeaderBytes+endBytes)
	buffer = appendFrame(buffer, frameResponse, head)
	if resp.Body != nil {
		buffer = appendBody(buffer, body)
	}
	_, err = stream.Write(buffer)
	return err
}

// serveKeys takes a handover of idempotency keys.
func (c *conn) serveKeys(stream *quic.Stream, frames *frameReader, payload []byte) {
	head, err := parseKeysHead(payload, c.node.config.Limits.KeysBytes)
	if err != nil {
		c.refuseStream(stream, err)
		return
	}
	value, err := readValue(newBodyReader(frames, head.Length), head.Length)
	if err != nil {
		c.refuseStream(stream, err)
		return
	}
	from := control.Identity{Instance: c.remote.name, Incarnation: head.Incarnation}
	reply := keysReply{Version: Version}
	if err := c.node.config.Handler.TakeKeys(stream.Context(), from, value); err != nil {
		reply.Error = err.Error()
		c.node.report(Event{Kind: KeysRefused, Peer: c.remote.name, Address: c.address(), Err: Error.Wrap(err)})
	}
	answer, err := encoding.Marshal(reply)
	if err != nil {
		reset(stream, codeBroken)
		return
	}
	if _, err := stream.Write(appendFrame(nil, frameKeysReply, answer)); err != nil {
		reset(stream, codeBroken)
		return
	}
	_ = stream.Close()
}

// readValue reads a body whole. Memory grows with what has arrived.
func readValue(body io.Reader, length int64) ([]byte, error) {
	value, err := io.ReadAll(body)
	if err != nil {
		return nil, err
	}
	if int64(len(value)) != length {
		return nil, errMalformed.New("value of %d bytes, declared %d", len(value), length)
	}
	return value, nil
}
