package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"sycamoreledge.example/internal/event"
	"sycamoreledge.example/internal/platform"
)

// observedClient is a platform.Client that records the result and duration of every
// call, and logs when the platform becomes unreachable and reachable again.
type observedClient struct {
	client platform.Client
	events *event.Logger
	// countCall records a call in the metrics. It must be set before the first call.
	countCall func(call, result string, elapsed time.Duration)

	mu               sync.Mutex
	unreachableSince time.Time
}

// Get implements platform.Client.
func (p *observedClient) Get(ctx context.Context, key string) (platform.Object, error) {
	start := time.Now()
	obj, err := p.client.Get(ctx, key)
	p.record(ctx, "get", start, err)
	return obj, err
}

// List implements platform.Client.
func (p *observedClient) List(ctx context.Context, prefix string) ([]platform.Object, error) {
	start := time.Now()
	objs, err := p.client.List(ctx, prefix)
	p.record(ctx, "list", start, err)
	return objs, err
}

// Put implements platform.Client.
func (p *observedClient) Put(ctx context.Context, key string, value []byte, version int64) (platform.Object, error) {
	start := time.Now()
	obj, err := p.client.Put(ctx, key, value, version)
	p.record(ctx, "put", start, err)
	return obj, err
}

// Delete implements platform.Client.
func (p *observedClient) Delete(ctx context.Context, key string, version int64) error {
	start := time.Now()
	err := p.client.Delete(ctx, key, version)
	p.record(ctx, "delete", start, err)
	return err
}

// Watch implements platform.Client.
func (p *observedClient) Watch(ctx context.Context, key string, version int64) (platform.Object, error) {
	start := time.Now()
	obj, err := p.client.Watch(ctx, key, version)
	p.record(ctx, "watch", start, err)
	return obj, err
}

// Instances implements platform.Client.
func (p *observedClient) Instances(ctx context.Context) ([]platform.Instance, error) {
	start := time.Now()
	list, err := p.client.Instances(ctx)
	p.record(ctx, "instances", start, err)
	return list, err
}

// record counts a call and updates the reachability of the platform. A call that
// this instance cancelled does not show whether the platform is reachable.
func (p *observedClient) record(ctx context.Context, call string, start time.Time, err error) {
	p.countCall(call, platform.ResultOf(err), time.Since(start))
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	if platform.Throttled.Has(err) {
		p.events.Log(event.PlatformThrottled, "call", call)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	switch unreachable := platform.OutOfReach(err); {
	case unreachable && p.unreachableSince.IsZero():
		p.unreachableSince = time.Now()
		p.events.Log(event.PlatformUnreachable, "error", err)
	case !unreachable && !p.unreachableSince.IsZero():
		p.events.Log(event.PlatformBack, "after", time.Since(p.unreachableSince))
		p.unreachableSince = time.Time{}
	}
}
