// Package presets keeps the dynamic configuration - the presets, the one in
// force, the drains and the audit trail - in one object of the platform, and
// follows its changes.
package presets

import (
	"fmt"
	"strings"

	"github.com/zeebo/errs"

	"sycamoreledge.example/internal/settings"
)

// ConfigKey is the key of the object that holds the configuration.
const ConfigKey = "config/current"

// Error classes of changes. Callers tell them apart with Class.Has.
var (
	// Refused means that the change is not valid and was not made.
	Refused = errs.Class("refused")
	// Conflict means that another change came first and that this one was not
	// made. The error holds a *ConflictError.
	Conflict = errs.Class("conflict")
	// Unreachable means that the platform did not answer or answered from a
	// stale copy, and that no change was made.
	Unreachable = errs.Class("platform unreachable")
	// Uncertain means that the change may have been made. Repeating it with the
	// same operation id is safe and tells.
	Uncertain = errs.Class("outcome unknown")
	// Corrupt means that an object on the platform cannot be read.
	Corrupt = errs.Class("corrupt object")
)

// ConflictError says which changes came first.
type ConflictError struct {
	// Base is the version that the refused change was made for, Current the one
	// that was found.
	Base    int64
	Current int64
	// Won are the changes in between, oldest first. It is empty when they are no
	// longer in the configuration's own part of the audit trail.
	Won []settings.AuditRecord
}

// Error lists the changes that won.
func (e *ConflictError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "version %d has been replaced by %d", e.Base, e.Current)
	for i, r := range e.Won {
		separator := ", "
		if i == 0 {
			separator = ": "
		}
		fmt.Fprintf(&b, "%s%s %s by %s (operation %s)", separator, r.Action, r.Detail, r.Operator, r.Operation)
	}
	return b.String()
}

// Request identifies a change and who makes it.
type Request struct {
	// Operation is chosen by the caller and the same in all repetitions of a
	// change. It is recognized while its record is among the last RingRecords.
	Operation string
	Operator  string
	// IfVersion makes the change depend on the version of the configuration; 0
	// does not.
	IfVersion int64
}

// Limits of a Request, in bytes.
const (
	maxOperationBytes = 128
	maxOperatorBytes  = 64
)

func (r *Request) check() error {
	if r.Operation == "" || len(r.Operation) > maxOperationBytes {
		return Refused.New("an operation id must have 1 to %d bytes", maxOperationBytes)
	}
	if r.Operator == "" || len(r.Operator) > maxOperatorBytes {
		return Refused.New("the name of an operator must have 1 to %d bytes", maxOperatorBytes)
	}
	if r.IfVersion < 0 {
		return Refused.New("version %d is negative", r.IfVersion)
	}
	return nil
}

// Result is an accepted change.
type Result struct {
	// Config is the configuration that holds the change; for a repetition it may
	// hold later ones too.
	Config *settings.Config
	Record settings.AuditRecord
	// Repeated is set when the change had been made by an earlier call.
	Repeated bool
}
