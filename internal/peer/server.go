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

// serveStream handles a request or key handover on a stream opened by the peer.
func (c *conn) serveStream(stream *quic.Stream) {
	frames := newFrameReader(stream)
	_ = stream.SetReadDeadline(time.Now().Add(c.node.config.Timing.Head))
	kind, payload, err := frames.readFrame(c.node.config.Limits.HeadBytes)
	if err != nil {
		c.refuseStream(stream, err)
		return
	}
	_ = stream.SetReadDeadline(time.Time{})
	switch kind {
	case frameRequest:
		c.serveRequest(stream, frames, payload)
	case frameKeys:
		c.serveKeyHandover(stream, frames, payload)
	default:
		c.refuseStream(stream, errMalformed.New("stream starts with a frame of type %d, expected a request or a key handover", kind))
	}
}

// refuseStream resets a stream that was not handled because of err, and reports
// the refusal unless the stream only ended early.
func (c *conn) refuseStream(stream *quic.Stream, err error) {
	code := codeMalformed
	switch {
	case errVersion.Has(err):
		code = codeVersion
	case errInterrupted.Has(err):
		code = codeRefused
	}
	if !errInterrupted.Has(err) {
		c.reportRefusedInput(err)
	}
	reset(stream, code)
}

// serveRequest runs a request and sends the response.
func (c *conn) serveRequest(stream *quic.Stream, frames *frameReader, payload []byte) {
	head, err := parseRequestHead(payload)
	if err != nil {
		c.refuseStream(stream, err)
		return
	}
	req := head.request(c.remote.name, time.Now())
	// The context of the stream ends when the peer resets the stream or the
	// connection ends.
	ctx, cancel := context.WithDeadline(stream.Context(), req.Deadline)
	defer cancel()
	var body *incomingBody
	if head.HasBody {
		body = &incomingBody{conn: c, body: newBodyReader(frames, head.Length)}
		if head.ExpectContinue {
			body.continueTo = stream
		}
		req.Body = body
	}
	resp := c.node.config.Handler.ServeWork(ctx, head.Role, req)
	body.disableContinue()
	// The peer is told to stop sending the part that the handler did not read.
	stream.CancelRead(codeNotNeeded)
	c.respond(ctx, stream, resp)
}

// incomingBody is the body of a request from a peer. The first Read asks the peer
// to send a body that it holds back.
type incomingBody struct {
	conn *conn
	body *bodyReader

	mu sync.Mutex
	// continueTo is the stream for frameContinue while the peer still waits for
	// that frame, else nil.
	continueTo io.Writer
}

// sendContinue asks the peer for the body if it still waits for that.
func (b *incomingBody) sendContinue() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.continueTo == nil {
		return nil
	}
	_, err := b.continueTo.Write(appendFrame(nil, frameContinue, nil))
	b.continueTo = nil
	return err
}

// disableContinue prevents later reads of the body from writing frameContinue
// into the response. It may be called on nil.
func (b *incomingBody) disableContinue() {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.continueTo = nil
}

// Read implements io.Reader. It returns io.EOF only at the end of a complete body.
func (b *incomingBody) Read(p []byte) (int, error) {
	if err := b.sendContinue(); err != nil {
		return 0, Error.Wrap(err)
	}
	failedBefore := b.body.err != nil
	n, err := b.body.Read(p)
	if err == nil || errors.Is(err, io.EOF) {
		return n, err
	}
	if !failedBefore && !errInterrupted.Has(err) {
		b.conn.reportRefusedInput(err)
	}
	return n, Error.Wrap(err)
}

// respond sends a response with its body, which it closes at the latest when ctx
// ends.
func (c *conn) respond(ctx context.Context, stream *quic.Stream, resp *work.Response) {
	stopContextWatch := func() bool { return true }
	if resp.Body != nil {
		defer resp.Body.Close()
		stopContextWatch = context.AfterFunc(ctx, func() {
			resp.Body.Close()
			stream.CancelWrite(codeBodyFailed)
		})
	}
	err := c.sendResponse(stream, resp)
	// The watch ends first, because closing the stream ends its context too.
	stopContextWatch()
	if err != nil {
		stream.CancelWrite(codeBodyFailed)
		return
	}
	_ = stream.Close()
}

