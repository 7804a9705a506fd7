// Package link limits what this instance sends to other regions to its share of
// the caps of the links. A share is fixed: the cap divided by the number of
// declared instances in the sending region. The shares of all instances therefore
// never add up to more than the cap, whichever instances are alive or reachable.
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
	// burstDuration times the rate is the number of bytes that may be sent at
	// once, but at least minBurstBytes.
	burstDuration = 20 * time.Millisecond
	minBurstBytes = 16 << 10
	// maxReadBytes is the maximum number of body bytes that are read and accounted
	// for at a time.
	maxReadBytes = 8 << 10
	// messageOverheadBytes is the assumed size of a request or response without
	// its body.
	messageOverheadBytes = 512
)

// Transport sends requests to peers over another transport. It paces the bodies
// sent to other regions, and refuses, as not run, requests that the link can't
// carry in time.
type Transport struct {
	peer.Transport
	self        string
	snapshot    func() *control.Snapshot
	regionOf    map[string]string
	instancesOf map[string]int // number of declared instances in each region
	topology    *settings.Topology

	mu      sync.Mutex
	buckets map[string]*limit.Bucket // by destination region
}

// NewTransport returns a Transport that sends the requests of the instance self
// over inner.
func NewTransport(inner peer.Transport, self string, topology *settings.Topology, snapshot func() *control.Snapshot) *Transport {
	t := &Transport{
		Transport:   inner,
		self:        self,
		snapshot:    snapshot,
		regionOf:    make(map[string]string),
		instancesOf: make(map[string]int),
		topology:    topology,
		buckets:     make(map[string]*limit.Bucket),
	}
	for _, region := range topology.Regions {
		for _, zone := range region.Zones {
			for _, instance := range zone.Instances {
				t.regionOf[instance.Name] = region.Name
				t.instancesOf[region.Name]++
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
	paced.Body = &pacedReader{ctx: ctx, source: req.Body, transport: t, region: region, upload: req.Kind == work.Upload}
	return t.Transport.Do(ctx, to, role, &paced)
}

// PaceResponse paces the body of a response to a peer in another region.
func (t *Transport) PaceResponse(ctx context.Context, to string, resp *work.Response) *work.Response {
	region := t.regionOf[to]
	if region == t.regionOf[t.self] || resp.Body == nil {
		return resp
	}
	resp.Body = &pacedBody{
		pacedReader: pacedReader{ctx: ctx, source: resp.Body, transport: t, region: region, overheadBytes: messageOverheadBytes},
		closer:      resp.Body,
	}
	return resp
}

// noRateRetryAfter is the Retry-After when the cap of a link is 0: a changed
// configuration takes effect within about a second.
const noRateRetryAfter = time.Second

// admit accounts for the bytes of the request without its body. It refuses the
// request if these, or a body of known size, can't be sent before the deadline.
func (t *Transport) admit(region string, req *work.Request) *work.Response {
	now := time.Now()
	rate := t.share(region)
	if rate <= 0 {
		return work.Refuse(work.ReasonLinkCap, noRateRetryAfter)
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
	if !b.Borrow(now, messageOverheadBytes, rate, burst(rate), burst(rate)) {
		return work.Refuse(work.ReasonLinkCap, b.Wait(now, messageOverheadBytes, rate, burst(rate)))
	}
	return nil
}

// bucket returns the token bucket of the link to a region. The caller must hold
// the mutex.
func (t *Transport) bucket(region string) *limit.Bucket {
	b := t.buckets[region]
	if b == nil {
		b = &limit.Bucket{}
		t.buckets[region] = b
	}
	return b
}

// burst returns the token bucket's capacity, in bytes, at the given rate. Message
// overhead and bodies other than uploads may borrow up to the same amount, so that
// at most rate*w + 2*burst bytes are sent in any window w.
func burst(rate float64) float64 { return max(rate*burstDuration.Seconds(), minBurstBytes) }

// share returns this instance's part of the cap of the link to a region, in bytes
// per second.
func (t *Transport) share(region string) float64 {
	ownRegion := t.regionOf[t.self]
	rate := 0.0
	if l := t.topology.Link(ownRegion, region); l != nil {
		rate = l.BytesPerSecond()
	}
	if l := t.snapshot().Preset.Link(ownRegion, region); l != nil {
		rate = min(rate, l.BytesPerSecond())
	}
	return rate / float64(max(t.instancesOf[ownRegion], 1))
}

// waitForTokens waits until n bytes may be sent. Uploads wait for tokens; other
// bodies may borrow some, so that they don't queue behind uploads.
func (t *Transport) waitForTokens(ctx context.Context, region string, n int, upload bool) error {
	for {
		now := time.Now()
		rate := t.share(region)
		t.mu.Lock()
		b := t.bucket(region)
		debt := burst(rate)
		if upload {
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

// pacedReader reads a body at the rate that the link allows.
type pacedReader struct {
	ctx           context.Context
	source        io.Reader
	transport     *Transport
	region        string
	upload        bool
	overheadBytes int // accounted for with the first bytes read
}

// Read implements io.Reader.
func (r *pacedReader) Read(p []byte) (int, error) {
	if len(p) > maxReadBytes {
		p = p[:maxReadBytes]
	}
	n, err := r.source.Read(p)
	if n+r.overheadBytes == 0 {
		return n, err
	}
	if waitErr := r.transport.waitForTokens(r.ctx, r.region, n+r.overheadBytes, r.upload); waitErr != nil {
		return 0, waitErr
	}
	r.overheadBytes = 0
	return n, err
}

// pacedBody is the paced body of a response.
type pacedBody struct {
	pacedReader
	closer io.Closer
}

// Close implements io.Closer.
func (b *pacedBody) Close() error { return b.closer.Close() }
