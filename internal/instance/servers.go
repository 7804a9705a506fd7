package instance

import (
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"sycamoreledge.example/internal/deployment"
	"sycamoreledge.example/internal/event"
	"sycamoreledge.example/internal/fleet"
	"sycamoreledge.example/internal/routing"
	"sycamoreledge.example/platform"
)

const (
	// defaultHeaderTimeout bounds the time for the header of a caller's request until a
	// configuration sets the limit.
	defaultHeaderTimeout = 10 * time.Second
	// defaultIdleTimeout closes unused connections until a configuration sets the limit.
	defaultIdleTimeout = 120 * time.Second
	// writeTimeout is how long a caller may read nothing of its response: far longer than the
	// longest time for which the users' callers wait for one.
	writeTimeout = time.Minute
	// closeMargin is how much longer than configured connections are kept open, so that no
	// caller sends a request on a connection that is just being closed: the request may take
	// a second to arrive when a packet is lost.
	closeMargin = 2 * time.Second
	// maxHeaderBytes bounds the header of a caller's request in bytes.
	maxHeaderBytes = 64 << 10
	// maxDirectoryAge is how long callers may cache a directory response. It is short, so that
	// they soon leave an instance that failed or is stopping.
	maxDirectoryAge = 2 * time.Second
)

func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: defaultHeaderTimeout,
		IdleTimeout:       defaultIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          log.New(io.Discard, "", 0),
	}
}

// callerConn is a connection of a caller. The configuration in force sets how long it may be
// unused and how long the header of a request may take.
type callerConn struct {
	net.Conn
	// idle is set when the connection becomes unused, until its deadline is set. active is set
	// while a request is handled.
	idle   atomic.Bool
	active atomic.Bool
	limits func() routing.Limits
}

// Write implements io.Writer. It fails if the caller reads nothing for writeTimeout.
func (c *callerConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// SetLinger sets how a close treats unsent data; see net.TCPConn. Other connections than TCP return
// errors.ErrUnsupported.
func (c *callerConn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SetLinger(seconds)
	}
	return errors.ErrUnsupported
}

// SetReadDeadline implements net.Conn. net/http sets a deadline when the connection becomes unused,
// another when the next request begins, and one in the past to interrupt a read. The limits in force
// replace the first two; while a request is handled, its handler sets deadlines of its own.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	if c.active.Load() {
		return c.Conn.SetReadDeadline(t)
	}
	limits := c.limits()
	limit := limits.HeaderTimeout
	if c.idle.Swap(false) {
		limit = limits.IdleTimeout
	}
	if now := time.Now(); limit > 0 && t.After(now) {
		t = now.Add(limit + closeMargin)
	}
	return c.Conn.SetReadDeadline(t)
}

// callerListener wraps the connections that it accepts as callerConn.
type callerListener struct {
	net.Listener
	limits func() routing.Limits
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: conn, limits: l.limits}, nil
}

// trackConnState records the states of callers' connections. It is a ConnState hook of http.Server.
func trackConnState(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*callerConn); ok {
		c.idle.Store(state == http.StateIdle)
		c.active.Store(state == http.StateActive)
	}
}

// callerLimits returns the limits of the configuration in force, or none without a configuration.
func (i *Instance) callerLimits() routing.Limits {
	if table := i.core.Table(); table != nil {
		return table.Limits
	}
	return routing.Limits{}
}

// serveReady answers the platform's readiness check.
func (i *Instance) serveReady(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != platform.ReadyPath {
		http.NotFound(w, r)
		return
	}
	if i.currentState() != fleet.Serving {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// serveDirectory responds with the addresses of the instances that a caller should use.
func (i *Instance) serveDirectory(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != platform.DirectoryPath {
		http.NotFound(w, r)
		return
	}
	q := platform.ParseDirectoryQuery(r)
	caller := deployment.Place{Zone: q.Zone, Region: q.Region}
	var addresses []string
	for _, m := range fleet.Nearest(caller, i.servingInstances(time.Now())) {
		addresses = append(addresses, m.Requests)
	}
	if len(addresses) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	maxAge := maxDirectoryAge
	if i.currentDeployment().Bounds.MaxListAge > 0 {
		maxAge = min(maxAge, i.currentDeployment().Bounds.MaxListAge)
	}
	// Write errors are ignored: the caller has stopped waiting for the response.
	_ = platform.WriteDirectoryAnswer(w, addresses, maxAge)
}

// servingInstances returns the instances that accept requests, this one first.
func (i *Instance) servingInstances(now time.Time) []fleet.Registration {
	var list []fleet.Registration
	if i.currentState() == fleet.Serving {
		list = append(list, i.self)
	}
	for _, p := range i.table.Peers(now) {
		if p.Alive && p.State == fleet.Serving {
			list = append(list, p.Registration)
		}
	}
	return list
}

const (
	// stopMargin is the part of the stop time that is reserved for the exit itself.
	stopMargin = 500 * time.Millisecond
	// defaultStopTimeout is the stop time if the platform sets none.
	defaultStopTimeout = 6 * time.Second
)

// stop performs a planned stop. The instance is no longer listed to callers, but serves among its
// peers until the lists that callers have cached have expired. Then it leaves its peers, finishes the
// requests in progress and ends. It receives changes until it leaves; afterwards it keeps its last
// view of the peers, whose silence then no longer means that they have failed.
func (i *Instance) stop(ctx context.Context, leavePeers func()) {
	began := time.Now()
	i.events.Log(event.Stopping, "instance", i.self.Name, "reason", "signal")
	i.setState(fleet.Leaving)
	i.transport.SendNow()
	i.gateway.CloseKeepAlives()
	timeout := i.currentDeployment().Bounds.Stop
	if timeout <= 0 {
		timeout = defaultStopTimeout
	}
	deadline := began.Add(timeout - stopMargin)
	// A peer that missed the first datagram lists this instance until it gets the next one.
	listsExpire := began.Add(min(maxDirectoryAge+fleet.MinSendInterval, timeout/2))
	time.Sleep(time.Until(listsExpire))
	leavePeers()
	unregistered := i.unregister(ctx)
	// From here on no new requests are accepted; those in progress are finished.
	shutdownCtx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	for _, s := range i.servers {
		if s.Shutdown(shutdownCtx) != nil {
			i.events.Log(event.StopForced, "reason", "stop time limit exceeded", "busy", i.gateway.InFlight())
			break
		}
	}
	select {
	case <-unregistered:
	case <-time.After(min(unregisterTimeout, time.Until(deadline))):
	}
	i.events.Log(event.Stopped, "instance", i.self.Name, "after", time.Since(began))
}

// MetricsPath is the path at which metrics are served in the Prometheus text format.
const MetricsPath = "/metrics"

// metricsAddress returns the listen address for metrics, or "" if they are disabled.
func (i *Instance) metricsAddress() string {
	host, _, err := net.SplitHostPort(i.currentDeployment().Listen.Requests)
	if i.options.MetricsPort == 0 || err != nil {
		return ""
	}
	return net.JoinHostPort(host, strconv.Itoa(i.options.MetricsPort))
}

func (i *Instance) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(MetricsPath, i.metrics.Handler())
	return mux
}

// isService reports whether the configuration in force defines the service.
func (i *Instance) isService(name string) bool {
	table := i.core.Table()
	if table == nil {
		return false
	}
	_, ok := table.Services[name]
	return ok
}
