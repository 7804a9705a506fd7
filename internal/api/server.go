package api

import (
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"sycamoreledge.example/internal/event"
)

const (
	// headerTimeout is the time in which the header of a request must arrive. On
	// the operators' listener it includes the TLS handshake and the body.
	headerTimeout = 5 * time.Second
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = 90 * time.Second
	// writeTimeout is the time after which a connection is closed whose peer
	// accepts no data.
	writeTimeout = 10 * time.Second
	// unreadBodyTimeout bounds how long the rest of an unread body is received
	// after an early response. If the connection were closed immediately, the reset
	// could reach the peer before it has read the response.
	unreadBodyTimeout = time.Second
	maxHeaderBytes    = 32 << 10
	// maxConnections bounds the connections of the callers' listener.
	maxConnections = 8192
)

// httpServer is the HTTP server for callers. It uses net/http rather than hertz, which
// calls a handler only after the first 8 KB of a body, or all of a shorter body, have
// arrived: short uploads would not be streamed, and a stalled upload could neither be
// refused early nor aborted at its deadline.
type httpServer struct {
	server   *http.Server
	listener net.Listener
	events   *event.Logger
	active   atomic.Int64
	stopping atomic.Bool
}

// newHTTPServer returns a server for the listener and takes ownership of it.
func newHTTPServer(ln net.Listener, events *event.Logger, handler http.Handler) *httpServer {
	s := &httpServer{listener: newLimitedListener(ln, maxConnections), events: events}
	s.server = &http.Server{
		Handler:           s.countAndRecover(handler),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          log.New(io.Discard, "", 0),
	}
	return s
}

// start serves in a new goroutine.
func (s *httpServer) start() {
	go s.server.Serve(s.listener) //nolint:errcheck // returns when the listener is closed
}

// stop rejects new connections and waits for the requests in flight until ctx ends. It
// returns the number of requests that were aborted.
func (s *httpServer) stop(ctx context.Context) int {
	s.stopping.Store(true)
	s.server.SetKeepAlivesEnabled(false)
	err := s.server.Shutdown(ctx)
	if err == nil {
		return 0
	}
	aborted := int(s.active.Load())
	s.server.Close() //nolint:errcheck // there is no remedy
	return aborted
}

// countAndRecover counts the requests in flight and logs panics of the handler. After a
// panic the connection is aborted, so that a partial response does not look complete.
func (s *httpServer) countAndRecover(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.active.Add(1)
		defer s.active.Add(-1)
		defer s.recoverPanic(r)
		extendWriteDeadline(w)
		handler.ServeHTTP(w, r)
	})
}

func (s *httpServer) recoverPanic(r *http.Request) {
	panicked := recover()
	if panicked == nil {
		return
	}
	if err, ok := panicked.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
		s.events.Log(event.HandlerPanic, "where", r.URL.Path, "error", panicked, "stack", string(debug.Stack()))
	}
	panic(http.ErrAbortHandler)
}

// extendWriteDeadline sets the write deadline to writeTimeout from now.
func extendWriteDeadline(w http.ResponseWriter) {
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout)) //nolint:errcheck // not supported by test recorders
}
