package capacity

import (
	"runtime"
	"time"
)

// Role is a role of an instance in the control plane. Usage is reported by role.
type Role string

// The roles. An instance is counted in each role that it has, and as Plain if it
// has none.
const (
	Plain   Role = "plain member"
	Owner   Role = "pool owner"
	Watcher Role = "watcher"
	Speaker Role = "speaker"
	Adopter Role = "adopter"
)

// AllRoles lists the roles in the order of the report.
var AllRoles = []Role{Plain, Owner, Watcher, Speaker, Adopter}

// roles returns the roles that an instance has now.
func (n *Node) roles() []Role {
	r := n.Core.Roles()
	var roles []Role
	for _, c := range []struct {
		has  bool
		role Role
	}{{r.Owner, Owner}, {r.Watcher, Watcher}, {r.Speaker, Speaker}, {r.Adopter, Adopter}} {
		if c.has {
			roles = append(roles, c.role)
		}
	}
	if len(roles) == 0 {
		return []Role{Plain}
	}
	return roles
}

// RoleUsage is the usage of the instances of a role.
type RoleUsage struct {
	Role  Role
	Count int
	// Sum is the usage of all instances of the role over Time.
	Sum  Usage
	Time time.Duration
	// Worst is the highest CPU time and the highest number of bytes of any
	// instance of the role within peakWindow.
	Worst Peak
}

// Peak is the highest CPU time and the highest number of bytes within peakWindow.
type Peak struct {
	CPU   time.Duration
	Bytes int
}

// peakWindow is the length of the sliding window over which peaks are summed.
const peakWindow = 5 * time.Second

// PerSecond converts a sum over the role to a rate per instance and second.
func (u *RoleUsage) PerSecond(sum int) float64 {
	return float64(sum) / float64(u.Count) / u.Time.Seconds()
}

// Core returns the mean CPU usage of one instance in cores.
func (u *RoleUsage) Core() float64 {
	return u.Sum.CPU.Seconds() / float64(u.Count) / u.Time.Seconds()
}

// ByRole sums the usage since the last reset by the roles that the instances have
// now. Instances that are down are excluded.
func (f *Fleet) ByRole() []RoleUsage {
	byRole := map[Role]*RoleUsage{}
	for _, n := range f.Nodes {
		if n.Down {
			continue
		}
		for _, role := range n.roles() {
			u := byRole[role]
			if u == nil {
				u = &RoleUsage{Role: role}
				byRole[role] = u
			}
			u.addNode(n)
		}
	}
	var all []RoleUsage
	for _, role := range AllRoles {
		if u := byRole[role]; u != nil {
			all = append(all, *u)
		}
	}
	return all
}

func (u *RoleUsage) addNode(n *Node) {
	u.Count++
	u.Time = time.Duration(len(n.History)) * time.Second
	for i := range n.History {
		u.Sum.Add(&n.History[i])
	}
	peak := n.PeakUsage()
	u.Worst.CPU = max(u.Worst.CPU, peak.CPU)
	u.Worst.Bytes = max(u.Worst.Bytes, peak.Bytes)
}

// PeakUsage returns the peaks of the instance since the last reset.
func (n *Node) PeakUsage() Peak {
	width := int(peakWindow / time.Second)
	var worst Peak
	for first := range n.History {
		var sum Usage
		for i := first; i < min(first+width, len(n.History)); i++ {
			sum.Add(&n.History[i])
		}
		worst.CPU = max(worst.CPU, sum.CPU)
		worst.Bytes = max(worst.Bytes, sum.Bytes())
	}
	return worst
}

// liveHeap returns the bytes of heap in use after a garbage collection.
func liveHeap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
