package capacity

import (
	"fmt"
	"strings"
	"time"
)

// Upper bounds for the control plane of one instance: CPU cores, bytes per
// second, and bytes of heap.
const (
	targetCore  = 0.021
	targetBytes = 17_000
	targetHeap  = 32 << 20
)

// SteadyTable returns a table with a row for each fleet size and role.
func SteadyTable(all []Steady) string {
	var b strings.Builder
	b.WriteString("| Members | Role | Instances | Core % | Messages/s in | out | Encoded B/s in | out | With headers B/s | Worst 5 s: CPU ms | B |\n")
	b.WriteString("|---|---|---|---|---|---|---|---|---|---|---|\n")
	for i := range all {
		for j := range all[i].Roles {
			u := &all[i].Roles[j]
			in, out := u.Sum.Total()
			fmt.Fprintf(&b, "| %d | %s | %d | %.2f | %.0f | %.0f | %.0f | %.0f | %.0f | %.0f | %d |\n",
				all[i].Shape.Members, u.Role, u.Count, 100*u.Core(),
				u.PerSecond(in.Messages), u.PerSecond(out.Messages),
				u.PerSecond(in.Bytes), u.PerSecond(out.Bytes), u.PerSecond(u.Sum.WireBytes()),
				float64(u.Worst.CPU.Microseconds())/1000, u.Worst.Bytes)
		}
	}
	return b.String()
}

// TypeTable returns a table of the messages of each role by type.
func TypeTable(all []Steady) string {
	var b strings.Builder
	b.WriteString("| Members | Role | Type | Messages/s in | out | Encoded B/s in | out | Mean B |\n")
	b.WriteString("|---|---|---|---|---|---|---|---|\n")
	for i := range all {
		for j := range all[i].Roles {
			typeRows(&b, all[i].Shape.Members, &all[i].Roles[j])
		}
	}
	return b.String()
}

func typeRows(b *strings.Builder, members int, u *RoleUsage) {
	for t := range messageTypeCount {
		in, out := u.Sum.In[t], u.Sum.Out[t]
		count := in.Messages + out.Messages
		if count == 0 {
			continue
		}
		fmt.Fprintf(b, "| %d | %s | %v | %.1f | %.1f | %.0f | %.0f | %d |\n",
			members, u.Role, t, u.PerSecond(in.Messages), u.PerSecond(out.Messages),
			u.PerSecond(in.Bytes), u.PerSecond(out.Bytes), (in.Bytes+out.Bytes)/count)
	}
}

// SizeTable returns a table of the figures that do not depend on the role.
func SizeTable(all []Steady) string {
	var b strings.Builder
	b.WriteString("| Members | Zones | Pools | Heap of a core, KB | Core % of the whole process by member | Pools with an owner and all slots | Members seen by one |\n")
	b.WriteString("|---|---|---|---|---|---|---|\n")
	for i := range all {
		s := &all[i]
		fmt.Fprintf(&b, "| %d | %d | %d | %d | %.2f | %d | %d |\n", s.Shape.Members, s.Shape.Zones, s.Shape.Pools,
			s.HeapPerCore/1000, 100*s.ProcessCores, s.FullyOwned, s.KnownAlive)
	}
	return b.String()
}

// TargetTable returns a table of the usage of each role relative to the targets.
func TargetTable(all []Steady) string {
	var b strings.Builder
	b.WriteString("| Members | Role | Core, part of the target | Encoded bytes | With headers | Heap |\n")
	b.WriteString("|---|---|---|---|---|---|\n")
	for i := range all {
		for j := range all[i].Roles {
			u := &all[i].Roles[j]
			fmt.Fprintf(&b, "| %d | %s | %s | %s | %s | %s |\n", all[i].Shape.Members, u.Role,
				ratio(u.Core()/targetCore),
				ratio(u.PerSecond(u.Sum.Bytes())/targetBytes),
				ratio(u.PerSecond(u.Sum.WireBytes())/targetBytes),
				ratio(float64(all[i].HeapPerCore)/targetHeap))
		}
	}
	return b.String()
}

// ratio formats a usage relative to its target and marks it if it is exceeded.
func ratio(r float64) string {
	if r > 1 {
		return fmt.Sprintf("**%.2f over**", r)
	}
	return fmt.Sprintf("%.2f", r)
}

// SpreadTable returns a table of the propagation times of configurations.
func SpreadTable(all []Spreading) string {
	var b strings.Builder
	b.WriteString("| Members | Case | Message B | Ticks | Time | Without it | Worst 5 s of one: CPU ms | B |\n")
	b.WriteString("|---|---|---|---|---|---|---|---|\n")
	for i := range all {
		s := &all[i]
		fmt.Fprintf(&b, "| %d | %s | %d | %d | %v | %d | %.0f | %d |\n", s.Members, s.Case, s.Bytes, s.Ticks, s.Time,
			s.Missing, milliseconds(s.Worst.CPU), s.Worst.Bytes)
	}
	return b.String()
}

// BurstTable returns a table of the costs of failures.
func BurstTable(all []Burst) string {
	var b strings.Builder
	b.WriteString("| Members | Failure | Worst 5 s of one: CPU ms | B | Pools with an owner and all slots | Alive | Fewest known |\n")
	b.WriteString("|---|---|---|---|---|---|---|\n")
	for i := range all {
		r := &all[i]
		fmt.Fprintf(&b, "| %d | %s | %.0f | %d | %d of %d | %d | %d |\n", r.Members, r.Case,
			milliseconds(r.Worst.CPU), r.Worst.Bytes, r.FullyOwned, r.Pools, r.Alive, r.MinKnown)
	}
	return b.String()
}

// PlatformTable returns a table of the call rates to the platform.
func PlatformTable(all []PlatformLoad) string {
	var b strings.Builder
	b.WriteString("| Zones | Watchers | Waiting watches | New watches/s | Reads/s | Lists/s | While down, calls/s | Back, most calls in 1 s |\n")
	b.WriteString("|---|---|---|---|---|---|---|---|\n")
	for i := range all {
		l := &all[i]
		fmt.Fprintf(&b, "| %d | %d | %d | %.1f | %.1f | %.1f | %.0f | %.0f |\n", l.Zones, l.Watchers, l.Watchers,
			l.Watches, l.Reads, l.Lists, l.DuringOutage, l.AfterOutage)
	}
	return b.String()
}

// BlockTable returns a table of the costs of address blocks and look-ups.
func BlockTable(blocks *Blocks, lookups *Lookups) string {
	var b strings.Builder
	b.WriteString("| Blocks | Build | Heap MB | Delta of 1,000 blocks | Look-up in the table | Look-ups/s of a core over HTTP | of them measured |\n")
	b.WriteString("|---|---|---|---|---|---|---|\n")
	fmt.Fprintf(&b, "| %d | %v | %.1f | %v | %v | %.0f | %d |\n", blocks.Count, blocks.Build.Round(time.Millisecond),
		float64(blocks.Heap)/1e6, blocks.Delta.Round(time.Microsecond), blocks.Lookup, lookups.PerCore(), lookups.Count)
	return b.String()
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
