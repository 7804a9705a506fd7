// Package api implements the HTTP servers for callers and for operators. It translates
// between HTTP and its Go interfaces; their implementations make all decisions.
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

// Router executes a caller's request and returns its outcome. It must honour the
// context, which ends at the deadline or when the caller disconnects.
type Router interface {
	Serve(ctx context.Context, req *work.Request) *work.Response
}

// Keys issues idempotency keys.
type Keys interface {
	Issue(service string) (key string, expires time.Time, err error)
}

// Observer records every finished request for the metrics.
type Observer interface {
	RequestDone(service string, kind work.Kind, outcome work.Outcome, reason work.Reason, elapsed time.Duration)
}

// RankFunc returns the entry instances that the client may use for the service, in
// order of preference.
type RankFunc func(service string, client netip.Addr) []control.InstanceView

// CallersOptions configure the server for callers. All fields are required unless
// stated otherwise.
type CallersOptions struct {
	Router   Router
	Keys     Keys
	Snapshot func() *control.Snapshot
	Rank     RankFunc
	// Ready returns nil if the instance may serve requests.
	Ready func() error
	// Services maps the name of each declared service to its kind.
	Services map[string]work.Kind
	// MaxAge is how long callers may cache the list of entries.
	MaxAge time.Duration
	Events *event.Logger
	// Observer may be nil.
	Observer Observer
	// Metrics serves /metrics; it may be nil.
	Metrics http.Handler
	// MaxRequests bounds the concurrent service requests; 0 means
	// DefaultMaxRequests.
	MaxRequests int64
}

// DefaultMaxRequests is the default bound of concurrent service requests.
const DefaultMaxRequests = 4096

// Callers is the HTTP server for callers.
type Callers struct {
	opts   CallersOptions
	http   *httpServer
	mux    *http.ServeMux
	active atomic.Int64
}

// NewCallers returns a server for the listener and takes ownership of it. Start
// begins to accept connections.
func NewCallers(ln net.Listener, opts CallersOptions) *Callers {
	if opts.MaxRequests == 0 {
		opts.MaxRequests = DefaultMaxRequests
	}
	s := &Callers{opts: opts, mux: http.NewServeMux()}
	s.registerRoutes()
	s.http = newHTTPServer(ln, opts.Events, s)
	return s
}

func (s *Callers) registerRoutes() {
	s.mux.HandleFunc("GET /healthz", s.healthz)
	s.mux.HandleFunc("GET /readyz", s.readyz)
	s.mux.HandleFunc("GET /v1/entries", s.entries)
	s.mux.HandleFunc("POST /v1/keys", s.issueKey)
	if s.opts.Metrics != nil {
		s.mux.Handle("GET /metrics", s.opts.Metrics)
	}
}

// ServeHTTP implements http.Handler. Service requests bypass the multiplexer, which
// would clean their paths and answer with a redirect.
func (s *Callers) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.EscapedPath(), servicesPrefix) {
		s.serveServiceRequest(w, r)
		return
	}
	if r.ContentLength != 0 {
		// No handler reads the body, and the server would wait for the rest of it.
		http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyTimeout)) //nolint:errcheck // not with test recorders
	}
	s.mux.ServeHTTP(w, r)
}

// Start begins to accept connections in the background.
func (s *Callers) Start() { s.http.start() }

// Stop rejects new connections, waits for the requests in flight until ctx ends, and
// returns the number of requests that were aborted.
func (s *Callers) Stop(ctx context.Context) int { return s.http.stop(ctx) }

// Active returns the number of service requests in flight.
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

// serveServiceRequest handles a caller's request from its arrival to the last byte of
// the response.
func (s *Callers) serveServiceRequest(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	ex := newExchange(s, w, r)
	defer ex.limitUnreadBody()
	req, refusal := ex.buildRequest(start)
	if refusal != nil {
		s.reportDone(&work.Request{}, ex.respond(refusal), time.Since(start))
		return
	}
	defer s.active.Add(-1)
	active := s.active.Add(1)
	ctx, cancel := context.WithDeadline(r.Context(), req.Deadline)
	defer cancel()
	outcome := ex.respond(s.dispatch(ctx, req, active))
	s.reportDone(req, outcome, time.Since(start))
	if ex.aborted {
		panic(http.ErrAbortHandler)
	}
}

// dispatch passes the request to the router unless the limit of concurrent requests is
// exceeded.
func (s *Callers) dispatch(ctx context.Context, req *work.Request, active int64) *work.Response {
	if active > s.opts.MaxRequests {
		s.opts.Events.Log(event.CallersOverLimit, "limit", s.opts.MaxRequests)
		return work.Refuse(work.ReasonQueueFull, overloadRetryAfter)
	}
	return s.opts.Router.Serve(ctx, req)
}

func (s *Callers) reportDone(req *work.Request, r *work.Response, elapsed time.Duration) {
	if s.opts.Observer == nil {
		return
	}
	s.opts.Observer.RequestDone(req.Service, req.Kind, r.Outcome, r.Reason, elapsed)
}

// serviceDeadline returns the maximum duration of a request to the service.
func serviceDeadline(snap *control.Snapshot, service string) time.Duration {
	for i := range snap.Preset.Services {
		if snap.Preset.Services[i].Name == service {
			return snap.Preset.Services[i].Deadline
		}
	}
	return defaultDeadline
}
