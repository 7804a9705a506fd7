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
	// maxIdleConns is the number of idle connections to the platform that are kept
	// open.
	maxIdleConns = 16
	// idleConnTimeout is meant to be shorter than the platform's own idle timeout,
	// so that no request is sent on a connection that the platform is closing.
	idleConnTimeout = 30 * time.Second
	// maxWatchWait is the longest time for which the platform holds a watch.
	maxWatchWait = 20 * time.Second
	// minEmptyWatchTime is the shortest duration of a watch without a result. A
	// watch that ends sooner is an error, since repeating it would be a busy loop.
	minEmptyWatchTime = 100 * time.Millisecond
	// maxResponseHeaderBytes limits the header of a response, in bytes.
	maxResponseHeaderBytes = 64 << 10
	// maxListResponseBytes limits the body of a response to List and Instances, in
	// bytes. Put uses it too.
	maxListResponseBytes = 64 << 20
)

// HTTPClient implements Client over HTTP/1.1.
type HTTPClient struct{ *BaseClient }

var _ Client = (*HTTPClient)(nil)

// NewHTTPClient returns a client for the platform at the address host:port.
// The timeout limits each request; for a watch, the time for which the platform
// holds it is added.
func NewHTTPClient(address string, timeout time.Duration) *HTTPClient {
	return &HTTPClient{NewBaseClient(address, timeout)}
}

// version returns the version in the ETag of a response, or 0 if there is none.
func (a Response) version() int64 { return parseETag(a.Header.Get("ETag")) }

// parseETag returns the version in an ETag, or 0 if it is malformed.
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

// statusError returns an error of the class that corresponds to an HTTP status
// other than success.
func statusError(key string, a Response) error {
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

// maxErrorBodyBytes limits how much of a response body is quoted in an error.
const maxErrorBodyBytes = 200

func firstLine(body []byte) string {
	line, _, _ := strings.Cut(string(body[:min(len(body), maxErrorBodyBytes)]), "\n")
	return line
}

// object returns the Object of a successful response. A response without a version
// is malformed; it gives Unavailable, since an update may have taken effect.
func (a Response) object(key string, value []byte) (Object, error) {
	if a.version() == 0 {
		return Object{}, Unavailable.New("%s: the response has no version in its ETag", key)
	}
	return Object{Key: key, Version: a.version(), Value: value}, nil
}

// Get implements Client.
func (c *HTTPClient) Get(ctx context.Context, key string) (Object, error) {
	if err := CheckKey(key); err != nil {
		return Object{}, err
	}
	a, err := c.Do(ctx, Request{Method: http.MethodGet, Path: "/v1/objects/" + key, MaxResponseBytes: MaxValueBytes})
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
	a, err := c.Do(ctx, Request{Method: http.MethodGet, Path: path, Query: query, MaxResponseBytes: maxListResponseBytes})
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
	if err := validateUpdate(key, value, version); err != nil {
		return Object{}, err
	}
	a, err := c.Do(ctx, Request{
		Method:           http.MethodPut,
		Path:             "/v1/objects/" + key,
		Body:             value,
		Header:           preconditionHeader(version),
		MaxResponseBytes: maxListResponseBytes,
	})
	if err != nil {
		return Object{}, err
	}
	if a.Status != http.StatusOK && a.Status != http.StatusCreated {
		return Object{}, statusError(key, a)
	}
	return a.object(key, bytes.Clone(value))
}

// preconditionHeader returns the header that makes an update conditional on the
// version; version 0 means that the object must not exist.
func preconditionHeader(version int64) http.Header {
	if version == 0 {
		return http.Header{"If-None-Match": {"*"}}
	}
	return http.Header{"If-Match": {ETag(version)}}
}

// ETag returns the version in the format of the ETag and If-Match headers.
func ETag(version int64) string { return `"` + strconv.FormatInt(version, 10) + `"` }

// Delete implements Client.
func (c *HTTPClient) Delete(ctx context.Context, key string, version int64) error {
	if err := validateUpdate(key, nil, version); err != nil {
		return err
	}
	a, err := c.Do(ctx, Request{
		Method:           http.MethodDelete,
		Path:             "/v1/objects/" + key,
		Header:           http.Header{"If-Match": {ETag(version)}},
		MaxResponseBytes: maxListResponseBytes,
	})
	if err != nil {
		return err
	}
	if a.Status != http.StatusNoContent {
		return statusError(key, a)
	}
	return nil
}

// Watch implements Client. It repeats the long poll whenever the platform ends it
// without an object.
func (c *HTTPClient) Watch(ctx context.Context, key string, version int64) (Object, error) {
	if err := CheckKey(key); err != nil {
		return Object{}, err
	}
	request := Request{
		Method:           http.MethodGet,
		Path:             "/v1/watch/" + key,
		Query:            url.Values{"after": {strconv.FormatInt(version, 10)}},
		WatchWait:        maxWatchWait,
		MaxResponseBytes: MaxValueBytes,
	}
	for {
		start := time.Now()
		a, err := c.Do(ctx, request)
		if err != nil {
			return Object{}, err
		}
		if a.Status == http.StatusOK {
			return a.newerObject(key, version)
		}
		if a.Status != http.StatusNoContent {
			return Object{}, statusError(key, a)
		}
		if time.Since(start) < minEmptyWatchTime {
			return Object{}, Unavailable.New("%s: the platform ended a watch without a result before the minimum time", key)
		}
	}
}

// newerObject returns the object of a response to a watch. It is an error if the
// object is not newer than the requested version, since repeating such a watch
// would be a busy loop.
func (a Response) newerObject(key string, version int64) (Object, error) {
	if a.version() <= version {
		return Object{}, Unavailable.New("%s: a watch for versions after %d returned version %d", key, version, a.version())
	}
	return a.object(key, a.Body)
}
