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
	// maxInlineBytes is the size in bytes up to which a request body is written before
	// the response is read. It fits into the send buffer of a connection.
	maxInlineBytes = 8 << 10
	// maxSkippedResponses limits how many responses without the ID of the request are
	// skipped on a connection before the attempt fails.
	maxSkippedResponses = 2
	// dialTimeout limits the time to open a connection. It allows for two round
	// trips between distant regions and a busy upstream.
	dialTimeout = 400 * time.Millisecond
)

// Attempt describes one attempt to send a request to an upstream.
type Attempt struct {
	Upstream string
	Address  string
	// ID is the request ID that the response must carry. It must not be empty.
	ID       string
	Method   string
	Target   string
	Host     string
	Header   http.Header
	Body     []byte
	Deadline time.Time
	// Reserve reserves memory to buffer a long response, in bytes. When it reports
	// false, the part that was not buffered is left in Result.UnreadBody. A nil Reserve
	// grants every reservation.
	Reserve func(bytes int64) bool
	// OnTruncated is called when reading Result.UnreadBody from the upstream fails before
	// its end. It may be nil.
	OnTruncated func()
}

// Result is the result of an attempt.
type Result struct {
	// Outcome is work.Run when the upstream responded, with any status, unless the
	// response states that the request was not run. It is work.Unknown when the bytes
	// received are not proven to be the response to this request. Reason says why it is
	// not work.Run.
	Outcome work.Outcome
	Reason  work.Reason
	// Status, Header and Body are the response.
	Status int
	Header http.Header
	Body   []byte
	// UnreadBody follows Body in a response that was not buffered completely; nil
	// otherwise. It must be closed. Its Read fails when the response is truncated.
	UnreadBody io.ReadCloser
	Info       ResponseInfo
	// DialTime is the time taken to open a new connection; 0 for a reused one.
	DialTime time.Duration
	// Reused is set when the attempt was sent on a reused connection.
	Reused bool
	Err    error
}

// Client sends attempts to upstreams. It is safe for concurrent use.
type Client struct {
	dialect HeaderCodec
	pool    connectionPool
}

// New returns a client.
func New(dialect HeaderCodec) *Client {
	return &Client{dialect: dialect, pool: connectionPool{idle: make(map[string][]*connection)}}
}

// CloseExpired closes the connections that have exceeded their idle timeout.
func (c *Client) CloseExpired(now time.Time) { c.pool.closeExpired(now) }

// CloseIdle closes the idle connections to the address of an upstream that was removed.
func (c *Client) CloseIdle(address string) { c.pool.closeIdle(address) }

// Do sends one attempt and reads its response. Canceling the context resets the
// connection, which tells the upstream to stop working on the request.
func (c *Client) Do(ctx context.Context, a *Attempt) Result {
	conn, dialTime, err := c.connect(ctx, a)
	if err != nil {
		return notSentResult(ctx, err)
	}
	reused := conn.used
	conn.used = true
	_ = conn.SetDeadline(a.Deadline)
	resetDone := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(resetDone)
		conn.reset()
	})
	r, idleFor := c.roundTrip(ctx, conn, a)
	r.DialTime, r.Reused = dialTime, reused
	if r.UnreadBody != nil {
		r.UnreadBody = &bodyReader{body: r.UnreadBody, conn: conn, stopContextWatch: stop, onTruncated: a.OnTruncated}
		return r
	}
	if !stop() {
		<-resetDone
		return r
	}
	switch {
	case r.Outcome == work.Unknown:
		conn.reset()
	case idleFor <= 0:
		conn.discard()
	default:
		_ = conn.SetDeadline(time.Time{})
		conn.idleTimeout = idleFor
		c.pool.put(a.Address, conn, time.Now())
	}
	return r
}

func (c *Client) connect(ctx context.Context, a *Attempt) (*connection, time.Duration, error) {
	start := time.Now()
	if conn := c.pool.get(a.Address, start); conn != nil {
		return conn, 0, nil
	}
	dialDeadline := start.Add(dialTimeout)
	if a.Deadline.Before(dialDeadline) {
		dialDeadline = a.Deadline
	}
	dialCtx, cancel := context.WithDeadline(ctx, dialDeadline)
	defer cancel()
	conn, err := c.pool.dial(dialCtx, a.Address)
	return conn, time.Since(start), err
}

// notSentResult returns the result of an attempt of which no byte was sent.
func notSentResult(ctx context.Context, err error) Result {
	reason := work.ReasonUpstreamConnect
	if errors.Is(ctx.Err(), context.Canceled) {
		reason = work.ReasonCanceled
	}
	return Result{Outcome: work.NotRun, Reason: reason, Err: err}
}

// unknownResult returns the result of an attempt that may have been run.
func unknownResult(ctx context.Context, err error) Result {
	reason := work.ReasonUpstreamBroken
	var timeout net.Error
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		reason = work.ReasonCanceled
	case isTooLong(err):
		reason = work.ReasonUpstreamOverlong
	case errors.As(err, &timeout) && timeout.Timeout():
		reason = work.ReasonUpstreamTimeout
	}
	return Result{Outcome: work.Unknown, Reason: reason, Err: err}
}

