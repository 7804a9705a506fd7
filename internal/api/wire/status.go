package wire

import "sycamoreledge.example/internal/settings"

// Status is the response to GET /v1/status: the state of the fleet as known to the
// instance that serves the request.
type Status struct {
	Instance    string `json:"instance"`
	Zone        string `json:"zone"`
	Region      string `json:"region"`
	Incarnation uint64 `json:"incarnation"`
	State       string `json:"state"`
	// AgeMs is the time in milliseconds since the control loop last ran.
	AgeMs         int64            `json:"age_ms"`
	ConfigVersion int64            `json:"config_version"`
	Preset        string           `json:"preset"`
	Drains        []settings.Drain `json:"drains"`
	Entries       []EntryStatus    `json:"entries"`
	Pools         []PoolStatus     `json:"pools"`
	// LeavingUpstreams are the upstreams that are leaving and get no new requests.
	LeavingUpstreams []string `json:"leaving_upstreams"`
	// Explain describes, as lines of text, how the instance routes requests and why.
	// It is set if the query has explain=true.
	Explain []string `json:"explain,omitempty"`
}

// EntryStatus is the status of a declared entry instance.
type EntryStatus struct {
	Name   string `json:"name"`
	Zone   string `json:"zone"`
	Region string `json:"region"`
	// Callers and Operators are the addresses of the listeners.
	Callers       string `json:"callers"`
	Operators     string `json:"operators"`
	Alive         bool   `json:"alive"`
	State         string `json:"state"`
	Incarnation   uint64 `json:"incarnation"`
	ConfigVersion int64  `json:"config_version"`
	Busy          int    `json:"busy"`
	Slots         int    `json:"slots"`
}

// PoolStatus is the status of a pool. Its owners are the instances that dispatch to it.
type PoolStatus struct {
	Service string      `json:"service"`
	Zone    string      `json:"zone"`
	Region  string      `json:"region"`
	Owners  []PoolOwner `json:"owners"`
}

// PoolOwner is the load of a pool as reported by one of its owners.
type PoolOwner struct {
	Instance string `json:"instance"`
	Adopted  bool   `json:"adopted"`
	Slots    int    `json:"slots"`
	Busy     int    `json:"busy"`
	Queued   int    `json:"queued"`
	// AgeMs is the age of the report in milliseconds.
	AgeMs int64 `json:"age_ms"`
}

// Behind returns the names of the live instances whose configuration is older than the
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
