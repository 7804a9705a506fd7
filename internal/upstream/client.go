// Package upstream sends single attempts to upstreams over HTTP/1.1 and reports
// their outcomes exactly: whether the upstream ran the request, did not run it,
// or may have run it.
package upstream

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"sycamoreledge.example/internal/hop"
	"sycamoreledge.example/internal/work"
)

// Error is the class of errors of this package.
var Error = errs.Class("upstream")

// Header fields between instances and upstreams.
const (
	HeaderRequestID = "Request-Id"
	HeaderDeadline  = "Deadline-Unix-Ms"
	HeaderKey       = "Idempotency-Key"
	HeaderKind      = "Work-Kind"
	HeaderNotRun    = "Work-Not-Run"
	HeaderDigest    = "Content-Digest"
	notRunValue     = "true"
)

const (
	dialTimeout        = 2 * time.Second
	idleTimeout        = 20 * time.Second
	maxHeaderBytes     = 64 << 10
	maxHealthBodyBytes = 4 << 10
	spareConnections   = 2 // in addition to one per slot, for cancelled requests
)

// Health is the health state that an upstream reports.
type Health string

// The states that the health endpoint reports.
const (
	Live    Health = "live"
	Leaving Health = "leaving"
	Cold    Health = "cold"
)

// Target identifies an upstream.
type Target struct {
	Name    string
	Address string // IP:port
	Slots   int
}

// Result is the result of one attempt.
type Result struct {
	Response *work.Response
	// MaybeRunning is set when the upstream may still be working on the attempt: the
	// attempt was sent, and then ended without a valid response.
	MaybeRunning bool
	// WrongRequestID is set when the response did not carry the ID of the request.
	WrongRequestID bool
	// Streaming is set when the response body is streamed and still being received.
	Streaming bool
}

// Client sends attempts to upstreams. It is safe for concurrent use.
type Client struct {
	dial func(ctx context.Context, network, address string) (net.Conn, error)

	mu         sync.Mutex
	transports map[string]*http.Transport // by address
	probes     *http.Transport
}

// NewClient returns a client that connects with dial, or with a net.Dialer when
// dial is nil.
func NewClient(dial func(ctx context.Context, network, address string) (net.Conn, error)) *Client {
	if dial == nil {
		dialer := &net.Dialer{Timeout: dialTimeout}
		dial = dialer.DialContext
	}
	return &Client{
		dial:       dial,
		transports: make(map[string]*http.Transport),
		probes: &http.Transport{
			DialContext:            dial,
			DisableKeepAlives:      true,
			MaxResponseHeaderBytes: maxHeaderBytes,
		},
	}
}

// Close closes the idle connections to all upstreams.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range c.transports {
		t.CloseIdleConnections()
	}
}

// transport returns the transport of one upstream, which limits its connections.
func (c *Client) transport(t Target) *http.Transport {
	c.mu.Lock()
	defer c.mu.Unlock()
	if rt, ok := c.transports[t.Address]; ok {
		return rt
	}
	rt := &http.Transport{
		DialContext:            c.dialCounting,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    t.Slots,
		MaxConnsPerHost:        t.Slots + spareConnections,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		ForceAttemptHTTP2:      false,
	}
	c.transports[t.Address] = rt
	return rt
}

// Probe requests the health state of an upstream.
func (c *Client) Probe(ctx context.Context, t Target) (Health, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.Address+"/healthz", nil)
	if err != nil {
		return "", Error.Wrap(err)
	}
	resp, err := c.probes.RoundTrip(req)
	if err != nil {
		return "", Error.Wrap(err)
	}
	defer resp.Body.Close()
	var health struct {
		State Health `json:"state"`
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxHealthBodyBytes)).Decode(&health)
	if err != nil {
		return "", Error.Wrap(err)
	}
	switch health.State {
	case Live, Leaving, Cold:
		return health.State, nil
	default:
		return "", Error.New("unknown health state %q: expected live, leaving or cold", health.State)
	}
}

// httpRequest builds the HTTP request of one attempt. Its body is never nil and
// GetBody is not set, so that net/http does not retry the request.
func httpRequest(ctx context.Context, t Target, req *work.Request, body io.Reader, deadline time.Time) (*http.Request, error) {
	path := req.Path
	if !strings.HasPrefix(path, "/") {
		path = "/" + path
	}
	out, err := http.NewRequestWithContext(ctx, req.Method, "http://"+t.Address+path, nil)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if req.Header != nil {
		out.Header = req.Header.Clone()
	}
	hop.StripFraming(out.Header)
	out.Header.Set(HeaderRequestID, req.ID)
	out.Header.Set(HeaderDeadline, strconv.FormatInt(deadline.UnixMilli(), 10))
	out.Header.Set(HeaderKind, string(req.Kind))
	out.Header.Del(HeaderKey)
	if req.Key != "" {
		out.Header.Set(HeaderKey, req.Key)
	}
	setBody(out, body, req.Length)
	return out, nil
}

// setBody sets the request body. An empty one is sent without framing fields,
// which HTTP/1.1 defines as a length of 0.
func setBody(out *http.Request, body io.Reader, length int64) {
	if body == nil || length == 0 {
		out.Body = io.NopCloser(strings.NewReader(""))
		out.ContentLength = 0
		out.TransferEncoding = []string{"identity"}
		return
	}
	out.Body = io.NopCloser(body)
	out.ContentLength = length
}
