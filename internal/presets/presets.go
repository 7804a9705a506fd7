// Package presets stores the dynamic configuration in one object on the platform
// and follows its changes. The configuration consists of the presets, the choice
// of the preset in force, the drains and the recent part of the audit trail.
package presets

import (
	"fmt"
	"strings"

	"github.com/zeebo/errs"

	"sycamoreledge.example/internal/settings"
)

// ConfigKey is the key of the object that holds the configuration.
const ConfigKey = "config/current"

// Error classes of changes. Callers distinguish them with Class.Has.
var (
	// Refused means that the change is not valid and was not made.
	Refused = errs.Class("refused")
	// Conflict means that another change came first, so that this one was not
	// made. The error wraps a *ConflictError.
	Conflict = errs.Class("conflict")
	// Unreachable means that the platform did not respond or returned a stale
	// copy, and that no change was made.
	Unreachable = errs.Class("platform unreachable")
	// Uncertain means that the change may have been made. Repeating it with the
	// same operation id is safe and yields the outcome.
	Uncertain = errs.Class("outcome unknown")
	// Corrupt means that an object on the platform cannot be decoded or is
	// inconsistent.
	Corrupt = errs.Class("corrupt object")
)

// ConflictError describes the changes that came first.
type ConflictError struct {
	// Base is the version that the rejected change was based on, Current the
	// version that was found.
	Base    int64
	Current int64
	// PrecedingChanges holds the records of the changes between Base and Current, oldest
	// first. It is empty if some of them have already been archived.
	PrecedingChanges []settings.AuditRecord
}

// Error lists the changes in PrecedingChanges.
func (e *ConflictError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "version %d has been replaced by %d", e.Base, e.Current)
	for i, r := range e.PrecedingChanges {
		separator := ", "
		if i == 0 {
			separator = ": "
		}
		fmt.Fprintf(&b, "%s%s %s by %s (operation %s)", separator, r.Action, r.Detail, r.Operator, r.Operation)
	}
	return b.String()
}

// Request identifies a change and its operator.
type Request struct {
	// Operation is an id that the caller chooses and reuses when it repeats the
	// change. A repeat is recognized while the configuration itself holds the
	// record of the change, which is one of the last MaxInlineRecords.
	Operation string
	Operator  string
	// IfVersion makes the change conditional on this version of the
	// configuration. With 0 the change is unconditional.
	IfVersion int64
}

// Limits of the fields of a Request, in bytes.
const (
	maxOperationBytes = 128
	maxOperatorBytes  = 64
)

func (r *Request) check() error {
	if r.Operation == "" || len(r.Operation) > maxOperationBytes {
		return Refused.New("the operation id is empty or too long: expected 1 to %d bytes", maxOperationBytes)
	}
	if r.Operator == "" || len(r.Operator) > maxOperatorBytes {
		return Refused.New("the operator name is empty or too long: expected 1 to %d bytes", maxOperatorBytes)
	}
	if r.IfVersion < 0 {
		return Refused.New("the required version %d is negative: expected a version of the configuration, or 0 for none", r.IfVersion)
	}
	return nil
}

// Result is the result of an accepted change.
type Result struct {
	// Config is a configuration that includes the change. For a repeated change
	// it may include later changes too.
	Config *settings.Config
	Record settings.AuditRecord
	// Repeated is set if an earlier call made the change.
	Repeated bool
}
