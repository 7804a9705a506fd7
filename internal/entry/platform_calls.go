package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"sycamoreledge.example/internal/event"
	"sycamoreledge.example/internal/platform"
)

// platformCalls counts and times the calls of the object API, and reports when
// the platform stops and starts to answer.
type platformCalls struct {
	client platform.Client
	events *event.Logger
	// count notes a call with its result; it is set before the first call.
	count func(call, result string, elapsed time.Duration)

	mu        sync.Mutex
	lostSince time.Time
}

// Get implements platform.Client.
func (p *platformCalls) Get(ctx context.Context, key string) (platform.Object, error) {
	began := time.Now()
	obj, err := p.client.Get(ctx, key)
	p.note(ctx, "get", began, err)
	return obj, err
}

// List implements platform.Client.
func (p *platformCalls) List(ctx context.Context, prefix string) ([]platform.Object, error) {
	began := time.Now()
	objs, err := p.client.List(ctx, prefix)
	p.note(ctx, "list", began, err)
	return objs, err
}

// Put implements platform.Client.
func (p *platformCalls) Put(ctx context.Context, key string, value []byte, version int64) (platform.Object, error) {
	began := time.Now()
	obj, err := p.client.Put(ctx, key, value, version)
	p.note(ctx, "put", began, err)
	return obj, err
}

// Delete implements platform.Client.
func (p *platformCalls) Delete(ctx context.Context, key string, version int64) error {
	began := time.Now()
	err := p.client.Delete(ctx, key, version)
	p.note(ctx, "delete", began, err)
	return err
}

// Watch implements platform.Client.
func (p *platformCalls) Watch(ctx context.Context, key string, version int64) (platform.Object, error) {
	began := time.Now()
	obj, err := p.client.Watch(ctx, key, version)
	p.note(ctx, "watch", began, err)
	return obj, err
}

// Instances implements platform.Client.
func (p *platformCalls) Instances(ctx context.Context) ([]platform.Instance, error) {
	began := time.Now()
	list, err := p.client.Instances(ctx)
	p.note(ctx, "instances", began, err)
	return list, err
}

// note counts a call. A call that the instance itself gave up says nothing of
// the platform.
func (p *platformCalls) note(ctx context.Context, call string, began time.Time, err error) {
	p.count(call, platform.ResultOf(err), time.Since(began))
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	if platform.Throttled.Has(err) {
		p.events.Log(event.PlatformThrottled, "call", call)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	switch lost := platform.OutOfReach(err); {
	case lost && p.lostSince.IsZero():
		p.lostSince = time.Now()
		p.events.Log(event.PlatformUnreachable, "error", err)
	case !lost && !p.lostSince.IsZero():
		p.events.Log(event.PlatformBack, "after", time.Since(p.lostSince))
		p.lostSince = time.Time{}
	}
}
