package exchange

import (
	"errors"
	"io"
	"net"
	"net/http"
)

const (
	// MaxResponseBytes limits the body of a response in bytes, including its framing. It
	// equals the default limit for the body of a caller's request.
	MaxResponseBytes = 64 << 20
	// maxHeaderBytes limits the header of a response in bytes, including any interim
	// (1xx) responses before it. It equals the limit for a caller's request header.
	maxHeaderBytes = 64 << 10
	// maxBufferedBytes is the size in bytes up to which a response is buffered
	// completely before it is used, so that a truncated one is detected in time.
	maxBufferedBytes = 1 << 20
	// initialBufferBytes is buffered without a memory reservation. It holds an
	// ordinary response, and the smallest instances have memory for a thousand.
	initialBufferBytes = 16 << 10
)

// errTooLong is returned once a connection has delivered as many bytes as allowed.
var errTooLong = Error.New("response exceeds its size limit; reading stopped")

// isTooLong reports whether reading a response stopped at a size limit.
func isTooLong(err error) bool {
	return errors.Is(err, errTooLong) || errors.Is(err, http.ErrLineTooLong)
}

// limitedConn is a connection that limits the bytes read from it. Faulty
// upstreams may send a header, chunk framing or a body that never ends, and
// http.ReadResponse does not limit the size of a header.
type limitedConn struct {
	net.Conn
	remaining int64
}

// setReadLimit sets how many more bytes may be read.
func (b *limitedConn) setReadLimit(bytes int64) { b.remaining = bytes }

// Read implements io.Reader.
func (b *limitedConn) Read(p []byte) (int, error) {
	if b.remaining <= 0 {
		return 0, errTooLong
	}
	n, err := b.Conn.Read(p[:min(int64(len(p)), b.remaining)])
	b.remaining -= int64(n)
	return n, err
}

// readBody reads up to maxBufferedBytes of a body, or less when reserve denies
// the memory. complete reports whether it reached the end of the body. length is
// the declared length, or -1 when it is unknown.
func readBody(body io.Reader, length int64, reserve func(int64) bool) (data []byte, complete bool, err error) {
	capacity := int64(initialBufferBytes)
	if length >= 0 {
		capacity = min(capacity, max(length, 1))
	}
	data = make([]byte, 0, capacity)
	for {
		if len(data) == cap(data) {
			if len(data) >= maxBufferedBytes {
				return data, false, nil
			}
			capacity = min(2*int64(cap(data)), maxBufferedBytes)
			if length > int64(cap(data)) {
				capacity = min(length, maxBufferedBytes)
			}
			if reserve != nil && !reserve(capacity-int64(cap(data))) {
				return data, false, nil
			}
			data = append(make([]byte, 0, capacity), data...)
		}
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case errors.Is(err, io.EOF):
			return data, true, nil
		case err != nil:
			return nil, false, err
		}
	}
}

// upstreamReadError is a failure to read a response to its end.
type upstreamReadError struct{ error }

// Unwrap returns the cause of the failure.
func (b upstreamReadError) Unwrap() error { return b.error }

// IsReadError reports whether err is a failure to read the rest of a response from the upstream.
func IsReadError(err error) bool {
	var readErr upstreamReadError
	return errors.As(err, &readErr)
}

// bodyReader reads the part of a long response that was not buffered. Its
// connection is not reused.
type bodyReader struct {
	body             io.Reader
	conn             *connection
	stopContextWatch func() bool
	onTruncated      func()
}

// Read implements io.Reader.
func (r *bodyReader) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if err == nil || errors.Is(err, io.EOF) {
		return n, err
	}
	if r.onTruncated != nil {
		r.onTruncated()
	}
	return n, upstreamReadError{err}
}

// Close implements io.Closer.
func (r *bodyReader) Close() error {
	r.stopContextWatch()
	// The upstream may still be sending the rest of the body.
	r.conn.reset()
	return nil
}
