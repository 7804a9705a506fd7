package idempotency

import (
	"sync"
	"time"

	"sycamoreledge.example/internal/control"
	"sycamoreledge.example/internal/work"
)

const (
	// retentionAfterExpiry is how long an entry is kept after its key expires.
	// During that time, a key that is missing from the table is known never to
	// have run.
	retentionAfterExpiry = time.Minute
	// maxStoredBodyBytes is the size of the largest response body that is stored.
	maxStoredBodyBytes = 64 << 10
	// entryOverheadBytes is the approximate memory of an entry without its stored
	// response.
	entryOverheadBytes = 512
	// minSweepInterval is the minimum time between two sweeps of expired entries.
	minSweepInterval = time.Second
)

// state is the execution state of a key.
type state uint8

const (
	// stateNotRun: no attempt has run the request and none is running, so a new
	// attempt may start.
	stateNotRun state = iota + 1
	// stateRunning: an attempt is in progress.
	stateRunning
	// stateDone: the outcome is final.
	stateDone
)

// entryID identifies a key: an issued key by its home and service, a
// caller-chosen key by its service.
type entryID struct {
	Home    control.Identity `cbor:"1,keyasint"` // zero for a caller-chosen key
	Service string           `cbor:"2,keyasint"`
	Key     string           `cbor:"3,keyasint"`
}

// entry is the state of one key. The table's mutex guards it.
type entry struct {
	state       state
	expires     time.Time
	fingerprint fingerprint
	outcome     storedOutcome
	// claimed is set once this instance has claimed a caller-chosen key.
	claimed bool
	// done is closed when the running attempt ends.
	done chan struct{}
}

// storedOutcome is the final outcome of a key and the response to replay.
type storedOutcome struct {
	Outcome     work.Outcome        `cbor:"1,keyasint"`
	Reason      work.Reason         `cbor:"2,keyasint,omitempty"`
	Status      int                 `cbor:"3,keyasint,omitempty"`
	Header      map[string][]string `cbor:"4,keyasint,omitempty"`
	Body        []byte              `cbor:"5,keyasint,omitempty"`
	BodyOmitted bool                `cbor:"6,keyasint,omitempty"` // the body was too large to store
	Upstream    string              `cbor:"7,keyasint,omitempty"`
}

// sizeBytes returns the approximate memory of the header and body in bytes.
func (s *storedOutcome) sizeBytes() int64 {
	n := len(s.Body)
	for name, values := range s.Header {
		n += len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	return int64(n)
}

// table holds the entries of this home and of the homes whose keys it inherited.
type table struct {
	mu          sync.Mutex
	entries     map[entryID]*entry
	storedBytes int64
	maxKeys     int
	maxBytes    int64
	lastSweep   time.Time
	sealed      bool
}

func newTable(maxKeys int, maxBytes int64) *table {
	return &table{entries: make(map[entryID]*entry), maxKeys: maxKeys, maxBytes: maxBytes}
}

// size returns the number of keys and their approximate memory in bytes.
func (t *table) size() (int, int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries), t.storedBytes
}

// sweep removes entries that expired more than retentionAfterExpiry ago, except
// running ones. The mutex must be held.
func (t *table) sweep(now time.Time) {
	if now.Sub(t.lastSweep) < minSweepInterval {
		return
	}
	t.lastSweep = now
	for id, e := range t.entries {
		if e.state != stateRunning && now.Sub(e.expires) > retentionAfterExpiry {
			t.remove(id, e)
		}
	}
}

func (t *table) remove(id entryID, e *entry) {
	t.storedBytes -= entryOverheadBytes + e.outcome.sizeBytes()
	delete(t.entries, id)
}

// hasRoom reports whether one more key fits within the limits, after a sweep if
// necessary. The mutex must be held.
func (t *table) hasRoom(now time.Time) bool {
	if len(t.entries) < t.maxKeys && t.storedBytes+entryOverheadBytes <= t.maxBytes {
		return true
	}
	t.sweep(now)
	return len(t.entries) < t.maxKeys && t.storedBytes+entryOverheadBytes <= t.maxBytes
}

