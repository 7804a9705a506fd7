// Package entry assembles the components of an entry instance and runs them from
// startup to planned stop.
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

// Error is the class of startup errors.
var Error = errs.Class("entry")

// logFlushTimeout bounds the flush of buffered log lines at exit.
const logFlushTimeout = time.Second

// Run starts the instance described by the settings file, serves until ctx is
// cancelled or an operator requests a stop, and then shuts down gracefully.
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
	defer events.Close(logFlushTimeout)
	events.Log(event.SettingsLoaded, "file", settingsPath, "firm", bundle.Topology.Firm)
	e := &entryInstance{bundle: bundle, events: events, startedAt: time.Now()}
	if err := e.buildAll(ctx); err != nil {
		events.Log(event.StartFailed, "error", err)
		e.close()
		return err
	}
	e.serve(ctx)
	return nil
}

// logLoadFailure logs settings that cannot be loaded. It uses a logger of its own,
// since the configured one does not exist yet.
func logLoadFailure(path string, err error) {
	events, newErr := event.New(os.Stderr, event.Options{Level: "info", Format: "text"})
	if newErr != nil {
		return
	}
	defer events.Close(logFlushTimeout)
	file := path
	var fileErr *settings.FileError
	if errors.As(err, &fileErr) {
		file = fileErr.File
	}
	events.Log(loadFailureEvent(path, file, err), "file", file, "error", err)
}

// loadFailureEvent returns the event for the file that failed to load. The secret
// and operators files are recognised by their paths in the settings, if those can
// be loaded.
func loadFailureEvent(path, file string, err error) event.ID {
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

// entryInstance holds the components of a running instance.
type entryInstance struct {
	bundle      *settings.Bundle
	events      *event.Logger
	startedAt   time.Time
	self        settings.Instance
	identity    control.Identity
	uncleanRuns []control.Identity

	platform       platform.Client
	presets        *presets.Store
	credentials    *pki.Source
	loop           *controlLoop
	peerNode       *peer.Node
	handler        *peerHandler
	upstreams      *upstream.Client
	owner          *owner.Owner
	peerTransport  *link.Transport
	router         *traffic.Router
	idempotency    *idempotency.Service
	metrics        *metrics.Metrics
	callers        *api.Callers
	operators      *api.Operators
	ranker         *locate.Ranker
	leaveRequested chan struct{}
	// loggedDrains are the drains at the last call of logDrainChanges.
	loggedDrains []settings.Drain
}

// buildAll creates all components in dependency order and opens the HTTP
// listeners last.
func (e *entryInstance) buildAll(ctx context.Context) error {
	s := e.bundle.Settings
	e.self, _ = e.bundle.Topology.Instance(s.Instance)
	e.leaveRequested = make(chan struct{}, 1)
	var err error
	e.credentials, err = pki.NewSource(pki.Files{
		Authority:   s.TLS.Authority,
		Certificate: s.TLS.Certificate,
		Key:         s.TLS.Key,
	}, pki.Options{OnReload: e.logReloadError})
	if err != nil {
		e.events.Log(event.CertificateInvalid, "file", s.TLS.Certificate, "error", err)
		return Error.Wrap(err)
	}
	e.warnCertificateExpiry()
	e.platform = &observedClient{
		client: platform.NewHTTPClient(e.mappedAddress(s.Platform.Address), s.Platform.Timeout),
		events: e.events,
		countCall: func(call, result string, elapsed time.Duration) {
			e.metrics.PlatformCall(call, result, elapsed)
		},
	}
	e.registerRun(ctx)
	e.buildControl()
	if err := e.buildPeers(); err != nil {
		return err
	}
	if err := e.buildTraffic(); err != nil {
		return err
	}
	return e.buildServers()
}

// mappedAddress returns the address under which this instance reaches a declared
// address, according to the address map of its settings.
func (e *entryInstance) mappedAddress(address string) string {
	if mapped, ok := e.bundle.Settings.AddressMap[address]; ok {
		return mapped
	}
	return address
}

func (e *entryInstance) buildControl() {
	e.presets = presets.NewStore(e.platform, e.bundle.Topology, e.bundle.Preset)
	e.loop = newControlLoop(control.New(control.Params{
		Self:        e.identity.Instance,
		Incarnation: e.identity.Incarnation,
		Topology:    e.bundle.Topology,
		Timing:      e.bundle.Settings.Control,
		Initial:     e.bundle.Preset,
		UncleanRuns: e.uncleanRuns,
		Start:       time.Now(),
	}), e.bundle.Settings.Control.Tick)
	e.loop.report = e.logControlEvent
}

func (e *entryInstance) buildPeers() error {
	e.handler = &peerHandler{instance: e}
	peers := map[string]string{}
	for _, inst := range e.bundle.Topology.Instances() {
		peers[inst.Name] = e.mappedAddress(inst.Peers)
	}
	var err error
	e.peerNode, err = peer.New(peer.Config{
		Self:        e.identity.Instance,
		Incarnation: e.identity.Incarnation,
		Listen:      e.self.Peers,
		Peers:       peers,
		Keys:        e.credentials,
		Handler:     e.handler,
		Events:      e.logPeerEvent,
	})
	if err != nil {
		return e.listenError("peers", e.self.Peers, err)
	}
	e.loop.send = e.peerNode.SendControl
	e.peerTransport = link.NewTransport(e.peerNode, e.identity.Instance, e.bundle.Topology, e.loop.Snapshot)
	return nil
}

func (e *entryInstance) buildTraffic() error {
	s := e.bundle.Settings
	dialer := &net.Dialer{}
	e.upstreams = upstream.NewClient(func(ctx context.Context, network, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, network, e.mappedAddress(address))
	})
	e.owner = owner.New(owner.Options{
		Snapshot:      e.loop.Snapshot,
		Topology:      e.bundle.Topology,
		Upstreams:     e.upstreams,
		ProbeInterval: s.Traffic.ProbeInterval,
		Notify:        e.logUpstreamEvent,
	})
	e.loop.load = e.owner.Load
	e.router = traffic.New(traffic.Options{
		Snapshot: e.loop.Snapshot,
		Topology: e.bundle.Topology,
		Self:     e.identity.Instance,
		Pools:    e.owner,
		Peers:    e.peerTransport,
		Notify:   e.logShiftEvent,
	})
	issuer, err := idempotency.NewIssuer(e.identity, s.Traffic.KeyLifetime, issuerSecrets(e.bundle.Keys))
	if err != nil {
		return Error.Wrap(err)
	}
	e.idempotency = idempotency.New(idempotency.Options{
		Self:     e.identity,
		Issuer:   issuer,
		Snapshot: e.loop.Snapshot,
		Peers:    e.peerTransport,
		Run:      e.router.Serve,
		Claimer:  &loggingClaimer{claims: claims.New(e.platform, e.identity, claims.Config{Lifetime: s.Traffic.KeyLifetime}), events: e.events},
		MaxKeys:  s.Traffic.MaxKeys,
		MaxBytes: s.Traffic.MaxKeyBytes,
	})
	return nil
}

