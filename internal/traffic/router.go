// Package traffic routes requests. On the instance that accepted a request, it
// chooses the pool: one in the instance's own zone first, then one in its region,
// then one in another region within the shift caps of the preset.
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

// PoolServer runs requests on the pools that this instance owns.
type PoolServer interface {
	Serve(ctx context.Context, req *work.Request) *work.Response
}

// Options are what a Router needs.
type Options struct {
	// Snapshot returns the latest view of the control tables, never nil.
	Snapshot func() *control.Snapshot
	Topology *settings.Topology
	// Self is the name of this instance.
	Self  string
	Pools PoolServer
	// Peers sends requests to the owners of other pools. It rate-limits traffic to
	// other regions.
	Peers peer.Transport
	// Notify receives the events of shifts; it may be nil. It must not block.
	Notify func(Event)
}

// Router routes requests. It is safe for concurrent use.
type Router struct {
	snapshot func() *control.Snapshot
	topology *settings.Topology
	self     string
	zone     string
	pools    PoolServer
	peers    peer.Transport
	zoneOf   map[string]string // zone of each declared instance
	services map[string]*service
	shifts   *outboundShifts
	inbound  *inboundLimiter
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
		zoneOf:   make(map[string]string),
		services: make(map[string]*service),
		liveness: newLiveness(),
		shifts:   newOutboundShifts(opt.Topology, opt.Topology.RegionOf(zone), opt.Notify),
		inbound:  newInboundLimiter(opt.Topology, opt.Topology.RegionOf(zone)),
	}
	for _, z := range opt.Topology.Zones() {
		for i := range z.Instances {
			r.zoneOf[z.Instances[i].Name] = z.Name
		}
	}
	for i := range opt.Topology.Services {
		declared := &opt.Topology.Services[i]
		r.services[declared.Name] = newService(declared, opt.Topology, zone)
	}
	return r
}

// Stats returns the counters of the router.
func (r *Router) Stats() *Stats { return &r.stats }

// Serve runs a request of a caller, or one forwarded by the home instance of its
// idempotency key, on the best pool and returns its outcome. The caller must close
// the body of the response.
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
	routed := *req
	routed.Kind = svc.kind
	routed.Origin = r.zone
	routed.Sender = ""
	if latest := now.Add(policy.Deadline); routed.Deadline.IsZero() || latest.Before(routed.Deadline) {
		routed.Deadline = latest
	}
	svc.earnRetry(policy.RetryBudget)
	t := &traversal{
		router: r, service: svc, snap: snap, policy: policy,
		req: &routed, body: replay.New(req.Body),
	}
	defer t.body.Detach()
	resp := t.run(ctx)
	r.stats.count(resp)
	resp.Explain = t.explanation.String()
	return resp
}

// ServePool runs a peer's request on a pool that this instance owns. req.Sender
// must be the authenticated peer.
func (r *Router) ServePool(ctx context.Context, req *work.Request) *work.Response {
	zone := r.zoneOf[req.Sender]
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
	accepted := *req
	accepted.Kind = svc.kind
	accepted.Origin = zone
	if refusal := r.inbound.admit(r.snapshot(), &accepted); refusal != nil {
		return refusal
	}
	return r.pools.Serve(ctx, &accepted)
}
