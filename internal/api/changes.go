package api

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/zeebo/errs"

	"sycamoreledge.example/internal/api/wire"
	"sycamoreledge.example/internal/event"
	"sycamoreledge.example/internal/presets"
	"sycamoreledge.example/internal/settings"
)

// badRequest is an error of the caller's making.
type badRequest struct{ message string }

func (e badRequest) Error() string { return e.message }

// invalidPreset is a preset that does not pass its checks.
type invalidPreset struct{ error }

// changeFunc makes one change from a request with the given body.
type changeFunc func(r *http.Request, req presets.Request, body []byte) (presets.Result, error)

// change surrounds a change with what all have in common: the operation id, the
// name of the operator, the events and the answer.
func (s *Operators) change(action string, make changeFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		req, body, err := readChange(r)
		if err != nil {
			s.writeFailure(w, err)
			return
		}
		s.opts.Events.Log(event.OperatorCommand, "operator", req.Operator, "operation", req.Operation, "action", action)
		s.opts.Presets.Observe(s.shown.newest.Load())
		result, err := make(r, req, body)
		s.logChange(req, action, result, err)
		if err != nil {
			s.writeFailure(w, err)
			return
		}
		s.shown.raise(result.Config.Version)
		if s.opts.Accepted != nil {
			s.opts.Accepted(result.Config)
		}
		writeJSON(w, http.StatusOK, changed(req, result))
	}
}

func changed(req presets.Request, result presets.Result) wire.Changed {
	drains := result.Config.Drains
	if drains == nil {
		drains = []settings.Drain{}
	}
	return wire.Changed{
		Operation: req.Operation,
		Repeated:  result.Repeated,
		Version:   result.Config.Version,
		InForce:   result.Config.InForce,
		Drains:    drains,
	}
}

func readChange(r *http.Request) (presets.Request, []byte, error) {
	req := presets.Request{Operation: r.Header.Get(wire.HeaderOperation), Operator: operatorOf(r)}
	if req.Operation == "" {
		return req, nil, badRequest{"a change needs the header field " + wire.HeaderOperation}
	}
	if text := r.Header.Get(wire.HeaderIfVersion); text != "" {
		version, err := strconv.ParseInt(text, 10, 64)
		if err != nil || version < 0 {
			return req, nil, badRequest{wire.HeaderIfVersion + " is not a version"}
		}
		req.IfVersion = version
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return req, nil, badRequest{"the body cannot be read: " + err.Error()}
	}
	return req, body, nil
}

func (s *Operators) applyPreset(r *http.Request, req presets.Request, body []byte) (presets.Result, error) {
	name := r.PathValue("name")
	preset, err := settings.ParsePreset(name, body, s.opts.Topology)
	if err != nil {
		return presets.Result{}, invalidPreset{err}
	}
	if preset.Name != name {
		return presets.Result{}, badRequest{"the preset is named " + strconv.Quote(preset.Name) + ", the path " + strconv.Quote(name)}
	}
	return s.opts.Presets.Apply(r.Context(), req, *preset)
}

func (s *Operators) usePreset(r *http.Request, req presets.Request, body []byte) (presets.Result, error) {
	var wanted wire.InForce
	if err := json.Unmarshal(body, &wanted); err != nil || wanted.Name == "" {
		return presets.Result{}, badRequest{`the body must be {"name":"PRESET"}`}
	}
	return s.opts.Presets.Use(r.Context(), req, wanted.Name)
}

func (s *Operators) addDrain(r *http.Request, req presets.Request, body []byte) (presets.Result, error) {
	drain, err := parseDrain(body)
	if err != nil {
		return presets.Result{}, err
	}
	return s.opts.Presets.AddDrain(r.Context(), req, drain)
}

func (s *Operators) removeDrain(r *http.Request, req presets.Request, body []byte) (presets.Result, error) {
	drain, err := parseDrain(body)
	if err != nil {
		return presets.Result{}, err
	}
	return s.opts.Presets.RemoveDrain(r.Context(), req, drain)
}

func parseDrain(body []byte) (settings.Drain, error) {
	var drain settings.Drain
	err := json.Unmarshal(body, &drain)
	known := drain.Kind == settings.DrainUpstream || drain.Kind == settings.DrainZone
	if err != nil || !known || drain.Name == "" {
		return drain, badRequest{`the body must be {"kind":"upstream" or "zone","name":"NAME"}`}
	}
	return drain, nil
}

// logChange writes the event that fits the outcome of a change.
func (s *Operators) logChange(req presets.Request, action string, result presets.Result, err error) {
	fields := []any{"operation", req.Operation, "operator", req.Operator, "action", action}
	var conflict *presets.ConflictError
	switch {
	case err == nil:
		s.opts.Events.Log(event.ChangeApplied, append(fields, "version", result.Config.Version)...)
	case errors.As(err, &conflict):
		s.opts.Events.Log(event.ChangeConflict, append(fields, "winner", winnerOf(conflict), "version", conflict.Current)...)
	case presets.Uncertain.Has(err):
		s.opts.Events.Log(event.ChangeUncertain, append(fields, "error", err)...)
	case presets.Unreachable.Has(err), presets.Corrupt.Has(err):
		s.opts.Events.Log(event.OperatorFailed, append(fields, "error", err)...)
	default:
		s.opts.Events.Log(event.ChangeRefused, append(fields, "reason", err)...)
	}
}

// winnerOf returns the operator of the newest change that came first.
func winnerOf(conflict *presets.ConflictError) string {
	if len(conflict.PrecedingChanges) == 0 {
		return ""
	}
	return conflict.PrecedingChanges[len(conflict.PrecedingChanges)-1].Operator
}

// writeFailure answers with the status and code that fit the error.
func (s *Operators) writeFailure(w http.ResponseWriter, err error) {
	var bad badRequest
	var invalid invalidPreset
	var conflict *presets.ConflictError
	switch {
	case errors.As(err, &bad):
		writeError(w, http.StatusBadRequest, wire.CodeBadRequest, bad.message)
	case errors.As(err, &invalid):
		writeError(w, http.StatusUnprocessableEntity, wire.CodeInvalidPreset, invalid.Error())
	case errors.As(err, &conflict):
		writeConflict(w, conflict)
	case presets.Refused.Has(err):
		writeError(w, http.StatusUnprocessableEntity, wire.CodeRefused, withoutClass(err, presets.Refused))
	case presets.Uncertain.Has(err):
		writeError(w, http.StatusGatewayTimeout, wire.CodeUncertain, withoutClass(err, presets.Uncertain))
	case presets.Unreachable.Has(err):
		writeError(w, http.StatusServiceUnavailable, wire.CodeUnavailable, withoutClass(err, presets.Unreachable))
	default:
		writeError(w, http.StatusInternalServerError, wire.CodeInternal, err.Error())
	}
}

// withoutClass returns the message of an error without the name of its class,
// which the code of the answer tells.
func withoutClass(err error, class errs.Class) string {
	return strings.TrimPrefix(err.Error(), string(class)+": ")
}

func writeConflict(w http.ResponseWriter, conflict *presets.ConflictError) {
	won := conflict.PrecedingChanges
	if won == nil {
		won = []settings.AuditRecord{}
	}
	detail, err := json.Marshal(wire.Conflict{Base: conflict.Base, Current: conflict.Current, Won: won})
	if err != nil {
		writeError(w, http.StatusInternalServerError, wire.CodeInternal, err.Error())
		return
	}
	writeJSON(w, http.StatusConflict, wire.Error{Code: wire.CodeConflict, Message: conflict.Error(), Detail: detail})
}
