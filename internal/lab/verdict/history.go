package verdict

import (
	"sycamoreledge.example/internal/lab/caller"
	"sycamoreledge.example/internal/lab/upstream"
)

// History checks one cluster repeatedly as operations accumulate, so that
// violations that become visible only later are still found. It reports each
// violation once.
type History struct {
	ops      []*caller.Op
	reported map[violationID]int
}

// violationID identifies the violations of one kind by one subject.
type violationID struct {
	kind Kind
	name string
}

// NewHistory returns an empty history.
func NewHistory() *History { return &History{reported: map[violationID]int{}} }

// Add appends operations that have ended.
func (h *History) Add(ops []*caller.Op) { h.ops = append(h.ops, ops...) }

// Judge checks all operations added so far against the ledger and returns the
// violations that earlier calls did not return. If a violation's count has
// grown, only the increase is returned.
func (h *History) Judge(ledger upstream.Ledger) Violations {
	var unreported Violations
	for _, v := range Judge(h.ops, ledger) {
		id := violationID{v.Kind, v.Subject}
		count := v.Count
		v.Count -= h.reported[id]
		if v.Count > 0 {
			h.reported[id] = count
			unreported = append(unreported, v)
		}
	}
	return unreported
}
