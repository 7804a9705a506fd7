package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"sycamoreledge.example/internal/lab/answer"
	"sycamoreledge.example/internal/work"
)

// Headers of the interface between callers and entries.
const (
	headerDeadline     = "Deadline-Ms"
	headerKey          = "Idempotency-Key"
	headerOutcome      = "Outcome"
	headerReason       = "Outcome-Reason"
	headerRequestID    = "Request-Id"
	headerRetryAfter   = "Retry-After"
	headerRetryAfterMs = "Retry-After-Ms"
	headerUpstream     = "Upstream"
)

// deadlineGrace is how long after its deadline a caller still takes an answer.
const deadlineGrace = 500 * time.Millisecond

// maxIdle bounds the kept connections to one entry.
const maxIdle = 256

// Call is one request of a caller. The same Call is sent again on a retry.
type Call struct {
	Service string
	Kind    work.Kind
	// Nonce makes the request and its answer unique.
	Nonce string
	Key   string
	Body  []byte
	// Size is the wanted size of the answer in bytes.
	Size int
	// Chunked asks for an answer whose length is not sent in advance.
	Chunked  bool
	Deadline time.Duration
}

// Result is what a caller learned from one attempt.
type Result struct {
	// Entry is the address that was asked.
	Entry   string
	Outcome work.Outcome
	Reason  work.Reason
	Status  int
	// Sent is false when no connection to the entry was made.
	Sent bool
	// Told is set when the entry stated the outcome itself.
	Told       bool
	RetryAfter time.Duration
	Upstream   string
	RequestID  string
	// Bad is set when an answer that looked whole is not the request's own.
	Bad error
	// Err is the error that ended the attempt, if any.
	Err error
	At  time.Time
}

// Bounds of answers, in bytes: the longest that upstreams of the lab send has 3 MB.
const (
	maxHeaderBytes = 64 << 10
	maxAnswerBytes = 64 << 20
)

// Client sends requests to entries from one availability zone.
type Client struct {
	http *http.Client
	// latency returns the one-way latency to an entry's address.
	latency func(address string) time.Duration
}

// NewClient returns a client that adds the latency to each way.
func NewClient(latency func(address string) time.Duration) *Client {
	dialer := &net.Dialer{Timeout: 2 * time.Second}
	return &Client{
		http: &http.Client{Transport: &http.Transport{
			DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdle, IdleConnTimeout: 30 * time.Second,
			MaxResponseHeaderBytes: maxHeaderBytes,
		}},
		latency: latency,
	}
}

// Close ends the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Send makes one attempt at the entry.
func (c *Client) Send(ctx context.Context, address string, call *Call) Result {
	r := c.send(ctx, address, call)
	r.Entry = address
	return r
}

