package api

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"sycamoreledge.example/internal/api/wire"
	"sycamoreledge.example/internal/control"
	"sycamoreledge.example/internal/event"
	"sycamoreledge.example/internal/presets"
	"sycamoreledge.example/internal/settings"
)

// Presets changes and reads the configuration on the platform.
type Presets interface {
	Apply(ctx context.Context, req presets.Request, preset settings.Preset) (presets.Result, error)
	Use(ctx context.Context, req presets.Request, name string) (presets.Result, error)
	AddDrain(ctx context.Context, req presets.Request, d settings.Drain) (presets.Result, error)
	RemoveDrain(ctx context.Context, req presets.Request, d settings.Drain) (presets.Result, error)
	// Current returns the configuration on the platform.
	Current(ctx context.Context) (*settings.Config, error)
	// History returns the newest audit records, the oldest of them first.
	History(ctx context.Context, limit int) ([]settings.AuditRecord, error)
	// Observe tells of a version known from elsewhere; no older one is
	// returned from then on.
	Observe(version int64)
}

// OperatorsOptions are what the operators' server is built from. All are
// required but for those with a default.
type OperatorsOptions struct {
	Presets  Presets
	Snapshot func() *control.Snapshot
	Topology *settings.Topology
	// Operators are the accepted credentials.
	Operators []settings.Operator
	// Accepted is given the configuration of every change that was made here,
	// before it is answered, so that it need not come back by the platform; it
	// may be nil.
	Accepted func(cfg *settings.Config)
	// Leave begins the planned stop of this instance and returns at once.
	Leave func()
	// Explain adds lines to the explained status; it may be nil.
	Explain func() []string
	// TLS is the configuration of the listener.
	TLS    *tls.Config
	Events *event.Logger
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

const (
	// maxChangeBytes bounds the body of a change.
	maxChangeBytes = 1 << 20
	// changeReadTime bounds the time in which the body of a change arrives.
	changeReadTime = 10 * time.Second
)

// Operators is the HTTPS server for operators.
type Operators struct {
	opts  OperatorsOptions
	http  *httpServer
	auth  *authenticator
	shown shownVersion
}

// NewOperators returns a server that will accept from the listener, which it
// owns from now on.
func NewOperators(ln net.Listener, opts OperatorsOptions) *Operators {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	s := &Operators{opts: opts, auth: newAuthenticator(opts)}
	s.http = newHTTPServer(ln, opts.TLS, opts.Events, s.auth.require(s.routes()))
	return s
}

// Start accepts connections in the background.
func (s *Operators) Start() { s.http.start() }

// Stop refuses new connections, waits for the commands in flight until the
// context ends, and returns the number of those that were cut off.
func (s *Operators) Stop(ctx context.Context) int { return s.http.stop(ctx) }

func (s *Operators) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/status", s.status)
	mux.HandleFunc("GET /v1/presets", s.listPresets)
	mux.HandleFunc("GET /v1/presets/{name}", s.showPreset)
	mux.HandleFunc("GET /v1/history", s.history)
	mux.HandleFunc("PUT /v1/presets/{name}", s.change(presets.ActionApply, s.applyPreset))
	mux.HandleFunc("POST /v1/in-force", s.change(presets.ActionUse, s.usePreset))
	mux.HandleFunc("POST /v1/drains", s.change(presets.ActionDrain, s.addDrain))
	mux.HandleFunc("DELETE /v1/drains", s.change(presets.ActionUndrain, s.removeDrain))
	mux.HandleFunc("POST /v1/leave", s.leave)
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		writeError(w, http.StatusNotFound, wire.CodeNotFound, "there is no such command")
	})
	return mux
}

// leave begins the planned stop of this instance. A repeat has no effect.
func (s *Operators) leave(w http.ResponseWriter, r *http.Request) {
	name := ""
	if snap := s.opts.Snapshot(); snap != nil {
		name = snap.Self
	}
	s.opts.Events.Log(event.OperatorCommand,
		"operator", operatorOf(r), "operation", r.Header.Get(wire.HeaderOperation), "action", "leave")
	s.opts.Leave()
	writeJSON(w, http.StatusAccepted, wire.Leaving{Instance: name, State: control.Leaving.String()})
}