func issuerSecrets(keys []settings.KeySecret) []idempotency.Secret {
	list := make([]idempotency.Secret, len(keys))
	for i, k := range keys {
		list[i] = idempotency.Secret{ID: k.ID, Value: k.Secret}
	}
	return list
}

func (e *entryInstance) buildServers() error {
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
		Attempts: e.attemptCounts,
		Keys:     e.idempotency.Size,
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
		Router:   e.idempotency,
		Keys:     e.idempotency,
		Snapshot: e.loop.Snapshot,
		Rank:     e.rankEntries,
		Ready:    e.checkReady,
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
		OnChange:  e.loop.AcceptConfig,
		Leave:     e.requestLeave,
		Explain:   e.explainCounters,
		TLS:       e.credentials.OperatorServer(),
		Events:    e.events,
	})
	return nil
}

// attemptCounts returns the attempts of this instance by type. A retry in another
// pool is counted here, although the owner of that pool dispatches it.
func (e *entryInstance) attemptCounts() metrics.Attempts {
	stats := e.owner.Stats()
	hedges := stats.Hedges.Load()
	retries := stats.Retries.Load()
	first := stats.Dispatches.Load() - hedges - retries
	return metrics.Attempts{First: first, Retries: retries + e.router.Stats().Retries.Load(), Hedges: hedges}
}

func (e *entryInstance) listen(name, address string) (net.Listener, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, e.listenError(name, address, err)
	}
	e.events.Log(event.Listening, "listener", name, "address", address)
	return ln, nil
}

func (e *entryInstance) listenError(name, address string, err error) error {
	if errors.Is(err, syscall.EADDRINUSE) {
		e.events.Log(event.PortTaken, "listener", name, "address", address, "error", err)
	}
	return Error.New("open listener for %s on %s: %w", name, address, err)
}

// rankEntries returns the entry instances in order of preference for a client. The
// order does not depend on the service.
func (e *entryInstance) rankEntries(_ string, client netip.Addr) []control.InstanceView {
	return e.ranker.Rank(e.loop.Snapshot(), client)
}

// requestLeave starts the planned stop. Further calls have no effect.
func (e *entryInstance) requestLeave() {
	select {
	case e.leaveRequested <- struct{}{}:
	default:
	}
}

// notServing is the class of the errors returned by checkReady.
var notServing = errs.Class("not serving")

// checkReady returns nil if callers may send requests to this instance, and
// otherwise an error that gives the instance state, or "paused" if the control
// snapshot is too old.
func (e *entryInstance) checkReady() error {
	s := e.loop.Snapshot()
	if s.State != control.Serving {
		return notServing.New("%s", s.State)
	}
	if time.Since(s.At) > control.MaxSnapshotAge {
		return notServing.New("paused")
	}
	return nil
}
