package owner_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"sycamoreledge.example/internal/control"
	"sycamoreledge.example/internal/settings"
	"sycamoreledge.example/internal/traffic/owner"
	"sycamoreledge.example/internal/upstream"
	"sycamoreledge.example/internal/work"
)

const serviceTime = 20 * time.Millisecond

// fakeUpstream is one upstream without a network.
type fakeUpstream struct {
	service func() time.Duration
	health  upstream.Health
	fault   work.Reason // answered instead of running, when set
	silent  bool        // never answers
	healthy bool        // answers probes in spite of a fault
	running int
	most    int
	runs    int
	ended   int
}

// fakeUpstreams implements owner.Dispatcher.
type fakeUpstreams struct {
	mu  sync.Mutex
	all map[string]*fakeUpstream
}

var errNoAnswer = errors.New("no answer")

func (f *fakeUpstreams) Do(ctx context.Context, t upstream.Target, req *work.Request, body io.Reader, _ time.Time) upstream.Result {
	if _, err := io.Copy(io.Discard, body); err != nil {
		return upstream.Result{Response: work.Uncertain(work.ReasonUpstreamBroken), Silent: true}
	}
	f.mu.Lock()
	u := f.all[t.Name]
	switch u.fault {
	case "":
	case work.ReasonUpstreamBroken:
		u.runs++
		f.mu.Unlock()
		return upstream.Result{Response: work.Uncertain(u.fault), Silent: true}
	default:
		f.mu.Unlock()
		return upstream.Result{Response: work.Refuse(u.fault, 0)}
	}
	u.running++
	u.runs++
	u.most = max(u.most, u.running)
	duration := u.service()
	silent := u.silent
	f.mu.Unlock()
	defer f.end(u)
	timer := time.NewTimer(duration)
	defer timer.Stop()
	finished := timer.C
	if silent {
		finished = nil
	}
	select {
	case <-finished:
		answer := &work.Response{
			Outcome: work.Run, Status: http.StatusOK, Header: http.Header{"Request-Id": {req.ID}},
			Body: io.NopCloser(strings.NewReader(req.ID)), Length: int64(len(req.ID)), Upstream: t.Name,
		}
		return upstream.Result{Response: answer}
	case <-ctx.Done():
		reason := work.ReasonUpstreamTimeout
		if errors.Is(ctx.Err(), context.Canceled) {
			reason = work.ReasonCanceled
		}
		return upstream.Result{Response: work.Uncertain(reason), Silent: true}
	}
}

func (f *fakeUpstreams) end(u *fakeUpstream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	u.running--
	u.ended++
}

func (f *fakeUpstreams) Probe(_ context.Context, t upstream.Target) (upstream.Health, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	u := f.all[t.Name]
	if !u.healthy && (u.silent || u.fault != "") {
		return "", errNoAnswer
	}
	return u.health, nil
}

// change applies a change to an upstream.
func (f *fakeUpstreams) change(name string, fn func(*fakeUpstream)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fn(f.all[name])
}

func (f *fakeUpstreams) runsOf(name string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.all[name].runs
}

func (f *fakeUpstreams) runs() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, u := range f.all {
		n += u.runs
	}
	return n
}

// bench is an owner of one pool with its fakes.
type bench struct {
	kind      work.Kind
	pool      work.PoolID
	upstreams *fakeUpstreams
	owner     *owner.Owner
	policy    settings.ServicePolicy

	mu     sync.Mutex
	change func(*control.Snapshot)
	next   int
}

// newBench returns the owner of a pool of n upstreams. Its control loop never
// stops: each snapshot is new, unless a change says otherwise.
func newBench(kind work.Kind, n, slots int) *bench {
	b := &bench{kind: kind, pool: work.PoolID{Service: "s", Zone: "z1"}}
	b.upstreams = &fakeUpstreams{all: map[string]*fakeUpstream{}}
	b.policy = settings.ServicePolicy{
		Name: "s", Deadline: 2 * time.Second, DispatchTimeout: time.Second, Queue: 100, RetryBudget: 1,
	}
	pool := settings.Pool{Zone: b.pool.Zone}
	for i := range n {
		name := fmt.Sprintf("u%d", i+1)
		pool.Upstreams = append(pool.Upstreams, settings.Upstream{Name: name, Slots: slots})
		b.upstreams.all[name] = &fakeUpstream{
			service: func() time.Duration { return serviceTime },
			health:  upstream.Live,
		}
	}
	b.owner = owner.New(owner.Options{
		Snapshot:      b.snapshot,
		Topology:      &settings.Topology{Services: []settings.Service{{Name: "s", Kind: kind, Pools: []settings.Pool{pool}}}},
		Upstreams:     b.upstreams,
		ProbeInterval: 500 * time.Millisecond,
	})
	return b
}

func (b *bench) snapshot() *control.Snapshot {
	now := time.Now()
	snap := &control.Snapshot{
		At:     now,
		Preset: &settings.Preset{Headroom: 0.2, Services: []settings.ServicePolicy{b.policy}},
		Owned: map[work.PoolID]control.Grant{
			b.pool: {BaseUntil: now.Add(time.Second), FullUntil: now.Add(time.Second)},
		},
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.change != nil {
		b.change(snap)
	}
	return snap
}

// set replaces the change that is applied to each snapshot.
func (b *bench) set(fn func(*control.Snapshot)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.change = fn
}

// request returns a request of a caller in the pool's zone.
func (b *bench) request(timeout time.Duration) *work.Request {
	b.mu.Lock()
	b.next++
	id := fmt.Sprintf("%032x", b.next)
	b.mu.Unlock()
	return &work.Request{
		ID: id, Service: "s", Kind: b.kind, Method: http.MethodPost, Path: "/", Length: 0,
		Deadline: time.Now().Add(timeout), Pool: b.pool, Origin: b.pool.Zone, Queue: true,
	}
}

// start serves a request and returns the channel with its response.
func (b *bench) start(ctx context.Context, req *work.Request) chan *work.Response {
	done := make(chan *work.Response, 1)
	go func() { done <- b.owner.Serve(ctx, req) }()
	return done
}
