// Package api serves HTTP to callers and to operators. It knows requests and
// answers of HTTP only; what to do with them is decided behind its interfaces.
package api

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	"sycamoreledge.example/internal/api/wire"
	"sycamoreledge.example/internal/control"
	"sycamoreledge.example/internal/event"
	"sycamoreledge.example/internal/work"
)

// Router runs a request of a caller and returns its outcome. It honours the
// context, which ends with the deadline or when the caller leaves.
type Router interface {
	Serve(ctx context.Context, req *work.Request) *work.Response
}

// Keys issues idempotency keys.
type Keys interface {
	Issue(service string) (key string, expires time.Time, err error)
}

// Observer is told of every finished request, for the metrics.
type Observer interface {
	RequestDone(service string, kind work.Kind, outcome work.Outcome, reason work.Reason, elapsed time.Duration)
}

// RankFunc returns the entries that the client should use for the service, the
// best first.
type RankFunc func(service string, client netip.Addr) []control.InstanceView

// CallersOptions are what the callers' server is built from. All are required
// but for those with a default.
type CallersOptions struct {
	Router   Router
	Keys     Keys
	Snapshot func() *control.Snapshot
	Rank     RankFunc
	// Ready returns nil when the instance may take requests.
	Ready func() error
	// Services are the kinds of the declared services by name.
	Services map[string]work.Kind
	// MaxAge is how long callers may cache the list of entries.
	MaxAge time.Duration
	Events *event.Logger
	// Observer may be nil.
	Observer Observer
	// Metrics answers /metrics; it may be nil.
	Metrics http.Handler
	// MaxRequests bounds the requests at once; 0 means DefaultMaxRequests.
	MaxRequests int64
}

// DefaultMaxRequests bounds the requests of callers that run at once.
const DefaultMaxRequests = 4096

// Callers is the HTTP server for callers.
type Callers struct {
	opts   CallersOptions
	http   *httpServer
	mux    *http.ServeMux
	active atomic.Int64
}

// NewCallers returns a server that will accept from the listener, which it
// owns from now on.
func NewCallers(ln net.Listener, opts CallersOptions) *Callers {
	if opts.MaxRequests == 0 {
		opts.MaxRequests = DefaultMaxRequests
	}
	s := &Callers{opts: opts, mux: http.NewServeMux()}
	s.route()
	s.http = newHTTPServer(ln, opts.Events, s)
	return s
}

func (s *Callers) route() {
	s.mux.HandleFunc("GET /healthz", s.healthz)
	s.mux.HandleFunc("GET /readyz", s.readyz)
	s.mux.HandleFunc("GET /v1/entries", s.entries)
	s.mux.HandleFunc("POST /v1/keys", s.issueKey)
	if s.opts.Metrics != nil {
		s.mux.Handle("GET /metrics", s.opts.Metrics)
	}
}

// ServeHTTP serves one request. Requests of services do not go through the
// multiplexer, which would clean their paths by a redirect.
func (s *Callers) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.EscapedPath(), servicesPrefix) {
		s.service(w, r)
		return
	}
	if r.ContentLength != 0 {
		// The server would wait for the rest of the body, which nobody reads.
		http.NewResponseController(w).SetReadDeadline(time.Now().Add(lingerTime)) //nolint:errcheck // not with test recorders
	}
	s.mux.ServeHTTP(w, r)
}

// Start accepts connections in the background.
func (s *Callers) Start() { s.http.start() }

// Stop refuses new connections, waits for the requests in flight until the
// context ends, and returns the number of those that were cut off.
func (s *Callers) Stop(ctx context.Context) int { return s.http.stop(ctx) }

// Active returns the number of requests of services that run now.
func (s *Callers) Active() int { return int(s.active.Load()) }

func (s *Callers) healthz(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, wire.Health{Status: "ok"})
}

func (s *Callers) readyz(w http.ResponseWriter, _ *http.Request) {
	if err := s.opts.Ready(); err != nil {
		writeJSON(w, http.StatusServiceUnavailable, wire.Health{Status: "not ready", Reason: err.Error()})
		return
	}
	writeJSON(w, http.StatusOK, wire.Health{Status: "ready"})
}

// service runs a request of a caller from its arrival to the last byte of its
// answer.
func (s *Callers) service(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	x := newExchange(s, w, r)
	defer x.finish()
	req, refusal := x.request(start)
	if refusal != nil {
		s.observe(&work.Request{}, x.respond(refusal), time.Since(start))
		return
	}
	defer s.active.Add(-1)
	active := s.active.Add(1)
	ctx, cancel := context.WithDeadline(r.Context(), req.Deadline)
	defer cancel()
	outcome := x.respond(s.run(ctx, req, active))
	s.observe(req, outcome, time.Since(start))
	if x.cut {
		panic(http.ErrAbortHandler)
	}
}

// run passes the request on unless too many run already.
func (s *Callers) run(ctx context.Context, req *work.Request, active int64) *work.Response {
	if active > s.opts.MaxRequests {
		s.opts.Events.Log(event.CallersOverLimit, "limit", s.opts.MaxRequests)
		return work.Refuse(work.ReasonQueueFull, overloadRetry)
	}
	return s.opts.Router.Serve(ctx, req)
}

func (s *Callers) observe(req *work.Request, r *work.Response, elapsed time.Duration) {
	if s.opts.Observer == nil {
		return
	}
	s.opts.Observer.RequestDone(req.Service, req.Kind, r.Outcome, r.Reason, elapsed)
}

// limitOf returns the longest time that a request of the service may take.
func limitOf(snap *control.Snapshot, service string) time.Duration {
	for i := range snap.Preset.Services {
		if snap.Preset.Services[i].Name == service {
			return snap.Preset.Services[i].Deadline
		}
	}
	return defaultDeadline
}