// send makes the attempt.
func (c *Client) send(ctx context.Context, address string, call *Call) Result {
	ctx, cancel := context.WithTimeout(ctx, call.Deadline+deadlineGrace)
	defer cancel()
	pause(ctx, c.latency(address))
	req, err := newRequest(ctx, address, call)
	if err != nil {
		return Result{Outcome: work.NotRun, Err: err, At: time.Now()}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return failed(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err == nil && len(body) > maxAnswerBytes {
		err = Error.New("an answer of more than %d bytes", maxAnswerBytes)
	}
	pause(ctx, c.latency(address))
	return read(resp, body, err, call)
}

// newRequest builds the HTTP request of a call.
func newRequest(ctx context.Context, address string, call *Call) (*http.Request, error) {
	method := http.MethodPost
	if call.Kind.Idempotent() {
		method = http.MethodGet
	}
	target := fmt.Sprintf("http://%s/v1/services/%s/items/%s?size=%d", address, url.PathEscape(call.Service), call.Nonce, call.Size)
	if call.Chunked {
		target += "&chunked=1"
	}
	var body io.Reader
	if len(call.Body) > 0 {
		body = bytes.NewReader(call.Body)
	}
	req, err := http.NewRequestWithContext(ctx, method, target, body)
	if err != nil {
		return nil, err
	}
	req.Header.Set(headerDeadline, strconv.FormatInt(call.Deadline.Milliseconds(), 10))
	if call.Key != "" {
		req.Header.Set(headerKey, call.Key)
	}
	// The caller decides about retries; the transport must not repeat a
	// request on its own.
	req.GetBody = nil
	return req, nil
}

// failed is the result of an attempt without an answer.
func failed(err error) Result {
	r := Result{Outcome: work.Unknown, Sent: true, Err: err, At: time.Now()}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		r.Outcome, r.Sent = work.NotRun, false
	}
	return r
}

// read is the result of an attempt with an answer.
func read(resp *http.Response, body []byte, err error, call *Call) Result {
	h := resp.Header
	r := Result{
		Status:     resp.StatusCode,
		Sent:       true,
		Told:       true,
		Reason:     work.Reason(h.Get(headerReason)),
		Upstream:   h.Get(headerUpstream),
		RequestID:  h.Get(headerRequestID),
		RetryAfter: retryAfter(h),
		Err:        err,
		At:         time.Now(),
	}
	switch h.Get(headerOutcome) {
	case work.Run.String():
		r.Outcome = work.Run
	case work.NotRun.String():
		r.Outcome = work.NotRun
		return r
	case work.Unknown.String():
		r.Outcome = work.Unknown
		return r
	default:
		r.Outcome, r.Told = work.Unknown, false
		return r
	}
	if err != nil {
		r.Outcome, r.Told = work.Unknown, false
		return r
	}
	r.Bad = answer.Check(call.Nonce, answer.Digest(call.Body), call.Size, body)
	return r
}

// retryAfter returns the advised pause, or 0.
func retryAfter(h http.Header) time.Duration {
	if ms, err := strconv.Atoi(h.Get(headerRetryAfterMs)); err == nil {
		return time.Duration(ms) * time.Millisecond
	}
	s, _ := strconv.Atoi(h.Get(headerRetryAfter))
	return time.Duration(s) * time.Second
}

// entriesAnswer is the answer about which entries to use.
type entriesAnswer struct {
	MaxAgeMs int64 `json:"max_age_ms"`
	Entries  []struct {
		Name    string `json:"name"`
		Address string `json:"address"`
	} `json:"entries"`
}

// Entries asks an entry for the ranked addresses for a service.
func (c *Client) Entries(ctx context.Context, address, service, client string) ([]string, time.Duration, error) {
	target := fmt.Sprintf("http://%s/v1/entries?service=%s&client=%s", address, url.QueryEscape(service), client)
	var a entriesAnswer
	if err := c.exchange(ctx, http.MethodGet, address, target, &a); err != nil {
		return nil, 0, err
	}
	var list []string
	for _, e := range a.Entries {
		list = append(list, e.Address)
	}
	return list, time.Duration(a.MaxAgeMs) * time.Millisecond, nil
}

// NewKey asks an entry for an idempotency key of the system.
func (c *Client) NewKey(ctx context.Context, address, service string) (string, error) {
	var a struct {
		Key string `json:"key"`
	}
	target := fmt.Sprintf("http://%s/v1/keys?service=%s", address, url.QueryEscape(service))
	if err := c.exchange(ctx, http.MethodPost, address, target, &a); err != nil {
		return "", err
	}
	if a.Key == "" {
		return "", Error.New("empty key from %s", address)
	}
	return a.Key, nil
}

// exchange makes a short request with a JSON answer.
func (c *Client) exchange(ctx context.Context, method, address, target string, v any) error {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	pause(ctx, c.latency(address))
	req, err := http.NewRequestWithContext(ctx, method, target, nil)
	if err != nil {
		return Error.Wrap(err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Error.Wrap(err)
	}
	defer resp.Body.Close()
	pause(ctx, c.latency(address))
	if resp.StatusCode/100 != 2 {
		return Error.New("%s %s: status %d", method, target, resp.StatusCode)
	}
	return Error.Wrap(json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(v))
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
