package upstream

import (
	"sync"
	"time"
)

// End says how a piece of work ended.
type End string

// The ends.
const (
	// Running work has not ended.
	Running End = "running"
	// Done work ran to its end.
	Done End = "done"
	// Canceled work lost its connection or passed its deadline after it
	// started; its effect counts as taken place.
	Canceled End = "canceled"
	// Cut work never started, because its body did not arrive whole.
	Cut End = "cut"
)

// Record is one piece of work with an idempotency key that got a slot.
type Record struct {
	Key       string    `json:"key"`
	RequestID string    `json:"request_id"`
	Upstream  string    `json:"upstream"`
	Service   string    `json:"service"`
	Nonce     string    `json:"nonce"`
	Start     time.Time `json:"start"`
	Finish    time.Time `json:"finish"`
	End       End       `json:"end"`
	// Bytes and Digest (SHA-256 in hexadecimal digits) are those of the body.
	Bytes  int64  `json:"bytes"`
	Digest string `json:"digest"`
}

// Effect reports whether the work counts as run. Work that started counts
// even when it was canceled, as nobody can tell from outside.
func (r Record) Effect() bool { return r.End != Cut }

// Counts are the totals of one upstream.
type Counts struct {
	Upstream string `json:"upstream"`
	Service  string `json:"service"`
	Zone     string `json:"zone"`
	Slots    int    `json:"slots"`
	// Busy is the number of slots in use now and Peak the most ever.
	Busy int `json:"busy"`
	Peak int `json:"peak"`
	// Started is the number of requests that got a slot; Done, Canceled and
	// Cut are their ends.
	Started  int64 `json:"started"`
	Done     int64 `json:"done"`
	Canceled int64 `json:"canceled"`
	Cut      int64 `json:"cut"`
	// Shed counts refusals by a fault or a passed deadline and Over those for
	// want of a slot.
	Shed int64 `json:"shed"`
	Over int64 `json:"over"`
	// AfterLeaving counts requests more than LeavingGrace after the upstream
	// had published that it is leaving.
	AfterLeaving int64 `json:"after_leaving"`
	// Connections is the number of open ones, MaxConnections the most ever
	// and Rejected how many were closed at once for their number.
	Connections    int   `json:"connections"`
	MaxConnections int   `json:"max_connections"`
	Rejected       int64 `json:"rejected"`
	// LastStart is when a request last got a slot.
	LastStart time.Time `json:"last_start"`
}

// Ledger is what the upstreams of a zone did.
type Ledger struct {
	Upstreams []Counts `json:"upstreams"`
	Records   []Record `json:"records"`
}

// records keeps the Records of a zone.
type records struct {
	mu  sync.Mutex
	all []*Record
}

// open adds a record.
func (r *records) open(rec *Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, rec)
}

// finish closes a record.
func (r *records) finish(rec *Record, end End, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec.End, rec.Finish = end, at
}

// received notes the body of a record.
func (r *records) received(rec *Record, n int64, digest string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec.Bytes, rec.Digest = n, digest
}

// list copies all records.
func (r *records) list() []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Record, 0, len(r.all))
	for _, rec := range r.all {
		out = append(out, *rec)
	}
	return out
}
