// Package owner admits requests to the pools that this instance owns, queues them,
// chooses an upstream and dispatches them. Each pool has one mutex, under which
// its slots are counted exactly; nothing blocks while it is held.
package owner

import (
	"context"
	"io"
	"time"

	"sycamoreledge.example/internal/control"
	"sycamoreledge.example/internal/settings"
	"sycamoreledge.example/internal/upstream"
	"sycamoreledge.example/internal/work"
)

// Dispatcher sends attempts and probes to upstreams.
type Dispatcher interface {
	// Do sends one attempt; see upstream.Client.
	Do(ctx context.Context, t upstream.Target, req *work.Request, body io.Reader, deadline time.Time) upstream.Result
	// Probe asks an upstream for its health.
	Probe(ctx context.Context, t upstream.Target) (upstream.Health, error)
}

// Options are what an Owner needs.
type Options struct {
	// Snapshot returns the latest view of the control tables, never nil.
	Snapshot  func() *control.Snapshot
	Topology  *settings.Topology
	Upstreams Dispatcher
	// ProbeInterval is the time between two probes of an upstream.
	ProbeInterval time.Duration
	// Notify receives the changes of upstreams, called from the goroutine of Run;
	// it may be nil.
	Notify func(Event)
}

// sweepInterval is the time between checks of the queues for lost grants and for
// slots that a new snapshot added, and of the upstreams for probes that are due.
const sweepInterval = 25 * time.Millisecond

// Owner runs requests on the pools that this instance owns according to the
// snapshot. It is safe for concurrent use.
type Owner struct {
	snapshot      func() *control.Snapshot
	upstreams     Dispatcher
	probeInterval time.Duration
	pools         map[work.PoolID]*pool
	stats         Stats
	notify        func(Event)
	events        chan Event
	// probeContext ends with Run and bounds the probes.
	probeContext context.Context
	cancelProbes context.CancelFunc
}

// New returns an Owner for the pools of the topology.
func New(opt Options) *Owner {
	o := &Owner{
		snapshot:      opt.Snapshot,
		upstreams:     opt.Upstreams,
		probeInterval: opt.ProbeInterval,
		pools:         make(map[work.PoolID]*pool),
		notify:        opt.Notify,
		events:        make(chan Event, eventBufferSize),
	}
	o.probeContext, o.cancelProbes = context.WithCancel(context.Background())
	for _, service := range opt.Topology.Services {
		for _, declared := range service.Pools {
			id := work.PoolID{Service: service.Name, Zone: declared.Zone}
			o.pools[id] = newPool(o, id, service.Kind, declared.Upstreams)
		}
	}
	return o
}

// Run checks the queues, probes the upstreams and delivers events until the
// context ends.
func (o *Owner) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	defer o.cancelProbes()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-o.events:
			if o.notify != nil {
				o.notify(e)
			}
		case <-ticker.C:
			for _, p := range o.pools {
				p.sweep()
			}
		}
	}
}

// Stats returns the counters of this owner.
func (o *Owner) Stats() *Stats { return &o.stats }

// InFlight returns the number of occupied slots of a pool.
func (o *Owner) InFlight(id work.PoolID) int {
	p := o.pools[id]
	if p == nil {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.busy()
}

// Load returns the load of the pools that this instance owns, and of those that
// still have requests in flight here.
func (o *Owner) Load() []control.PoolStatus {
	var statuses []control.PoolStatus
	for _, p := range o.pools {
		status, owned := o.loadOf(p)
		if owned || status.Busy > 0 {
			statuses = append(statuses, status)
		}
	}
	return statuses
}

func (o *Owner) loadOf(p *pool) (control.PoolStatus, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	perm := o.permissions(p)
	status := control.PoolStatus{Pool: p.id, Slots: p.slots(perm), Busy: p.busy(), Queued: p.waiting.Len()}
	return status, perm.owned
}

// permissions is what a pool may do at one point in time.
type permissions struct {
	now           time.Time
	owned         bool
	snapshotFresh bool
	drained       bool
	grant         control.Grant
	leaving       map[string]bool
	headroom      float64
	policy        *settings.ServicePolicy
}

// permissions derives from the latest snapshot what a pool may do now. The caller
// must hold the pool's mutex: then whoever locks the pool after a new snapshot was
// published sees all slots that were occupied under an older one.
func (o *Owner) permissions(p *pool) permissions {
	snap := o.snapshot()
	now := time.Now()
	grant, owned := snap.Owned[p.id]
	perm := permissions{
		now:           now,
		owned:         owned,
		snapshotFresh: now.Sub(snap.At) <= control.MaxSnapshotAge,
		drained:       snap.DrainedZones[p.id.Zone],
		grant:         grant,
		leaving:       snap.LeavingUpstreams,
		headroom:      snap.Preset.Headroom,
		policy:        p.policyOf(snap.Preset),
	}
	if perm.policy == nil {
		perm.owned = false
	}
	return perm
}
