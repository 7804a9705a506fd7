// Package instance assembles the daemon of an instance on the users' platform from its parts,
// and runs it from start to planned stop.
package instance

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"math"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"sycamoreledge.example/internal/deployment"
	"sycamoreledge.example/internal/event"
	"sycamoreledge.example/internal/exchange"
	"sycamoreledge.example/internal/fleet"
	"sycamoreledge.example/internal/gateway"
	"sycamoreledge.example/internal/metrics"
	store "sycamoreledge.example/internal/platform"
	"sycamoreledge.example/internal/steering"
	"sycamoreledge.example/platform"
)

// Error is the class of errors at start-up.
var Error = errs.Class("instance")

const (
	// logFlushTimeout bounds the time for writing the last log lines at exit.
	logFlushTimeout = 200 * time.Millisecond
	// storeTimeout bounds a call to the store: it answers within milliseconds, and a round
	// trip between regions takes less than 100 ms.
	storeTimeout = 2 * time.Second
	// gcMemoryFraction is the soft memory limit of the Go runtime, as a fraction of the memory
	// at which the process is killed. Close to it garbage is collected more often.
	gcMemoryFraction = 0.7
	// bodyMemoryFraction is the fraction of that memory that bodies of callers may take.
	bodyMemoryFraction = 0.25
	// sweepInterval is the time between two sweeps of unused connections.
	sweepInterval = time.Second
	// secretSize is the length of the secret of a run in bytes.
	secretSize = 32
)

// Options configures the daemon.
type Options struct {
	// SettingsPath is the path of the platform's settings file.
	SettingsPath string
	// LogLevel and LogFormat are the options of package event.
	LogLevel  string
	LogFormat string
	// MetricsPort is the port on which metrics are served at MetricsPath; 0 disables them.
	MetricsPort int
	Version     string
}

// Instance is a running daemon.
type Instance struct {
	options    Options
	events     *event.Logger
	deployment atomic.Pointer[deployment.Deployment]
	startedAt  time.Time

	store     *platform.Store
	core      *steering.Core
	exchange  *exchange.Client
	gateway   *gateway.Gateway
	metrics   *metrics.Metrics
	self      fleet.Registration
	table     *fleet.Table
	transport *fleet.Transport
	peerSync  *fleet.PeerSync
	state     atomic.Uint32
	// registrationRevision is the revision of the own registration, 0 while unregistered.
	registrationRevision atomic.Int64
	servers              []*http.Server

	platformStatus platformStatus
	initialReads   initialReads
	coordinator    watchCoordinator
}

// initialReads records which topics this instance has read completely since its start.
type initialReads struct {
	mu          sync.Mutex
	upstreams   bool
	evacuations bool
}

// Run serves until the context ends, and then performs a planned stop.
func Run(ctx context.Context, options Options) error {
	events, err := event.New(os.Stdout, event.Options{Level: options.LogLevel, Format: options.LogFormat})
	if err != nil {
		return Error.Wrap(err)
	}
	defer events.Close(logFlushTimeout)
	settings, err := platform.LoadSettings(options.SettingsPath)
	if err != nil {
		events.Log(event.SettingsInvalid, "file", options.SettingsPath, "error", err)
		return err
	}
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(math.Round(gcMemoryFraction * float64(settings.MemoryBytes))))
	}
	i, err := build(options, settings, events)
	if err != nil {
		events.Log(event.StartFailed, "error", err)
		return err
	}
	if err := i.listen(); err != nil {
		events.Log(event.StartFailed, "error", err)
		return err
	}
	i.serve(ctx)
	return nil
}

