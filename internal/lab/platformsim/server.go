// Package platformsim is a stand-in of the platform for tests and the lab: the
// object API and the list of instances over HTTP, with rate limits, latency
// and failures that can be switched on.
package platformsim

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"sycamoreledge.example/internal/platform"
)

// Config sets the manners of the platform. Zero values select the defaults.
type Config struct {
	// Latency delays the answer to every call.
	Latency time.Duration
	// ReadRate and WriteRate limit the calls per second. A watch counts as one
	// read when it starts.
	ReadRate  float64
	WriteRate float64
	// Lag is the time after which a change of the list of instances shows.
	Lag time.Duration
	// WatchWait is how long a watch is held at most.
	WatchWait time.Duration
}

// The defaults of Config.
const (
	DefaultReadRate  = 2000.0
	DefaultWriteRate = 400.0
	DefaultLag       = 3 * time.Second
	DefaultWatchWait = 20 * time.Second
)

func (c Config) withDefaults() Config {
	if c.ReadRate == 0 {
		c.ReadRate = DefaultReadRate
	}
	if c.WriteRate == 0 {
		c.WriteRate = DefaultWriteRate
	}
	if c.Lag == 0 {
		c.Lag = DefaultLag
	}
	if c.WatchWait == 0 {
		c.WatchWait = DefaultWatchWait
	}
	return c
}

// Server is one platform with its objects.
type Server struct {
	store  *platform.Memory
	mux    *http.ServeMux
	http   *http.Server
	reads  *bucket
	writes *bucket

	mu     sync.Mutex
	config Config
	faults Faults
	stats  Stats
	list   laggingList
}

// New returns a platform without objects.
func New(config Config) *Server {
	config = config.withDefaults()
	s := &Server{
		store:  platform.NewMemory(),
		mux:    http.NewServeMux(),
		reads:  newBucket(config.ReadRate),
		writes: newBucket(config.WriteRate),
		config: config,
	}
	s.faults = s.initialFaults()
	s.store.SetFaults(platform.Faults{Latency: config.Latency})
	s.mux.HandleFunc("GET /v1/objects", s.limited(s.reads, s.listObjects))
	s.mux.HandleFunc("GET /v1/objects/{key...}", s.limited(s.reads, s.getObject))
	s.mux.HandleFunc("PUT /v1/objects/{key...}", s.limited(s.writes, s.putObject))
	s.mux.HandleFunc("DELETE /v1/objects/{key...}", s.limited(s.writes, s.deleteObject))
	s.mux.HandleFunc("GET /v1/watch/{key...}", s.limited(s.reads, s.watchObject))
	s.mux.HandleFunc("GET /v1/instances", s.limited(s.reads, s.listInstances))
	s.mux.HandleFunc("GET /lab/faults", s.getFaults)
	s.mux.HandleFunc("POST /lab/faults", s.postFaults)
	s.mux.HandleFunc("GET /lab/stats", s.getStats)
	s.mux.HandleFunc("PUT /lab/instances", s.putInstances)
	s.http = &http.Server{Handler: s.mux, ReadHeaderTimeout: 10 * time.Second}
	return s
}

// Handler returns the HTTP interface, for a server of the caller's own.
func (s *Server) Handler() http.Handler { return s.mux }

// Store returns the objects, to look at or change them without HTTP.
func (s *Server) Store() *platform.Memory { return s.store }

// Serve answers on the listener until Close. It returns nil after Close.
func (s *Server) Serve(ln net.Listener) error {
	err := s.http.Serve(ln)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Close ends the listener and all connections.
func (s *Server) Close() error { return s.http.Close() }

// limited counts a call against a rate and refuses it while the platform is
// down.
func (s *Server) limited(rate *bucket, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.count(rate)
		if !rate.take(time.Now()) {
			s.countThrottled()
			http.Error(w, "over the rate", http.StatusTooManyRequests)
			return
		}
		if s.currentFaults().Down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		next(w, r)
	}
}

func (s *Server) getObject(w http.ResponseWriter, r *http.Request) {
	obj, err := s.store.Get(r.Context(), r.PathValue("key"))
	if err != nil {
		refuse(w, err)
		return
	}
	writeObject(w, obj)
}

func writeObject(w http.ResponseWriter, obj platform.Object) {
	w.Header().Set("ETag", platform.ETag(obj.Version))
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(obj.Value)))
	_, _ = w.Write(obj.Value)
}

func (s *Server) listObjects(w http.ResponseWriter, r *http.Request) {
	list, err := s.store.List(r.Context(), r.URL.Query().Get("prefix"))
	if err != nil {
		refuse(w, err)
		return
	}
	writeJSON(w, list)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (s *Server) putObject(w http.ResponseWriter, r *http.Request) {
	version, ok := expected(r.Header)
	if !ok {
		http.Error(w, "If-Match or If-None-Match is required", http.StatusBadRequest)
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, platform.MaxValueBytes))
	if err != nil {
		refuseBody(w, err)
		return
	}
	obj, err := s.store.Put(r.Context(), r.PathValue("key"), value, version)
	if err != nil {
		refuse(w, err)
		return
	}
	w.Header().Set("ETag", platform.ETag(obj.Version))
	if version == 0 {
		w.WriteHeader(http.StatusCreated)
	}
}

func refuseBody(w http.ResponseWriter, err error) {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		http.Error(w, "the value is too large", http.StatusRequestEntityTooLarge)
		return
	}
	http.Error(w, "the value is cut short", http.StatusBadRequest)
}

// expected returns the version that an update depends on.
func expected(h http.Header) (int64, bool) {
	if h.Get("If-None-Match") == "*" {
		return 0, h.Get("If-Match") == ""
	}
	text, err := strconv.Unquote(h.Get("If-Match"))
	if err != nil {
		return 0, false
	}
	version, err := strconv.ParseInt(text, 10, 64)
	return version, err == nil && version > 0
}

func (s *Server) deleteObject(w http.ResponseWriter, r *http.Request) {
	version, ok := expected(r.Header)
	if !ok || version == 0 {
		http.Error(w, "If-Match is required", http.StatusBadRequest)
		return
	}
	if err := s.store.Delete(r.Context(), r.PathValue("key"), version); err != nil {
		refuse(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) watchObject(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil || after < 0 {
		http.Error(w, "after must be a version", http.StatusBadRequest)
		return
	}
	s.addWaiting(1)
	defer s.addWaiting(-1)
	ctx, cancel := context.WithTimeout(r.Context(), s.config.WatchWait)
	defer cancel()
	obj, err := s.store.Watch(ctx, r.PathValue("key"), after)
	switch {
	case err == nil:
		writeObject(w, obj)
	case ctx.Err() != nil:
		w.WriteHeader(http.StatusNoContent)
	default:
		refuse(w, err)
	}
}

func (s *Server) listInstances(w http.ResponseWriter, r *http.Request) {
	list, err := s.store.Instances(r.Context())
	if err != nil {
		refuse(w, err)
		return
	}
	if list == nil {
		list = []platform.Instance{}
	}
	writeJSON(w, list)
}

// refuse answers with the status of an error's class. A lost answer breaks the
// connection.
func refuse(w http.ResponseWriter, err error) {
	status := 0
	switch {
	case platform.NotFound.Has(err):
		status = http.StatusNotFound
	case platform.Conflict.Has(err):
		status = http.StatusPreconditionFailed
	case platform.Invalid.Has(err):
		status = http.StatusBadRequest
	case platform.Throttled.Has(err):
		status = http.StatusTooManyRequests
	default:
		panic(http.ErrAbortHandler)
	}
	http.Error(w, err.Error(), status)
}
