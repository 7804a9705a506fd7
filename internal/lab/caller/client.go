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

// HTTP headers between callers and entries.
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

// deadlineGrace is how long after the deadline a caller still accepts a response.
const deadlineGrace = 500 * time.Millisecond

// maxIdleConns bounds the idle connections to one entry.
const maxIdleConns = 256

// Call is one request of a caller. The same Call is sent again on a retry.
type Call struct {
	Service string
	Kind    work.Kind
	// Nonce makes the request and its response unique.
	Nonce string
	Key   string
	Body  []byte
	// Size is the requested size of the response body in bytes.
	Size int
	// Chunked requests a response without a Content-Length.
	Chunked  bool
	Deadline time.Duration
}

// Result is the result of one attempt as the caller saw it.
type Result struct {
	// Entry is the address that the request was sent to.
	Entry   string
	Outcome work.Outcome
	Reason  work.Reason
	Status  int
	// Sent is false if no connection to the entry was established.
	Sent bool
	// Told is set if the entry reported the outcome itself.
	Told       bool
	RetryAfter time.Duration
	Upstream   string
	RequestID  string
	// Bad is the error of a response that was received completely but does not
	// match the request.
	Bad error
	// Err is the error that ended the attempt, if any.
	Err error
	At  time.Time
}

// Bounds of responses in bytes. The longest response of the lab's upstreams has
// 3 MB.
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

// NewClient returns a client that adds the latency in each direction.
func NewClient(latency func(address string) time.Duration) *Client {
	dialer := &net.Dialer{Timeout: 2 * time.Second}
	return &Client{
		http: &http.Client{Transport: &http.Transport{
			DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: 30 * time.Second,
			MaxResponseHeaderBytes: maxHeaderBytes,
		}},
		latency: latency,
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Send sends the call to the entry once.
func (c *Client) Send(ctx context.Context, address string, call *Call) Result {
	r := c.send(ctx, address, call)
	r.Entry = address
	return r
}

// send is Send without Result.Entry.
func (c *Client) send(ctx context.Context, address string, call *Call) Result {
	ctx, cancel := context.WithTimeout(ctx, call.Deadline+deadlineGrace)
	defer cancel()
	sleep(ctx, c.latency(address))
	req, err := newRequest(ctx, address, call)
	if err != nil {
		return Result{Outcome: work.NotRun, Err: err, At: time.Now()}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return failedResult(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err == nil && len(body) > maxAnswerBytes {
		err = Error.New("response exceeds the limit of %d bytes", maxAnswerBytes)
	}
	sleep(ctx, c.latency(address))
	return parseResponse(resp, body, err, call)
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
	// Retries are decided by the caller; without GetBody the transport does
	// not resend a body on its own.
	req.GetBody = nil
	return req, nil
}

// failedResult returns the result of an attempt without a response. The outcome
// is not-run if the connection failed, and unknown otherwise.
func failedResult(err error) Result {
	r := Result{Outcome: work.Unknown, Sent: true, Err: err, At: time.Now()}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		r.Outcome, r.Sent = work.NotRun, false
	}
	return r
}

// parseResponse returns the result of an attempt with a response. The parameter
// err is the error of reading the body.
func parseResponse(resp *http.Response, body []byte, err error, call *Call) Result {
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

// retryAfter returns the retry delay that the response requests, or 0.
func retryAfter(h http.Header) time.Duration {
	if ms, err := strconv.Atoi(h.Get(headerRetryAfterMs)); err == nil {
		return time.Duration(ms) * time.Millisecond
	}
	s, _ := strconv.Atoi(h.Get(headerRetryAfter))
	return time.Duration(s) * time.Second
}

// entriesAnswer is the response of GET /v1/entries.
type entriesAnswer struct {
	MaxAgeMs int64 `json:"max_age_ms"`
	Entries  []struct {
		Name    string `json:"name"`
		Address string `json:"address"`
	} `json:"entries"`
}

// Entries requests the ranked entry addresses for a service and returns them with
// their max-age.
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

// NewKey requests an idempotency key issued by the system.
func (c *Client) NewKey(ctx context.Context, address, service string) (string, error) {
	var a struct {
		Key string `json:"key"`
	}
	target := fmt.Sprintf("http://%s/v1/keys?service=%s", address, url.QueryEscape(service))
	if err := c.exchange(ctx, http.MethodPost, address, target, &a); err != nil {
		return "", err
	}
	if a.Key == "" {
		return "", Error.New("expected an idempotency key from %s, got an empty one", address)
	}
	return a.Key, nil
}

// exchange sends a request without a body and decodes the JSON response into v.
func (c *Client) exchange(ctx context.Context, method, address, target string, v any) error {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	sleep(ctx, c.latency(address))
	req, err := http.NewRequestWithContext(ctx, method, target, nil)
	if err != nil {
		return Error.Wrap(err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Error.Wrap(err)
	}
	defer resp.Body.Close()
	sleep(ctx, c.latency(address))
	if resp.StatusCode/100 != 2 {
		return Error.New("%s %s: expected status 2xx, got %d", method, target, resp.StatusCode)
	}
	return Error.Wrap(json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(v))
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
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
