package fleet

import "sycamoreledge.example/internal/deployment"

// maxDirectoryInstances is the most instances that a directory response lists.
const maxDirectoryInstances = 64

// Nearest returns the instances that a caller should use: those of the caller's zone, or
// else of its region, or else all. The order of the list is kept.
func Nearest(caller deployment.Place, instances []Registration) []Registration {
	tier := func(r Registration) int {
		switch {
		case r.Place.Zone == caller.Zone:
			return 0
		case r.Place.Region == caller.Region:
			return 1
		default:
			return 2
		}
	}
	for maxTier := 0; maxTier <= 2; maxTier++ {
		var found []Registration
		for _, r := range instances {
			if tier(r) <= maxTier {
				found = append(found, r)
			}
		}
		if len(found) > 0 {
			return found[:min(len(found), maxDirectoryInstances)]
		}
	}
	return nil
}
