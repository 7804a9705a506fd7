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

// Keep-alive probes show a connection that went silent without a reset. A
// waiting watch sends nothing itself.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// Caller sends calls to the platform over HTTP/1.1. net/http is used because it
// honours cancellation and deadlines.
type Caller struct {
	base    string
	timeout time.Duration
	http    *http.Client
}

// NewCaller returns a caller for the platform at the address host:port. The
// timeout bounds each call, for a watch in addition to its waiting time.
func NewCaller(address string, timeout time.Duration) *Caller {
	dialer := &net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive}
	return &Caller{
		base:    "http://" + address,
		timeout: timeout,
		http: &http.Client{
			Transport: &http.Transport{
				DialContext:         dialer.DialContext,
				MaxIdleConnsPerHost: maxIdleConns,
				IdleConnTimeout:     idleTimeout,
				DisableCompression:  true,
				// Headers of the platform are short; one without end must not take the memory.
				MaxResponseHeaderBytes: maxHeaderBytes,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// Close closes idle connections.
func (c *Caller) Close() { c.http.CloseIdleConnections() }

// Call is one exchange with the platform.
type Call struct {
	Method string
	Path   string
	Query  url.Values
	Body   []byte
	Header http.Header
	// Wait is added to the timeout, Limit bounds the answer in bytes.
	Wait  time.Duration
	Limit int64
}

// Answer is a complete answer to a call.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Do sends a call and reads the whole answer. Its errors are NotSent,
// Unavailable and Invalid; a status other than success is no error.
func (c *Caller) Do(ctx context.Context, call Call) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+call.Wait)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := c.request(ctx, call)
	if err != nil {
		return Answer{}, Invalid.Wrap(err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Answer{}, transportError(err, connected.Load())
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, call.Limit+1))
	if err != nil {
		return Answer{}, Unavailable.Wrap(err)
	}
	if int64(len(body)) > call.Limit {
		return Answer{}, Unavailable.New("an answer of more than %d bytes", call.Limit)
	}
	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

func (c *Caller) request(ctx context.Context, call Call) (*http.Request, error) {
	target := c.base + call.Path
	if len(call.Query) > 0 {
		target += "?" + call.Query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, call.Method, target, bytes.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	for name, values := range call.Header {
		req.Header[name] = values
	}
	return req, nil
}

// transportError tells a call that may have arrived from one that cannot have:
// without a connection nothing was sent.
func transportError(err error, connected bool) error {
	if connected {
		return Unavailable.Wrap(err)
	}
	return NotSent.Wrap(err)
}
