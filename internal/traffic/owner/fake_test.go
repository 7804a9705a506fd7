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

// fakeUpstream is an upstream without a network.
type fakeUpstream struct {
	serviceTime   func() time.Duration
	health        upstream.Health
	fault         work.Reason // reason of the response to each request if set
	silent        bool        // never answers
	answersProbes bool        // answers probes even if requests fail
	running       int
	maxRunning    int
	runs          int
	ended         int
}

// fakeUpstreams implements owner.Dispatcher.
type fakeUpstreams struct {
	mu  sync.Mutex
	all map[string]*fakeUpstream
}

var errNoAnswer = errors.New("no answer")

func (f *fakeUpstreams) Do(ctx context.Context, t upstream.Target, req *work.Request, body io.Reader, _ time.Time) upstream.Result {
	if _, err := io.Copy(io.Discard, body); err != nil {
		return upstream.Result{Response: work.UnknownOutcome(work.ReasonUpstreamBroken), MaybeRunning: true}
	}
	f.mu.Lock()
	u := f.all[t.Name]
	switch u.fault {
	case "":
	case work.ReasonUpstreamBroken:
		u.runs++
		f.mu.Unlock()
		return upstream.Result{Response: work.UnknownOutcome(u.fault), MaybeRunning: true}
	default:
		f.mu.Unlock()
		return upstream.Result{Response: work.Refuse(u.fault, 0)}
	}
	u.running++
	u.runs++
	u.maxRunning = max(u.maxRunning, u.running)
	duration := u.serviceTime()
	silent := u.silent
	f.mu.Unlock()
	defer f.finish(u)
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
		return upstream.Result{Response: work.UnknownOutcome(reason), MaybeRunning: true}
	}
}

func (f *fakeUpstreams) finish(u *fakeUpstream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	u.running--
	u.ended++
}

func (f *fakeUpstreams) Probe(_ context.Context, t upstream.Target) (upstream.Health, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	u := f.all[t.Name]
	if !u.answersProbes && (u.silent || u.fault != "") {
		return "", errNoAnswer
	}
	return u.health, nil
}

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

// testPool is an owner of one pool with fake upstreams.
type testPool struct {
	kind      work.Kind
	pool      work.PoolID
	upstreams *fakeUpstreams
	owner     *owner.Owner
	policy    settings.ServicePolicy

	mu     sync.Mutex
	modify func(*control.Snapshot)
	lastID int
}

// newTestPool returns the owner of a pool of n upstreams. Each snapshot is
// current, as if the control loop never stopped, unless modifySnapshots changes
// that.
func newTestPool(kind work.Kind, n, slots int) *testPool {
	tp := &testPool{kind: kind, pool: work.PoolID{Service: "s", Zone: "z1"}}
	tp.upstreams = &fakeUpstreams{all: map[string]*fakeUpstream{}}
	tp.policy = settings.ServicePolicy{
		Name: "s", Deadline: 2 * time.Second, DispatchTimeout: time.Second, Queue: 100, RetryBudget: 1,
	}
	pool := settings.Pool{Zone: tp.pool.Zone}
	for i := range n {
		name := fmt.Sprintf("u%d", i+1)
		pool.Upstreams = append(pool.Upstreams, settings.Upstream{Name: name, Slots: slots})
		tp.upstreams.all[name] = &fakeUpstream{
			serviceTime: func() time.Duration { return serviceTime },
			health:      upstream.Live,
		}
	}
	tp.owner = owner.New(owner.Options{
		Snapshot:      tp.snapshot,
		Topology:      &settings.Topology{Services: []settings.Service{{Name: "s", Kind: kind, Pools: []settings.Pool{pool}}}},
		Upstreams:     tp.upstreams,
		ProbeInterval: 500 * time.Millisecond,
	})
	return tp
}

func (tp *testPool) snapshot() *control.Snapshot {
	now := time.Now()
	snap := &control.Snapshot{
		At:     now,
		Preset: &settings.Preset{Headroom: 0.2, Services: []settings.ServicePolicy{tp.policy}},
		Owned: map[work.PoolID]control.Grant{
			tp.pool: {BaseUntil: now.Add(time.Second), FullUntil: now.Add(time.Second)},
		},
	}
	tp.mu.Lock()
	defer tp.mu.Unlock()
	if tp.modify != nil {
		tp.modify(snap)
	}
	return snap
}

// modifySnapshots sets the function that is applied to each snapshot.
func (tp *testPool) modifySnapshots(fn func(*control.Snapshot)) {
	tp.mu.Lock()
	defer tp.mu.Unlock()
	tp.modify = fn
}

// request returns a request of a caller in the pool's zone.
func (tp *testPool) request(timeout time.Duration) *work.Request {
	tp.mu.Lock()
	tp.lastID++
	id := fmt.Sprintf("%032x", tp.lastID)
	tp.mu.Unlock()
	return &work.Request{
		ID: id, Service: "s", Kind: tp.kind, Method: http.MethodPost, Path: "/", Length: 0,
		Deadline: time.Now().Add(timeout), Pool: tp.pool, Origin: tp.pool.Zone, Queue: true,
	}
}

// start serves a request in the background and returns the channel for its
// response.
func (tp *testPool) start(ctx context.Context, req *work.Request) chan *work.Response {
	done := make(chan *work.Response, 1)
	go func() { done <- tp.owner.Serve(ctx, req) }()
	return done
}
