package traffic_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"sycamoreledge.example/internal/control"
	"sycamoreledge.example/internal/peer"
	"sycamoreledge.example/internal/replay"
	"sycamoreledge.example/internal/settings"
	"sycamoreledge.example/internal/traffic"
	"sycamoreledge.example/internal/traffic/owner"
	"sycamoreledge.example/internal/upstream"
	"sycamoreledge.example/internal/work"
)

const (
	loadInterval  = 500 * time.Millisecond
	zoneLatency   = time.Millisecond
	regionLatency = 35 * time.Millisecond
)

// backend is an upstream without a network.
type backend struct {
	slowdown   float64 // factor applied to the service time
	running    int
	maxRunning int
	runs       int
}

// fleet is all instances of a deployment with their owners and routers, connected
// by a transport without a network. Its zones are z1, z2 and so on, two in each of
// the regions r1, r2 and so on, with one instance each, named i1, i2 and so on.
type fleet struct {
	topology      *settings.Topology
	preset        *settings.Preset
	kind          work.Kind
	serviceTime   func(*rand.Rand) time.Duration
	serviceTimeOf func(id string, attempt int) time.Duration // replaces serviceTime if set
	routers       map[string]*traffic.Router
	owners        map[string]*owner.Owner

	mu           sync.Mutex
	random       *rand.Rand
	backends     map[string]*backend
	runCounts    map[string]int // number of runs by request ID
	disconnected map[string]bool
	loads        map[work.PoolID]control.PoolOwner
	drained      map[string]bool
	unowned      map[string]bool // zones whose pool has no owner
	leaving      map[string]bool // upstreams
	frozen       map[string]bool // instances that never answer
	lastID       int
}

func newFleet(kind work.Kind, upstreams, slots int, seed uint64) *fleet {
	return newFleetWithSizes(kind, []int{upstreams, upstreams, upstreams, upstreams}, slots, seed)
}

// newFleetWithSizes returns a fleet with one zone per element of upstreams, which
// gives the zone's number of upstreams.
func newFleetWithSizes(kind work.Kind, upstreams []int, slots int, seed uint64) *fleet {
	f := &fleet{
		kind:         kind,
		serviceTime:  func(*rand.Rand) time.Duration { return 20 * time.Millisecond },
		routers:      map[string]*traffic.Router{},
		owners:       map[string]*owner.Owner{},
		random:       rand.New(rand.NewPCG(seed, 9)),
		backends:     map[string]*backend{},
		runCounts:    map[string]int{},
		disconnected: map[string]bool{},
		loads:        map[work.PoolID]control.PoolOwner{},
		drained:      map[string]bool{},
	}
	f.topology = &settings.Topology{
		Services: []settings.Service{{Name: "s", Kind: kind}},
		Links: []settings.Link{
			{Between: []string{"r1", "r2"}, Rate: 280, Latency: 35},
			{Between: []string{"r1", "r3"}, Rate: 280, Latency: 35},
			{Between: []string{"r2", "r3"}, Rate: 280, Latency: 35},
		},
	}
	for z := 1; z <= len(upstreams); z++ {
		zone := settings.Zone{Name: fmt.Sprintf("z%d", z), Instances: []settings.Instance{{Name: fmt.Sprintf("i%d", z)}}}
		if z%2 == 1 {
			f.topology.Regions = append(f.topology.Regions, settings.Region{Name: fmt.Sprintf("r%d", (z+1)/2)})
		}
		region := &f.topology.Regions[(z-1)/2]
		region.Zones = append(region.Zones, zone)
		pool := settings.Pool{Zone: zone.Name}
		for u := range upstreams[z-1] {
			name := fmt.Sprintf("%s-u%d", zone.Name, u)
			pool.Upstreams = append(pool.Upstreams, settings.Upstream{Name: name, Slots: slots})
			f.backends[name] = &backend{slowdown: 1}
		}
		f.topology.Services[0].Pools = append(f.topology.Services[0].Pools, pool)
	}
	f.preset = &settings.Preset{
		Headroom: 0.1,
		Services: []settings.ServicePolicy{{
			Name: "s", Deadline: 2 * time.Second, DispatchTimeout: 2 * time.Second, Queue: 500,
			RetryBudget: 0.05, ShiftRate: 100,
		}},
	}
	return f
}

// start builds the instances and runs them until the context ends.
func (f *fleet) start(ctx context.Context) {
	for _, instance := range f.topology.Instances() {
		name := instance.Name
		snapshot := func() *control.Snapshot { return f.snapshot(name) }
		f.owners[name] = owner.New(owner.Options{
			Snapshot: snapshot, Topology: f.topology, Upstreams: f, ProbeInterval: 500 * time.Millisecond,
		})
		f.routers[name] = traffic.New(traffic.Options{
			Snapshot: snapshot, Topology: f.topology, Self: name, Pools: f.owners[name],
			Peers: &fakeTransport{fleet: f, self: name},
		})
		go f.owners[name].Run(ctx)
	}
	f.publishLoads()
	go func() {
		ticker := time.NewTicker(loadInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				f.publishLoads()
			}
		}
	}()
}

