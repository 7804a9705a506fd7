// Package client is the HTTP client of the operators' API. It tries several instances
// in turn, since each of them can serve requests about the whole fleet.
package client

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"sycamoreledge.example/internal/api/wire"
	"sycamoreledge.example/internal/pki"
)

var (
	// Error is the class of errors in the client's options, requests and responses
	// that are not caused by an unreachable instance.
	Error = errs.Class("client")
	// Unreachable is the class of errors for which no instance gave a response. A
	// change may have taken effect nevertheless.
	Unreachable = errs.Class("unreachable")
)

const (
	// DefaultTimeout bounds one call to one instance. It is longer than an instance
	// retries a change, so that the client learns its outcome.
	DefaultTimeout = 8 * time.Second
	// connectTimeout and handshakeTimeout bound the time to open a connection, so
	// that an instance that is down or unresponsive is skipped quickly.
	connectTimeout   = time.Second
	handshakeTimeout = 2 * time.Second
	// maxServerErrors is the number of 5xx responses, for example because of an
	// outage of the platform, after which no other instance is tried.
	maxServerErrors = 2
	// maxResponseBytes bounds the body of a response, maxHeaderBytes its header.
	maxResponseBytes = 16 << 20
	maxHeaderBytes   = 64 << 10
	operationIDBytes = 16
)

// APIError is an error response of an instance.
type APIError struct {
	Status   int
	Endpoint string
	Answer   wire.Error
}

// Error implements error. It returns the message followed by the code.
func (e *APIError) Error() string { return e.Answer.Message + " (" + e.Answer.Code + ")" }

// Conflict returns the detail of a version conflict. It reports false for other errors.
func (e *APIError) Conflict() (wire.Conflict, bool) {
	var c wire.Conflict
	if e.Status != http.StatusConflict || json.Unmarshal(e.Answer.Detail, &c) != nil {
		return wire.Conflict{}, false
	}
	return c, true
}

// Options configures a Client.
type Options struct {
	// Endpoints are the addresses of operators' listeners, as host:port or https
	// URL, in the order in which they are tried.
	Endpoints []string
	// Token is the operator's bearer token.
	Token string
	// CAFile is the path of the fleet's certificate authority in PEM. Any instance
	// with a certificate issued by it is trusted, regardless of its address. If
	// empty, the system's certificate authorities are used.
	CAFile string
	// TLS takes precedence over CAFile if set.
	TLS *tls.Config
	// Timeout bounds one call to one instance; 0 means DefaultTimeout.
	Timeout time.Duration
}

// Client calls the operators' API.
type Client struct {
	endpoints []*url.URL
	token     string
	timeout   time.Duration
	http      *http.Client
}

// New returns a client, or an error of class Error if the options are not valid.
func New(opts Options) (*Client, error) {
	if len(opts.Endpoints) == 0 {
		return nil, Error.New("at least one endpoint is required, none is given")
	}
	c := &Client{token: opts.Token, timeout: opts.Timeout}
	if c.timeout == 0 {
		c.timeout = DefaultTimeout
	}
	for _, text := range opts.Endpoints {
		endpoint, err := parseEndpoint(text)
		if err != nil {
			return nil, err
		}
		c.endpoints = append(c.endpoints, endpoint)
	}
	config, err := tlsConfig(opts)
	if err != nil {
		return nil, err
	}
	c.http = &http.Client{Transport: &http.Transport{
		TLSClientConfig:     config,
		DialContext:         (&net.Dialer{Timeout: connectTimeout}).DialContext,
		TLSHandshakeTimeout: handshakeTimeout,

		MaxResponseHeaderBytes: maxHeaderBytes,
	}}
	return c, nil
}

func tlsConfig(opts Options) (*tls.Config, error) {
	if opts.TLS != nil || opts.CAFile == "" {
		return opts.TLS, nil
	}
	config, err := pki.OperatorClient(opts.CAFile)
	return config, Error.Wrap(err)
}

