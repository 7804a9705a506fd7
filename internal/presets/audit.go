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

// MaxInlineRecords is the maximum number of audit records kept in the
// configuration itself. Older ones are moved to archive objects of
// recordsPerArchive records each.
const MaxInlineRecords = 200

const recordsPerArchive = 100

// archiveKey returns the key of the archive object whose first record has the
// given sequence number.
func archiveKey(first int64) string {
	return fmt.Sprintf("audit/%010d-%010d", first, first+recordsPerArchive-1)
}

// nextSequence returns the sequence number of the next record. Sequence numbers
// start at 1 and have no gaps.
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

// recordsSince returns the records of the changes based on version base or a
// later one, and whether the configuration still holds all of them.
func recordsSince(cfg *settings.Config, base int64) ([]settings.AuditRecord, bool) {
	for i, r := range cfg.Audit {
		if r.Base >= base {
			complete := i > 0 || r.Base == base || r.Sequence == 1
			return cfg.Audit[i:], complete
		}
	}
	return nil, true
}

// archiveOldest moves the oldest records from the configuration to an archive
// when the configuration holds MaxInlineRecords. The archive is created before
// the configuration is updated. If the update then fails, the records are in
// both places with the same contents, and the next change reuses the archive.
func (s *Store) archiveOldest(ctx context.Context, cfg *settings.Config) error {
	if len(cfg.Audit) < MaxInlineRecords {
		return nil
	}
	oldest := cfg.Audit[:recordsPerArchive]
	if err := s.writeArchive(ctx, oldest); err != nil {
		return err
	}
	cfg.Audit = slices.Clone(cfg.Audit[recordsPerArchive:])
	return nil
}

func (s *Store) writeArchive(ctx context.Context, records []settings.AuditRecord) error {
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
		return Corrupt.New("archive %s exists, but differs from the audit records of the configuration", key)
	}
	return nil
}

// History returns the newest audit records, at most limit, oldest first. A limit
// of 0 returns all of them. The error is Unreachable or Corrupt.
func (s *Store) History(ctx context.Context, limit int) ([]settings.AuditRecord, error) {
	cfg, err := s.Current(ctx)
	if err != nil {
		return nil, err
	}
	parts := [][]settings.AuditRecord{cfg.Audit}
	count := len(cfg.Audit)
	for first := firstSequence(cfg); first > 1 && (limit == 0 || count < limit); {
		first -= recordsPerArchive
		part, err := s.readArchive(ctx, first)
		if err != nil {
			return nil, err
		}
		parts = append(parts, part)
		count += len(part)
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
		return nil, Corrupt.New("archive %s cannot be decoded as JSON: %w", key, err)
	}
	if len(records) != recordsPerArchive || records[0].Sequence != first {
		return nil, Corrupt.New("archive %s does not hold exactly the records that its key names", key)
	}
	return records, nil
}

// findArchivedOperation looks for the record of an operation in the archives,
// from the newest one down to the one that would hold the given sequence number.
func (s *Store) findArchivedOperation(ctx context.Context, cfg *settings.Config, operation string, sequence int64) (settings.AuditRecord, bool, error) {
	for first := firstSequence(cfg) - recordsPerArchive; first >= 1 && first+recordsPerArchive > sequence; first -= recordsPerArchive {
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
