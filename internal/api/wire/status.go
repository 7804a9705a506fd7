package wire

import "sycamoreledge.example/internal/settings"

// Status is the answer to GET /v1/status: the state of the firm as the asked
// instance knows it.
type Status struct {
	Instance    string `json:"instance"`
	Zone        string `json:"zone"`
	Region      string `json:"region"`
	Incarnation uint64 `json:"incarnation"`
	State       string `json:"state"`
	// AgeMs is how long ago, in milliseconds, the control loop last ran.
	AgeMs         int64            `json:"age_ms"`
	ConfigVersion int64            `json:"config_version"`
	Preset        string           `json:"preset"`
	Drains        []settings.Drain `json:"drains"`
	Entries       []EntryStatus    `json:"entries"`
	Pools         []PoolStatus     `json:"pools"`
	// LeavingUpstreams get no new work.
	LeavingUpstreams []string `json:"leaving_upstreams"`
	// Explain says in words why the instance acts as it does, when asked with
	// explain=true.
	Explain []string `json:"explain,omitempty"`
}

// EntryStatus is a declared instance.
type EntryStatus struct {
	Name   string `json:"name"`
	Zone   string `json:"zone"`
	Region string `json:"region"`
	// Callers and Operators are the addresses of its listeners.
	Callers       string `json:"callers"`
	Operators     string `json:"operators"`
	Alive         bool   `json:"alive"`
	State         string `json:"state"`
	Incarnation   uint64 `json:"incarnation"`
	ConfigVersion int64  `json:"config_version"`
	Busy          int    `json:"busy"`
	Slots         int    `json:"slots"`
}

// PoolStatus is a pool with the instances that dispatch to it.
type PoolStatus struct {
	Service string      `json:"service"`
	Zone    string      `json:"zone"`
	Region  string      `json:"region"`
	Owners  []PoolOwner `json:"owners"`
}

// PoolOwner is the load of a pool as one of its owners counts it.
type PoolOwner struct {
	Instance string `json:"instance"`
	Adopted  bool   `json:"adopted"`
	Slots    int    `json:"slots"`
	Busy     int    `json:"busy"`
	Queued   int    `json:"queued"`
	// AgeMs is how old, in milliseconds, the figures are.
	AgeMs int64 `json:"age_ms"`
}

// Behind returns the live instances that have an older configuration than the
// version.
func (s *Status) Behind(version int64) []string {
	var names []string
	for i := range s.Entries {
		if s.Entries[i].Alive && s.Entries[i].ConfigVersion < version {
			names = append(names, s.Entries[i].Name)
		}
	}
	return names
}
