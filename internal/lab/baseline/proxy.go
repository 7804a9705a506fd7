// Package baseline is the plain proxy that the system is compared with: round
// robin over the live upstreams of its region, or of the others when it has
// none, one queue for all kinds of work, no hedging, trust in the load reports
// of the upstreams, and no word with the other entries. It is what a careful operator gets from a common
// load balancer, and it is never shipped.
package baseline

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"sycamoreledge.example/internal/lab/firm"
	"sycamoreledge.example/internal/upstream"
	"sycamoreledge.example/internal/work"
)

// Error is the class of errors of this package.
var Error = errs.Class("baseline")

const (
	// connections bounds those of one entry to one upstream: an eighth of the
	// upstream's limit.
	connections = 40
	// maxQueue bounds the requests that wait.
	maxQueue = 1000
	// shedPause is the time before another round over upstreams that all
	// refused; it doubles up to maxShedPause.
	shedPause    = 10 * time.Millisecond
	maxShedPause = 80 * time.Millisecond
	// generous is how many workers there are for each slot.
	generous = 2
	// lookupAttempts bounds the attempts at a lookup that broke.
	lookupAttempts = 2
)

// job is a request in the queue.
type job struct {
	ctx  context.Context
	req  *work.Request
	body []byte
	done chan *work.Response
	// taken is set by the worker that runs the job, or by the handler that gave
	// up waiting for one.
	taken atomic.Bool
}

// Proxy is one entry.
type Proxy struct {
	plan  *firm.Plan
	entry *firm.Entry
	kinds map[string]work.Kind
	pools map[string]*pool
	// far holds the upstreams of other regions, for when none is live here.
	far   map[string]*pool
	send  *upstream.Client
	queue chan *job
	// workers is the number of requests that run at a time.
	workers int
}

// New returns the proxy in place of an entry of the plan.
func New(p *firm.Plan, entry string) (*Proxy, error) {
	e := p.Entry(entry)
	if e == nil {
		return nil, Error.New("no entry %q", entry)
	}
	x := &Proxy{
		plan:    p,
		entry:   e,
		kinds:   map[string]work.Kind{},
		pools:   pools(p, e.Zone, true),
		far:     pools(p, e.Zone, false),
		send:    upstream.NewClient(nil),
		queue:   make(chan *job, maxQueue),
		workers: workers(p, e.Zone),
	}
	for _, s := range p.Topology.Services {
		x.kinds[s.Name] = s.Kind
	}
	return x, nil
}

// workers is twice the part of an entry in the slots of its zone: enough that
// the queue holds nothing back while there is room, and few enough that a shed
// request seldom finds all upstreams full.
func workers(p *firm.Plan, zone string) int {
	slots, entries := 0, 0
	for _, s := range p.Topology.Services {
		for _, declared := range s.Pools {
			if declared.Zone != zone {
				continue
			}
			for _, u := range declared.Upstreams {
				slots += u.Slots
			}
		}
	}
	for _, e := range p.Entries {
		if e.Zone == zone {
			entries++
		}
	}
	return max(1, generous*slots/max(1, entries))
}

// Run works until ctx ends.
func (x *Proxy) Run(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	for _, all := range []map[string]*pool{x.pools, x.far} {
		for _, p := range all {
			for _, m := range p.members {
				go p.watch(ctx, client, m)
			}
		}
	}
	for range x.workers {
		go x.work(ctx)
	}
	<-ctx.Done()
	x.send.Close()
}

// work runs requests in the order of the queue.
func (x *Proxy) work(ctx context.Context) {
	for {
		select {
		case j := <-x.queue:
			if j.taken.CompareAndSwap(false, true) {
				j.done <- x.run(j)
			}
		case <-ctx.Done():
			return
		}
	}
}

// submit queues a request and waits for its answer.
func (x *Proxy) submit(ctx context.Context, req *work.Request, body []byte) *work.Response {
	j := &job{ctx: ctx, req: req, body: body, done: make(chan *work.Response, 1)}
	select {
	case x.queue <- j:
	default:
		return work.Refuse(work.ReasonQueueFull, time.Second)
	}
	select {
	case r := <-j.done:
		return r
	case <-ctx.Done():
	}
	if j.taken.CompareAndSwap(false, true) {
		return work.Refuse(work.ReasonDeadline, time.Second)
	}
	return <-j.done
}

// run sends a request to one upstream after the other until one takes it.
func (x *Proxy) run(j *job) *work.Response {
	p := x.pools[j.req.Service]
	if p.live() == 0 {
		p = x.far[j.req.Service]
	}
	broken, wait, trust := 0, shedPause, true
	for j.ctx.Err() == nil {
		for range max(1, p.live()) {
			target, ok := p.choose(trust)
			if !ok {
				return work.Refuse(work.ReasonNoUpstream, time.Second)
			}
			r := x.attempt(j, target)
			switch r.Outcome {
			case work.Run:
				return r
			case work.Unknown:
				broken++
				if !j.req.Kind.Idempotent() || broken >= lookupAttempts {
					return r
				}
			}
		}
		// All that were not reported full refused: the reports are stale.
		trust = false
		pause(j.ctx, wait)
		wait = min(2*wait, maxShedPause)
	}
	return work.Refuse(work.ReasonDeadline, time.Second)
}

// attempt sends a request to an upstream and takes the whole answer.
func (x *Proxy) attempt(j *job, target upstream.Target) *work.Response {
	r := x.send.Do(j.ctx, target, j.req, bytes.NewReader(j.body), j.req.Deadline).Response
	if r.Body == nil {
		return r
	}
	defer r.Body.Close()
	data, err := io.ReadAll(io.LimitReader(r.Body, maxBody+1))
	if err != nil || len(data) > maxBody {
		return work.UnknownOutcome(work.ReasonUpstreamBroken)
	}
	r.Body, r.Length = io.NopCloser(bytes.NewReader(data)), int64(len(data))
	return r
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
