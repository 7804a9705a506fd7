package presets

import (
	"context"
	"encoding/json"

	"sycamoreledge.example/internal/platform"
	"sycamoreledge.example/internal/settings"
)

// unread is the base of an attempt that has not read the configuration yet.
const unread = -1

// attempt is one change on its way through its retries.
type attempt struct {
	store  *Store
	req    Request
	change change
	result Result
	// base is the version that the operator has seen.
	base int64
	// pending is set while an update without an answer may have taken effect or
	// may still do so. It was made to the version pendingBase, and its record
	// has the number pendingNumber.
	pending       bool
	pendingBase   int64
	pendingNumber int64
}

// retryable reports whether trying again may succeed. Conflict of the platform
// is not the final Conflict of this package.
func (a *attempt) retryable(err error) bool {
	return !Refused.Has(err) && !Conflict.Has(err) && !Corrupt.Has(err)
}

// giveUp returns the error of an attempt whose time is up.
func (a *attempt) giveUp(last error) error {
	if a.pending {
		return Uncertain.New("operation %s may have taken effect: %w", a.req.Operation, last)
	}
	if Unreachable.Has(last) {
		return last
	}
	return Unreachable.Wrap(last)
}

// try reads the configuration and makes the change to it once.
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

// findResult looks for the change in the configuration: an update whose answer
// was lost, or an earlier call with the same operation id.
func (a *attempt) findResult(ctx context.Context, cfg *settings.Config) (bool, error) {
	record, found := findOperation(cfg.Audit, a.req.Operation)
	if !found && a.pending {
		var err error
		record, found, err = a.store.archivedOperation(ctx, cfg, a.req.Operation, a.pendingNumber)
		if err != nil {
			return false, err
		}
	}
	if !found {
		// An update to a version that has been replaced takes no effect any more.
		a.pending = a.pending && cfg.Version == a.pendingBase
		return false, nil
	}
	if !a.change.describes(record) {
		return false, Refused.New("operation id %s belongs to another change: %s %s", record.Operation, record.Action, record.Detail)
	}
	a.result = Result{Config: cfg, Record: record, Repeated: !a.pending}
	return true, nil
}

// checkBase returns Conflict when the change may not be made to the version
// that was read.
func (a *attempt) checkBase(cfg *settings.Config) error {
	if a.req.IfVersion > cfg.Version {
		return Unreachable.New("the platform answers with version %d from a copy older than version %d", cfg.Version, a.req.IfVersion)
	}
	if a.req.IfVersion != 0 {
		a.base = a.req.IfVersion
	}
	if a.base == unread {
		a.base = cfg.Version
	}
	if a.base == cfg.Version {
		return nil
	}
	since, whole := madeSince(cfg, a.base)
	if a.req.IfVersion == 0 && whole && !touches(since, a.change.target) {
		return nil
	}
	conflict := &ConflictError{Base: a.base, Current: cfg.Version}
	if whole {
		conflict.Won = since
	}
	return Conflict.Wrap(conflict)
}

func touches(records []settings.AuditRecord, target string) bool {
	for _, r := range records {
		if r.Target == target {
			return true
		}
	}
	return false
}

// write stores the changed configuration with its audit record.
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
	if err := a.store.makeRoom(ctx, cfg); err != nil {
		return err
	}
	cfg.Audit = append(cfg.Audit, record)
	value, err := encode(cfg)
	if err != nil {
		return err
	}
	obj, err := a.store.client.Put(ctx, ConfigKey, value, cfg.Version)
	if err != nil {
		return a.failed(cfg, record, err)
	}
	a.store.Observe(obj.Version)
	cfg.Version = obj.Version
	a.result = Result{Config: cfg, Record: record}
	return nil
}

// failed notes what a failed update tells.
func (a *attempt) failed(cfg *settings.Config, record settings.AuditRecord, err error) error {
	switch {
	case platform.Conflict.Has(err):
		// The version that was read has been replaced.
		a.store.Observe(cfg.Version + 1)
	case platform.Unavailable.Has(err):
		a.pending = true
		a.pendingBase = cfg.Version
		a.pendingNumber = record.Sequence
	case platform.Invalid.Has(err):
		return Refused.Wrap(err)
	}
	return err
}

// encode returns the value of the object, or Refused when it is too large.
func encode(cfg *settings.Config) ([]byte, error) {
	stored := *cfg
	// The version is that of the object.
	stored.Version = 0
	value, err := json.Marshal(&stored)
	if err != nil {
		return nil, Refused.Wrap(err)
	}
	if len(value) > platform.MaxValueBytes {
		return nil, Refused.New("the configuration would have %d bytes, and the platform holds at most %d: make presets smaller or fewer",
			len(value), platform.MaxValueBytes)
	}
	return value, nil
}
