// Package entry builds the daemon of an entry instance out of its parts and
// runs it from start to planned stop.
package entry

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"os"
	"syscall"
	"time"

	"github.com/zeebo/errs"

	"sycamoreledge.example/internal/api"
	"sycamoreledge.example/internal/claims"
	"sycamoreledge.example/internal/control"
	"sycamoreledge.example/internal/event"
	"sycamoreledge.example/internal/idempotency"
	"sycamoreledge.example/internal/locate"
	"sycamoreledge.example/internal/metrics"
	"sycamoreledge.example/internal/peer"
	"sycamoreledge.example/internal/pki"
	"sycamoreledge.example/internal/platform"
	"sycamoreledge.example/internal/presets"
	"sycamoreledge.example/internal/settings"
	"sycamoreledge.example/internal/traffic"
	"sycamoreledge.example/internal/traffic/link"
	"sycamoreledge.example/internal/traffic/owner"
	"sycamoreledge.example/internal/upstream"
	"sycamoreledge.example/internal/work"
)

// Error is the class of the errors of a start.
var Error = errs.Class("entry")

// logDrain bounds the writing of the last log lines.
const logDrain = time.Second

// Run starts the instance that the settings file describes, serves until the
// context ends, and then stops as planned.
func Run(ctx context.Context, settingsPath string) error {
	bundle, err := settings.LoadBundle(settingsPath)
	if err != nil {
		logLoadFailure(settingsPath, err)
		return err
	}
	events, err := event.New(os.Stderr, event.Options{
		Level:  bundle.Settings.Log.Level,
		Format: bundle.Settings.Log.Format,
	})
	if err != nil {
		return Error.Wrap(err)
	}
	defer events.Close(logDrain)
	events.Log(event.SettingsLoaded, "file", settingsPath, "firm", bundle.Topology.Firm)
	e := &entry{bundle: bundle, events: events, began: time.Now()}
	if err := e.build(ctx); err != nil {
		events.Log(event.StartFailed, "error", err)
		e.close()
		return err
	}
	e.serve(ctx)
	return nil
}

// logLoadFailure reports settings that cannot be used, before there is a
// configured log.
func logLoadFailure(path string, err error) {
	events, newErr := event.New(os.Stderr, event.Options{Level: "info", Format: "text"})
	if newErr != nil {
		return
	}
	defer events.Close(logDrain)
	file := path
	var fault *settings.FileError
	if errors.As(err, &fault) {
		file = fault.File
	}
	events.Log(loadFailureID(path, file, err), "file", file, "error", err)
}

// loadFailureID tells the files apart by what the settings, if they can be read
// by themselves, name.
func loadFailureID(path, file string, err error) event.ID {
	if errors.Is(err, os.ErrNotExist) {
		return event.SettingsMissing
	}
	s, loadErr := settings.Load(path)
	switch {
	case loadErr != nil:
		return event.SettingsInvalid
	case file == s.KeySecret:
		return event.KeySecretInvalid
	case file == s.Operators:
		return event.OperatorsInvalid
	default:
		return event.SettingsInvalid
	}
}

// entry holds the parts of a running instance.
type entry struct {
	bundle   *settings.Bundle
	events   *event.Logger
	began    time.Time
	self     settings.Instance
	identity control.Identity
	unclean  []control.Identity

	platform  platform.Client
	presets   *presets.Store
	keys      *pki.Source
	loop      *loop
	node      *peer.Node
	handler   *peerHandler
	upstreams *upstream.Client
	owner     *owner.Owner
	links     *link.Transport
	router    *traffic.Router
	once      *idempotency.Service
	metrics   *metrics.Metrics
	callers   *api.Callers
	operators *api.Operators
	ranker    *locate.Ranker
	leave     chan struct{}
	// drains are those that the log reported last.
	drains []settings.Drain
}

