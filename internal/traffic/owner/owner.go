// Package owner admits requests to the pools that this instance owns, queues
// them, chooses upstreams and dispatches. Each pool has one mutex under which
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
	// Notify is told of changes of upstreams by the goroutine of Run; nil tells
	// nobody.
	Notify func(Event)
}

// sweepInterval is how often queues are checked for lost grants, for slots that
// a new snapshot added, and for probes that are due.
const sweepInterval = 25 * time.Millisecond

// Owner runs requests on the pools that the snapshot permits. It is safe for
// concurrent use.
type Owner struct {
	snapshot      func() *control.Snapshot
	upstreams     Dispatcher
	probeInterval time.Duration
	pools         map[work.PoolID]*pool
	stats         Stats
	notify        func(Event)
	events        chan Event
	// life ends with Run and bounds the probes.
	life context.Context
	end  context.CancelFunc
}

// New returns an Owner for the pools of the topology.
func New(opt Options) *Owner {
	o := &Owner{
		snapshot:      opt.Snapshot,
		upstreams:     opt.Upstreams,
		probeInterval: opt.ProbeInterval,
		pools:         make(map[work.PoolID]*pool),
		notify:        opt.Notify,
		events:        make(chan Event, eventBuffer),
	}
	o.life, o.end = context.WithCancel(context.Background())
	for _, service := range opt.Topology.Services {
		for _, declared := range service.Pools {
			id := work.PoolID{Service: service.Name, Zone: declared.Zone}
			o.pools[id] = newPool(o, id, service.Kind, declared.Upstreams)
		}
	}
	return o
}

// Run sweeps the queues and probes the upstreams until the context ends.
func (o *Owner) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	defer o.end()
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

// InFlight returns the number of requests of a pool that occupy slots.
func (o *Owner) InFlight(id work.PoolID) int {
	p := o.pools[id]
	if p == nil {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.busy()
}

// Load returns the load of the pools that this instance owns, or that still
// have requests in flight here.
func (o *Owner) Load() []control.PoolStatus {
	var rows []control.PoolStatus
	for _, p := range o.pools {
		row, owned := o.load(p)
		if owned || row.Busy > 0 {
			rows = append(rows, row)
		}
	}
	return rows
}

func (o *Owner) load(p *pool) (control.PoolStatus, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	may := o.permit(p)
	row := control.PoolStatus{Pool: p.id, Slots: p.slots(may), Busy: p.busy(), Queued: p.waiting.Len()}
	return row, may.owned
}

// permit is what a pool may do at one instant.
type permit struct {
	now      time.Time
	owned    bool
	fresh    bool
	drained  bool
	grant    control.Grant
	leaving  map[string]bool
	headroom float64
	policy   *settings.ServicePolicy
}

// permit reads what a pool may do now from the latest snapshot. The pool's mutex
// is held, so that whoever locks the pool after a new snapshot was published
// sees all slots that were taken under an older one.
func (o *Owner) permit(p *pool) permit {
	snap := o.snapshot()
	now := time.Now()
	grant, owned := snap.Owned[p.id]
	may := permit{
		now:      now,
		owned:    owned,
		fresh:    now.Sub(snap.At) <= control.MaxSnapshotAge,
		drained:  snap.DrainedZones[p.id.Zone],
		grant:    grant,
		leaving:  snap.LeavingUpstreams,
		headroom: snap.Preset.Headroom,
		policy:   p.policyOf(snap.Preset),
	}
	if may.policy == nil {
		may.owned = false
	}
	return may
}