// roundTrip sends the request and reads the response. The second result is how
// long the connection may stay idle, or 0 when it must not be reused.
func (c *Client) roundTrip(ctx context.Context, conn *connection, a *Attempt) (Result, time.Duration) {
	sent := make(chan sendResult, 1)
	if len(a.Body) <= maxInlineBytes {
		sent <- send(conn, a, c.dialect)
	} else {
		go func() { sent <- send(conn, a, c.dialect) }()
	}
	resp, info, err := c.readResponse(conn, a) //nolint:bodyclose // closed below, or by whoever reads the rest
	if err != nil {
		// The response may have failed because the request could not be sent, so the
		// outcome depends on whether any byte of the request was sent.
		conn.reset()
		if s := <-sent; s.err != nil && s.bytes == 0 {
			return notSentResult(ctx, s.err), 0
		}
		return unknownResult(ctx, err), 0
	}
	r, idleFor := readResult(ctx, a, resp, info)
	select {
	case s := <-sent:
		if s.err != nil {
			idleFor = 0
		}
	default:
		if r.UnreadBody != nil {
			// Nothing would wait for the end of the request while UnreadBody is read.
			r = unknownResult(ctx, Error.New("long response arrived before the request was sent completely; connection reset"))
		}
		// The upstream responded before it had read the whole request. It would take
		// the unsent rest for a new request, so the connection is reset.
		conn.reset()
		<-sent
		idleFor = 0
	}
	if conn.reader.Buffered() > 0 {
		idleFor = 0
	}
	return r, idleFor
}

// sendResult holds how many bytes of a request were written, and the write error.
type sendResult struct {
	bytes int
	err   error
}

func send(conn *connection, a *Attempt, dialect HeaderCodec) sendResult {
	var header bytes.Buffer
	header.WriteString(a.Method + " " + a.Target + " HTTP/1.1\r\nHost: " + a.Host + "\r\n")
	dialect.SetTarget(a.Header, a.Upstream, time.Until(a.Deadline))
	if len(a.Body) > 0 || a.Method != http.MethodGet && a.Method != http.MethodHead {
		a.Header.Set("Content-Length", strconv.Itoa(len(a.Body)))
	}
	if err := a.Header.Write(&header); err != nil {
		return sendResult{err: err}
	}
	header.WriteString("\r\n")
	buffers := net.Buffers{header.Bytes()}
	if len(a.Body) > 0 {
		buffers = append(buffers, a.Body)
	}
	n, err := buffers.WriteTo(conn.Conn)
	return sendResult{bytes: int(n), err: err}
}

// readResponse reads the header of the response to the attempt, and skips responses that
// do not carry its request ID. Only the ID proves that a response belongs to the request:
// upstreams may send late responses to earlier requests, and faulty ones bytes that are no
// response. A successful response must be signed by the upstream as well.
func (c *Client) readResponse(conn *connection, a *Attempt) (*http.Response, ResponseInfo, error) {
	request := &http.Request{Method: a.Method}
	conn.setReadLimit(maxHeaderBytes)
	skipped := 0
	for range maxSkippedResponses + 1 {
		resp, err := http.ReadResponse(conn.reader, request) //nolint:bodyclose // the connection is reset where it is not read to its end
		if err != nil {
			return nil, ResponseInfo{}, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		info := c.dialect.ParseResponse(resp.StatusCode, resp.Header)
		if info.RequestID == a.ID {
			if isSuccess(resp.StatusCode) && !info.Signed {
				return nil, ResponseInfo{}, Error.New("response with status %d lacks the signature of the upstream", resp.StatusCode)
			}
			conn.setReadLimit(MaxResponseBytes - int64(conn.reader.Buffered()))
			return resp, info, nil
		}
		skipped++
		if isLast(resp) {
			break
		}
		conn.setReadLimit(maxBufferedBytes)
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, ResponseInfo{}, err
		}
		conn.setReadLimit(maxHeaderBytes)
	}
	return nil, ResponseInfo{}, Error.New("no response to this request: %d responses with other request IDs or none", skipped)
}

func isSuccess(status int) bool { return status/100 == 2 }

// readResult reads the body, completely unless it is long, and returns the result.
func readResult(ctx context.Context, a *Attempt, resp *http.Response, info ResponseInfo) (Result, time.Duration) {
	buffered, complete, err := readBody(resp.Body, resp.ContentLength, a.Reserve)
	if err != nil {
		return unknownResult(ctx, err), 0
	}
	r := Result{
		Outcome: work.Run, Status: resp.StatusCode, Header: resp.Header, Body: buffered, Info: info,
	}
	if !complete {
		r.UnreadBody = resp.Body
		return r, 0
	}
	if r.Info.NotRun {
		r.Outcome, r.Reason = work.NotRun, work.ReasonUpstreamShed
		if r.Info.WrongUpstream {
			r.Reason = work.ReasonNotOwner
		}
	}
	return r, idleTimeout(resp)
}
