// Package replay lets a request body be sent again while the bytes read from
// it so far fit in a bounded buffer.
package replay

import (
	"bytes"
	"io"
	"sync"

	"github.com/zeebo/errs"
)

// Limit is the largest number of body bytes that are kept for another attempt.
const Limit = 256 << 10

// Error is the class of errors of this package.
var Error = errs.Class("replay")

// errDetached is returned to a reader of an attempt that was given up.
var errDetached = Error.New("the attempt was given up")

// Body is a request body that several attempts read one after the other. It is
// safe for concurrent use.
type Body struct {
	mu     sync.Mutex
	source io.Reader
	prefix bytes.Buffer
	over   bool
	err    error
	last   *Reader
}

// New returns a Body that reads from source, which may be nil.
func New(source io.Reader) *Body {
	b := &Body{source: source}
	if source == nil {
		b.err = io.EOF
	}
	return b
}

// Replayable reports whether a further attempt would see the whole body.
func (b *Body) Replayable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.over
}

// Next detaches the reader of the attempt before and returns one that starts
// at the first byte. It returns false when the first bytes are gone.
func (b *Body) Next() (*Reader, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.over {
		return nil, false
	}
	if b.last != nil {
		b.last.detached = true
	}
	b.last = &Reader{body: b}
	return b.last, true
}

// Detach ends the reader of the last attempt, so that nothing reads the source
// any more once it returns and a pending read is over.
func (b *Body) Detach() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.last != nil {
		b.last.detached = true
	}
}

// Shared returns a further reader without detaching the others. It requires
// that the whole body was read into the buffer, or that there is none.
func (b *Body) Shared() (io.Reader, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.over || b.err != io.EOF {
		return nil, false
	}
	return bytes.NewReader(b.prefix.Bytes()), true
}

// Buffered returns the bytes that were read so far. They must not be changed,
// and no attempt may run while they are used.
func (b *Body) Buffered() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.prefix.Bytes()
}

// Fill reads the source into the buffer until it ends or the buffer is full.
// It returns the source's error other than io.EOF.
func (b *Body) Fill() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.err == nil && b.prefix.Len() < Limit {
		room := int64(Limit - b.prefix.Len())
		n, err := io.Copy(&b.prefix, io.LimitReader(b.source, room))
		switch {
		case err != nil:
			b.err = err
		case n < room:
			b.err = io.EOF
		}
	}
	if b.err == io.EOF {
		return nil
	}
	return b.err
}

// Reader reads a Body from its first byte for one attempt.
type Reader struct {
	body     *Body
	at       int
	detached bool
}

// Detach ends the reader; the body remains for further attempts.
func (r *Reader) Detach() {
	r.body.mu.Lock()
	defer r.body.mu.Unlock()
	r.detached = true
}

// Read implements io.Reader. It fails once another attempt has started.
func (r *Reader) Read(p []byte) (int, error) {
	b := r.body
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.detached {
		return 0, errDetached
	}
	if !b.over && r.at < b.prefix.Len() {
		n := copy(p, b.prefix.Bytes()[r.at:])
		r.at += n
		return n, nil
	}
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.source.Read(p)
	b.keep(p[:n])
	r.at += n
	b.err = err
	if r.detached {
		return 0, errDetached
	}
	return n, err
}

// keep stores bytes for a further attempt, or frees the buffer when they
// exceed the limit.
func (b *Body) keep(p []byte) {
	if b.over {
		return
	}
	if b.prefix.Len()+len(p) > Limit {
		b.over = true
		b.prefix = bytes.Buffer{}
		return
	}
	b.prefix.Write(p)
}
