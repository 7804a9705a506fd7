package idempotency

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"sycamoreledge.example/internal/control"
	"sycamoreledge.example/internal/work"
)

const (
	handoverVersion = 1
	// handoverRetryDelay is the delay before the keys are sent again.
	handoverRetryDelay = 200 * time.Millisecond
	// importLimitFactor is the multiple of its own limits that a table may reach
	// when it imports the keys of another instance.
	importLimitFactor = 2
)

// handoverMessage is the encoded form of a table in a handover.
type handoverMessage struct {
	Version int                `cbor:"1,keyasint"`
	Homes   []control.Identity `cbor:"2,keyasint"` // the sender first
	// ExportedMs is the time of the export by the sender's clock, in Unix
	// milliseconds.
	ExportedMs int64           `cbor:"3,keyasint"`
	Entries    []handoverEntry `cbor:"4,keyasint"`
}

// handoverEntry is the encoded form of one table entry.
type handoverEntry struct {
	ID          entryID       `cbor:"1,keyasint"`
	ExpiresMs   int64         `cbor:"2,keyasint"` // Unix milliseconds
	Done        bool          `cbor:"3,keyasint"`
	Claimed     bool          `cbor:"4,keyasint"`
	Fingerprint fingerprint   `cbor:"5,keyasint"`
	Outcome     storedOutcome `cbor:"6,keyasint"`
}

// HandOver sends all keys to the successor. Once it has begun, no new attempt
// starts here. It waits for running attempts until settleTimeout has passed or
// ctx ends, and exports those still running with an unknown outcome. It then
// sends the keys, repeatedly if necessary, until they are accepted or ctx ends.
// Keys are never offered to a second instance, because the first may have
// imported them although its reply was lost. Requests that arrive during the
// handover are forwarded to the successor when it ends.
func (s *Service) HandOver(ctx context.Context, successor string, settleTimeout time.Duration) error {
	value, err := s.exportKeys(ctx, successor, settleTimeout)
	if err != nil {
		return err
	}
	defer close(s.handoverDone)
	for {
		err = s.peers.HandOverKeys(ctx, successor, value)
		if err == nil {
			return nil
		}
		timer := time.NewTimer(handoverRetryDelay)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return Error.Wrap(err)
		}
	}
}

// exportKeys seals the table, waits for running attempts and encodes the table.
func (s *Service) exportKeys(ctx context.Context, successor string, settleTimeout time.Duration) ([]byte, error) {
	s.mu.Lock()
	if s.successor != "" || successor == "" || successor == s.self.Instance {
		s.mu.Unlock()
		return nil, Error.New("keys cannot be handed over to %q: a handover has already begun, or the successor is not another instance", successor)
	}
	s.successor = successor
	homes := []control.Identity{s.self}
	for home := range s.inheritedHomes {
		homes = append(homes, home)
	}
	s.mu.Unlock()
	s.awaitRunningAttempts(ctx, settleTimeout)
	message := handoverMessage{
		Version:    handoverVersion,
		Homes:      homes,
		ExportedMs: time.Now().UnixMilli(),
		Entries:    s.table.exportEntries(),
	}
	value, err := cbor.Marshal(message)
	if err != nil {
		close(s.handoverDone)
		return nil, Error.Wrap(err)
	}
	return value, nil
}

// awaitRunningAttempts seals the table and waits until no attempt is running,
// settleTimeout has passed or ctx ends.
func (s *Service) awaitRunningAttempts(ctx context.Context, settleTimeout time.Duration) {
	deadline := time.Now().Add(settleTimeout)
	for _, done := range s.table.seal() {
		if !waitDone(ctx, done, deadline) {
			return
		}
	}
}

// seal prevents new attempts and returns the done channels of the running ones.
func (t *table) seal() []chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sealed = true
	var running []chan struct{}
	for _, e := range t.entries {
		if e.state == stateRunning {
			running = append(running, e.done)
		}
	}
	return running
}

// exportEntries returns all entries. The outcome of an attempt that is still
// running is exported as unknown, since it may yet execute the request.
func (t *table) exportEntries() []handoverEntry {
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := make([]handoverEntry, 0, len(t.entries))
	for id, e := range t.entries {
		row := handoverEntry{
			ID: id, ExpiresMs: e.expires.UnixMilli(), Fingerprint: e.fingerprint,
			Done: e.state != stateNotRun, Claimed: e.claimed, Outcome: e.outcome,
		}
		if e.state == stateRunning {
			row.Outcome = storedOutcome{Outcome: work.Unknown, Reason: work.ReasonHomeReplaced}
		}
		rows = append(rows, row)
	}
	return rows
}

// Import adds the keys of a leaving instance to this one. Importing the same
// value again has no effect. It fails when the value is malformed or not from
// the sender, when this instance is leaving itself, and when the table has no
// room.
func (s *Service) Import(from control.Identity, value []byte) error {
	var message handoverMessage
	if err := cbor.Unmarshal(value, &message); err != nil {
		return Error.Wrap(err)
	}
	if message.Version != handoverVersion || len(message.Homes) == 0 || message.Homes[0] != from {
		return Error.New("handover rejected: unsupported version, or its keys do not belong to the sender %v", from)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.successor != "" {
		return Error.New("handover rejected: this instance is leaving and handing over its own keys")
	}
	if _, imported := s.inheritedHomes[from]; imported {
		return nil
	}
	if err := s.table.importEntries(message.Entries); err != nil {
		return err
	}
	exportedAt := time.UnixMilli(message.ExportedMs)
	for _, home := range message.Homes {
		if home != s.self {
			s.inheritedHomes[home] = exportedAt
		}
	}
	return nil
}

// InheritedHomes returns the former homes whose keys this instance inherited.
func (s *Service) InheritedHomes() []control.Identity {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.inheritedHomes))
}

// importEntries adds all entries, or none if the table is sealed or lacks room.
func (t *table) importEntries(rows []handoverEntry) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sealed {
		return Error.New("handover rejected: the key table is sealed")
	}
	size := t.storedBytes
	for i := range rows {
		size += entryOverheadBytes + rows[i].Outcome.sizeBytes()
	}
	if len(t.entries)+len(rows) > importLimitFactor*t.maxKeys || size > importLimitFactor*t.maxBytes {
		return Error.New("handover rejected: no room for %d more keys in the key table", len(rows))
	}
	for i := range rows {
		t.insertImported(&rows[i])
	}
	return nil
}

// insertImported adds one entry. An existing entry for the key is newer and is
// kept.
func (t *table) insertImported(row *handoverEntry) {
	if _, exists := t.entries[row.ID]; exists {
		return
	}
	e := &entry{
		state: stateNotRun, expires: time.UnixMilli(row.ExpiresMs), fingerprint: row.Fingerprint,
		outcome: row.Outcome, claimed: row.Claimed,
	}
	if row.Done {
		e.state = stateDone
	}
	t.entries[row.ID] = e
	t.storedBytes += entryOverheadBytes + e.outcome.sizeBytes()
}