// parseEndpoint parses an endpoint given as host:port or https://host:port.
func parseEndpoint(text string) (*url.URL, error) {
	if !strings.Contains(text, "://") {
		text = "https://" + text
	}
	endpoint, err := url.Parse(text)
	if err != nil || endpoint.Host == "" || endpoint.Port() == "" {
		return nil, Error.New("endpoint %q must be host:port or https://host:port", text)
	}
	if endpoint.Scheme != "https" {
		return nil, Error.New("endpoint %q must use https, since requests carry a credential", text)
	}
	return &url.URL{Scheme: endpoint.Scheme, Host: endpoint.Host}, nil
}

// NewOperation returns a new random operation id.
func NewOperation() string {
	var id [operationIDBytes]byte
	rand.Read(id[:]) //nolint:errcheck // never fails
	return hex.EncodeToString(id[:])
}

// call is a request that any instance can serve.
type call struct {
	method      string
	path        string
	query       url.Values
	contentType string
	body        []byte
	header      http.Header
}

// do tries the endpoints in turn until one succeeds or fails with an error that other
// endpoints would return as well, and decodes the response into result. Changes carry
// an operation id, so that they take effect only once even if tried on several
// endpoints.
func (c *Client) do(ctx context.Context, request call, result any) error {
	var bestErr error
	serverErrors := 0
	for _, endpoint := range c.endpoints {
		err := c.doOnEndpoint(ctx, endpoint, request, result)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return Unreachable.Wrap(ctx.Err())
		}
		if !otherMaySucceed(err) {
			return err
		}
		bestErr = preferAPIError(bestErr, err)
		if isAPIError(err) {
			serverErrors++
		}
		if serverErrors == maxServerErrors {
			break
		}
	}
	return bestErr
}

// isAPIError reports whether an error is the response of an instance.
func isAPIError(err error) bool {
	var apiErr *APIError
	return errors.As(err, &apiErr)
}

// otherMaySucceed reports whether a request that failed with err may succeed on another
// instance.
func otherMaySucceed(err error) bool {
	var apiErr *APIError
	if !errors.As(err, &apiErr) {
		return true
	}
	return apiErr.Status >= http.StatusInternalServerError
}

// preferAPIError returns the more specific error: the response of an instance takes
// precedence over the failure to reach one. Failures to reach instances are combined.
func preferAPIError(old, latest error) error {
	if old == nil || isAPIError(latest) {
		return latest
	}
	if isAPIError(old) {
		return old
	}
	return Unreachable.Wrap(errs.Combine(withoutUnreachableClass(old), withoutUnreachableClass(latest)))
}

// withoutUnreachableClass removes the class Unreachable from an error, so that a
// combination of errors contains its name only once.
func withoutUnreachableClass(err error) error {
	if inner := errors.Unwrap(err); inner != nil && Unreachable.Has(err) {
		return inner
	}
	return err
}

func (c *Client) doOnEndpoint(ctx context.Context, endpoint *url.URL, request call, result any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	target := endpoint.JoinPath(request.path)
	target.RawQuery = request.query.Encode()
	req, err := http.NewRequestWithContext(ctx, request.method, target.String(), bytes.NewReader(request.body))
	if err != nil {
		return Error.Wrap(err)
	}
	for name, values := range request.header {
		req.Header[name] = values
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	req.Header.Set("Accept", "application/json")
	if request.contentType != "" {
		req.Header.Set("Content-Type", request.contentType)
	}
	return c.exchange(req, endpoint, result)
}

func (c *Client) exchange(req *http.Request, endpoint *url.URL, result any) error {
	resp, err := c.http.Do(req)
	if err != nil {
		return Unreachable.Wrap(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return Unreachable.Wrap(err)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return decodeError(resp, endpoint, body)
	}
	if err := json.Unmarshal(body, result); err != nil {
		return Error.New("response of %s is not valid JSON of the expected type: %v", endpoint.Host, err)
	}
	return nil
}

func decodeError(resp *http.Response, endpoint *url.URL, body []byte) error {
	e := &APIError{Status: resp.StatusCode, Endpoint: endpoint.Host}
	if err := json.Unmarshal(body, &e.Answer); err != nil || e.Answer.Code == "" {
		e.Answer = wire.Error{Code: wire.CodeInternal, Message: "the response has no error code; its HTTP status is " + strconv.Itoa(resp.StatusCode)}
	}
	return e
}