// build makes all parts, in the order in which they need each other, and opens
// the listeners last.
func (e *entry) build(ctx context.Context) error {
	s := e.bundle.Settings
	e.self, _ = e.bundle.Topology.Instance(s.Instance)
	e.leave = make(chan struct{}, 1)
	var err error
	e.keys, err = pki.NewSource(pki.Files{
		Authority:   s.TLS.Authority,
		Certificate: s.TLS.Certificate,
		Key:         s.TLS.Key,
	}, pki.Options{OnReload: e.onReload})
	if err != nil {
		e.events.Log(event.CertificateInvalid, "file", s.TLS.Certificate, "error", err)
		return Error.Wrap(err)
	}
	e.warnExpiry()
	e.platform = &platformCalls{
		client: platform.NewHTTPClient(e.mapped(s.Platform.Address), s.Platform.Timeout),
		events: e.events,
		count: func(call, result string, elapsed time.Duration) {
			e.metrics.PlatformCall(call, result, elapsed)
		},
	}
	e.register(ctx)
	e.buildControl()
	if err := e.buildPeers(); err != nil {
		return err
	}
	if err := e.buildTraffic(); err != nil {
		return err
	}
	return e.buildServers()
}

// mapped returns the address to use from here for a declared one.
func (e *entry) mapped(address string) string {
	if seen, ok := e.bundle.Settings.AddressMap[address]; ok {
		return seen
	}
	return address
}

func (e *entry) buildControl() {
	e.presets = presets.NewStore(e.platform, e.bundle.Topology, e.bundle.Preset)
	e.loop = newLoop(control.New(control.Params{
		Self:        e.identity.Instance,
		Incarnation: e.identity.Incarnation,
		Topology:    e.bundle.Topology,
		Timing:      e.bundle.Settings.Control,
		Initial:     e.bundle.Preset,
		UncleanRuns: e.unclean,
		Start:       time.Now(),
	}), e.bundle.Settings.Control.Tick)
	e.loop.report = e.logControl
}

func (e *entry) buildPeers() error {
	e.handler = &peerHandler{entry: e}
	peers := map[string]string{}
	for _, inst := range e.bundle.Topology.Instances() {
		peers[inst.Name] = e.mapped(inst.Peers)
	}
	var err error
	e.node, err = peer.New(peer.Config{
		Self:        e.identity.Instance,
		Incarnation: e.identity.Incarnation,
		Listen:      e.self.Peers,
		Peers:       peers,
		Keys:        e.keys,
		Handler:     e.handler,
		Events:      e.logPeer,
	})
	if err != nil {
		return e.listenFailed("peers", e.self.Peers, err)
	}
	e.loop.send = e.node.SendControl
	e.links = link.NewTransport(e.node, e.identity.Instance, e.bundle.Topology, e.loop.Snapshot)
	return nil
}

func (e *entry) buildTraffic() error {
	s := e.bundle.Settings
	dialer := &net.Dialer{}
	e.upstreams = upstream.NewClient(func(ctx context.Context, network, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, network, e.mapped(address))
	})
	e.owner = owner.New(owner.Options{
		Snapshot:      e.loop.Snapshot,
		Topology:      e.bundle.Topology,
		Upstreams:     e.upstreams,
		ProbeInterval: s.Traffic.ProbeInterval,
		Notify:        e.logUpstream,
	})
	e.loop.load = e.owner.Load
	e.router = traffic.New(traffic.Options{
		Snapshot: e.loop.Snapshot,
		Topology: e.bundle.Topology,
		Self:     e.identity.Instance,
		Pools:    e.owner,
		Peers:    e.links,
		Notify:   e.logShift,
	})
	issuer, err := idempotency.NewIssuer(e.identity, s.Traffic.KeyLifetime, secrets(e.bundle.Keys))
	if err != nil {
		return Error.Wrap(err)
	}
	e.once = idempotency.New(idempotency.Options{
		Self:     e.identity,
		Issuer:   issuer,
		Snapshot: e.loop.Snapshot,
		Peers:    e.links,
		Run:      e.router.Serve,
		Claimer:  &claimer{claims: claims.New(e.platform, e.identity, claims.Config{Lifetime: s.Traffic.KeyLifetime}), events: e.events},
		MaxKeys:  s.Traffic.MaxKeys,
		MaxBytes: s.Traffic.MaxKeyBytes,
	})
	return nil
}

