// Package client is the HTTP client of the operators' interface. It tries
// several instances in turn: any of them answers for the whole firm.
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
	// Error is the class of faults of the client's own settings.
	Error = errs.Class("client")
	// Unreachable means that no instance gave an answer. A change may have
	// taken effect.
	Unreachable = errs.Class("unreachable")
)

const (
	// DefaultTimeout bounds one call to one instance. It is longer than an
	// instance tries to carry out a change, whose outcome is known then.
	DefaultTimeout = 8 * time.Second
	// connectTimeout and handshakeTimeout bound the opening of a connection, so
	// that an instance that is stopped or frozen costs little.
	connectTimeout   = time.Second
	handshakeTimeout = 2 * time.Second
	// maxFailedAnswers is how many instances may answer with a failure of
	// theirs, such as the platform's outage, before the command gives up.
	maxFailedAnswers = 2
	// maxAnswerBytes bounds an answer, maxHeaderBytes its header.
	maxAnswerBytes = 16 << 20
	maxHeaderBytes = 64 << 10
	operationBytes = 16
)

// APIError is an error that an instance answered with.
type APIError struct {
	Status   int
	Endpoint string
	Answer   wire.Error
}

// Error returns the message with the code.
func (e *APIError) Error() string { return e.Answer.Message + " (" + e.Answer.Code + ")" }

// Conflict returns who won, for a conflict.
func (e *APIError) Conflict() (wire.Conflict, bool) {
	var c wire.Conflict
	if e.Status != http.StatusConflict || json.Unmarshal(e.Answer.Detail, &c) != nil {
		return wire.Conflict{}, false
	}
	return c, true
}

// Options configure a Client.
type Options struct {
	// Endpoints are the operators' listeners, as host:port or https URL.
	Endpoints []string
	// Token is the operator's bearer token.
	Token string
	// CAFile holds the firm's authority in PEM: any instance with a certificate
	// of it is trusted, whatever its address. Without one the authorities of
	// the system count.
	CAFile string
	// TLS goes before CAFile where it is set.
	TLS *tls.Config
	// Timeout bounds one call to one instance; 0 means DefaultTimeout.
	Timeout time.Duration
}

// Client calls the operators' interface.
type Client struct {
	endpoints []*url.URL
	token     string
	timeout   time.Duration
	http      *http.Client
}

// New returns a client.
func New(opts Options) (*Client, error) {
	if len(opts.Endpoints) == 0 {
		return nil, Error.New("no endpoint is given")
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
	secure, err := trusted(opts)
	if err != nil {
		return nil, err
	}
	c.http = &http.Client{Transport: &http.Transport{
		TLSClientConfig:     secure,
		DialContext:         (&net.Dialer{Timeout: connectTimeout}).DialContext,
		TLSHandshakeTimeout: handshakeTimeout,

		MaxResponseHeaderBytes: maxHeaderBytes,
	}}
	return c, nil
}

func trusted(opts Options) (*tls.Config, error) {
	if opts.TLS != nil || opts.CAFile == "" {
		return opts.TLS, nil
	}
	secure, err := pki.OperatorClient(opts.CAFile)
	return secure, Error.Wrap(err)
}

// parseEndpoint accepts host:port and https://host:port.
func parseEndpoint(text string) (*url.URL, error) {
	if !strings.Contains(text, "://") {
		text = "https://" + text
	}
	endpoint, err := url.Parse(text)
	if err != nil || endpoint.Host == "" || endpoint.Port() == "" {
		return nil, Error.New("endpoint %q is not host:port", text)
	}
	if endpoint.Scheme != "https" {
		return nil, Error.New("endpoint %q must use https: it gets a credential", text)
	}
	return &url.URL{Scheme: endpoint.Scheme, Host: endpoint.Host}, nil
}

// NewOperation returns a fresh operation id.
func NewOperation() string {
	var id [operationBytes]byte
	rand.Read(id[:]) //nolint:errcheck // never fails
	return hex.EncodeToString(id[:])
}

// call is one request to any instance.
type call struct {
	method      string
	path        string
	query       url.Values
	contentType string
	body        []byte
	header      http.Header
}

// do tries the endpoints in turn until one gives an answer that another could
// not better, and decodes it. Changes carry an operation id, so that trying
// them twice has the effect of once.
func (c *Client) do(ctx context.Context, request call, answer any) error {
	var failed error
	answered := 0
	for _, endpoint := range c.endpoints {
		err := c.doAt(ctx, endpoint, request, answer)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return Unreachable.Wrap(ctx.Err())
		}
		if !worthAnother(err) {
			return err
		}
		failed = preferAnswer(failed, err)
		if isAnswer(err) {
			answered++
		}
		if answered == maxFailedAnswers {
			break
		}
	}
	return failed
}

// isAnswer reports whether an error came from an instance.
func isAnswer(err error) bool {
	var api *APIError
	return errors.As(err, &api)
}

// worthAnother reports whether another instance may succeed.
func worthAnother(err error) bool {
	var api *APIError
	if !errors.As(err, &api) {
		return true
	}
	return api.Status >= http.StatusInternalServerError
}

// preferAnswer keeps the error that says most: an instance's answer before the
// failure to reach one.
func preferAnswer(old, latest error) error {
	if old == nil || isAnswer(latest) {
		return latest
	}
	if isAnswer(old) {
		return old
	}
	return Unreachable.Wrap(errs.Combine(unwrapped(old), unwrapped(latest)))
}

// unwrapped drops the class, so that a list of failures names it once.
func unwrapped(err error) error {
	if inner := errors.Unwrap(err); inner != nil && Unreachable.Has(err) {
		return inner
	}
	return err
}

func (c *Client) doAt(ctx context.Context, endpoint *url.URL, request call, answer any) error {
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
	return c.exchange(req, endpoint, answer)
}

func (c *Client) exchange(req *http.Request, endpoint *url.URL, answer any) error {
	resp, err := c.http.Do(req)
	if err != nil {
		return Unreachable.Wrap(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return Unreachable.Wrap(err)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return decodeError(resp, endpoint, body)
	}
	if err := json.Unmarshal(body, answer); err != nil {
		return Error.New("answer of %s is not valid: %v", endpoint.Host, err)
	}
	return nil
}

func decodeError(resp *http.Response, endpoint *url.URL, body []byte) error {
	e := &APIError{Status: resp.StatusCode, Endpoint: endpoint.Host}
	if err := json.Unmarshal(body, &e.Answer); err != nil || e.Answer.Code == "" {
		e.Answer = wire.Error{Code: wire.CodeInternal, Message: "HTTP status " + strconv.Itoa(resp.StatusCode)}
	}
	return e
}
