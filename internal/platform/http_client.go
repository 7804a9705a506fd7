package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// Limits of the client.
const (
	// maxIdleConns is how many connections to the platform are kept open.
	maxIdleConns = 16
	// idleTimeout closes connections before the platform is likely to.
	idleTimeout = 30 * time.Second
	// watchWait is the longest time for which the platform holds one watch.
	watchWait = 20 * time.Second
	// minWatchWait is the shortest time after which a watch is repeated.
	minWatchWait = 100 * time.Millisecond
	// maxListBytes bounds the answer to a List, in bytes.
	maxListBytes = 64 << 20
)

// HTTPClient is a Client over HTTP/1.1. net/http is used because it honours
// cancellation and deadlines.
type HTTPClient struct {
	base    string
	timeout time.Duration
	http    *http.Client
}

var _ Client = (*HTTPClient)(nil)

// NewHTTPClient returns a client for the platform at the address host:port.
// The timeout bounds each call, for a watch in addition to its waiting time.
func NewHTTPClient(address string, timeout time.Duration) *HTTPClient {
	dialer := &net.Dialer{Timeout: timeout}
	return &HTTPClient{
		base:    "http://" + address,
		timeout: timeout,
		http: &http.Client{
			Transport: &http.Transport{
				DialContext:         dialer.DialContext,
				MaxIdleConnsPerHost: maxIdleConns,
				IdleConnTimeout:     idleTimeout,
				DisableCompression:  true,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// Close closes idle connections.
func (c *HTTPClient) Close() { c.http.CloseIdleConnections() }

// call is one exchange with the platform.
type call struct {
	method string
	path   string
	query  url.Values
	body   []byte
	header http.Header
	// wait is added to the timeout, limit bounds the answer in bytes.
	wait  time.Duration
	limit int64
}

// answer is a complete answer to a call.
type answer struct {
	status  int
	version int64
	body    []byte
}

// do sends a call and reads the whole answer.
func (c *HTTPClient) do(ctx context.Context, call call) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+call.wait)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := c.request(ctx, call)
	if err != nil {
		return answer{}, Invalid.Wrap(err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return answer{}, transportError(err, connected.Load())
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, call.limit+1))
	if err != nil {
		return answer{}, Unavailable.Wrap(err)
	}
	if int64(len(body)) > call.limit {
		return answer{}, Unavailable.New("an answer of more than %d bytes", call.limit)
	}
	return answer{status: resp.StatusCode, version: parseETag(resp.Header.Get("ETag")), body: body}, nil
}

func (c *HTTPClient) request(ctx context.Context, call call) (*http.Request, error) {
	target := c.base + call.path
	if len(call.query) > 0 {
		target += "?" + call.query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, call.method, target, bytes.NewReader(call.body))
	if err != nil {
		return nil, err
	}
	for name, values := range call.header {
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

// parseETag returns the version in an ETag, or 0.
func parseETag(tag string) int64 {
	text, err := strconv.Unquote(tag)
	if err != nil {
		return 0
	}
	version, err := strconv.ParseInt(text, 10, 64)
	if err != nil || version < 0 {
		return 0
	}
	return version
}

// statusError returns the error that a status other than success means.
func statusError(key string, a answer) error {
	message := fmt.Sprintf("%s: status %d: %s", key, a.status, firstLine(a.body))
	switch a.status {
	case http.StatusNotFound:
		return NotFound.New("%s", message)
	case http.StatusPreconditionFailed:
		return Conflict.New("%s", message)
	case http.StatusTooManyRequests:
		return Throttled.New("%s", message)
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return Invalid.New("%s", message)
	default:
		return Unavailable.New("%s", message)
	}
}

// maxMessageBytes bounds how much of an answer appears in an error.
const maxMessageBytes = 200

func firstLine(body []byte) string {
	line, _, _ := strings.Cut(string(body[:min(len(body), maxMessageBytes)]), "\n")
	return line
}

// object makes an Object of a successful answer. An answer without a version
// is broken, and an update that it answers may have taken effect.
func (a answer) object(key string, value []byte) (Object, error) {
	if a.version == 0 {
		return Object{}, Unavailable.New("%s: an answer without a version", key)
	}
	return Object{Key: key, Version: a.version, Value: value}, nil
}

// Get implements Client.
func (c *HTTPClient) Get(ctx context.Context, key string) (Object, error) {
	if err := CheckKey(key); err != nil {
		return Object{}, err
	}
	a, err := c.do(ctx, call{method: http.MethodGet, path: "/v1/objects/" + key, limit: MaxValueBytes})
	if err != nil {
		return Object{}, err
	}
	if a.status != http.StatusOK {
		return Object{}, statusError(key, a)
	}
	return a.object(key, a.body)
}

// List implements Client.
func (c *HTTPClient) List(ctx context.Context, prefix string) ([]Object, error) {
	var list []Object
	query := url.Values{"prefix": {prefix}}
	if err := c.getJSON(ctx, "/v1/objects", query, &list); err != nil {
		return nil, err
	}
	return list, nil
}

// Instances implements Client.
func (c *HTTPClient) Instances(ctx context.Context) ([]Instance, error) {
	var list []Instance
	if err := c.getJSON(ctx, "/v1/instances", nil, &list); err != nil {
		return nil, err
	}
	return list, nil
}

func (c *HTTPClient) getJSON(ctx context.Context, path string, query url.Values, dst any) error {
	a, err := c.do(ctx, call{method: http.MethodGet, path: path, query: query, limit: maxListBytes})
	if err != nil {
		return err
	}
	if a.status != http.StatusOK {
		return statusError(path, a)
	}
	if err := json.Unmarshal(a.body, dst); err != nil {
		return Unavailable.Wrap(err)
	}
	return nil
}

// Put implements Client.
func (c *HTTPClient) Put(ctx context.Context, key string, value []byte, version int64) (Object, error) {
	if err := checkUpdate(key, value, version); err != nil {
		return Object{}, err
	}
	a, err := c.do(ctx, call{
		method: http.MethodPut,
		path:   "/v1/objects/" + key,
		body:   value,
		header: condition(version),
		limit:  maxListBytes,
	})
	if err != nil {
		return Object{}, err
	}
	if a.status != http.StatusOK && a.status != http.StatusCreated {
		return Object{}, statusError(key, a)
	}
	return a.object(key, bytes.Clone(value))
}

// condition returns the header that makes an update conditional.
func condition(version int64) http.Header {
	if version == 0 {
		return http.Header{"If-None-Match": {"*"}}
	}
	return http.Header{"If-Match": {ETag(version)}}
}

// ETag returns a version as it stands in headers.
func ETag(version int64) string { return `"` + strconv.FormatInt(version, 10) + `"` }

// Delete implements Client.
func (c *HTTPClient) Delete(ctx context.Context, key string, version int64) error {
	if err := checkUpdate(key, nil, version); err != nil {
		return err
	}
	a, err := c.do(ctx, call{
		method: http.MethodDelete,
		path:   "/v1/objects/" + key,
		header: http.Header{"If-Match": {ETag(version)}},
		limit:  maxListBytes,
	})
	if err != nil {
		return err
	}
	if a.status != http.StatusNoContent {
		return statusError(key, a)
	}
	return nil
}

// Watch implements Client. It asks again whenever the platform ends a long
// poll without an object.
func (c *HTTPClient) Watch(ctx context.Context, key string, version int64) (Object, error) {
	if err := CheckKey(key); err != nil {
		return Object{}, err
	}
	poll := call{
		method: http.MethodGet,
		path:   "/v1/watch/" + key,
		query:  url.Values{"after": {strconv.FormatInt(version, 10)}},
		wait:   watchWait,
		limit:  MaxValueBytes,
	}
	for {
		start := time.Now()
		a, err := c.do(ctx, poll)
		if err != nil {
			return Object{}, err
		}
		if a.status == http.StatusOK {
			return a.newerObject(key, version)
		}
		if a.status != http.StatusNoContent {
			return Object{}, statusError(key, a)
		}
		if time.Since(start) < minWatchWait {
			return Object{}, Unavailable.New("%s: the platform ended a watch at once", key)
		}
	}
}

// newerObject refuses an answer to a watch that is no newer than what it was
// asked for, since repeating such a watch would never wait.
func (a answer) newerObject(key string, version int64) (Object, error) {
	if a.version <= version {
		return Object{}, Unavailable.New("%s: a watch after version %d gave version %d", key, version, a.version)
	}
	return a.object(key, a.body)
}
