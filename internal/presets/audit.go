package presets

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"sycamoreledge.example/internal/platform"
	"sycamoreledge.example/internal/settings"
)

// RingRecords is the largest number of audit records in the configuration
// itself. Older ones are moved to objects of archiveRecords each.
const RingRecords = 200

const archiveRecords = 100

// archiveKey names the object with the records from first on.
func archiveKey(first int64) string {
	return fmt.Sprintf("audit/%010d-%010d", first, first+archiveRecords-1)
}

// nextSequence returns the number of the next record. Numbers start at 1 and
// have no gaps.
func nextSequence(cfg *settings.Config) int64 {
	if len(cfg.Audit) == 0 {
		return 1
	}
	return cfg.Audit[len(cfg.Audit)-1].Sequence + 1
}

func findOperation(records []settings.AuditRecord, operation string) (settings.AuditRecord, bool) {
	for _, r := range records {
		if r.Operation == operation {
			return r, true
		}
	}
	return settings.AuditRecord{}, false
}

// madeSince returns the records of the changes made to the version base or a
// later one, and whether the ring still holds all of them.
func madeSince(cfg *settings.Config, base int64) ([]settings.AuditRecord, bool) {
	for i, r := range cfg.Audit {
		if r.Base >= base {
			whole := i > 0 || r.Base == base || r.Sequence == 1
			return cfg.Audit[i:], whole
		}
	}
	return nil, true
}

// makeRoom archives the oldest records when the ring is full and then cuts them
// off the configuration. The archive is created before the configuration is
// updated; when that fails the records are in both, with the same contents,
// and the next change finds the archive in place.
func (s *Store) makeRoom(ctx context.Context, cfg *settings.Config) error {
	if len(cfg.Audit) < RingRecords {
		return nil
	}
	oldest := cfg.Audit[:archiveRecords]
	if err := s.archive(ctx, oldest); err != nil {
		return err
	}
	cfg.Audit = slices.Clone(cfg.Audit[archiveRecords:])
	return nil
}

func (s *Store) archive(ctx context.Context, records []settings.AuditRecord) error {
	key := archiveKey(records[0].Sequence)
	value, err := json.Marshal(records)
	if err != nil {
		return Corrupt.Wrap(err)
	}
	_, err = s.client.Put(ctx, key, value, 0)
	if !platform.Conflict.Has(err) {
		return err
	}
	obj, err := s.client.Get(ctx, key)
	if err != nil {
		return err
	}
	if !bytes.Equal(obj.Value, value) {
		return Corrupt.New("%s differs from the audit records of the configuration", key)
	}
	return nil
}

// History returns the newest audit records, oldest first; a limit of 0 returns
// all of them.
func (s *Store) History(ctx context.Context, limit int) ([]settings.AuditRecord, error) {
	cfg, err := s.Current(ctx)
	if err != nil {
		return nil, err
	}
	parts := [][]settings.AuditRecord{cfg.Audit}
	have := len(cfg.Audit)
	for first := firstSequence(cfg); first > 1 && (limit == 0 || have < limit); {
		first -= archiveRecords
		part, err := s.readArchive(ctx, first)
		if err != nil {
			return nil, err
		}
		parts = append(parts, part)
		have += len(part)
	}
	slices.Reverse(parts)
	all := slices.Concat(parts...)
	if limit > 0 && len(all) > limit {
		all = all[len(all)-limit:]
	}
	return all, nil
}

func firstSequence(cfg *settings.Config) int64 {
	if len(cfg.Audit) == 0 {
		return 1
	}
	return cfg.Audit[0].Sequence
}

func (s *Store) readArchive(ctx context.Context, first int64) ([]settings.AuditRecord, error) {
	key := archiveKey(first)
	obj, err := s.client.Get(ctx, key)
	if err != nil {
		return nil, Unreachable.Wrap(err)
	}
	var records []settings.AuditRecord
	if err := json.Unmarshal(obj.Value, &records); err != nil {
		return nil, Corrupt.New("%s: %w", key, err)
	}
	if len(records) != archiveRecords || records[0].Sequence != first {
		return nil, Corrupt.New("%s does not hold the records of its name", key)
	}
	return records, nil
}

// archivedOperation looks for an operation in the archives that were cut off
// after its record would have been written with the given number.
func (s *Store) archivedOperation(ctx context.Context, cfg *settings.Config, operation string, number int64) (settings.AuditRecord, bool, error) {
	for first := firstSequence(cfg) - archiveRecords; first >= 1 && first+archiveRecords > number; first -= archiveRecords {
		records, err := s.readArchive(ctx, first)
		if err != nil {
			return settings.AuditRecord{}, false, err
		}
		if r, ok := findOperation(records, operation); ok {
			return r, true, nil
		}
	}
	return settings.AuditRecord{}, false, nil
}
