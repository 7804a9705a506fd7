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
	// headerTimeout bounds the time in which the header of a request must
	// arrive; for operators also the TLS handshake before it and the body.
	headerTimeout = 5 * time.Second
	// idleTimeout closes a connection on which no request arrives.
	idleTimeout = 90 * time.Second
	// writeTimeout breaks a connection whose peer takes no bytes.
	writeTimeout = 10 * time.Second
	// lingerTime bounds how long the rest of an unread body is taken in after
	// an early answer. Closing at once could cost the peer the answer.
	lingerTime = time.Second
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 32 << 10
	// maxConnections bounds the connections of one listener.
	maxConnections = 8192
)

// httpServer is the server of the callers' interface. It is the standard
// library's: hertz calls a handler only when the first 8 KB of a body, or a
// shorter body whole, have arrived, so that short uploads would not stream, and
// a stalled one could be neither refused early nor ended with its deadline.
type httpServer struct {
	server   *http.Server
	listener net.Listener
	events   *event.Logger
	active   atomic.Int64
	stopping atomic.Bool
}

// newHTTPServer returns a server for the listener, which it owns.
func newHTTPServer(ln net.Listener, events *event.Logger, handler http.Handler) *httpServer {
	s := &httpServer{listener: newLimitedListener(ln, maxConnections), events: events}
	s.server = &http.Server{
		Handler:           s.guarded(handler),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          log.New(io.Discard, "", 0),
	}
	return s
}

// start serves in a goroutine of its own.
func (s *httpServer) start() {
	go s.server.Serve(s.listener) //nolint:errcheck // ends with the listener
}

// stop refuses new connections and waits for the requests in flight until the
// context ends. It returns the number of requests that were cut off.
func (s *httpServer) stop(ctx context.Context) int {
	s.stopping.Store(true)
	s.server.SetKeepAlivesEnabled(false)
	err := s.server.Shutdown(ctx)
	if err == nil {
		return 0
	}
	cut := int(s.active.Load())
	s.server.Close() //nolint:errcheck // nothing can be done about it
	return cut
}

// guarded counts the requests in flight and keeps a panic of a handler from
// ending the process. Such a request's connection is broken, so that an answer
// that is half written never looks whole.
func (s *httpServer) guarded(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.active.Add(1)
		defer s.active.Add(-1)
		defer s.recoverPanic(r)
		extendWrite(w)
		handler.ServeHTTP(w, r)
	})
}

func (s *httpServer) recoverPanic(r *http.Request) {
	reason := recover()
	if reason == nil {
		return
	}
	if err, ok := reason.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
		s.events.Log(event.HandlerPanic, "where", r.URL.Path, "error", reason, "stack", string(debug.Stack()))
	}
	panic(http.ErrAbortHandler)
}

// extendWrite gives the peer another write timeout to take some bytes.
func extendWrite(w http.ResponseWriter) {
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout)) //nolint:errcheck // not with test recorders
}
