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

// badRequestError describes a request that is malformed.
type badRequestError struct{ message string }

func (e badRequestError) Error() string { return e.message }

// invalidPresetError means that a preset failed validation.
type invalidPresetError struct{ error }

// changeFunc applies the change described by a request and its body.
type changeFunc func(r *http.Request, req presets.Request, body []byte) (presets.Result, error)

// changeHandler returns the handler of a change. It does what all changes have in
// common: it reads the operation id and the operator's name, logs the outcome and
// writes the response.
func (s *Operators) changeHandler(action string, apply changeFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		req, body, err := readChange(r)
		if err != nil {
			s.writeChangeError(w, err)
			return
		}
		s.opts.Events.Log(event.OperatorCommand, "operator", req.Operator, "operation", req.Operation, "action", action)
		s.opts.Presets.Observe(s.shown.newest.Load())
		result, err := apply(r, req, body)
		s.logChange(req, action, result, err)
		if err != nil {
			s.writeChangeError(w, err)
			return
		}
		s.shown.advance(result.Config.Version)
		if s.opts.OnChange != nil {
			s.opts.OnChange(result.Config)
		}
		writeJSON(w, http.StatusOK, changedBody(req, result))
	}
}

func changedBody(req presets.Request, result presets.Result) wire.Changed {
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
		return req, nil, badRequestError{"a change requires the header field " + wire.HeaderOperation}
	}
	if text := r.Header.Get(wire.HeaderIfVersion); text != "" {
		version, err := strconv.ParseInt(text, 10, 64)
		if err != nil || version < 0 {
			return req, nil, badRequestError{wire.HeaderIfVersion + " must be a version, an integer of at least 0"}
		}
		req.IfVersion = version
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return req, nil, badRequestError{"the body cannot be read: " + err.Error()}
	}
	return req, body, nil
}

func (s *Operators) applyPreset(r *http.Request, req presets.Request, body []byte) (presets.Result, error) {
	name := r.PathValue("name")
	preset, err := settings.ParsePreset(name, body, s.opts.Topology)
	if err != nil {
		return presets.Result{}, invalidPresetError{err}
	}
	if preset.Name != name {
		return presets.Result{}, badRequestError{"names of a preset in body and path differ: the body has " + strconv.Quote(preset.Name) + ", the path has " + strconv.Quote(name)}
	}
	return s.opts.Presets.Apply(r.Context(), req, *preset)
}

func (s *Operators) usePreset(r *http.Request, req presets.Request, body []byte) (presets.Result, error) {
	var selection wire.InForce
	if err := json.Unmarshal(body, &selection); err != nil || selection.Name == "" {
		return presets.Result{}, badRequestError{`the body must be {"name":"PRESET"}`}
	}
	return s.opts.Presets.Use(r.Context(), req, selection.Name)
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
	knownKind := drain.Kind == settings.DrainUpstream || drain.Kind == settings.DrainZone
	if err != nil || !knownKind || drain.Name == "" {
		return drain, badRequestError{`the body must be {"kind":"upstream" or "zone","name":"NAME"}`}
	}
	return drain, nil
}

// logChange logs the outcome of a change.
func (s *Operators) logChange(req presets.Request, action string, result presets.Result, err error) {
	fields := []any{"operation", req.Operation, "operator", req.Operator, "action", action}
	var conflict *presets.ConflictError
	switch {
	case err == nil:
		s.opts.Events.Log(event.ChangeApplied, append(fields, "version", result.Config.Version)...)
	case errors.As(err, &conflict):
		s.opts.Events.Log(event.ChangeConflict, append(fields, "winner", winningOperator(conflict), "version", conflict.Current)...)
	case presets.Uncertain.Has(err):
		s.opts.Events.Log(event.ChangeUncertain, append(fields, "error", err)...)
	case presets.Unreachable.Has(err), presets.Corrupt.Has(err):
		s.opts.Events.Log(event.OperatorFailed, append(fields, "error", err)...)
	default:
		s.opts.Events.Log(event.ChangeRefused, append(fields, "reason", err)...)
	}
}

// winningOperator returns the operator of the latest change that preceded the
// conflicting one, or "" if it is unknown.
func winningOperator(conflict *presets.ConflictError) string {
	if len(conflict.PrecedingChanges) == 0 {
		return ""
	}
	return conflict.PrecedingChanges[len(conflict.PrecedingChanges)-1].Operator
}

// writeChangeError writes an error response with the status and code for the error.
func (s *Operators) writeChangeError(w http.ResponseWriter, err error) {
	var bad badRequestError
	var invalid invalidPresetError
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

// withoutClass returns the message of an error without the name of its class, which
// would repeat the error code of the response.
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