// publishLoads publishes the load of all pools.
func (f *fleet) publishLoads() {
	for name, o := range f.owners {
		for _, status := range o.Load() {
			f.mu.Lock()
			f.loads[status.Pool] = control.PoolOwner{
				Instance: name, Slots: status.Slots, Busy: status.Busy, Queued: status.Queued, LoadAt: time.Now(),
			}
			f.mu.Unlock()
		}
	}
}

func (f *fleet) snapshot(self string) *control.Snapshot {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	snap := &control.Snapshot{
		At: now, Self: self, Preset: f.preset, DrainedZones: f.drained, LeavingUpstreams: f.leaving,
		Pools: map[work.PoolID]*control.PoolView{},
		Owned: map[work.PoolID]control.Grant{},
	}
	for i, instance := range f.topology.Instances() {
		id := work.PoolID{Service: "s", Zone: fmt.Sprintf("z%d", i+1)}
		snap.Pools[id] = &control.PoolView{ID: id}
		if f.unowned[id.Zone] || f.disconnected[instance.Name] && instance.Name != self {
			continue
		}
		load := f.loads[id]
		load.Instance = instance.Name
		snap.Pools[id].Owners = []control.PoolOwner{load}
		if instance.Name == self {
			snap.Owned[id] = control.Grant{BaseUntil: now.Add(time.Second), FullUntil: now.Add(time.Second)}
		}
	}
	return snap
}

// Do implements owner.Dispatcher.
func (f *fleet) Do(ctx context.Context, t upstream.Target, req *work.Request, body io.Reader, _ time.Time) upstream.Result {
	if _, err := io.Copy(io.Discard, body); err != nil {
		return upstream.Result{Response: work.UnknownOutcome(work.ReasonUpstreamBroken), MaybeRunning: true}
	}
	f.mu.Lock()
	b := f.backends[t.Name]
	b.running++
	b.runs++
	b.maxRunning = max(b.maxRunning, b.running)
	f.runCounts[req.ID]++
	duration := f.serviceTime(f.random)
	if f.serviceTimeOf != nil {
		duration = f.serviceTimeOf(req.ID, f.runCounts[req.ID]-1)
	}
	duration = time.Duration(float64(duration) * b.slowdown)
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		b.running--
	}()
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return upstream.Result{Response: &work.Response{
			Outcome: work.Run, Status: http.StatusOK, Header: http.Header{}, Upstream: t.Name,
			Body: io.NopCloser(strings.NewReader(req.ID)), Length: int64(len(req.ID)),
		}}
	case <-ctx.Done():
		reason := work.ReasonUpstreamTimeout
		if errors.Is(ctx.Err(), context.Canceled) {
			reason = work.ReasonCanceled
		}
		return upstream.Result{Response: work.UnknownOutcome(reason), MaybeRunning: true}
	}
}

// Probe implements owner.Dispatcher.
func (f *fleet) Probe(ctx context.Context, _ upstream.Target) (upstream.Health, error) {
	sleep(ctx, zoneLatency)
	return upstream.Live, nil
}

// fakeTransport is the transport of one instance, without a network.
type fakeTransport struct {
	peer.Transport
	fleet *fleet
	self  string
}

func (t *fakeTransport) Do(ctx context.Context, to string, _ peer.Role, req *work.Request) *work.Response {
	t.fleet.mu.Lock()
	disconnected := t.fleet.disconnected[to] || t.fleet.disconnected[t.self]
	frozen := t.fleet.frozen[to]
	t.fleet.mu.Unlock()
	if disconnected {
		return work.Refuse(work.ReasonPeerUnreachable, 0)
	}
	if frozen {
		sleep(ctx, time.Until(req.Deadline))
		return work.UnknownOutcome(work.ReasonPeerBroken)
	}
	latency := zoneLatency
	if (to[1]-'1')/2 != (t.self[1]-'1')/2 {
		latency = regionLatency
	}
	sent := *req
	sent.Sender = t.self
	if streamed := req.Length < 0 || req.Length > replay.Limit; req.Body != nil && !streamed {
		// The real transport buffers a small body and sends it without waiting for
		// the answer; a large one is streamed as the peer reads it.
		data, err := io.ReadAll(req.Body)
		if err != nil {
			return work.UnknownOutcome(work.ReasonPeerBroken)
		}
		sent.Body = bytes.NewReader(data)
	}
	sleep(ctx, latency)
	resp := t.fleet.routers[to].ServePool(ctx, &sent)
	sleep(ctx, latency)
	return resp
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// request returns a new request with a unique ID.
func (f *fleet) request(timeout time.Duration) *work.Request {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastID++
	return &work.Request{
		ID: fmt.Sprintf("%032x", f.lastID), Service: "s", Method: http.MethodPost, Path: "/",
		Deadline: time.Now().Add(timeout),
	}
}

func (f *fleet) update(fn func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fn()
}

// runsIn returns the number of attempts that ran in the zones.
func (f *fleet) runsIn(zones ...string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for name, b := range f.backends {
		for _, zone := range zones {
			if strings.HasPrefix(name, zone+"-") {
				n += b.runs
			}
		}
	}
	return n
}

// runsOf returns how many times a request ran.
func (f *fleet) runsOf(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runCounts[id]
}
