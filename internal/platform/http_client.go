package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
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
	// maxHeaderBytes bounds the header of an answer, in bytes.
	maxHeaderBytes = 64 << 10
	// maxListBytes bounds the answer to a List, in bytes.
	maxListBytes = 64 << 20
)

// HTTPClient is a Client over HTTP/1.1.
type HTTPClient struct{ *Caller }

var _ Client = (*HTTPClient)(nil)

// NewHTTPClient returns a client for the platform at the address host:port.
// The timeout bounds each call, for a watch in addition to its waiting time.
func NewHTTPClient(address string, timeout time.Duration) *HTTPClient {
	return &HTTPClient{NewCaller(address, timeout)}
}

// version returns the version that an answer bears, or 0.
func (a Answer) version() int64 { return parseETag(a.Header.Get("ETag")) }

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
func statusError(key string, a Answer) error {
	message := fmt.Sprintf("%s: status %d: %s", key, a.Status, firstLine(a.Body))
	switch a.Status {
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
func (a Answer) object(key string, value []byte) (Object, error) {
	if a.version() == 0 {
		return Object{}, Unavailable.New("%s: an answer without a version", key)
	}
	return Object{Key: key, Version: a.version(), Value: value}, nil
}

// Get implements Client.
func (c *HTTPClient) Get(ctx context.Context, key string) (Object, error) {
	if err := CheckKey(key); err != nil {
		return Object{}, err
	}
	a, err := c.Do(ctx, Call{Method: http.MethodGet, Path: "/v1/objects/" + key, Limit: MaxValueBytes})
	if err != nil {
		return Object{}, err
	}
	if a.Status != http.StatusOK {
		return Object{}, statusError(key, a)
	}
	return a.object(key, a.Body)
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
	a, err := c.Do(ctx, Call{Method: http.MethodGet, Path: path, Query: query, Limit: maxListBytes})
	if err != nil {
		return err
	}
	if a.Status != http.StatusOK {
		return statusError(path, a)
	}
	if err := json.Unmarshal(a.Body, dst); err != nil {
		return Unavailable.Wrap(err)
	}
	return nil
}

// Put implements Client.
func (c *HTTPClient) Put(ctx context.Context, key string, value []byte, version int64) (Object, error) {
	if err := checkUpdate(key, value, version); err != nil {
		return Object{}, err
	}
	a, err := c.Do(ctx, Call{
		Method: http.MethodPut,
		Path:   "/v1/objects/" + key,
		Body:   value,
		Header: condition(version),
		Limit:  maxListBytes,
	})
	if err != nil {
		return Object{}, err
	}
	if a.Status != http.StatusOK && a.Status != http.StatusCreated {
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
	a, err := c.Do(ctx, Call{
		Method: http.MethodDelete,
		Path:   "/v1/objects/" + key,
		Header: http.Header{"If-Match": {ETag(version)}},
		Limit:  maxListBytes,
	})
	if err != nil {
		return err
	}
	if a.Status != http.StatusNoContent {
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
	poll := Call{
		Method: http.MethodGet,
		Path:   "/v1/watch/" + key,
		Query:  url.Values{"after": {strconv.FormatInt(version, 10)}},
		Wait:   watchWait,
		Limit:  MaxValueBytes,
	}
	for {
		start := time.Now()
		a, err := c.Do(ctx, poll)
		if err != nil {
			return Object{}, err
		}
		if a.Status == http.StatusOK {
			return a.newerObject(key, version)
		}
		if a.Status != http.StatusNoContent {
			return Object{}, statusError(key, a)
		}
		if time.Since(start) < minWatchWait {
			return Object{}, Unavailable.New("%s: the platform ended a watch at once", key)
		}
	}
}

// newerObject refuses an answer to a watch that is no newer than what it was
// asked for, since repeating such a watch would never wait.
func (a Answer) newerObject(key string, version int64) (Object, error) {
	if a.version() <= version {
		return Object{}, Unavailable.New("%s: a watch after version %d gave version %d", key, version, a.version())
	}
	return a.object(key, a.Body)
}
