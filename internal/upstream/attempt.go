package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"sycamoreledge.example/internal/work"
)

// countedConn counts the bytes written to a connection.
type countedConn struct {
	net.Conn
	written atomic.Int64
}

// Write implements io.Writer. Bytes count before they are handed over, so that
// a count that did not grow proves that nothing was sent.
func (c *countedConn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	return c.Conn.Write(p)
}

func (c *Client) countedDial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := c.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn}, nil
}

// sending follows the connection that carries an attempt.
type sending struct {
	conn   atomic.Pointer[countedConn]
	before atomic.Int64
	twice  atomic.Bool
}

func (s *sending) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*countedConn)
	if !ok || s.conn.Load() != nil {
		s.twice.Store(true)
		return
	}
	s.before.Store(conn.written.Load())
	s.conn.Store(conn)
}

// sent reports whether any byte of the attempt may have left.
func (s *sending) sent() bool {
	conn := s.conn.Load()
	if conn == nil {
		return s.twice.Load()
	}
	return s.twice.Load() || conn.written.Load() > s.before.Load()
}

// Do sends one attempt. The context bounds the whole exchange, the body of the
// answer included; it must stay valid until that body is closed.
func (c *Client) Do(ctx context.Context, t Target, req *work.Request, body io.Reader, deadline time.Time) Result {
	var s sending
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: s.gotConn})
	out, err := httpRequest(traced, t, req, body, deadline)
	if err != nil {
		return Result{Response: named(work.Refuse(work.ReasonBadRequest, 0), t)}
	}
	resp, err := c.transport(t).RoundTrip(out)
	if err != nil {
		return failed(ctx, t, &s, err)
	}
	foreign := resp.Header.Get(HeaderRequestID) != req.ID
	answer, open := accept(req, resp)
	if answer.Outcome == work.Unknown && ctx.Err() != nil {
		return failed(ctx, t, &s, ctx.Err())
	}
	return Result{
		Response: named(answer, t),
		Silent:   answer.Outcome == work.Unknown,
		Foreign:  foreign,
		Open:     open,
	}
}

// failed classifies an attempt without an answer.
func failed(ctx context.Context, t Target, s *sending, err error) Result {
	canceled := errors.Is(ctx.Err(), context.Canceled)
	if !s.sent() {
		reason := work.ReasonUpstreamConnect
		switch {
		case canceled:
			reason = work.ReasonCanceled
		case ctx.Err() != nil:
			reason = work.ReasonUpstreamTimeout
		}
		return Result{Response: named(work.Refuse(reason, 0), t)}
	}
	reason := work.ReasonUpstreamBroken
	switch {
	case canceled:
		reason = work.ReasonCanceled
	case ctx.Err() != nil || isTimeout(err):
		reason = work.ReasonUpstreamTimeout
	}
	return Result{Response: named(work.UnknownOutcome(reason), t), Silent: true}
}

func isTimeout(err error) bool {
	var nerr net.Error
	return errors.As(err, &nerr) && nerr.Timeout()
}

func named(resp *work.Response, t Target) *work.Response {
	resp.Upstream = t.Name
	return resp
}

// accept checks whose answer this is and whether it is a refusal. It reports
// whether the body still reads from the connection.
func accept(req *work.Request, resp *http.Response) (*work.Response, bool) {
	if resp.Header.Get(HeaderRequestID) != req.ID {
		resp.Body.Close()
		return work.UnknownOutcome(work.ReasonUpstreamBroken), false
	}
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderNotRun) == notRunMarkerValue {
		resp.Body.Close()
		return work.Refuse(work.ReasonUpstreamShed, 0), false
	}
	return receive(req.Method, resp)
}