func build(options Options, settings *deployment.Deployment, events *event.Logger) (*Instance, error) {
	var seed [8]byte
	secret := make([]byte, secretSize)
	if _, err := rand.Read(secret); err != nil {
		return nil, Error.Wrap(err)
	}
	if _, err := rand.Read(seed[:]); err != nil {
		return nil, Error.Wrap(err)
	}
	incarnation := binary.BigEndian.Uint64(seed[:])
	i := &Instance{options: options, events: events, startedAt: time.Now()}
	i.deployment.Store(settings)
	i.self = fleet.Registration{
		Name: settings.Instance, Place: settings.Place, Requests: settings.Listen.Requests,
		Peers: settings.PeerAddress, Incarnation: incarnation, Secret: secret,
	}
	i.setState(fleet.Starting)
	i.store = platform.NewStore(settings.StoreAddress, storeTimeout)
	i.core = steering.New(steering.Config{
		Instance: settings.Instance, Place: settings.Place, Bounds: settings.Bounds, Seed: incarnation,
		OnZoneReachability: func(zone string, reached bool, silences int) {
			events.Log(event.ZoneReach, "zone", zone, "reached", reached, "silences", silences)
		},
	})
	i.exchange = exchange.New(platform.Headers{})
	var err error
	i.metrics, err = metrics.New(metrics.Options{Events: events, IsService: i.isService})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	i.store.Observe = func(call string, err error, took time.Duration) {
		i.metrics.PlatformCall(call, store.ResultOf(err), took)
	}
	i.gateway = gateway.New(gateway.Options{
		Core: i.core, Sender: i.exchange, Dialect: platform.Headers{}, Events: events, Metrics: i.metrics,
		Ready:            func() bool { return i.currentState() != fleet.Starting },
		MaxBufferedBytes: int64(math.Round(bodyMemoryFraction * float64(settings.MemoryBytes))),
	})
	i.table = fleet.NewTable()
	i.coordinator.init(settings.FirstStart)
	i.peerSync = fleet.NewPeerSync(&i.self, i.table)
	i.transport = &fleet.Transport{
		Gossip: &fleet.Gossip{Self: &i.self, Table: i.table, LocalReport: i.localReport, OnReport: i.receiveReport},
		OnRefused: func(err error) {
			i.coordinator.unknownSenders.Store(true)
			events.Log(event.BeatRefused, "error", err)
		},
	}
	return i, nil
}

// currentDeployment returns the deployment described by the settings in force.
func (i *Instance) currentDeployment() *deployment.Deployment { return i.deployment.Load() }

func (i *Instance) setState(s fleet.State)    { i.state.Store(uint32(s)) }
func (i *Instance) currentState() fleet.State { return fleet.State(i.state.Load()) }

// listen opens all listeners and starts serving on them.
func (i *Instance) listen() error {
	if err := i.transport.Listen(); err != nil {
		return err
	}
	handlers := []struct {
		name, address string
		handler       http.Handler
	}{
		{"requests", i.currentDeployment().Listen.Requests, i.gateway},
		{"readiness", i.currentDeployment().Listen.Ready, http.HandlerFunc(i.serveReady)},
		{"directory", i.currentDeployment().Listen.Directory, http.HandlerFunc(i.serveDirectory)},
		{"peers", i.currentDeployment().PeerAddress, i.peerSync},
		{"metrics", i.metricsAddress(), i.metricsHandler()},
	}
	for _, h := range handlers {
		if h.address == "" {
			continue
		}
		ln, err := net.Listen("tcp", h.address)
		if err != nil {
			return Error.New("cannot open the listener for %s: %w", h.name, err)
		}
		i.events.Log(event.Listening, "listener", h.name, "address", h.address)
		server := newServer(h.handler)
		server.ConnState = trackConnState
		if h.handler == i.gateway {
			ln = callerListener{ln, i.callerLimits}
		}
		i.servers = append(i.servers, server)
		go func() { _ = server.Serve(ln) }()
	}
	return nil
}

// serve runs the instance until the context ends, and then performs a planned stop.
func (i *Instance) serve(ctx context.Context) {
	i.events.Log(event.Started, "instance", i.self.Name, "zone", i.self.Place.Zone,
		"version", i.options.Version, "incarnation", i.self.Incarnation)
	loopCtx, endLoops := context.WithCancel(context.Background())
	defer endLoops()
	// peersCtx ends when this instance leaves its peers during a planned stop.
	peersCtx, leavePeers := context.WithCancel(loopCtx)
	defer leavePeers()
	var loops sync.WaitGroup
	for _, run := range []func(context.Context){
		i.followUpstreams, i.followConfiguration, i.followEvacuations, i.followInstances, i.sweepConnections, i.register, i.watchSettings,
	} {
		loops.Go(func() { run(loopCtx) })
	}
	for _, run := range []func(context.Context){i.transport.Run, i.runMembership} {
		loops.Go(func() { run(peersCtx) })
	}
	<-ctx.Done()
	i.stop(loopCtx, leavePeers)
	endLoops()
	loops.Wait()
}

func (i *Instance) sweepConnections(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			i.exchange.CloseExpired(now)
		}
	}
}
