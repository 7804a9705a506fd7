package api

import (
	"io"
	"sync/atomic"
)

// requestBody is the body of a request as it arrives. It notes whether it was
// read to its end.
type requestBody struct {
	source io.Reader
	ended  atomic.Bool
}

// Read reads the next bytes.
func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.source.Read(p)
	if err == io.EOF {
		b.ended.Store(true)
	}
	return n, err
}
