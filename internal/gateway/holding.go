package gateway

import "sync"

// holding is the memory that one request takes for bodies.
type holding struct {
	mu    sync.Mutex
	bytes int64
	// over is set once the request has ended; attempts that another one has
	// overtaken may still be on their way.
	over bool
}

// reserve takes memory, in bytes, if there is enough.
func (h *holding) reserve(g *Gateway, bytes int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.over {
		return false
	}
	if total := g.held.Add(bytes); g.BodyMemory > 0 && total > g.BodyMemory {
		g.held.Add(-bytes)
		return false
	}
	h.bytes += bytes
	return true
}

// reserveFirst takes memory for the body of a request. One that is alone is taken
// whatever its size.
func (h *holding) reserveFirst(g *Gateway, bytes int64) bool {
	if h.reserve(g, bytes) {
		return true
	}
	if !g.held.CompareAndSwap(0, bytes) {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.bytes = bytes
	return true
}

// release gives the memory back once the request has ended.
func (h *holding) release(g *Gateway) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.over = true
	g.held.Add(-h.bytes)
	h.bytes = 0
}
