package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// ledger holds what clients sent, what back ends ran and what clients got.
type ledger struct {
	mu       sync.Mutex
	began    time.Time
	requests map[string]*request
	order    []string
	notes    []string
}

type request struct {
	id, method, path, kind string
	size                   int64
	sum                    string
	machine                string
	keptChannel            bool
	sent, lastByte, ended  time.Duration
	deadline               time.Duration
	arrivals               []arrival
	runs                   int
	ranAt                  []string
	changed                string
	status                 int
	end                    string
	signature, body        string
}

// arrival is when a request reached a back end, whether it ran there or not.
type arrival struct {
	backend string
	at      time.Duration
}

func newLedger() *ledger { return &ledger{began: time.Now(), requests: map[string]*request{}} }

func (l *ledger) now() time.Duration { return time.Since(l.began) }

func (l *ledger) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notes = append(l.notes, fmt.Sprintf("%8.3f ", l.now().Seconds())+fmt.Sprintf(format, args...))
}

func (l *ledger) add(r *request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.sent = l.now()
	l.requests[r.id] = r
	l.order = append(l.order, r.id)
}

func (l *ledger) arrive(id string, b *backend) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.requests[id]; r != nil {
		r.arrivals = append(r.arrivals, arrival{b.id, l.now()})
	}
}

func (l *ledger) run(id string, b *backend, method, path string, size int64, sum string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.requests[id]
	if r == nil {
		r = &request{id: id, changed: "nobody sent it"}
		l.requests[id] = r
		l.order = append(l.order, id)
	}
	r.runs++
	r.ranAt = append(r.ranAt, b.id)
	if r.changed == "" && (method != r.method || path != r.path || size != r.size || r.sum != "" && sum != r.sum) {
		r.changed = fmt.Sprintf("arrived as %s %s with %d bytes", method, path, size)
	}
}

// finish records how a request ended for its client.
func (l *ledger) finish(r *request, status int, signature, body, end string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.status, r.signature, r.body, r.end, r.ended = status, signature, body, end, l.now()
}

func (l *ledger) sentAll(r *request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.lastByte = l.now()
}

const endAnswered = "answered"

// write writes the record of a run.
func (l *ledger) write(dir string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	check(err)
	defer func() { check(f.Close()) }()
	for _, n := range l.notes {
		fmt.Fprintln(f, n)
	}
	fmt.Fprintln(f, "\nrequests: id kind machine kept sent last-byte ended(s) bytes status end runs at")
	for _, id := range l.order {
		r := l.requests[id]
		fmt.Fprintf(f, "%s %s %s kept=%t %.3f %.3f %.3f %d %d %q runs=%d %v %s\n", r.id, r.kind, r.machine, r.keptChannel,
			r.sent.Seconds(), r.lastByte.Seconds(), r.ended.Seconds(), r.size, r.status, r.end, r.runs, r.ranAt, r.changed)
	}
}