// startAttempt starts an attempt for the key and returns its entry and true.
// Otherwise it returns an entry that is running or done, and false, or a
// refusal. For a key that is not in the table it calls checkAbsent, which
// returns a refusal, or nil if the key is known never to have run.
func (t *table) startAttempt(id entryID, expires time.Time, now time.Time, checkAbsent func() *work.Response) (*entry, bool, *work.Response) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	e := t.entries[id]
	if e == nil {
		return t.addRunning(id, expires, now, checkAbsent)
	}
	if e.state != stateNotRun {
		return e, false, nil
	}
	if t.sealed {
		return nil, false, work.UnknownOutcome(work.ReasonHomeReplaced)
	}
	if !now.Before(e.expires) {
		if id.Home != (control.Identity{}) {
			return nil, false, work.Refuse(work.ReasonKeyExpired, 0)
		}
		// The claim has expired, so the key may have another home by now.
		t.remove(id, e)
		return t.addRunning(id, expires, now, checkAbsent)
	}
	e.state = stateRunning
	e.done = make(chan struct{})
	return e, true, nil
}

// addRunning creates an entry and starts the first attempt for a key that is not
// in the table. The mutex must be held.
func (t *table) addRunning(id entryID, expires, now time.Time, checkAbsent func() *work.Response) (*entry, bool, *work.Response) {
	if refusal := checkAbsent(); refusal != nil {
		return nil, false, refusal
	}
	if t.sealed {
		return nil, false, work.UnknownOutcome(work.ReasonHomeReplaced)
	}
	if !t.hasRoom(now) {
		return nil, false, work.Refuse(work.ReasonTableFull, minSweepInterval)
	}
	e := &entry{state: stateRunning, expires: expires, done: make(chan struct{})}
	t.entries[id] = e
	t.storedBytes += entryOverheadBytes
	return e, true, nil
}

// finishAttempt records the outcome of the running attempt and wakes the requests
// that wait for it. After an outcome of NotRun another attempt may start.
func (t *table) finishAttempt(id entryID, e *entry, outcome storedOutcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer close(e.done)
	if outcome.Outcome == work.NotRun {
		e.state = stateNotRun
		return
	}
	if t.storedBytes+outcome.sizeBytes() > t.maxBytes {
		outcome.Body, outcome.Header = nil, nil
		outcome.BodyOmitted = outcome.Outcome == work.Run
	}
	e.state = stateDone
	e.outcome = outcome
	if t.entries[id] == e {
		t.storedBytes += outcome.sizeBytes()
	}
}

// discard removes an entry whose attempt was never sent to an upstream, because
// this instance did not obtain the claim, and wakes the requests that wait for
// it.
func (t *table) discard(id entryID, e *entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.state = stateNotRun
	if t.entries[id] == e {
		t.remove(id, e)
	}
	close(e.done)
}

// setClaimed records that this instance is the home of a caller-chosen key until
// the claim expires.
func (t *table) setClaimed(e *entry, expires time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.claimed = true
	e.expires = expires
}

// matchFingerprint reports whether a request may be the same as the earlier ones
// with its key. If so, it records the fingerprint.
func (t *table) matchFingerprint(e *entry, fp fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e.fingerprint.differs(fp) {
		return false
	}
	e.fingerprint = fp
	return true
}

// setFingerprint records the fingerprint of the request that ran.
func (t *table) setFingerprint(e *entry, fp fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.fingerprint = fp
}

// read returns a consistent copy of an entry's state, fingerprint and outcome,
// and the channel that is closed when its running attempt ends.
func (t *table) read(e *entry) (state, fingerprint, storedOutcome, chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return e.state, e.fingerprint, e.outcome, e.done
}