func secrets(keys []settings.KeySecret) []idempotency.Secret {
	list := make([]idempotency.Secret, len(keys))
	for i, k := range keys {
		list[i] = idempotency.Secret{ID: k.ID, Value: k.Secret}
	}
	return list
}

func (e *entry) buildServers() error {
	kinds := map[string]work.Kind{}
	for _, service := range e.bundle.Topology.Services {
		kinds[service.Name] = service.Kind
	}
	var err error
	e.metrics, err = metrics.New(metrics.Options{
		Services: kinds,
		Events:   e.events,
		Snapshot: e.loop.Snapshot,
		Pools:    e.owner.Load,
		Attempts: e.attempts,
		Keys:     e.once.Size,
	})
	if err != nil {
		return Error.Wrap(err)
	}
	table, err := locate.FromTopology(e.bundle.Topology)
	if err != nil {
		return Error.Wrap(err)
	}
	e.ranker = locate.NewRanker(e.bundle.Topology, table)
	callers, err := e.listen("callers", e.self.Callers)
	if err != nil {
		return err
	}
	e.callers = api.NewCallers(callers, api.CallersOptions{
		Router:   e.once,
		Keys:     e.once,
		Snapshot: e.loop.Snapshot,
		Rank:     e.rank,
		Ready:    e.ready,
		Services: kinds,
		MaxAge:   e.bundle.Settings.Control.MaxAge,
		Events:   e.events,
		Observer: e.metrics,
		Metrics:  e.metrics.Handler(),
	})
	operators, err := e.listen("operators", e.self.Operators)
	if err != nil {
		return err
	}
	e.operators = api.NewOperators(operators, api.OperatorsOptions{
		Presets:   e.presets,
		Snapshot:  e.loop.Snapshot,
		Topology:  e.bundle.Topology,
		Operators: e.bundle.Operators,
		Accepted:  e.loop.AcceptConfig,
		Leave:     e.requestLeave,
		Explain:   e.explain,
		TLS:       e.keys.OperatorServer(),
		Events:    e.events,
	})
	return nil
}

// attempts counts the dispatches of this instance. A retry that goes to another
// pool is counted here, though that pool's owner dispatches it.
func (e *entry) attempts() metrics.Attempts {
	stats := e.owner.Stats()
	hedges := stats.Hedges.Load()
	retries := stats.Retries.Load()
	first := stats.Dispatches.Load() - hedges - retries
	return metrics.Attempts{First: first, Retries: retries + e.router.Stats().Retries.Load(), Hedges: hedges}
}

func (e *entry) listen(name, address string) (net.Listener, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, e.listenFailed(name, address, err)
	}
	e.events.Log(event.Listening, "listener", name, "address", address)
	return ln, nil
}

func (e *entry) listenFailed(name, address string, err error) error {
	if errors.Is(err, syscall.EADDRINUSE) {
		e.events.Log(event.PortTaken, "listener", name, "address", address, "error", err)
	}
	return Error.New("listener of %s at %s: %w", name, address, err)
}

// rank orders the entries for a caller; they are the same for all services.
func (e *entry) rank(_ string, client netip.Addr) []control.InstanceView {
	return e.ranker.Rank(e.loop.Snapshot(), client)
}

// requestLeave begins the planned stop; a repeat has no effect.
func (e *entry) requestLeave() {
	select {
	case e.leave <- struct{}{}:
	default:
	}
}

// notServing is the error of an instance that is not ready.
var notServing = errs.Class("not serving")

// ready returns nil while callers should send requests here.
func (e *entry) ready() error {
	s := e.loop.Snapshot()
	if s.State != control.Serving {
		return notServing.New("%s", s.State)
	}
	if time.Since(s.At) > control.MaxSnapshotAge {
		return notServing.New("paused")
	}
	return nil
}
