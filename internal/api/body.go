package api

import (
	"io"
	"sync/atomic"
)

// requestBody is the body of an incoming request. It records whether it was read to
// the end.
type requestBody struct {
	source     io.Reader
	reachedEOF atomic.Bool
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.source.Read(p)
	if err == io.EOF {
		b.reachedEOF.Store(true)
	}
	return n, err
}
