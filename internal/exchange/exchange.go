package exchange

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/zeebo/errs"

	"sycamoreledge.example/internal/work"
)

// Error is the class of errors of this package.
var Error = errs.Class("exchange")

const (
	// inlineBody is the size up to which a request is written before its answer is
	// read: it fits into the buffers of a connection.
	inlineBody = 8 << 10
	// maxForeign bounds the answers to other requests that are passed over on a
	// connection before it is given up.
	maxForeign = 2
	// dialSlack is the least time that a connection gets to open: two round trips
	// between distant regions and a busy upstream.
	dialSlack = 400 * time.Millisecond
)

// Attempt is one sending of a request to an upstream.
type Attempt struct {
	Upstream string
	Address  string
	// ID is what the upstream must echo.
	ID       string
	Method   string
	Target   string
	Host     string
	Header   http.Header
	Body     []byte
	Deadline time.Time
	// Reserve asks for memory to hold a long answer, in bytes. Without it, or when
	// it reports false, what does not fit is left in Result.Rest. It may be nil:
	// then there is always enough.
	Reserve func(bytes int64) bool
	// BrokenOff is told when the upstream does not bring Result.Rest to its end.
	// It may be nil.
	BrokenOff func()
}

// Result is what became of an attempt.
type Result struct {
	// Outcome is work.Run when there is an answer of the upstream, whatever its
	// status. Reason says why there is none.
	Outcome work.Outcome
	Reason  work.Reason
	// Status, Header and Body are the answer.
	Status int
	Header http.Header
	Body   []byte
	// Rest is what follows Body in an answer that is too long to be read whole; it
	// must be closed. Its Read fails when the answer breaks off.
	Rest    io.ReadCloser
	Verdict Verdict
	// Opened is the time that a new connection took to open; 0 for a kept one.
	Opened time.Duration
	// Kept is set when the attempt went out on a connection used before.
	Kept bool
	Err  error
}

// Client sends attempts to upstreams. It is safe for concurrent use.
type Client struct {
	dialect Dialect
	pool    connections
}

// New returns a client.
func New(dialect Dialect) *Client {
	return &Client{dialect: dialect, pool: connections{idle: make(map[string][]*connection)}}
}

// Sweep closes connections that have been unused for too long.
func (c *Client) Sweep(now time.Time) { c.pool.sweep(now) }

// Forget closes the unused connections to an address whose upstream is gone.
func (c *Client) Forget(address string) { c.pool.forget(address) }

// Do sends one attempt and reads its answer. Canceling the context closes the
// connection, which ends the work at the upstream.
func (c *Client) Do(ctx context.Context, a *Attempt) Result {
	conn, opened, err := c.connect(ctx, a)
	if err != nil {
		return notSent(ctx, err)
	}
	kept := conn.used
	conn.used = true
	_ = conn.SetDeadline(a.Deadline)
	ended := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(ended)
		conn.abandon()
	})
	r, keep := c.exchange(ctx, conn, a)
	r.Opened, r.Kept = opened, kept
	if r.Rest != nil {
		r.Rest = &rest{body: r.Rest, conn: conn, stop: stop, brokenOff: a.BrokenOff}
		return r
	}
	if !stop() {
		<-ended
		return r
	}
	switch {
	case r.Outcome == work.Unknown:
		conn.abandon()
	case keep <= 0:
		conn.discard()
	default:
		_ = conn.SetDeadline(time.Time{})
		conn.keep = keep
		c.pool.put(a.Address, conn, time.Now())
	}
	return r
}

func (c *Client) connect(ctx context.Context, a *Attempt) (*connection, time.Duration, error) {
	began := time.Now()
	if conn := c.pool.take(a.Address, began); conn != nil {
		return conn, 0, nil
	}
	limit := began.Add(dialSlack)
	if a.Deadline.Before(limit) {
		limit = a.Deadline
	}
	dialing, cancel := context.WithDeadline(ctx, limit)
	defer cancel()
	conn, err := c.pool.dial(dialing, a.Address)
	return conn, time.Since(began), err
}

// notSent is the result of an attempt of which nothing was sent.
func notSent(ctx context.Context, err error) Result {
	reason := work.ReasonUpstreamConnect
	if errors.Is(ctx.Err(), context.Canceled) {
		reason = work.ReasonCanceled
	}
	return Result{Outcome: work.NotRun, Reason: reason, Err: err}
}

