package instance

import (
	"context"
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
	// headerTimeout bounds the time for a caller's header while no configuration does.
	headerTimeout = 10 * time.Second
	// idleTimeout closes unused connections while no configuration bounds them.
	idleTimeout = 120 * time.Second
	// writeTimeout is how long a caller may take nothing of its answer: far longer
	// than the longest that the users' callers wait for one.
	writeTimeout = time.Minute
	// limitMargin is for how much longer than the configuration says connections are
	// kept, so that no caller meets one that is just being closed: a request may be
	// on its way for a second when a packet is lost.
	limitMargin = 2 * time.Second
	// maxHeader bounds a caller's header in bytes.
	maxHeader = 64 << 10
	// directoryAge is how long callers may keep a directory answer: short, so that
	// they leave a failed or leaving instance soon.
	directoryAge = 2 * time.Second
)

func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeader,
		ErrorLog:          log.New(io.Discard, "", 0),
	}
}

// callerConn is a caller's connection, for which the configuration in force says
// how long it may be unused and how long the header of a request may take.
type callerConn struct {
	net.Conn
	// idle is set when the connection becomes unused, until its deadline is set;
	// active while a request is handled.
	idle   atomic.Bool
	active atomic.Bool
	limits func() routing.Limits
}

// Write implements io.Writer. A caller that takes nothing for long is given up.
func (c *callerConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// SetReadDeadline implements net.Conn. net/http sets one when the connection
// becomes unused, one when the next request begins, and a past one to end a read;
// the handler of a request sets its own.
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
		t = now.Add(limit + limitMargin)
	}
	return c.Conn.SetReadDeadline(t)
}

// callerListener accepts callers' connections.
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

// noteIdle follows the state of callers' connections.
func noteIdle(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*callerConn); ok {
		c.idle.Store(state == http.StateIdle)
		c.active.Store(state == http.StateActive)
	}
}

// callerLimits are those of the configuration in force; none without one.
func (i *Instance) callerLimits() routing.Limits {
	if table := i.core.Table(); table != nil {
		return table.Limits
	}
	return routing.Limits{}
}

// answerReady tells the platform whether this instance takes requests.
func (i *Instance) answerReady(w http.ResponseWriter, r *http.Request) {
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

// answerDirectory names the instances that a caller should use.
func (i *Instance) answerDirectory(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != platform.DirectoryPath {
		http.NotFound(w, r)
		return
	}
	q := platform.ParseDirectoryQuery(r)
	caller := deployment.Place{Zone: q.Zone, Region: q.Region}
	var addresses []string
	for _, m := range fleet.Nearest(caller, i.serving(time.Now())) {
		addresses = append(addresses, m.Requests)
	}
	if len(addresses) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	keep := directoryAge
	if i.place().Bounds.MaxListAge > 0 {
		keep = min(keep, i.place().Bounds.MaxListAge)
	}
	// An answer that cannot be written is one that the caller did not wait for.
	_ = platform.WriteDirectoryAnswer(w, addresses, keep)
}

// serving returns the instances that take requests, this one first.
func (i *Instance) serving(now time.Time) []fleet.Registration {
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
	// stopMargin is the part of the time to stop that is left for the end itself.
	stopMargin = 500 * time.Millisecond
	// defaultStop is the time to stop when the platform states none.
	defaultStop = 6 * time.Second
)

// stop finishes what is in progress: the instance is named to callers no more,
// serves among its peers until kept lists have run out, leaves them, and ends when
// no request is left. Until it leaves it hears of changes; from then on it keeps to
// what it knew of its peers, whose silence says nothing any more.
func (i *Instance) stop(ctx context.Context, leave func()) {
	began := time.Now()
	i.events.Log(event.Stopping, "instance", i.self.Name, "reason", "signal")
	i.setState(fleet.Leaving)
	i.beats.SendNow()
	i.gateway.Leave()
	limit := i.place().Bounds.Stop
	if limit <= 0 {
		limit = defaultStop
	}
	end := began.Add(limit - stopMargin)
	// A peer that missed the first datagram names this instance until the next one.
	lists := began.Add(min(directoryAge+fleet.MinSendInterval, limit/2))
	time.Sleep(time.Until(lists))
	leave()
	unregistered := i.unregister(ctx)
	// From here on no further request is taken; those in progress are finished.
	closing, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	for _, s := range i.servers {
		if s.Shutdown(closing) != nil {
			i.events.Log(event.StopForced, "reason", "time to stop is over", "busy", i.gateway.Busy())
			break
		}
	}
	select {
	case <-unregistered:
	case <-time.After(min(unregisterWait, time.Until(end))):
	}
	i.events.Log(event.Stopped, "instance", i.self.Name, "after", time.Since(began))
}

// MetricsPath is where the metrics are served in the Prometheus text format.
const MetricsPath = "/metrics"

// metricsAddress is the address for metrics, or empty.
func (i *Instance) metricsAddress() string {
	host, _, err := net.SplitHostPort(i.place().Listen.Requests)
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

// isService reports whether the configuration in force has the service.
func (i *Instance) isService(name string) bool {
	table := i.core.Table()
	if table == nil {
		return false
	}
	_, ok := table.Services[name]
	return ok
}
