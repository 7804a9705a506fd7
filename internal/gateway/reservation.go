package gateway

import "sync"

// reservation is the body memory that is reserved for one request.
type reservation struct {
	mu    sync.Mutex
	bytes int64
	// released is set once the request has ended. Canceled attempts of the request
	// may still be running then.
	released bool
}

// reserve reserves memory, in bytes, or reports false if the limit would be exceeded
// or the request has ended.
func (r *reservation) reserve(g *Gateway, bytes int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.released {
		return false
	}
	if total := g.bufferedBytes.Add(bytes); g.MaxBufferedBytes > 0 && total > g.MaxBufferedBytes {
		g.bufferedBytes.Add(-bytes)
		return false
	}
	r.bytes += bytes
	return true
}

// reserveRequestBody reserves memory for the body of a request, in bytes. It ignores
// the limit when no other memory is reserved.
func (r *reservation) reserveRequestBody(g *Gateway, bytes int64) bool {
	if r.reserve(g, bytes) {
		return true
	}
	if !g.bufferedBytes.CompareAndSwap(0, bytes) {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bytes = bytes
	return true
}

// release releases the memory when the request ends.
func (r *reservation) release(g *Gateway) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.released = true
	g.bufferedBytes.Add(-r.bytes)
	r.bytes = 0
}
