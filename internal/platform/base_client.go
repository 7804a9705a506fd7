package platform

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"
)

// keepAliveConfig enables TCP keep-alive probes, which detect a connection that
// fails without a reset. A pending watch sends nothing that would detect it.
var keepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// BaseClient sends requests to the platform over HTTP/1.1. It uses net/http, which
// supports cancellation and deadlines.
type BaseClient struct {
	baseURL    string
	timeout    time.Duration
	httpClient *http.Client
}

// NewBaseClient returns a client for the platform at the address host:port. The
// timeout limits each request; Request.WatchWait is added to it.
func NewBaseClient(address string, timeout time.Duration) *BaseClient {
	dialer := &net.Dialer{Timeout: timeout, KeepAliveConfig: keepAliveConfig}
	return &BaseClient{
		baseURL: "http://" + address,
		timeout: timeout,
		httpClient: &http.Client{
			Transport: &http.Transport{
				DialContext:         dialer.DialContext,
				MaxIdleConnsPerHost: maxIdleConns,
				IdleConnTimeout:     idleConnTimeout,
				DisableCompression:  true,
				// The platform's headers are short; the limit keeps an unbounded header
				// from exhausting the memory.
				MaxResponseHeaderBytes: maxResponseHeaderBytes,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// Close closes idle connections.
func (c *BaseClient) Close() { c.httpClient.CloseIdleConnections() }

// Request is one request to the platform.
type Request struct {
	Method string
	Path   string
	Query  url.Values
	Body   []byte
	Header http.Header
	// WatchWait is the time for which the platform may hold the request; it is
	// added to the timeout.
	WatchWait        time.Duration
	MaxResponseBytes int64
}

// Response is a complete response to a request.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Do sends a request and reads the whole response. Its errors are NotSent,
// Unavailable and Invalid; any complete response, whatever its status, is returned
// without an error.
func (c *BaseClient) Do(ctx context.Context, req Request) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+req.WatchWait)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	httpReq, err := c.newHTTPRequest(ctx, req)
	if err != nil {
		return Response{}, Invalid.Wrap(err)
	}
	resp, err := c.httpClient.Do(httpReq)
	if err != nil {
		return Response{}, transportError(err, connected.Load())
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, req.MaxResponseBytes+1))
	if err != nil {
		return Response{}, Unavailable.Wrap(err)
	}
	if int64(len(body)) > req.MaxResponseBytes {
		return Response{}, Unavailable.New("response larger than the limit of %d bytes", req.MaxResponseBytes)
	}
	return Response{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

func (c *BaseClient) newHTTPRequest(ctx context.Context, req Request) (*http.Request, error) {
	target := c.baseURL + req.Path
	if len(req.Query) > 0 {
		target += "?" + req.Query.Encode()
	}
	httpReq, err := http.NewRequestWithContext(ctx, req.Method, target, bytes.NewReader(req.Body))
	if err != nil {
		return nil, err
	}
	for name, values := range req.Header {
		httpReq.Header[name] = values
	}
	return httpReq, nil
}

// transportError returns NotSent when no connection was established, so that
// nothing can have been sent, and otherwise Unavailable.
func transportError(err error, connected bool) error {
	if connected {
		return Unavailable.Wrap(err)
	}
	return NotSent.Wrap(err)
}
