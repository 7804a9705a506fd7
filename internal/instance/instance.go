// Package instance builds the daemon of an instance on the users' platform out
// of its parts, and runs it from start to planned stop.
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

// Error is the class of the errors of a start.
var Error = errs.Class("instance")

const (
	// logDrain bounds the writing of the last log lines.
	logDrain = 200 * time.Millisecond
	// storeTimeout bounds a call to the store: it answers within milliseconds, and
	// a round trip between regions takes less than 100 ms.
	storeTimeout = 2 * time.Second
	// memoryShare is the part of the memory at which the process is killed that
	// the Go runtime uses before it collects garbage more often.
	memoryShare = 0.7
	// bodyShare is the part of that memory that callers' bodies may take.
	bodyShare = 0.25
	// sweepInterval is how often unused connections are looked through.
	sweepInterval = time.Second
	// secretSize is the length of the secret of a run in bytes.
	secretSize = 32
)

// Options configure the daemon.
type Options struct {
	// SettingsPath is the platform's settings file.
	SettingsPath string
	// LogLevel and LogFormat are those of package event.
	LogLevel  string
	LogFormat string
	// MetricsPort is where metrics are served, at MetricsPath; 0 serves none.
	MetricsPort int
	Version     string
}

// Instance is a running daemon.
type Instance struct {
	options Options
	events  *event.Logger
	current atomic.Pointer[deployment.Deployment]
	began   time.Time

	store    *platform.Store
	core     *steering.Core
	exchange *exchange.Client
	gateway  *gateway.Gateway
	metrics  *metrics.Metrics
	self     fleet.Registration
	table    *fleet.Table
	beats    *fleet.Transport
	news     *fleet.PeerSync
	state    atomic.Uint32
	// registered is the revision of the registration, 0 before there is one.
	registered atomic.Int64
	servers    []*http.Server

	reach    reach
	seen     seen
	watching watching
}

// seen is what of the platform this instance has read completely.
type seen struct {
	mu          sync.Mutex
	upstreams   bool
	evacuations bool
}

// Run serves until the context ends, and then stops as planned.
func Run(ctx context.Context, options Options) error {
	events, err := event.New(os.Stdout, event.Options{Level: options.LogLevel, Format: options.LogFormat})
	if err != nil {
		return Error.Wrap(err)
	}
	defer events.Close(logDrain)
	place, err := platform.LoadSettings(options.SettingsPath)
	if err != nil {
		events.Log(event.SettingsInvalid, "file", options.SettingsPath, "error", err)
		return err
	}
	if place.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(math.Round(memoryShare * float64(place.MemoryBytes))))
	}
	i, err := build(options, place, events)
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

func build(options Options, place *deployment.Deployment, events *event.Logger) (*Instance, error) {
	var seed [8]byte
	secret := make([]byte, secretSize)
	if _, err := rand.Read(secret); err != nil {
		return nil, Error.Wrap(err)
	}
	if _, err := rand.Read(seed[:]); err != nil {
		return nil, Error.Wrap(err)
	}
	run := binary.BigEndian.Uint64(seed[:])
	i := &Instance{options: options, events: events, began: time.Now()}
	i.current.Store(place)
	i.self = fleet.Registration{
		Name: place.Instance, Place: place.Place, Requests: place.Listen.Requests,
		Peers: place.PeerAddress, Incarnation: run, Secret: secret,
	}
	i.setState(fleet.Starting)
	i.store = platform.NewStore(place.StoreAddress, storeTimeout)
	i.core = steering.New(steering.Config{
		Instance: place.Instance, Place: place.Place, Bounds: place.Bounds, Seed: run,
		ZoneReach: func(zone string, reached bool, silences int) {
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
		Ready:      func() bool { return i.currentState() != fleet.Starting },
		BodyMemory: int64(math.Round(bodyShare * float64(place.MemoryBytes))),
	})
	i.table = fleet.NewTable()
	i.watching.init(place.FirstStart)
	i.news = fleet.NewPeerSync(&i.self, i.table)
	i.beats = &fleet.Transport{
		Gossip: &fleet.Gossip{Self: &i.self, Table: i.table, LocalReport: i.report, OnReport: i.heard},
		OnRefused: func(err error) {
			i.watching.strangers.Store(true)
			events.Log(event.BeatRefused, "error", err)
		},
	}
	return i, nil
}

// place is the deployment as the settings describe it now.
func (i *Instance) place() *deployment.Deployment { return i.current.Load() }

func (i *Instance) setState(s fleet.State)    { i.state.Store(uint32(s)) }
func (i *Instance) currentState() fleet.State { return fleet.State(i.state.Load()) }

// listen opens all listeners.
func (i *Instance) listen() error {
	if err := i.beats.Listen(); err != nil {
		return err
	}
	handlers := []struct {
		name, address string
		handler       http.Handler
	}{
		{"requests", i.place().Listen.Requests, i.gateway},
		{"readiness", i.place().Listen.Ready, http.HandlerFunc(i.answerReady)},
		{"directory", i.place().Listen.Directory, http.HandlerFunc(i.answerDirectory)},
		{"peers", i.place().PeerAddress, i.news},
		{"metrics", i.metricsAddress(), i.metricsHandler()},
	}
	for _, h := range handlers {
		if h.address == "" {
			continue
		}
		ln, err := net.Listen("tcp", h.address)
		if err != nil {
			return Error.New("listener for %s: %w", h.name, err)
		}
		i.events.Log(event.Listening, "listener", h.name, "address", h.address)
		server := newServer(h.handler)
		server.ConnState = noteIdle
		if h.handler == i.gateway {
			ln = callerListener{ln, i.callerLimits}
		}
		i.servers = append(i.servers, server)
		go func() { _ = server.Serve(ln) }()
	}
	return nil
}

// serve runs until the context ends, and then stops as planned.
func (i *Instance) serve(ctx context.Context) {
	i.events.Log(event.Started, "instance", i.self.Name, "zone", i.self.Place.Zone,
		"version", i.options.Version, "incarnation", i.self.Incarnation)
	background, end := context.WithCancel(context.Background())
	defer end()
	// among ends when this instance leaves its peers, in a planned stop.
	among, leave := context.WithCancel(background)
	defer leave()
	var loops sync.WaitGroup
	for _, run := range []func(context.Context){
		i.followUpstreams, i.followConfiguration, i.followEvacuations, i.followInstances, i.keepConnections, i.register, i.keepSettings,
	} {
		loops.Go(func() { run(background) })
	}
	for _, run := range []func(context.Context){i.beats.Run, i.keepMembers} {
		loops.Go(func() { run(among) })
	}
	<-ctx.Done()
	i.stop(background, leave)
	end()
	loops.Wait()
}

func (i *Instance) keepConnections(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			i.exchange.Sweep(now)
		}
	}
}
