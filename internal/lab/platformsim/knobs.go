package platformsim

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"sycamoreledge.example/internal/platform"
)

// Faults are the failures that POST /lab/faults sets. Fields that a request
// leaves out keep their value.
type Faults struct {
	// Down answers every call with 503 and ends the waiting watches.
	Down bool `json:"down"`
	// SlowMs delays every call by this many milliseconds more.
	SlowMs int `json:"slow_ms"`
	// LoseAnswers is how many of the next updates take effect without an
	// answer, LoseCalls how many have neither.
	LoseAnswers int `json:"lose_answers"`
	LoseCalls   int `json:"lose_calls"`
	// Stale answers reads from the state at the time when it was switched on.
	Stale bool `json:"stale"`
	// SilentWatch keeps watches from returning an object.
	SilentWatch bool `json:"silent_watch"`
	// ReadRate and WriteRate are in calls per second, LagMs in milliseconds.
	ReadRate  float64 `json:"read_rate"`
	WriteRate float64 `json:"write_rate"`
	LagMs     int     `json:"lag_ms"`
}

// Stats counts the calls, as GET /lab/stats shows them. Throttled calls are
// counted among the reads and writes too, and watches among the reads.
type Stats struct {
	Reads     int `json:"reads"`
	Writes    int `json:"writes"`
	Watches   int `json:"watches"`
	Waiting   int `json:"waiting"`
	Throttled int `json:"throttled"`
}

// laggingList numbers the changes of the list of instances, so that a change
// that shows late does not hide a newer one.
type laggingList struct {
	changes int
	shown   int
}

func (s *Server) initialFaults() Faults {
	return Faults{
		ReadRate:  s.config.ReadRate,
		WriteRate: s.config.WriteRate,
		LagMs:     int(s.config.Lag.Milliseconds()),
	}
}

func (s *Server) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.reads.setRate(f.ReadRate)
	s.writes.setRate(f.WriteRate)
	s.store.SetFaults(platform.Faults{
		Down:        f.Down,
		LoseAnswers: f.LoseAnswers,
		LoseCalls:   f.LoseCalls,
		Stale:       f.Stale,
		SilentWatch: f.SilentWatch,
		Latency:     s.config.Latency + time.Duration(f.SlowMs)*time.Millisecond,
	})
}

// Faults returns the present faults, with what is left of their counters.
func (s *Server) Faults() Faults {
	f := s.currentFaults()
	left := s.store.Faults()
	f.LoseAnswers = left.LoseAnswers
	f.LoseCalls = left.LoseCalls
	return f
}

// Stats returns the counts of calls so far.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// SetInstances replaces the list of instances, which shows after the lag.
func (s *Server) SetInstances(list []platform.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list.changes++
	change := s.list.changes
	list = slices.Clone(list)
	lag := time.Duration(s.faults.LagMs) * time.Millisecond
	time.AfterFunc(lag, func() { s.showInstances(change, list) })
}

func (s *Server) showInstances(change int, list []platform.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if change <= s.list.shown {
		return
	}
	s.list.shown = change
	s.store.SetInstances(list)
}

func (s *Server) count(rate *bucket) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if rate == s.writes {
		s.stats.Writes++
		return
	}
	s.stats.Reads++
}

func (s *Server) countThrottled() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Throttled++
}

// addWaiting counts a watch that starts or ends.
func (s *Server) addWaiting(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Waiting += n
	if n > 0 {
		s.stats.Watches++
	}
}

func (s *Server) getFaults(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Faults()) }

func (s *Server) getStats(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Stats()) }

// maxKnobBytes bounds the body of a request to the lab interface.
const maxKnobBytes = 1 << 20

func (s *Server) postFaults(w http.ResponseWriter, r *http.Request) {
	f := s.Faults()
	if !readJSON(w, r, &f) {
		return
	}
	s.SetFaults(f)
	writeJSON(w, f)
}

func (s *Server) putInstances(w http.ResponseWriter, r *http.Request) {
	var list []platform.Instance
	if !readJSON(w, r, &list) {
		return
	}
	s.SetInstances(list)
	w.WriteHeader(http.StatusNoContent)
}

func readJSON(w http.ResponseWriter, r *http.Request, dst any) bool {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxKnobBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(dst); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