// unknown is the result of an attempt that may have run.
func unknown(ctx context.Context, err error) Result {
	reason := work.ReasonUpstreamBroken
	var timeout net.Error
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		reason = work.ReasonCanceled
	case isOverlong(err):
		reason = work.ReasonUpstreamOverlong
	case errors.As(err, &timeout) && timeout.Timeout():
		reason = work.ReasonUpstreamTimeout
	}
	return Result{Outcome: work.Unknown, Reason: reason, Err: err}
}

// exchange sends the request and reads the answer. It returns how long the
// connection may be kept.
func (c *Client) exchange(ctx context.Context, conn *connection, a *Attempt) (Result, time.Duration) {
	sent := make(chan sending, 1)
	if len(a.Body) <= inlineBody {
		sent <- send(conn, a, c.dialect)
	} else {
		go func() { sent <- send(conn, a, c.dialect) }()
	}
	resp, err := c.receive(conn, a) //nolint:bodyclose // closed below, or by whoever reads the rest
	if err != nil {
		// An answer may have been cut because the request was; what was sent decides.
		conn.abandon()
		if s := <-sent; s.err != nil && s.bytes == 0 {
			return notSent(ctx, s.err), 0
		}
		return unknown(ctx, err), 0
	}
	r, keep := c.accept(ctx, a, resp)
	select {
	case s := <-sent:
		if s.err != nil {
			keep = 0
		}
	default:
		if r.Rest != nil {
			// Nobody is left to tell when the request is in.
			r = unknown(ctx, Error.New("a long answer came before the request was sent"))
		}
		// The upstream answered before it had read the request. What is still to
		// be sent would be taken for another request, so the connection ends.
		conn.abandon()
		<-sent
		keep = 0
	}
	if conn.reader.Buffered() > 0 {
		keep = 0
	}
	return r, keep
}

// sending is what became of the bytes of a request.
type sending struct {
	bytes int
	err   error
}

func send(conn *connection, a *Attempt, dialect Dialect) sending {
	var head bytes.Buffer
	head.WriteString(a.Method + " " + a.Target + " HTTP/1.1\r\nHost: " + a.Host + "\r\n")
	dialect.Address(a.Header, a.Upstream, time.Until(a.Deadline))
	if len(a.Body) > 0 || a.Method != http.MethodGet && a.Method != http.MethodHead {
		a.Header.Set("Content-Length", strconv.Itoa(len(a.Body)))
	}
	if err := a.Header.Write(&head); err != nil {
		return sending{err: err}
	}
	head.WriteString("\r\n")
	buffers := net.Buffers{head.Bytes()}
	if len(a.Body) > 0 {
		buffers = append(buffers, a.Body)
	}
	n, err := buffers.WriteTo(conn.Conn)
	return sending{bytes: int(n), err: err}
}

// receive reads the head of the answer to the attempt, and passes over late
// answers to other requests.
func (c *Client) receive(conn *connection, a *Attempt) (*http.Response, error) {
	request := &http.Request{Method: a.Method}
	conn.allow(maxHead)
	for range maxForeign + 1 {
		resp, err := http.ReadResponse(conn.reader, request) //nolint:bodyclose // the connection is reset where it is not read to its end
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		id := c.dialect.Answer(resp.StatusCode, resp.Header).RequestID
		if id == a.ID || id == "" && !conn.tainted() {
			conn.allow(MaxAnswer - int64(conn.reader.Buffered()))
			return resp, nil
		}
		conn.allow(wholeBody)
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, err
		}
		if lasts(resp) == 0 {
			break
		}
		conn.allow(maxHead)
	}
	return nil, Error.New("the answers belong to other requests")
}

// tainted reports whether an answer without an id may belong to an earlier
// request on the connection.
func (c *connection) tainted() bool { return !c.since.IsZero() }

// accept reads the answer, whole unless it is long.
func (c *Client) accept(ctx context.Context, a *Attempt, resp *http.Response) (Result, time.Duration) {
	body, complete, err := readWhole(resp.Body, resp.ContentLength, a.Reserve)
	if err != nil {
		return unknown(ctx, err), 0
	}
	r := Result{
		Outcome: work.Run, Status: resp.StatusCode, Header: resp.Header, Body: body,
		Verdict: c.dialect.Answer(resp.StatusCode, resp.Header),
	}
	if !complete {
		r.Rest = resp.Body
		return r, 0
	}
	if r.Verdict.NotRun {
		r.Outcome, r.Reason = work.NotRun, work.ReasonUpstreamShed
		if r.Verdict.Stranger {
			r.Reason = work.ReasonNotOwner
		}
	}
	return r, lasts(resp)
}
