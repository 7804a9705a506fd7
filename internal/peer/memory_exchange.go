package peer

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"sycamoreledge.example/internal/work"
)

// memoryExchange is one request over a MemoryNetwork.
type memoryExchange struct {
	network  *MemoryNetwork
	node     *MemoryNode
	target   *MemoryNode
	from, to string
	caller   context.Context
	cancel   context.CancelFunc
	// ctx ends with the caller's context, with a break and when the response
	// is done with.
	ctx  context.Context
	fail context.CancelCauseFunc
	once sync.Once
}

// errDone ends the context of an exchange that is over.
var errDone = errors.New("exchange is over")

// open starts an exchange, or returns nil when the peer cannot be connected.
func (n *MemoryNode) open(ctx context.Context, cancel context.CancelFunc, to string) *memoryExchange {
	target := n.network.reach(n.self.Instance, to)
	if target == nil || n.ctx.Err() != nil {
		return nil
	}
	x := &memoryExchange{
		network: n.network, node: n, target: target, from: n.self.Instance, to: to, caller: ctx, cancel: cancel,
	}
	x.ctx, x.fail = context.WithCancelCause(ctx)
	n.network.mu.Lock()
	defer n.network.mu.Unlock()
	n.exchanges[x] = true
	return x
}

// finish ends the exchange.
func (x *memoryExchange) finish() {
	x.once.Do(func() {
		x.fail(errDone)
		x.network.mu.Lock()
		defer x.network.mu.Unlock()
		delete(x.node.exchanges, x)
		x.cancel()
	})
}

// do runs the request at the target and returns the response.
func (x *memoryExchange) do(head *requestHead, req *work.Request) *work.Response {
	result := make(chan *work.Response, 1)
	go x.serve(head, req, result)
	select {
	case resp := <-result:
		if resp.Body == nil {
			x.finish()
		}
		return resp
	case <-x.ctx.Done():
		reason := contextReason(x.caller, work.ReasonPeerBroken)
		x.finish()
		return work.Uncertain(reason)
	}
}

// serve is the target's part. It delivers no result when the way back is cut.
func (x *memoryExchange) serve(head *requestHead, req *work.Request, result chan<- *work.Response) {
	if x.network.pass(x.ctx, x.from, x.to) != nil {
		return
	}
	served := head.request(x.from, time.Now())
	ctx, cancel := context.WithDeadline(x.ctx, served.Deadline)
	stop := func() {}
	if head.HasBody {
		body := &memoryBody{exchange: x, from: x.from, to: x.to, src: req.Body, declared: head.Length}
		served.Body, stop = x.pump(body, head.Hold)
	}
	resp := x.target.handler.ServeWork(ctx, head.Role, served)
	stop()
	if x.network.pass(x.ctx, x.to, x.from) != nil {
		cancel()
		closeBody(resp)
		return
	}
	copied := newResponseHead(resp)
	answer := copied.response()
	if resp.Body == nil {
		cancel()
		result <- answer
		return
	}
	back := &memoryBody{exchange: x, from: x.to, to: x.from, src: resp.Body, declared: resp.Length}
	unwatch := context.AfterFunc(ctx, func() { resp.Body.Close() })
	answer.Body = &memoryResponseBody{memoryBody: back, closer: resp.Body, end: func() {
		unwatch()
		cancel()
		x.finish()
	}}
	result <- answer
}

// pump reads the request's body apart from the handler, which is then not held
// up by a body that blocks. A held body waits for the handler's first read. The
// returned function stops it.
func (x *memoryExchange) pump(body *memoryBody, hold bool) (io.Reader, func()) {
	reader, writer := io.Pipe()
	unwatch := context.AfterFunc(x.ctx, func() {
		_ = writer.CloseWithError(Error.Wrap(cut(context.Cause(x.ctx))))
	})
	copyAll := func() {
		_, err := io.Copy(writer, body)
		_ = writer.CloseWithError(err)
	}
	source := io.Reader(reader)
	if hold {
		source = &lazyReader{Reader: reader, start: copyAll}
	} else {
		go copyAll()
	}
	return source, func() {
		unwatch()
		body.stop()
		_ = reader.CloseWithError(errCut.New("body is closed"))
	}
}

// lazyReader starts what fills it at the first read.
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

// memoryBody reads a body that crosses the network.
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

// stop refuses further reads.
func (b *memoryBody) stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopped = true
}

// Read implements io.Reader. It blocks while the way is cut.
func (b *memoryBody) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	if err := b.failure(); err != nil {
		return 0, err
	}
	n, err := b.src.Read(p)
	if cutErr := b.exchange.network.pass(b.exchange.ctx, b.from, b.to); cutErr != nil {
		return 0, b.setFailure(cut(cutErr))
	}
	b.mu.Lock()
	b.total += int64(n)
	total := b.total
	b.mu.Unlock()
	if err == nil {
		return n, nil
	}
	if !errors.Is(err, io.EOF) {
		return n, b.setFailure(cut(err))
	}
	if b.declared >= 0 && total != b.declared {
		return n, b.setFailure(errCut.New("body of %d bytes, declared %d", total, b.declared))
	}
	return n, b.setFailure(io.EOF)
}

func (b *memoryBody) failure() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped {
		return errCut.New("body is closed")
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

// memoryResponseBody ends the exchange when it is read or closed.
type memoryResponseBody struct {
	*memoryBody
	closer io.Closer
	end    func()
	once   sync.Once
}

// Read implements io.Reader.
func (b *memoryResponseBody) Read(p []byte) (int, error) {
	n, err := b.memoryBody.Read(p)
	if err == nil {
		return n, nil
	}
	cause := b.exchange.caller.Err()
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
	b.once.Do(func() {
		b.end()
		_ = b.closer.Close()
	})
}
