package measure

import (
	"sycamoreledge.example/internal/lab/caller"
	"sycamoreledge.example/internal/lab/firm"
	"sycamoreledge.example/internal/work"
)

// Capacity is how many lookups a second all warm upstreams of a firm can run.
func Capacity(f *firm.Firm) float64 {
	for _, s := range f.Topology.Services {
		if s.Kind != work.Lookup {
			continue
		}
		slots := 0
		for _, pool := range s.Pools {
			for _, u := range pool.Upstreams {
				slots += u.Slots
			}
		}
		return float64(slots) / caller.MeanTime(f.World.ServiceTimeOf(s.Name), s.Kind).Seconds()
	}
	return 0
}
