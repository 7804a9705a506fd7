package caller

import (
	"fmt"
	"strings"

	"sycamoreledge.example/internal/work"
)

// Causes describes the failed attempts of a service: one text for each outcome
// and reason with the counts by entry, in the order of the most frequent failure
// at one entry.
func Causes(t Totals, name func(address string) string) []string {
	type cause struct {
		outcome work.Outcome
		reason  work.Reason
	}
	var order []cause
	entries, sums := map[cause][]string{}, map[cause]int64{}
	for _, f := range t.Failed {
		c := cause{f.Outcome, f.Reason}
		if sums[c] == 0 {
			order = append(order, c)
		}
		sums[c] += f.Count
		entries[c] = append(entries[c], fmt.Sprintf("%s %d", name(f.Entry), f.Count))
	}
	var out []string
	for _, c := range order {
		out = append(out, fmt.Sprintf("%s, %s: %d (%s)", c.outcome, c.reason, sums[c], strings.Join(entries[c], ", ")))
	}
	return out
}
