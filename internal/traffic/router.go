// Package traffic steers requests: on the instance that took a request it
// chooses the pool to ask, in the own zone first, then in the region, then
// beyond it within the caps of the preset.
package traffic

import (
	"context"
	"time"

	"sycamoreledge.example/internal/control"
	"sycamoreledge.example/internal/peer"
	"sycamoreledge.example/internal/replay"
	"sycamoreledge.example/internal/settings"
	"sycamoreledge.example/internal/work"
)

// Pools runs requests on the pools that this instance owns.
type Pools interface {
	Serve(ctx context.Context, req *work.Request) *work.Response
}

// Options are what a Router needs.
type Options struct {
	// Snapshot returns the latest view of the control tables, never nil.
	Snapshot func() *control.Snapshot
	Topology *settings.Topology
	// Self is the name of this instance.
	Self  string
	Pools Pools
	// Peers reaches the owners of other pools; it paces what goes to other
	// regions.
	Peers peer.Transport
	// Notify is told of shifts; nil tells nobody. It must not block.
	Notify func(Event)
}

// Router steers requests. It is safe for concurrent use.
type Router struct {
	snapshot func() *control.Snapshot
	topology *settings.Topology
	self     string
	zone     string
	pools    Pools
	peers    peer.Transport
	zones    map[string]string // of the declared instances
	services map[string]*service
	shifts   *shifts
	inbound  *inbound
	liveness *liveness
	stats    Stats
}

// New returns a Router for the instance.
func New(opt Options) *Router {
	zone := opt.Topology.ZoneOf(opt.Self)
	r := &Router{
		snapshot: opt.Snapshot,
		topology: opt.Topology,
		self:     opt.Self,
		zone:     zone,
		pools:    opt.Pools,
		peers:    opt.Peers,
		zones:    make(map[string]string),
		services: make(map[string]*service),
		liveness: newLiveness(),
		shifts:   newShifts(opt.Topology, opt.Topology.RegionOf(zone), opt.Notify),
		inbound:  newInbound(opt.Topology, opt.Topology.RegionOf(zone)),
	}
	for _, z := range opt.Topology.Zones() {
		for i := range z.Instances {
			r.zones[z.Instances[i].Name] = z.Name
		}
	}
	for i := range opt.Topology.Services {
		declared := &opt.Topology.Services[i]
		r.services[declared.Name] = newService(declared, opt.Topology, zone)
	}
	return r
}

// Stats returns the counters of this router.
func (r *Router) Stats() *Stats { return &r.stats }

// Serve runs a request of a caller, or of a key's home, on the best pool and
// returns its outcome. The body of the response must be closed.
func (r *Router) Serve(ctx context.Context, req *work.Request) *work.Response {
	svc := r.services[req.Service]
	if svc == nil {
		return work.Refuse(work.ReasonUnknownService, 0)
	}
	if req.Method == pingMethod {
		return work.Refuse(work.ReasonBadRequest, 0)
	}
	snap := r.snapshot()
	policy := snap.Preset.Service(req.Service)
	if policy == nil {
		return work.Refuse(work.ReasonUnknownService, 0)
	}
	now := time.Now()
	own := *req
	own.Kind = svc.kind
	own.Origin = r.zone
	own.Sender = ""
	if latest := now.Add(policy.Deadline); own.Deadline.IsZero() || latest.Before(own.Deadline) {
		own.Deadline = latest
	}
	svc.earn(policy.RetryBudget)
	t := &trip{
		router: r, service: svc, snap: snap, policy: policy,
		req: &own, body: replay.New(req.Body),
	}
	defer t.body.Detach()
	resp := t.run(ctx)
	r.stats.count(resp)
	resp.Explain = t.explain.String()
	return resp
}

// ServePool runs a request of a peer on a pool that this instance owns. The
// sender is the authenticated peer.
func (r *Router) ServePool(ctx context.Context, req *work.Request) *work.Response {
	zone := r.zones[req.Sender]
	if zone == "" {
		return work.Refuse(work.ReasonBadRequest, 0)
	}
	svc := r.services[req.Pool.Service]
	if svc == nil {
		return work.Refuse(work.ReasonUnknownService, 0)
	}
	if req.Method == pingMethod {
		return work.Refuse(work.ReasonNotReady, 0)
	}
	own := *req
	own.Kind = svc.kind
	own.Origin = zone
	if refusal := r.inbound.admit(r.snapshot(), &own); refusal != nil {
		return refusal
	}
	return r.pools.Serve(ctx, &own)
}
