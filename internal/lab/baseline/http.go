package baseline

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"sycamoreledge.example/internal/lab/firm"
	"sycamoreledge.example/internal/work"
)

// Headers of the callers' interface.
const (
	headerDeadline   = "Deadline-Ms"
	headerKey        = "Idempotency-Key"
	headerOutcome    = "Outcome"
	headerReason     = "Outcome-Reason"
	headerRequestID  = "Request-Id"
	headerRetryAfter = "Retry-After"
	headerUpstream   = "Upstream"
)

const (
	// maxAge is how long callers keep the list of entries.
	maxAge = 5 * time.Second
	// maxBody bounds a request's body in bytes.
	maxBody = 64 << 20
	// defaultDeadline is that of requests without one.
	defaultDeadline = 10 * time.Second
	// stopGrace is what a stop gives to requests in flight.
	stopGrace = 15 * time.Second
	// keyBytes is the length of an idempotency key.
	keyBytes = 16
)

// Serve answers callers at the entry's address until ctx ends, then finishes
// what is in flight.
func (x *Proxy) Serve(ctx context.Context) error {
	l, err := net.Listen("tcp", x.entry.Callers)
	if err != nil {
		return Error.Wrap(err)
	}
	work, stop := context.WithCancel(context.Background())
	defer stop()
	go x.Run(work)
	server := &http.Server{Handler: x.Handler()}
	stopped := make(chan error, 1)
	context.AfterFunc(ctx, func() {
		grace, cancel := context.WithTimeout(context.Background(), stopGrace)
		defer cancel()
		stopped <- server.Shutdown(grace)
	})
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return Error.Wrap(err)
	}
	return Error.Wrap(<-stopped)
}

// Handler returns the callers' interface.
func (x *Proxy) Handler() http.Handler {
	mux := http.NewServeMux()
	ok := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }
	mux.HandleFunc("GET /healthz", ok)
	mux.HandleFunc("GET /readyz", ok)
	mux.HandleFunc("GET /v1/entries", x.serveEntries)
	mux.HandleFunc("POST /v1/keys", x.serveKey)
	mux.HandleFunc("/v1/services/{service}/{path...}", x.serveRequest)
	return mux
}

// listed is an entry in the answer about which to use.
type listed struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
	Address string `json:"address"`
}

// listing is the answer about which entries to use.
type listing struct {
	Service  string   `json:"service"`
	MaxAgeMs int64    `json:"max_age_ms"`
	Entries  []listed `json:"entries"`
}

// serveEntries lists the entries of this zone, then those of the region, then
// the others; equals are spread by the caller's address.
func (x *Proxy) serveEntries(w http.ResponseWriter, r *http.Request) {
	client := r.URL.Query().Get("client")
	entries := slices.Clone(x.plan.Entries)
	slices.SortStableFunc(entries, func(a, b firm.Entry) int {
		return cmp.Or(
			cmp.Compare(x.distance(&a), x.distance(&b)),
			cmp.Compare(xxhash.Sum64String(client+a.Name), xxhash.Sum64String(client+b.Name)))
	})
	answer := listing{Service: r.URL.Query().Get("service"), MaxAgeMs: maxAge.Milliseconds()}
	for _, e := range entries {
		region := firm.RegionOf(&x.plan.Topology, e.Zone)
		answer.Entries = append(answer.Entries, listed{e.Name, e.Zone, region, e.Callers})
	}
	writeJSON(w, http.StatusOK, answer)
}

// distance is 0 in this zone, 1 in its region and 2 beyond.
func (x *Proxy) distance(e *firm.Entry) int {
	switch {
	case e.Zone == x.entry.Zone:
		return 0
	case firm.RegionOf(&x.plan.Topology, e.Zone) == firm.RegionOf(&x.plan.Topology, x.entry.Zone):
		return 1
	default:
		return 2
	}
}

// serveKey gives a key that nobody remembers.
func (x *Proxy) serveKey(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusCreated, map[string]string{"key": random()})
}

// serveRequest takes the whole body, queues the request and sends the answer.
func (x *Proxy) serveRequest(w http.ResponseWriter, r *http.Request) {
	kind, known := x.kinds[r.PathValue("service")]
	if !known {
		answer(w, work.Refuse(work.ReasonUnknownService, 0))
		return
	}
	wait := defaultDeadline
	if ms, err := strconv.ParseInt(r.Header.Get(headerDeadline), 10, 64); err == nil {
		wait = time.Duration(ms) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		answer(w, work.Refuse(work.ReasonBadRequest, 0))
		return
	}
	deadline, _ := ctx.Deadline()
	req := &work.Request{
		ID:       random(),
		Service:  r.PathValue("service"),
		Kind:     kind,
		Method:   r.Method,
		Path:     "/" + r.PathValue("path") + "?" + r.URL.RawQuery,
		Header:   http.Header{},
		Length:   int64(len(body)),
		Deadline: deadline,
		Key:      r.Header.Get(headerKey),
	}
	w.Header().Set(headerRequestID, req.ID)
	answer(w, x.submit(ctx, req, body))
}

// answer sends a response to the caller.
func answer(w http.ResponseWriter, r *work.Response) {
	h := w.Header()
	h.Set(headerOutcome, r.Outcome.String())
	h.Set(headerReason, string(r.Reason))
	if r.Outcome != work.Run {
		h.Set(headerRetryAfter, strconv.Itoa(int(r.RetryAfter.Seconds())))
		status := http.StatusServiceUnavailable
		if r.Outcome == work.Unknown {
			status = http.StatusGatewayTimeout
		}
		w.WriteHeader(status)
		return
	}
	h.Set(headerUpstream, r.Upstream)
	h.Set("Content-Length", strconv.FormatInt(r.Length, 10))
	w.WriteHeader(r.Status)
	// An error means that the caller has gone.
	_, _ = io.Copy(w, r.Body)
}

// writeJSON sends a value. An error means that the caller has gone.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// random returns an identifier of 32 hexadecimal digits.
func random() string {
	b := make([]byte, keyBytes)
	// Read never fails and always fills b.
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}
