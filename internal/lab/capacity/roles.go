package capacity

import (
	"runtime"
	"time"
)

// Role is a duty of an instance by which usage is reported.
type Role string

// The roles. An instance counts for each role that it has.
const (
	Plain   Role = "plain member"
	Owner   Role = "pool owner"
	Watcher Role = "watcher"
	Speaker Role = "speaker"
	Adopter Role = "adopter"
)

// AllRoles are the roles in the order of the report.
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

// RoleUsage is the mean usage of the instances of a role.
type RoleUsage struct {
	Role  Role
	Count int
	// Sum is the usage of all instances of the role over Time.
	Sum  Usage
	Time time.Duration
	// Worst is the largest processor time and the most bytes that one instance
	// of the role used in worstWindow.
	Worst Peak
}

// Peak is the heaviest worstWindow of one instance.
type Peak struct {
	CPU   time.Duration
	Bytes int
}

// worstWindow is the time over which bursts are summed.
const worstWindow = 5 * time.Second

// PerSecond divides a sum over the role by its instances and the time.
func (u *RoleUsage) PerSecond(sum int) float64 {
	return float64(sum) / float64(u.Count) / u.Time.Seconds()
}

// Core returns the mean part of a processor core that one instance uses.
func (u *RoleUsage) Core() float64 {
	return u.Sum.CPU.Seconds() / float64(u.Count) / u.Time.Seconds()
}

// ByRole sums the usage since the last reset by the roles that instances have
// now. Instances that are down do not count.
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
	peak := n.Heaviest()
	u.Worst.CPU = max(u.Worst.CPU, peak.CPU)
	u.Worst.Bytes = max(u.Worst.Bytes, peak.Bytes)
}

// Heaviest returns the heaviest window of one instance.
func (n *Node) Heaviest() Peak {
	width := int(worstWindow / time.Second)
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

// liveHeap returns the bytes of live objects after a collection.
func liveHeap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
