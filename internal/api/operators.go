package api

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

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
)

// Operators is the HTTPS server for operators.
type Operators struct {
	opts  OperatorsOptions
	http  *operatorServer
	auth  *authenticator
	shown shownVersion
}

// NewOperators returns a server that will accept from the listener, which it
// owns from now on.
func NewOperators(ln net.Listener, opts OperatorsOptions) *Operators {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	s := &Operators{opts: opts, auth: newAuthenticator(opts), http: newOperatorServer(ln, opts.TLS, opts.Events)}
	s.route()
	return s
}

// Start accepts connections in the background.
func (s *Operators) Start() { s.http.start() }

// Stop refuses new connections, waits for the commands in flight until the
// context ends, and returns the number of those that were cut off.
func (s *Operators) Stop(ctx context.Context) int { return s.http.stop(ctx) }

func (s *Operators) route() {
	engine := s.http.engine
	handle := func(next http.HandlerFunc) app.HandlerFunc {
		return s.http.handle(s.auth.require(next))
	}
	engine.GET("/v1/status", handle(s.status))
	engine.GET("/v1/presets", handle(s.listPresets))
	engine.GET("/v1/presets/:name", handle(s.showPreset))
	engine.GET("/v1/history", handle(s.history))
	engine.PUT("/v1/presets/:name", handle(s.change(presets.ActionApply, s.applyPreset)))
	engine.POST("/v1/in-force", handle(s.change(presets.ActionUse, s.usePreset)))
	engine.POST("/v1/drains", handle(s.change(presets.ActionDrain, s.addDrain)))
	engine.DELETE("/v1/drains", handle(s.change(presets.ActionUndrain, s.removeDrain)))
	engine.POST("/v1/leave", handle(s.leave))
	engine.NoRoute(handle(func(w http.ResponseWriter, _ *http.Request) {
		writeError(w, http.StatusNotFound, wire.CodeNotFound, "there is no such command")
	}))
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
