// Package upstream is the stand-in of a firm's back ends: slots, service
// times, faults, and a ledger of the work that was really run.
package upstream

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"path"
	"strconv"
	"sync"
	"time"

	"sycamoreledge.example/internal/lab/firm"
	"sycamoreledge.example/internal/settings"
)

// Headers of the interface between an entry and an upstream.
const (
	HeaderRequestID = "Request-Id"
	HeaderDeadline  = "Deadline-Unix-Ms"
	HeaderKey       = "Idempotency-Key"
	HeaderNotRun    = "Work-Not-Run"
	HeaderDigest    = "Content-Digest"
	// HeaderWorkTime tells how long the work took, in microseconds.
	HeaderWorkTime = "Work-Time-Us"
)

// LeavingGrace is how long after it published that it is leaving an upstream
// may still get new work.
const LeavingGrace = 3 * time.Second

// The states of the health endpoint.
const (
	stateLive    = "live"
	stateLeaving = "leaving"
	stateCold    = "cold"
)

// Upstream is one back end. It is an http.Handler.
type Upstream struct {
	settings.Upstream
	world   firm.World
	records *records

	mu           sync.Mutex
	fault        Fault
	leavingSince time.Time
	times        *times
	random       *rand.Rand
	counts       Counts
	// stray is the number of requests that go on without their connection.
	stray  int
	health lagged[string]
	load   lagged[int]
}

// newUpstream returns an idle, cold upstream.
func newUpstream(u settings.Upstream, pool settings.Pool, service string, w firm.World, seed uint64, rec *records) *Upstream {
	t := newTimes(u.Name, seed, w.ServiceTimeOf(service), w.Neighbours, time.Now())
	return &Upstream{
		Upstream: u,
		world:    w,
		records:  rec,
		times:    t,
		random:   rand.New(rand.NewPCG(t.seed, 1)),
		counts:   Counts{Upstream: u.Name, Service: service, Zone: pool.Zone, Slots: u.Slots},
	}
}

// ServeHTTP answers health and load probes and runs everything else.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/healthz":
		u.serveHealth(w, r)
	case "/load":
		u.serveLoad(w)
	default:
		u.serveWork(w, r)
	}
}

// serveHealth reports the state after the time that a probe takes.
func (u *Upstream) serveHealth(w http.ResponseWriter, r *http.Request) {
	if !wait(r.Context(), u.world.ProbeTime) {
		return
	}
	u.mu.Lock()
	state := u.health.read(time.Now(), u.fault.HealthLag, u.state)
	if u.fault.HealthLies {
		state = stateLive
	}
	u.mu.Unlock()
	writeJSON(w, map[string]string{"state": state})
}

// serveLoad reports the busy slots.
func (u *Upstream) serveLoad(w http.ResponseWriter) {
	u.mu.Lock()
	busy := u.load.read(time.Now(), u.fault.LoadLag, func() int { return u.counts.Busy })
	if u.fault.LoadLies {
		busy = 0
	}
	slots := u.Slots
	u.mu.Unlock()
	writeJSON(w, map[string]int{"busy": busy, "slots": slots})
}

// state is the true state; the caller holds the lock.
func (u *Upstream) state() string {
	switch {
	case u.fault.Leaving:
		return stateLeaving
	case u.times.served < u.times.service.ColdRequests:
		return stateCold
	default:
		return stateLive
	}
}

// serveWork runs one request or refuses it with proof that it did not run.
func (u *Upstream) serveWork(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := withDeadline(r)
	defer cancel()
	j := u.admit(ctx, r)
	if j == nil {
		refuse(w, r)
		return
	}
	body, ok := j.run(ctx, r)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	j.answer(w, r, body)
}

// admit takes a slot, or returns nil when the request is refused.
func (u *Upstream) admit(ctx context.Context, r *http.Request) *job {
	now := time.Now()
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.fault.Leaving && now.Sub(u.leavingSince) > LeavingGrace {
		u.counts.AfterLeaving++
	}
	hit := u.fault.Share <= 0 || u.random.Float64() < u.fault.Share
	if ctx.Err() != nil || (hit && u.fault.Shed) {
		u.counts.Shed++
		return nil
	}
	if u.counts.Busy-u.stray >= u.Slots {
		u.counts.Over++
		return nil
	}
	u.counts.Busy++
	u.counts.Peak = max(u.counts.Peak, u.counts.Busy-u.stray)
	u.counts.Started++
	u.counts.LastStart = now
	j := &job{u: u, service: u.times.next(now), rec: u.record(r, now)}
	if f := u.fault.SlowFactor; f > 0 {
		j.service = time.Duration(float64(j.service) * f)
	}
	if hit {
		j.fault = u.fault
	}
	return j
}

// record opens the record of a request with a key; others have none.
func (u *Upstream) record(r *http.Request, now time.Time) *Record {
	key := r.Header.Get(HeaderKey)
	if key == "" {
		return nil
	}
	rec := &Record{
		Key:       key,
		RequestID: r.Header.Get(HeaderRequestID),
		Upstream:  u.Name,
		Service:   u.counts.Service,
		Nonce:     path.Base(r.URL.Path),
		Start:     now,
		End:       Running,
	}
	u.records.open(rec)
	return rec
}

// SetFault replaces the faults.
func (u *Upstream) SetFault(f Fault) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if f.Leaving && !u.fault.Leaving {
		u.leavingSince = time.Now().Add(f.HealthLag)
	}
	u.fault = f
}

// Restart makes the upstream cold.
func (u *Upstream) Restart() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.times.restart()
}

// Counts returns the totals.
func (u *Upstream) Counts() Counts {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.counts
}

// withDeadline bounds the request by the deadline it carries.
func withDeadline(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.ParseInt(r.Header.Get(HeaderDeadline), 10, 64)
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithDeadline(r.Context(), time.UnixMilli(ms))
}

// refuse sends the marker that the work was not run.
func refuse(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
	w.Header().Set(HeaderNotRun, "true")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// wait returns after d, or earlier and false when ctx ends.
func wait(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// writeJSON sends a value. An error means that the client has gone.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
