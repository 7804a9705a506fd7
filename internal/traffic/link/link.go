// Package link keeps what this instance sends to other regions within its share
// of the caps of the links. Shares are fixed: the cap divided by the number of
// declared instances of the sending region, so that they add up to the cap
// whatever part of the instances is alive or reachable.
package link

import (
	"context"
	"io"
	"sync"
	"time"

	"sycamoreledge.example/internal/control"
	"sycamoreledge.example/internal/limit"
	"sycamoreledge.example/internal/peer"
	"sycamoreledge.example/internal/settings"
	"sycamoreledge.example/internal/work"
)

const (
	// burstTime is the time whose bytes may leave at once, minBurst its floor.
	burstTime = 20 * time.Millisecond
	minBurst  = 16 << 10 // bytes
	// chunk is how many bytes of a body are accounted at a time.
	chunk = 8 << 10
	// messageBytes is what a request or an answer takes beside its body.
	messageBytes = 512
)

// Transport passes requests on to peers. It wraps the transport between
// instances, paces bodies that go to other regions, and refuses, as not run,
// requests for which the link has no room.
type Transport struct {
	peer.Transport
	self     string
	snapshot func() *control.Snapshot
	regionOf map[string]string
	declared map[string]int // instances by region
	topology *settings.Topology

	mu    sync.Mutex
	links map[string]*limit.Bucket // by the other region
}

// NewTransport wraps a transport for the instance self.
func NewTransport(inner peer.Transport, self string, topology *settings.Topology, snapshot func() *control.Snapshot) *Transport {
	t := &Transport{
		Transport: inner,
		self:      self,
		snapshot:  snapshot,
		regionOf:  make(map[string]string),
		declared:  make(map[string]int),
		topology:  topology,
		links:     make(map[string]*limit.Bucket),
	}
	for _, region := range topology.Regions {
		for _, zone := range region.Zones {
			for _, instance := range zone.Instances {
				t.regionOf[instance.Name] = region.Name
				t.declared[region.Name]++
			}
		}
	}
	return t
}

// Do implements peer.Transport.
func (t *Transport) Do(ctx context.Context, to string, role peer.Role, req *work.Request) *work.Response {
	region := t.regionOf[to]
	if region == t.regionOf[t.self] {
		return t.Transport.Do(ctx, to, role, req)
	}
	if refusal := t.admit(region, req); refusal != nil {
		return refusal
	}
	if req.Body == nil || req.Length == 0 {
		return t.Transport.Do(ctx, to, role, req)
	}
	paced := *req
	paced.Body = &pacedReader{ctx: ctx, source: req.Body, link: t, region: region, bulk: req.Kind == work.Upload}
	return t.Transport.Do(ctx, to, role, &paced)
}

// Answer paces the body of an answer to a peer in another region.
func (t *Transport) Answer(ctx context.Context, to string, resp *work.Response) *work.Response {
	region := t.regionOf[to]
	if region == t.regionOf[t.self] || resp.Body == nil {
		return resp
	}
	resp.Body = &pacedBody{
		pacedReader: pacedReader{ctx: ctx, source: resp.Body, link: t, region: region, owed: messageBytes},
		closer:      resp.Body,
	}
	return resp
}

// noRateWait is when callers may come back to a link that carries nothing: a
// changed configuration is in force within about a second.
const noRateWait = time.Second

// admit takes the bytes of the request without its body, or refuses when they,
// or a body of known size, can't pass within the deadline.
func (t *Transport) admit(region string, req *work.Request) *work.Response {
	now := time.Now()
	rate := t.share(region)
	if rate <= 0 {
		return work.Refuse(work.ReasonLinkCap, noRateWait)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.bucket(region)
	size := float64(max(req.Length, 0))
	wait := b.Wait(now, min(size, burst(rate)), rate, burst(rate))
	if size > burst(rate) {
		wait += time.Duration((size - burst(rate)) / rate * float64(time.Second))
	}
	if now.Add(wait).After(req.Deadline) {
		return work.Refuse(work.ReasonLinkCap, wait)
	}
	if !b.Borrow(now, messageBytes, rate, burst(rate), burst(rate)) {
		return work.Refuse(work.ReasonLinkCap, b.Wait(now, messageBytes, rate, burst(rate)))
	}
	return nil
}

// bucket returns the bucket of the link to a region; the mutex is held.
func (t *Transport) bucket(region string) *limit.Bucket {
	b := t.links[region]
	if b == nil {
		b = &limit.Bucket{}
		t.links[region] = b
	}
	return b
}

// burst is the burst of a share, in bytes. Short messages may go as far into
// debt, so that in any window w at most rate*w + 2*burst bytes leave.
func burst(rate float64) float64 { return max(rate*burstTime.Seconds(), minBurst) }

// share is this instance's part of the cap towards a region, in bytes a second.
func (t *Transport) share(region string) float64 {
	own := t.regionOf[t.self]
	rate := 0.0
	if l := t.topology.Link(own, region); l != nil {
		rate = l.BytesPerSecond()
	}
	if l := t.snapshot().Preset.Link(own, region); l != nil {
		rate = min(rate, l.BytesPerSecond())
	}
	return rate / float64(max(t.declared[own], 1))
}

// take waits until n bytes may leave. Bytes of uploads wait for tokens, others
// borrow some, so that they don't stand behind uploads.
func (t *Transport) take(ctx context.Context, region string, n int, bulk bool) error {
	for {
		now := time.Now()
		rate := t.share(region)
		t.mu.Lock()
		b := t.bucket(region)
		debt := burst(rate)
		if bulk {
			debt = 0
		}
		ok := rate > 0 && b.Borrow(now, float64(n), rate, burst(rate), debt)
		wait := b.Wait(now, float64(n)-debt, rate, burst(rate))
		t.mu.Unlock()
		if ok {
			return nil
		}
		timer := time.NewTimer(max(wait, time.Millisecond))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return context.Cause(ctx)
		}
	}
}

// pacedReader reads a body at the rate that the link permits.
type pacedReader struct {
	ctx    context.Context
	source io.Reader
	link   *Transport
	region string
	bulk   bool
	owed   int // bytes to account beside those read
}

// Read implements io.Reader.
func (r *pacedReader) Read(p []byte) (int, error) {
	if len(p) > chunk {
		p = p[:chunk]
	}
	n, err := r.source.Read(p)
	if n+r.owed == 0 {
		return n, err
	}
	if waitErr := r.link.take(r.ctx, r.region, n+r.owed, r.bulk); waitErr != nil {
		return 0, waitErr
	}
	r.owed = 0
	return n, err
}

// pacedBody is a pacedReader of an answer.
type pacedBody struct {
	pacedReader
	closer io.Closer
}

// Close implements io.Closer.
func (b *pacedBody) Close() error { return b.closer.Close() }
