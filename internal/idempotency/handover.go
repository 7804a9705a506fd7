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
	// handoverRetry is the time between two tries to give the keys.
	handoverRetry = 200 * time.Millisecond
	// importFactor is how many times its own bounds an instance may hold after
	// it took over the keys of others.
	importFactor = 2
)

// handover is the table of a home in the form in which it is given away.
type handover struct {
	Version int                `cbor:"1,keyasint"`
	Homes   []control.Identity `cbor:"2,keyasint"` // the giver first
	// Exported is the giver's time in Unix milliseconds.
	Exported int64           `cbor:"3,keyasint"`
	Entries  []handoverEntry `cbor:"4,keyasint"`
}

// handoverEntry is one key.
type handoverEntry struct {
	ID      entryID     `cbor:"1,keyasint"`
	Expires int64       `cbor:"2,keyasint"` // Unix milliseconds
	Done    bool        `cbor:"3,keyasint"`
	Claimed bool        `cbor:"4,keyasint"`
	Print   fingerprint `cbor:"5,keyasint"`
	Outcome stored      `cbor:"6,keyasint"`
}

// HandOver gives all keys to another instance. From its start on no key is run
// here; attempts under way are waited for until the context's deadline, and
// given as unknown if they last longer. The keys are never offered to a second
// instance, since the answer of the first may have been lost. Requests that
// arrive meanwhile are forwarded when it returns.
func (s *Service) HandOver(ctx context.Context, to string, settle time.Duration) error {
	value, err := s.export(ctx, to, settle)
	if err != nil {
		return err
	}
	defer close(s.settled)
	for {
		err = s.peers.GiveKeys(ctx, to, value)
		if err == nil {
			return nil
		}
		timer := time.NewTimer(handoverRetry)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return Error.Wrap(err)
		}
	}
}

// export seals the table, waits for attempts under way and encodes it.
func (s *Service) export(ctx context.Context, to string, settle time.Duration) ([]byte, error) {
	s.mu.Lock()
	if s.successor != "" || to == "" || to == s.self.Instance {
		s.mu.Unlock()
		return nil, Error.New("the keys can't be given to %q", to)
	}
	s.successor = to
	homes := []control.Identity{s.self}
	for home := range s.adopted {
		homes = append(homes, home)
	}
	s.mu.Unlock()
	s.awaitRunning(ctx, settle)
	out := handover{
		Version:  handoverVersion,
		Homes:    homes,
		Exported: time.Now().UnixMilli(),
		Entries:  s.table.encode(),
	}
	value, err := cbor.Marshal(out)
	if err != nil {
		close(s.settled)
		return nil, Error.Wrap(err)
	}
	return value, nil
}

// awaitRunning seals the table and waits until no attempt is under way.
func (s *Service) awaitRunning(ctx context.Context, settle time.Duration) {
	deadline := time.Now().Add(settle)
	for _, done := range s.table.seal() {
		if !wait(ctx, done, deadline) {
			return
		}
	}
}

// seal forbids any further attempt and returns the channels of those under way.
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

// encode returns all entries. An attempt still under way may run.
func (t *table) encode() []handoverEntry {
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := make([]handoverEntry, 0, len(t.entries))
	for id, e := range t.entries {
		row := handoverEntry{
			ID: id, Expires: e.expires.UnixMilli(), Print: e.print,
			Done: e.state != stateFree, Claimed: e.claimed, Outcome: e.outcome,
		}
		if e.state == stateRunning {
			row.Outcome = stored{Outcome: work.Unknown, Reason: work.ReasonHomeReplaced}
		}
		rows = append(rows, row)
	}
	return rows
}

// Import takes over the keys of a leaving instance. Importing the same value
// again changes nothing.
func (s *Service) Import(from control.Identity, value []byte) error {
	var in handover
	if err := cbor.Unmarshal(value, &in); err != nil {
		return Error.Wrap(err)
	}
	if in.Version != handoverVersion || len(in.Homes) == 0 || in.Homes[0] != from {
		return Error.New("the keys are not those of %v", from)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.successor != "" {
		return Error.New("the instance is leaving")
	}
	if _, known := s.adopted[from]; known {
		return nil
	}
	if err := s.table.adopt(in.Entries); err != nil {
		return err
	}
	exported := time.UnixMilli(in.Exported)
	for _, home := range in.Homes {
		if home != s.self {
			s.adopted[home] = exported
		}
	}
	return nil
}

// Adopted returns the former runs whose keys this instance took over.
func (s *Service) Adopted() []control.Identity {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.adopted))
}

// adopt adds entries, all or none.
func (t *table) adopt(rows []handoverEntry) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sealed {
		return Error.New("the table is sealed")
	}
	size := t.bytes
	for i := range rows {
		size += entryBytes + rows[i].Outcome.size()
	}
	if len(t.entries)+len(rows) > importFactor*t.maxKeys || size > importFactor*t.maxBytes {
		return Error.New("there is no room for %d keys", len(rows))
	}
	for i := range rows {
		t.insert(&rows[i])
	}
	return nil
}

// insert adds one entry; an existing one is newer and stays.
func (t *table) insert(row *handoverEntry) {
	if _, known := t.entries[row.ID]; known {
		return
	}
	e := &entry{
		state: stateFree, expires: time.UnixMilli(row.Expires), print: row.Print,
		outcome: row.Outcome, claimed: row.Claimed,
	}
	if row.Done {
		e.state = stateDone
	}
	t.entries[row.ID] = e
	t.bytes += entryBytes + e.outcome.size()
}