func (c *conn) sendResponse(stream *quic.Stream, resp *work.Response) error {
	if resp.Body == nil {
		return c.sendBuffered(stream, resp, nil)
	}
	if resp.Length >= 0 && resp.Length <= sendChunkBytes {
		return c.sendSmallResponse(stream, resp)
	}
	head, err := c.encodeResponseHead(resp)
	if err != nil {
		return err
	}
	if _, err := stream.Write(appendFrame(nil, frameResponse, head)); err != nil {
		return err
	}
	return sendBody(stream, resp.Body, resp.Length)
}

// sendSmallResponse sends head and body in one write. If reading the body fails or
// its length is wrong, it sends an unknown outcome instead, which is possible
// because nothing has been sent yet.
func (c *conn) sendSmallResponse(stream *quic.Stream, resp *work.Response) error {
	buffer := chunkBuffers.Get().(*[]byte)
	defer chunkBuffers.Put(buffer)
	// One byte more than declared detects a body that is too long.
	n, err := readAllInto(resp.Body, (*buffer)[:resp.Length+1])
	if err != nil || int64(n) != resp.Length {
		return c.sendBuffered(stream, work.UnknownOutcome(work.ReasonUpstreamBroken), nil)
	}
	return c.sendBuffered(stream, resp, (*buffer)[:n])
}

func (c *conn) encodeResponseHead(resp *work.Response) ([]byte, error) {
	head, err := encMode.Marshal(newResponseHead(resp))
	if err != nil {
		return nil, err
	}
	if len(head) > c.node.config.Limits.HeadBytes {
		return nil, errOversized.New("response head of %d bytes exceeds the limit, response not sent", len(head))
	}
	return head, nil
}

// sendBuffered sends a response without a body, or with the given body, in one
// write.
func (c *conn) sendBuffered(stream *quic.Stream, resp *work.Response, body []byte) error {
	head, err := c.encodeResponseHead(resp)
	if err != nil {
		return err
	}
	buffer := make([]byte, 0, len(head)+len(body)+3*frameHeaderBytes+endPayloadBytes)
	buffer = appendFrame(buffer, frameResponse, head)
	if resp.Body != nil {
		buffer = appendBody(buffer, body)
	}
	_, err = stream.Write(buffer)
	return err
}

// serveKeyHandover receives a handover of idempotency keys, passes it to the
// Handler and sends the reply.
func (c *conn) serveKeyHandover(stream *quic.Stream, frames *frameReader, payload []byte) {
	head, err := parseKeyHandoverHead(payload, c.node.config.Limits.KeysBytes)
	if err != nil {
		c.refuseStream(stream, err)
		return
	}
	value, err := readKeys(newBodyReader(frames, head.Length), head.Length)
	if err != nil {
		c.refuseStream(stream, err)
		return
	}
	from := control.Identity{Instance: c.remote.name, Incarnation: head.Incarnation}
	reply := keyHandoverReply{Version: Version}
	if err := c.node.config.Handler.AcceptKeys(stream.Context(), from, value); err != nil {
		reply.Error = err.Error()
		c.node.report(Event{Kind: KeysRefused, Peer: c.remote.name, Address: c.remoteAddress(), Err: Error.Wrap(err)})
	}
	encodedReply, err := encMode.Marshal(reply)
	if err != nil {
		reset(stream, codeBodyFailed)
		return
	}
	if _, err := stream.Write(appendFrame(nil, frameKeysReply, encodedReply)); err != nil {
		reset(stream, codeBodyFailed)
		return
	}
	_ = stream.Close()
}

// readKeys reads the body of a key handover. Its buffer grows with the bytes that
// have arrived, so a large declared length alone does not allocate memory.
func readKeys(body io.Reader, length int64) ([]byte, error) {
	value, err := io.ReadAll(body)
	if err != nil {
		return nil, err
	}
	if int64(len(value)) != length {
		return nil, errMalformed.New("key handover has %d bytes, its head declares %d bytes", len(value), length)
	}
	return value, nil
}
