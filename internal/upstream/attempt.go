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

// countingConn counts the bytes written to a connection.
type countingConn struct {
	net.Conn
	written atomic.Int64
}

// Write implements io.Writer. Bytes are counted before they are written, so an
// unchanged count proves that nothing was sent.
func (c *countingConn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	return c.Conn.Write(p)
}

func (c *Client) dialCounting(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := c.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn}, nil
}

// sendTracker records whether any byte of an attempt may have been sent.
type sendTracker struct {
	conn          atomic.Pointer[countingConn]
	writtenBefore atomic.Int64
	// untracked is set when the attempt took a second connection, or one whose bytes
	// are not counted: then it counts as sent.
	untracked atomic.Bool
}

func (s *sendTracker) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*countingConn)
	if !ok || s.conn.Load() != nil {
		s.untracked.Store(true)
		return
	}
	s.writtenBefore.Store(conn.written.Load())
	s.conn.Store(conn)
}

// sent reports whether any byte of the attempt may have been sent.
func (s *sendTracker) sent() bool {
	conn := s.conn.Load()
	if conn == nil {
		return s.untracked.Load()
	}
	return s.untracked.Load() || conn.written.Load() > s.writtenBefore.Load()
}

// Do sends one attempt. The context covers the whole exchange including the
// response body, so it must not be canceled before that body is closed.
func (c *Client) Do(ctx context.Context, t Target, req *work.Request, body io.Reader, deadline time.Time) Result {
	var tracker sendTracker
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: tracker.gotConn})
	httpReq, err := httpRequest(traced, t, req, body, deadline)
	if err != nil {
		return Result{Response: withUpstream(work.Refuse(work.ReasonBadRequest, 0), t)}
	}
	resp, err := c.transport(t).RoundTrip(httpReq)
	if err != nil {
		return failedResult(ctx, t, &tracker, err)
	}
	foreign := resp.Header.Get(HeaderRequestID) != req.ID
	response, open := checkResponse(req, resp)
	if response.Outcome == work.Unknown && ctx.Err() != nil {
		return failedResult(ctx, t, &tracker, ctx.Err())
	}
	return Result{
		Response:       withUpstream(response, t),
		MaybeRunning:   response.Outcome == work.Unknown,
		WrongRequestID: foreign,
		Streaming:      open,
	}
}

// failedResult classifies an attempt without a response by whether it was sent.
func failedResult(ctx context.Context, t Target, tracker *sendTracker, err error) Result {
	canceled := errors.Is(ctx.Err(), context.Canceled)
	if !tracker.sent() {
		reason := work.ReasonUpstreamConnect
		switch {
		case canceled:
			reason = work.ReasonCanceled
		case ctx.Err() != nil:
			reason = work.ReasonUpstreamTimeout
		}
		return Result{Response: withUpstream(work.Refuse(reason, 0), t)}
	}
	reason := work.ReasonUpstreamBroken
	switch {
	case canceled:
		reason = work.ReasonCanceled
	case ctx.Err() != nil || isTimeout(err):
		reason = work.ReasonUpstreamTimeout
	}
	return Result{Response: withUpstream(work.UnknownOutcome(reason), t), MaybeRunning: true}
}

func isTimeout(err error) bool {
	var nerr net.Error
	return errors.As(err, &nerr) && nerr.Timeout()
}

func withUpstream(resp *work.Response, t Target) *work.Response {
	resp.Upstream = t.Name
	return resp
}

// checkResponse checks the request ID of a response and whether it is a refusal.
// The second result reports whether the body is streamed from the connection.
func checkResponse(req *work.Request, resp *http.Response) (*work.Response, bool) {
	if resp.Header.Get(HeaderRequestID) != req.ID {
		resp.Body.Close()
		return work.UnknownOutcome(work.ReasonUpstreamBroken), false
	}
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderNotRun) == notRunValue {
		resp.Body.Close()
		return work.Refuse(work.ReasonUpstreamShed, 0), false
	}
	return readResponse(req.Method, resp)
}
