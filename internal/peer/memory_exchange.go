package peer

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"sycamoreledge.example/internal/work"
)

// memoryExchange is a request or key handover over a MemoryNetwork.
type memoryExchange struct {
	network   *MemoryNetwork
	node      *MemoryNode
	target    *MemoryNode
	from, to  string
	callerCtx context.Context
	cancel    context.CancelFunc
	// ctx ends with the caller's context, with a call of abort, and when the
	// exchange is finished.
	ctx        context.Context
	abort      context.CancelCauseFunc
	finishOnce sync.Once
}

// errExchangeFinished is the cause of the end of a finished exchange's context.
var errExchangeFinished = errors.New("exchange is finished")

// openExchange starts an exchange, or returns nil if the peer is not reachable.
// The exchange calls cancel when it finishes.
func (n *MemoryNode) openExchange(ctx context.Context, cancel context.CancelFunc, to string) *memoryExchange {
	target := n.network.connect(n.self.Instance, to)
	if target == nil || n.ctx.Err() != nil {
		return nil
	}
	x := &memoryExchange{
		network: n.network, node: n, target: target, from: n.self.Instance, to: to, callerCtx: ctx, cancel: cancel,
	}
	x.ctx, x.abort = context.WithCancelCause(ctx)
	n.network.mu.Lock()
	defer n.network.mu.Unlock()
	n.exchanges[x] = true
	return x
}

// finish ends the exchange. Calls after the first have no effect.
func (x *memoryExchange) finish() {
	x.finishOnce.Do(func() {
		x.abort(errExchangeFinished)
		x.network.mu.Lock()
		defer x.network.mu.Unlock()
		delete(x.node.exchanges, x)
		x.cancel()
	})
}

// roundTrip runs the request at the target and returns the response.
func (x *memoryExchange) roundTrip(head *requestHead, req *work.Request) *work.Response {
	result := make(chan *work.Response, 1)
	go x.serve(head, req, result)
	select {
	case resp := <-result:
		if resp.Body == nil {
			x.finish()
		}
		return resp
	case <-x.ctx.Done():
		reason := contextReason(x.callerCtx, work.ReasonPeerBroken)
		x.finish()
		return work.UnknownOutcome(reason)
	}
}

// serve runs the request with the target's handler. It sends no result if the
// exchange ends while the path to the target or the path back is cut.
func (x *memoryExchange) serve(head *requestHead, req *work.Request, result chan<- *work.Response) {
	if x.network.waitUntilOpen(x.ctx, x.from, x.to) != nil {
		return
	}
	incoming := head.request(x.from, time.Now())
	ctx, cancel := context.WithDeadline(x.ctx, incoming.Deadline)
	stopBody := func() {}
	if head.HasBody {
		body := &memoryBody{exchange: x, from: x.from, to: x.to, src: req.Body, declared: head.Length}
		incoming.Body, stopBody = x.copyRequestBody(body, head.ExpectContinue)
	}
	resp := x.target.handler.ServeWork(ctx, head.Role, incoming)
	stopBody()
	if x.network.waitUntilOpen(x.ctx, x.to, x.from) != nil {
		cancel()
		closeBody(resp)
		return
	}
	respHead := newResponseHead(resp)
	received := respHead.response()
	if resp.Body == nil {
		cancel()
		result <- received
		return
	}
	respBody := &memoryBody{exchange: x, from: x.to, to: x.from, src: resp.Body, declared: resp.Length}
	stopContextWatch := context.AfterFunc(ctx, func() { resp.Body.Close() })
	received.Body = &memoryResponseBody{memoryBody: respBody, closer: resp.Body, finishExchange: func() {
		stopContextWatch()
		cancel()
		x.finish()
	}}
	result <- received
}

// copyRequestBody copies the request body to the returned reader in a separate
// goroutine, so that a source that blocks does not block the handler's reads after
// the exchange has ended. With onFirstRead the copying starts at the handler's
// first read. The returned function stops the copying.
func (x *memoryExchange) copyRequestBody(body *memoryBody, onFirstRead bool) (io.Reader, func()) {
	reader, writer := io.Pipe()
	stopContextWatch := context.AfterFunc(x.ctx, func() {
		_ = writer.CloseWithError(Error.Wrap(interrupted(context.Cause(x.ctx))))
	})
	copyAll := func() {
		_, err := io.Copy(writer, body)
		_ = writer.CloseWithError(err)
	}
	source := io.Reader(reader)
	if onFirstRead {
		source = &lazyReader{Reader: reader, start: copyAll}
	} else {
		go copyAll()
	}
	return source, func() {
		stopContextWatch()
		body.stop()
		_ = reader.CloseWithError(errInterrupted.New("request body is no longer read, the handler has returned"))
	}
}

// lazyReader runs start in a separate goroutine at the first read.
type lazyReader struct {
	io.Reader
	start func()
	once  sync.Once
}

// Read implements io.Reader.
func (r *lazyReader) Read(p []byte) (int, error) {
	r.once.Do(func() { go r.start() })
	return r.Reader.Read(p)
}

func closeBody(resp *work.Response) {
	if resp.Body != nil {
		resp.Body.Close()
	}
}

// memoryBody is a body whose bytes cross the network. It checks the declared
// length in bytes, which is -1 if unknown.
type memoryBody struct {
	exchange *memoryExchange
	from, to string
	src      io.Reader
	declared int64

	mu      sync.Mutex
	total   int64
	stopped bool
	err     error
}

// stop makes further reads fail.
func (b *memoryBody) stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopped = true
}

// Read implements io.Reader. It blocks while the path is cut.
func (b *memoryBody) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	if err := b.failure(); err != nil {
		return 0, err
	}
	n, err := b.src.Read(p)
	if pathErr := b.exchange.network.waitUntilOpen(b.exchange.ctx, b.from, b.to); pathErr != nil {
		return 0, b.setFailure(interrupted(pathErr))
	}
	b.mu.Lock()
	b.total += int64(n)
	total := b.total
	b.mu.Unlock()
	if err == nil {
		return n, nil
	}
	if !errors.Is(err, io.EOF) {
		return n, b.setFailure(interrupted(err))
	}
	if b.declared >= 0 && total != b.declared {
		return n, b.setFailure(errInterrupted.New("body has %d bytes, expected its declared length of %d bytes", total, b.declared))
	}
	return n, b.setFailure(io.EOF)
}

func (b *memoryBody) failure() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped {
		return errInterrupted.New("body read after it was closed")
	}
	return b.err
}

func (b *memoryBody) setFailure(err error) error {
	if !errors.Is(err, io.EOF) {
		err = Error.Wrap(err)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.err = err
	return err
}

// memoryResponseBody is the body of a response. It finishes the exchange when it is
// read to its end, fails or is closed.
type memoryResponseBody struct {
	*memoryBody
	closer         io.Closer
	finishExchange func()
	finishOnce     sync.Once
}

// Read implements io.Reader.
func (b *memoryResponseBody) Read(p []byte) (int, error) {
	n, err := b.memoryBody.Read(p)
	if err == nil {
		return n, nil
	}
	cause := b.exchange.callerCtx.Err()
	b.finish()
	if cause != nil && !errors.Is(err, io.EOF) {
		return n, Error.Wrap(cause)
	}
	return n, err
}

// Close implements io.Closer.
func (b *memoryResponseBody) Close() error {
	b.stop()
	b.finish()
	return nil
}

func (b *memoryResponseBody) finish() {
	b.finishOnce.Do(func() {
		b.finishExchange()
		_ = b.closer.Close()
	})
}
