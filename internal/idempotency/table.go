package idempotency

import (
	"sync"
	"time"

	"sycamoreledge.example/internal/control"
	"sycamoreledge.example/internal/work"
)

const (
	// keepAfterExpiry is how long a key is remembered after it expired. Until
	// then the home can tell that a key it does not remember never ran.
	keepAfterExpiry = time.Minute
	// bodyLimit is the largest body of an answer that is kept, in bytes.
	bodyLimit = 64 << 10
	// entryBytes is what an entry takes beside its answer, about.
	entryBytes = 512
	// sweepInterval is the least time between two removals of old entries.
	sweepInterval = time.Second
)

// state is what is known of a key.
type state uint8

const (
	// stateFree: no attempt ran, another one may.
	stateFree state = iota + 1
	// stateRunning: an attempt is under way.
	stateRunning
	// stateDone: the outcome is final.
	stateDone
)

// entryID names a key of an issuer, or a caller's own key of a service.
type entryID struct {
	Home    control.Identity `cbor:"1,keyasint"` // zero for a caller's own key
	Service string           `cbor:"2,keyasint"`
	Key     string           `cbor:"3,keyasint"`
}

// entry is one key. The table's mutex guards it.
type entry struct {
	state   state
	expires time.Time
	print   fingerprint
	outcome stored
	// claimed is set once a caller's own key belongs to this home.
	claimed bool
	// done is closed when the attempt under way ends.
	done chan struct{}
}

// stored is a final outcome.
type stored struct {
	Outcome  work.Outcome        `cbor:"1,keyasint"`
	Reason   work.Reason         `cbor:"2,keyasint,omitempty"`
	Status   int                 `cbor:"3,keyasint,omitempty"`
	Header   map[string][]string `cbor:"4,keyasint,omitempty"`
	Body     []byte              `cbor:"5,keyasint,omitempty"`
	Omitted  bool                `cbor:"6,keyasint,omitempty"` // the body was too large to keep
	Upstream string              `cbor:"7,keyasint,omitempty"`
}

// size is about the memory that the outcome takes, in bytes.
func (s *stored) size() int64 {
	n := len(s.Body)
	for name, values := range s.Header {
		n += len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	return int64(n)
}

// table holds the keys of this home, and of those that it took over.
type table struct {
	mu       sync.Mutex
	entries  map[entryID]*entry
	bytes    int64
	maxKeys  int
	maxBytes int64
	swept    time.Time
	sealed   bool
}

func newTable(maxKeys int, maxBytes int64) *table {
	return &table{entries: make(map[entryID]*entry), maxKeys: maxKeys, maxBytes: maxBytes}
}

// size returns the number of keys and about their memory in bytes.
func (t *table) size() (int, int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries), t.bytes
}

// sweep removes entries that expired long enough ago; the mutex is held. A
// running entry stays.
func (t *table) sweep(now time.Time) {
	if now.Sub(t.swept) < sweepInterval {
		return
	}
	t.swept = now
	for id, e := range t.entries {
		if e.state != stateRunning && now.Sub(e.expires) > keepAfterExpiry {
			t.remove(id, e)
		}
	}
}

func (t *table) remove(id entryID, e *entry) {
	t.bytes -= entryBytes + e.outcome.size()
	delete(t.entries, id)
}

// room reports whether one more key can be kept; the mutex is held.
func (t *table) room(now time.Time) bool {
	if len(t.entries) < t.maxKeys && t.bytes+entryBytes <= t.maxBytes {
		return true
	}
	t.sweep(now)
	return len(t.entries) < t.maxKeys && t.bytes+entryBytes <= t.maxBytes
}

// begin makes the caller the one that runs the key, which it reports by true.
// Otherwise it returns the entry, which is running or done, or a refusal. absent
// refuses a key that is not in the table, or returns nil when it never ran.
func (t *table) begin(id entryID, expires time.Time, now time.Time, absent func() *work.Response) (*entry, bool, *work.Response) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	e := t.entries[id]
	if e == nil {
		return t.add(id, expires, now, absent)
	}
	if e.state != stateFree {
		return e, false, nil
	}
	if t.sealed {
		return nil, false, work.Uncertain(work.ReasonHomeReplaced)
	}
	if !now.Before(e.expires) {
		if id.Home != (control.Identity{}) {
			return nil, false, work.Refuse(work.ReasonKeyExpired, 0)
		}
		// The claim ended: the key may have another home by now.
		t.remove(id, e)
		return t.add(id, expires, now, absent)
	}
	e.state = stateRunning
	e.done = make(chan struct{})
	return e, true, nil
}

// add creates the entry of a key that never ran here; the mutex is held.
func (t *table) add(id entryID, expires, now time.Time, absent func() *work.Response) (*entry, bool, *work.Response) {
	if refusal := absent(); refusal != nil {
		return nil, false, refusal
	}
	if t.sealed {
		return nil, false, work.Uncertain(work.ReasonHomeReplaced)
	}
	if !t.room(now) {
		return nil, false, work.Refuse(work.ReasonTableFull, sweepInterval)
	}
	e := &entry{state: stateRunning, expires: expires, done: make(chan struct{})}
	t.entries[id] = e
	t.bytes += entryBytes
	return e, true, nil
}

// end stores how the attempt under way ended and wakes those who wait for it.
func (t *table) end(id entryID, e *entry, outcome stored) {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer close(e.done)
	if outcome.Outcome == work.NotRun {
		e.state = stateFree
		return
	}
	if t.bytes+outcome.size() > t.maxBytes {
		outcome.Body, outcome.Header = nil, nil
		outcome.Omitted = outcome.Outcome == work.Run
	}
	e.state = stateDone
	e.outcome = outcome
	if t.entries[id] == e {
		t.bytes += outcome.size()
	}
}

// drop forgets an entry whose attempt did not even begin, for a key whose home
// is elsewhere.
func (t *table) drop(id entryID, e *entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.state = stateFree
	if t.entries[id] == e {
		t.remove(id, e)
	}
	close(e.done)
}

// claim makes a caller's own key one of this home until the claim expires.
func (t *table) claim(e *entry, expires time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.claimed = true
	e.expires = expires
}

// match compares a request with the earlier ones under its key, and notes the
// first.
func (t *table) match(e *entry, print fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e.print.differs(print) {
		return false
	}
	e.print = print
	return true
}

// setPrint notes the fingerprint of the request that ran.
func (t *table) setPrint(e *entry, print fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.print = print
}

// read returns the state of an entry.
func (t *table) read(e *entry) (state, fingerprint, stored, chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return e.state, e.print, e.outcome, e.done
}
