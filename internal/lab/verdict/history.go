package verdict

import (
	"sycamoreledge.example/internal/lab/caller"
	"sycamoreledge.example/internal/lab/upstream"
)

// History judges one cluster again and again, so that what shows late is
// still found, and reports each violation once.
type History struct {
	ops  []*caller.Op
	seen map[subject]int
}

// subject identifies what was violated.
type subject struct {
	kind Kind
	name string
}

// NewHistory returns an empty history.
func NewHistory() *History { return &History{seen: map[subject]int{}} }

// Add notes operations that have ended.
func (h *History) Add(ops []*caller.Op) { h.ops = append(h.ops, ops...) }

// Judge returns the violations that were not reported before.
func (h *History) Judge(l upstream.Ledger) Violations {
	var fresh Violations
	for _, v := range Judge(h.ops, l) {
		s := subject{v.Kind, v.Subject}
		count := v.Count
		v.Count -= h.seen[s]
		if v.Count > 0 {
			h.seen[s] = count
			fresh = append(fresh, v)
		}
	}
	return fresh
}
