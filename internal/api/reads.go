package api

import (
	"maps"
	"net/http"
	"slices"
	"strconv"

	"sycamoreledge.example/internal/api/wire"
	"sycamoreledge.example/internal/control"
	"sycamoreledge.example/internal/settings"
)

const (
	defaultHistoryLimit = 20
	maxHistoryLimit     = 10_000
)

// withSnapshot calls read with a snapshot that is recent enough, or writes an error
// response if there is none.
func (s *Operators) withSnapshot(w http.ResponseWriter, r *http.Request, read func(*control.Snapshot)) {
	snap := s.currentSnapshot(r.Context())
	if snap == nil {
		setRetryAfter(w.Header(), catchUpTimeout)
		writeError(w, http.StatusServiceUnavailable, wire.CodeNotReady, "this instance is still catching up with the newest configuration; retry later")
		return
	}
	read(snap)
}

func (s *Operators) status(w http.ResponseWriter, r *http.Request) {
	s.withSnapshot(w, r, func(snap *control.Snapshot) {
		now := s.opts.Now()
		status := NewStatus(snap, s.opts.Topology, now)
		if r.URL.Query().Get("explain") == "true" {
			status.Explain = explainSnapshot(snap, now)
			if s.opts.Explain != nil {
				status.Explain = append(status.Explain, s.opts.Explain()...)
			}
		}
		writeJSON(w, http.StatusOK, status)
	})
}

func (s *Operators) listPresets(w http.ResponseWriter, r *http.Request) {
	s.withSnapshot(w, r, func(snap *control.Snapshot) {
		writeJSON(w, http.StatusOK, wire.Presets{
			Version: snap.Config.Version,
			InForce: snap.Config.InForce,
			Names:   slices.Sorted(maps.Keys(snap.Config.Presets)),
		})
	})
}

func (s *Operators) getPreset(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	s.withSnapshot(w, r, func(snap *control.Snapshot) {
		preset, ok := snap.Config.Presets[name]
		if !ok {
			writeError(w, http.StatusNotFound, wire.CodeNotFound, "there is no preset "+strconv.Quote(name))
			return
		}
		writeJSON(w, http.StatusOK, wire.Preset{
			Version: snap.Config.Version,
			InForce: snap.Config.InForce == name,
			Preset:  preset,
		})
	})
}

// history serves the audit records of the platform or, if that is unreachable, those
// contained in the configuration in force.
func (s *Operators) history(w http.ResponseWriter, r *http.Request) {
	limit, ok := historyLimit(r.URL.Query().Get("limit"))
	if !ok {
		writeError(w, http.StatusBadRequest, wire.CodeBadRequest, "limit must be a number from 1 to "+strconv.Itoa(maxHistoryLimit))
		return
	}
	s.opts.Presets.Observe(s.shown.newest.Load())
	cfg, err := s.opts.Presets.Current(r.Context())
	if err != nil {
		s.withSnapshot(w, r, func(snap *control.Snapshot) {
			writeHistory(w, snap.Config.Version, snap.Config.Audit, limit)
		})
		return
	}
	records := cfg.Audit
	if limit > len(records) {
		records, err = s.opts.Presets.History(r.Context(), limit)
	}
	if err != nil {
		s.writeChangeError(w, err)
		return
	}
	s.shown.advance(cfg.Version)
	writeHistory(w, cfg.Version, records, limit)
}

func historyLimit(text string) (int, bool) {
	if text == "" {
		return defaultHistoryLimit, true
	}
	limit, err := strconv.Atoi(text)
	return limit, err == nil && limit >= 1 && limit <= maxHistoryLimit
}

// writeHistory writes at most limit of the newest records, the newest first.
func writeHistory(w http.ResponseWriter, version int64, records []settings.AuditRecord, limit int) {
	newest := slices.Clone(records[max(0, len(records)-limit):])
	slices.Reverse(newest)
	if newest == nil {
		newest = []settings.AuditRecord{}
	}
	writeJSON(w, http.StatusOK, wire.History{Version: version, Records: newest})
}
