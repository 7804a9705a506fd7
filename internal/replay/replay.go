// Package replay buffers request bodies for retries: a body can be sent again as
// long as the bytes read from it so far fit in a bounded buffer.
package replay

import (
	"bytes"
	"io"
	"sync"

	"github.com/zeebo/errs"
)

// Limit is the maximum number of body bytes that are buffered for further
// attempts.
const Limit = 256 << 10

// Error is the class of errors of this package.
var Error = errs.Class("replay")

// errDetached is returned by a Reader after it was detached.
var errDetached = Error.New("request body is no longer available to this attempt: the attempt was ended")

// Body is a request body that consecutive attempts each read from the first byte.
// It is safe for concurrent use.
type Body struct {
	mu         sync.Mutex
	source     io.Reader
	buffer     bytes.Buffer // bytes read from source so far, empty once overflowed
	overflowed bool         // more than Limit bytes were read and the buffer was freed
	sourceErr  error        // sticky error of source; io.EOF at its end
	current    *Reader      // the reader of the latest attempt
}

// New returns a Body that reads from source, which may be nil.
func New(source io.Reader) *Body {
	b := &Body{source: source}
	if source == nil {
		b.sourceErr = io.EOF
	}
	return b
}

// Replayable reports whether a further attempt can read the whole body.
func (b *Body) Replayable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.overflowed
}

// Next detaches the reader of the previous attempt and returns one that starts at
// the first byte. It returns false if the body is no longer replayable.
func (b *Body) Next() (*Reader, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.overflowed {
		return nil, false
	}
	if b.current != nil {
		b.current.detached = true
	}
	b.current = &Reader{body: b}
	return b.current, true
}

// Detach detaches the reader of the latest attempt. It waits for a read in
// progress; afterwards no attempt reads from the source.
func (b *Body) Detach() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.current != nil {
		b.current.detached = true
	}
}

// Shared returns a further reader without detaching the others. It returns false
// unless the whole body is buffered or the body is empty.
func (b *Body) Shared() (io.Reader, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.overflowed || b.sourceErr != io.EOF {
		return nil, false
	}
	return bytes.NewReader(b.buffer.Bytes()), true
}

// Buffered returns the bytes buffered so far. The caller must not modify them, and
// no attempt may read the body while they are in use.
func (b *Body) Buffered() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Bytes()
}

// Fill reads the source into the buffer until the source ends or the buffer holds
// Limit bytes. It returns the source's error, if it is not io.EOF.
func (b *Body) Fill() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.sourceErr == nil && b.buffer.Len() < Limit {
		room := int64(Limit - b.buffer.Len())
		n, err := io.Copy(&b.buffer, io.LimitReader(b.source, room))
		switch {
		case err != nil:
			b.sourceErr = err
		case n < room:
			b.sourceErr = io.EOF
		}
	}
	if b.sourceErr == io.EOF {
		return nil
	}
	return b.sourceErr
}

// Reader reads a Body from its first byte on behalf of one attempt.
type Reader struct {
	body     *Body
	offset   int
	detached bool
}

// Detach makes further reads fail. The body stays available to other attempts.
func (r *Reader) Detach() {
	r.body.mu.Lock()
	defer r.body.mu.Unlock()
	r.detached = true
}

// Read implements io.Reader. It returns an error once the reader is detached,
// which also happens when another attempt starts.
func (r *Reader) Read(p []byte) (int, error) {
	b := r.body
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.detached {
		return 0, errDetached
	}
	if !b.overflowed && r.offset < b.buffer.Len() {
		n := copy(p, b.buffer.Bytes()[r.offset:])
		r.offset += n
		return n, nil
	}
	if b.sourceErr != nil {
		return 0, b.sourceErr
	}
	n, err := b.source.Read(p)
	b.store(p[:n])
	r.offset += n
	b.sourceErr = err
	if r.detached {
		return 0, errDetached
	}
	return n, err
}

// store buffers bytes for further attempts. If they would exceed Limit, it frees
// the buffer and the body is no longer replayable.
func (b *Body) store(p []byte) {
	if b.overflowed {
		return
	}
	if b.buffer.Len()+len(p) > Limit {
		b.overflowed = true
		b.buffer = bytes.Buffer{}
		return
	}
	b.buffer.Write(p)
}
