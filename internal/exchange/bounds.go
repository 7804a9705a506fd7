package exchange

import (
	"errors"
	"io"
	"net"
	"net/http"
)

const (
	// MaxAnswer bounds the body of an answer in bytes, its framing included: as much
	// as the product takes from a caller when the configuration says nothing.
	MaxAnswer = 64 << 20
	// maxHead bounds the header of an answer in bytes, with the interim answers
	// before it: as much as the product takes from a caller.
	maxHead = 64 << 10
	// wholeBody is the size up to which an answer is read whole before it is
	// used, in bytes, so that a broken one can be told from a good one.
	wholeBody = 1 << 20
	// smallBody is the size in bytes that is read without asking for memory: an
	// ordinary answer. A thousand of them fit into the smallest instances.
	smallBody = 16 << 10
)

// errOverlong is the error of a connection that has brought more than it may.
var errOverlong = Error.New("the answer is longer than it may be")

// isOverlong reports whether an answer was given up for its length.
func isOverlong(err error) bool {
	return errors.Is(err, errOverlong) || errors.Is(err, http.ErrLineTooLong)
}

// bounded is the receiving side of a connection. Faulty upstreams send bytes
// without end where a header, its framing or a body should end; net/http reads
// headers of any length.
type bounded struct {
	net.Conn
	left int64
}

// allow sets how many bytes may still arrive.
func (b *bounded) allow(bytes int64) { b.left = bytes }

// Read implements io.Reader.
func (b *bounded) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, errOverlong
	}
	n, err := b.Conn.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	return n, err
}

// readWhole reads a body of up to wholeBody bytes, as far as there is memory for
// it. It reports whether that was all. The length is -1 when it is not known.
func readWhole(body io.Reader, length int64, reserve func(int64) bool) (data []byte, complete bool, err error) {
	size := int64(smallBody)
	if length >= 0 {
		size = min(size, max(length, 1))
	}
	data = make([]byte, 0, size)
	for {
		if len(data) == cap(data) {
			if len(data) >= wholeBody {
				return data, false, nil
			}
			size = min(2*int64(cap(data)), wholeBody)
			if length > int64(cap(data)) {
				size = min(length, wholeBody)
			}
			if reserve != nil && !reserve(size-int64(cap(data))) {
				return data, false, nil
			}
			data = append(make([]byte, 0, size), data...)
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

// broken is the error of an upstream that does not bring its answer to an end.
type broken struct{ error }

// Unwrap returns the cause.
func (b broken) Unwrap() error { return b.error }

// IsBroken reports whether reading the rest of an answer failed at the upstream.
func IsBroken(err error) bool {
	var b broken
	return errors.As(err, &b)
}

// rest is the end of a long answer. Its connection is not used again.
type rest struct {
	body      io.Reader
	conn      *connection
	stop      func() bool
	brokenOff func()
}

// Read implements io.Reader.
func (r *rest) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if err == nil || errors.Is(err, io.EOF) {
		return n, err
	}
	if r.brokenOff != nil {
		r.brokenOff()
	}
	return n, broken{err}
}

// Close implements io.Closer.
func (r *rest) Close() error {
	r.stop()
	// Part of the answer may still be due.
	r.conn.abandon()
	return nil
}
