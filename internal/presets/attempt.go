package presets

import (
	"context"
	"encoding/json"

	"sycamoreledge.example/internal/platform"
	"sycamoreledge.example/internal/settings"
)

// baseUnset is the base version of an attempt that has not read the
// configuration yet.
const baseUnset = -1

// attempt is the state of one change across its retries.
type attempt struct {
	store  *Store
	req    Request
	change change
	result Result
	// baseVersion is the version that the operator has seen.
	baseVersion int64
	// pending is set while the outcome of an unanswered update is unknown: it
	// may have taken effect or may still do so. That update was based on
	// pendingBaseVersion, and its audit record has sequence number
	// pendingSequence.
	pending            bool
	pendingBaseVersion int64
	pendingSequence    int64
}

// retryable reports whether another try may succeed. platform.Conflict, unlike
// this package's Conflict, is retryable.
func (a *attempt) retryable(err error) bool {
	return !Refused.Has(err) && !Conflict.Has(err) && !Corrupt.Has(err)
}

// abortError returns the final error of an attempt whose context ended before
// its outcome was known: Uncertain if an update is pending, and Unreachable
// otherwise.
func (a *attempt) abortError(lastErr error) error {
	if a.pending {
		return Uncertain.New("operation %s may have taken effect; repeat it with the same operation id to learn its outcome; last error: %w", a.req.Operation, lastErr)
	}
	if Unreachable.Has(lastErr) {
		return lastErr
	}
	return Unreachable.Wrap(lastErr)
}

// try reads the configuration and tries once to apply the change to it.
func (a *attempt) try(ctx context.Context) error {
	cfg, err := a.store.read(ctx)
	if err != nil {
		return err
	}
	found, err := a.findResult(ctx, cfg)
	if err != nil || found {
		return err
	}
	if err := a.checkBase(cfg); err != nil {
		return err
	}
	if err := a.change.edit(cfg); err != nil {
		return err
	}
	return a.write(ctx, cfg)
}

// findResult looks in the audit trail for a record of the change. There is one
// if the reply to an earlier update was lost, or if an earlier call had the same
// operation id. While an update is pending, it also searches the archives.
func (a *attempt) findResult(ctx context.Context, cfg *settings.Config) (bool, error) {
	record, found := findOperation(cfg.Audit, a.req.Operation)
	if !found && a.pending {
		var err error
		record, found, err = a.store.findArchivedOperation(ctx, cfg, a.req.Operation, a.pendingSequence)
		if err != nil {
			return false, err
		}
	}
	if !found {
		// A conditional update of a version that has since been replaced can no
		// longer take effect.
		a.pending = a.pending && cfg.Version == a.pendingBaseVersion
		return false, nil
	}
	if !a.change.matches(record) {
		return false, Refused.New("operation id %s was already used by a different change: %s %s", record.Operation, record.Action, record.Detail)
	}
	a.result = Result{Config: cfg, Record: record, Repeated: !a.pending}
	return true, nil
}

// checkBase returns Conflict if the change must not be applied to the version
// that was read, and Unreachable if that version is older than IfVersion.
func (a *attempt) checkBase(cfg *settings.Config) error {
	if a.req.IfVersion > cfg.Version {
		return Unreachable.New("the platform returned version %d from a stale copy, older than the expected version %d", cfg.Version, a.req.IfVersion)
	}
	if a.req.IfVersion != 0 {
		a.baseVersion = a.req.IfVersion
	}
	if a.baseVersion == baseUnset {
		a.baseVersion = cfg.Version
	}
	if a.baseVersion == cfg.Version {
		return nil
	}
	newer, complete := recordsSince(cfg, a.baseVersion)
	if a.req.IfVersion == 0 && complete && !hasTarget(newer, a.change.target) {
		return nil
	}
	conflict := &ConflictError{Base: a.baseVersion, Current: cfg.Version}
	if complete {
		conflict.PrecedingChanges = newer
	}
	return Conflict.Wrap(conflict)
}

func hasTarget(records []settings.AuditRecord, target string) bool {
	for _, r := range records {
		if r.Target == target {
			return true
		}
	}
	return false
}

// write stores the changed configuration together with its audit record.
func (a *attempt) write(ctx context.Context, cfg *settings.Config) error {
	record := settings.AuditRecord{
		Sequence:  nextSequence(cfg),
		Operation: a.req.Operation,
		Operator:  a.req.Operator,
		At:        a.store.Now().UTC(),
		Action:    a.change.action,
		Detail:    a.change.detail,
		Target:    a.change.target,
		Base:      cfg.Version,
	}
	if err := a.store.archiveOldest(ctx, cfg); err != nil {
		return err
	}
	cfg.Audit = append(cfg.Audit, record)
	value, err := encodeConfig(cfg)
	if err != nil {
		return err
	}
	obj, err := a.store.client.Put(ctx, ConfigKey, value, cfg.Version)
	if err != nil {
		return a.handlePutError(cfg, record, err)
	}
	a.store.Observe(obj.Version)
	cfg.Version = obj.Version
	a.result = Result{Config: cfg, Record: record}
	return nil
}

// handlePutError records what a failed update implies about the configuration
// and returns the error, as Refused if the platform rejects the update as
// invalid.
func (a *attempt) handlePutError(cfg *settings.Config, record settings.AuditRecord, err error) error {
	switch {
	case platform.Conflict.Has(err):
		// The version that was read has been replaced by a newer one.
		a.store.Observe(cfg.Version + 1)
	case platform.Unavailable.Has(err):
		a.pending = true
		a.pendingBaseVersion = cfg.Version
		a.pendingSequence = record.Sequence
	case platform.Invalid.Has(err):
		return Refused.Wrap(err)
	}
	return err
}

// encodeConfig returns the configuration as the value of the platform object, or
// Refused if it exceeds the platform's size limit.
func encodeConfig(cfg *settings.Config) ([]byte, error) {
	stored := *cfg
	// The version of the object is authoritative, so none is stored in the value.
	stored.Version = 0
	value, err := json.Marshal(&stored)
	if err != nil {
		return nil, Refused.Wrap(err)
	}
	if len(value) > platform.MaxValueBytes {
		return nil, Refused.New("the configuration would have %d bytes, but a platform object holds at most %d bytes: reduce the size or number of presets",
			len(value), platform.MaxValueBytes)
	}
	return value, nil
}
