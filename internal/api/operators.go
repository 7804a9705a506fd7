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

// PresetStore reads and changes the configuration on the platform.
type PresetStore interface {
	Apply(ctx context.Context, req presets.Request, preset settings.Preset) (presets.Result, error)
	Use(ctx context.Context, req presets.Request, name string) (presets.Result, error)
	AddDrain(ctx context.Context, req presets.Request, d settings.Drain) (presets.Result, error)
	RemoveDrain(ctx context.Context, req presets.Request, d settings.Drain) (presets.Result, error)
	Current(ctx context.Context) (*settings.Config, error)
	// History returns at most limit of the newest audit records, the oldest of them
	// first.
	History(ctx context.Context, limit int) ([]settings.AuditRecord, error)
	// Observe sets a lower bound for the version of the configurations returned
	// from then on.
	Observe(version int64)
}

// OperatorsOptions configure the server for operators. All fields are required unless
// stated otherwise.
type OperatorsOptions struct {
	Presets  PresetStore
	Snapshot func() *control.Snapshot
	Topology *settings.Topology
	// Operators are the accepted credentials.
	Operators []settings.Operator
	// OnChange is called with the new configuration after every change made through
	// this server and before the response is sent, so that the instance need not
	// wait for the platform to deliver it. It may be nil.
	OnChange func(cfg *settings.Config)
	// Leave starts the planned stop of this instance and returns immediately.
	Leave func()
	// Explain returns additional lines for the explained status; it may be nil.
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

// NewOperators returns a server for the listener and takes ownership of it. Start
// begins to accept connections.
func NewOperators(ln net.Listener, opts OperatorsOptions) *Operators {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	s := &Operators{opts: opts, auth: newAuthenticator(opts), http: newOperatorServer(ln, opts.TLS, opts.Events)}
	s.registerRoutes()
	return s
}

// Start begins to accept connections in the background.
func (s *Operators) Start() { s.http.start() }

// Stop rejects new connections, waits for the requests in flight until ctx ends, and
// returns the number of requests that were aborted.
func (s *Operators) Stop(ctx context.Context) int { return s.http.stop(ctx) }

func (s *Operators) registerRoutes() {
	engine := s.http.engine
	handle := func(next http.HandlerFunc) app.HandlerFunc {
		return s.http.handle(s.auth.requireOperator(next))
	}
	engine.GET("/v1/status", handle(s.status))
	engine.GET("/v1/presets", handle(s.listPresets))
	engine.GET("/v1/presets/:name", handle(s.getPreset))
	engine.GET("/v1/history", handle(s.history))
	engine.PUT("/v1/presets/:name", handle(s.changeHandler(presets.ActionApply, s.applyPreset)))
	engine.POST("/v1/in-force", handle(s.changeHandler(presets.ActionUse, s.usePreset)))
	engine.POST("/v1/drains", handle(s.changeHandler(presets.ActionDrain, s.addDrain)))
	engine.DELETE("/v1/drains", handle(s.changeHandler(presets.ActionUndrain, s.removeDrain)))
	engine.POST("/v1/leave", handle(s.leave))
	engine.NoRoute(handle(func(w http.ResponseWriter, _ *http.Request) {
		writeError(w, http.StatusNotFound, wire.CodeNotFound, "there is no such command")
	}))
}

// leave starts the planned stop of this instance. A repeat has no effect.
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
