// Package caller simulates the callers of a firm: an open-loop load of lookups,
// orders and uploads. It checks every response and keeps the idempotency key of
// an operation across its retries.
package caller

import (
	"context"
	"encoding/hex"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"sycamoreledge.example/internal/lab/firm"
	"sycamoreledge.example/internal/work"
)

// Error is the class of errors of this package.
var Error = errs.Class("caller")

// Load describes the requests to one service.
type Load struct {
	Service string
	Kind    work.Kind
	// Rate is in operations per second; arrivals are a Poisson process.
	Rate float64
	// MaxInFlight bounds the concurrent operations; arrivals beyond it are
	// skipped.
	MaxInFlight int
	// BodyMin and BodyMax bound the size of a request body in bytes.
	BodyMin, BodyMax int
	// AnswerSize is the size of the response body in bytes.
	AnswerSize int
	Deadline   time.Duration
	// OwnKeys is the fraction of idempotency keys that the caller generates
	// itself.
	OwnKeys float64
	// Twice is the fraction of operations sent through two entries
	// concurrently.
	Twice float64
}

// Config describes the callers of one availability zone.
type Config struct {
	Plan  *firm.Plan
	Zone  string
	Seed  uint64
	Loads []Load
	// Host distinguishes the callers of one zone: it is the offset of their
	// address in the zone's block.
	Host int
	// MaxOperation bounds an operation with all its attempts; 0 means 40 s.
	MaxOperation time.Duration
	// Stats collects the totals; several callers may share it.
	Stats *Stats
}

// Caller sends the load of one availability zone.
type Caller struct {
	config     Config
	client     *Client
	entryCache *entryCache

	mu  sync.Mutex
	ops []*Op
}

// New returns a caller and applies the defaults of the configuration.
func New(config Config) *Caller {
	if config.MaxOperation == 0 {
		config.MaxOperation = maxOperation
	}
	if config.Stats == nil {
		config.Stats = NewStats()
	}
	client := NewClient(Latency(config.Plan, config.Zone))
	return &Caller{
		config:     config,
		client:     client,
		entryCache: newEntryCache(client, clientAddress(config.Plan, config.Zone, config.Host), configuredEntries(config.Plan, config.Zone)),
	}
}

// Run sends the load until ctx ends. It returns when all operations have ended,
// at most Config.MaxOperation later.
func (c *Caller) Run(ctx context.Context) {
	defer c.client.Close()
	var wg sync.WaitGroup
	for i, load := range c.config.Loads {
		wg.Go(func() { c.generate(ctx, load, rand.New(rand.NewPCG(c.config.Seed, uint64(i)))) })
	}
	wg.Wait()
}

// generate starts the operations of one load until ctx ends and waits for them.
func (c *Caller) generate(ctx context.Context, load Load, random *rand.Rand) {
	var wg sync.WaitGroup
	defer wg.Wait()
	slots := make(chan struct{}, max(1, load.MaxInFlight))
	next := time.Now()
	for {
		next = next.Add(time.Duration(random.ExpFloat64() / load.Rate * float64(time.Second)))
		sleep(ctx, time.Until(next))
		if ctx.Err() != nil {
			return
		}
		call, params := drawCall(load, random)
		select {
		case slots <- struct{}{}:
		default:
			c.config.Stats.add(load.Service, load.Kind, 0, func(t *Totals) { t.Skipped++ })
			continue
		}
		intended := next
		wg.Go(func() {
			defer func() { <-slots }()
			c.runOperation(context.WithoutCancel(ctx), call, params, intended)
		})
	}
}

// sendParams holds the random parameters of an operation that are not part of
// its Call.
type sendParams struct {
	bodySeed  uint64
	bodySize  int
	ownKey    string
	duplicate bool
}

// drawCall returns the next call of a load. It draws the same number of values
// from random for every call, so that the same seed reproduces the load.
func drawCall(load Load, random *rand.Rand) (*Call, sendParams) {
	nonce, ownKey := random.Uint64(), random.Uint64()
	params := sendParams{
		bodySeed:  random.Uint64(),
		bodySize:  load.BodyMin + int(random.Float64()*float64(load.BodyMax-load.BodyMin)),
		duplicate: random.Float64() < load.Twice,
	}
	if random.Float64() < load.OwnKeys {
		params.ownKey = "own-" + hexUint64(ownKey)
	}
	call := &Call{
		Service:  load.Service,
		Kind:     load.Kind,
		Nonce:    hexUint64(nonce),
		Size:     load.AnswerSize,
		Chunked:  random.Float64() < 0.5,
		Deadline: load.Deadline,
	}
	return call, params
}

// runOperation obtains an idempotency key where one is needed and runs the
// operation.
func (c *Caller) runOperation(ctx context.Context, call *Call, params sendParams, intended time.Time) {
	c.config.Stats.add(call.Service, call.Kind, 0, func(t *Totals) { t.Sent++ })
	call.Body = randomBody(params.bodySeed, params.bodySize)
	if !call.Kind.Idempotent() {
		call.Key = params.ownKey
		if call.Key == "" {
			call.Key = c.requestKey(ctx, call.Service)
		}
		if call.Key == "" {
			c.config.Stats.add(call.Service, call.Kind, 0, func(t *Totals) { t.NoKey++ })
			return
		}
	}
	op := c.Operate(ctx, call, params.duplicate)
	op.Late = op.Outcome == work.Run && op.Attempts == 1 && op.End.Sub(op.Start) > call.Deadline+lateSlack
	c.config.Stats.addOperation(op, intended)
	if call.Key != "" || op.Bad != "" {
		c.record(op)
	}
}

// requestKey asks the entries in turn for an idempotency key. It returns "" if
// none issued one.
func (c *Caller) requestKey(ctx context.Context, service string) string {
	for _, address := range c.entryCache.entries(ctx, service) {
		if key, err := c.client.NewKey(ctx, address, service); err == nil {
			return key
		}
	}
	return ""
}

// record stores an operation for the later comparison with the upstreams'
// ledgers.
func (c *Caller) record(op *Op) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ops = append(c.ops, op)
}

// Stats returns the collector of the totals.
func (c *Caller) Stats() *Stats { return c.config.Stats }

// Ops returns the operations that had a key or an invalid response.
func (c *Caller) Ops() []*Op {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*Op(nil), c.ops...)
}

// Latency returns a function that gives the one-way latency from callers of the
// zone to an entry's address.
func Latency(p *firm.Plan, zone string) func(address string) time.Duration {
	byAddress := map[string]time.Duration{}
	for _, e := range p.Entries {
		byAddress[e.Callers] = p.World.CallerLatency + firm.Latency(&p.Topology, &p.World, zone, e.Zone)
	}
	return func(address string) time.Duration { return byAddress[address] }
}

// configuredEntries returns the addresses of all entries, those of the zone
// first.
func configuredEntries(p *firm.Plan, zone string) []string {
	var own, other []string
	for _, e := range p.Entries {
		if e.Zone == zone {
			own = append(own, e.Callers)
		} else {
			other = append(other, e.Callers)
		}
	}
	return append(own, other...)
}

// clientAddress returns the address of a host in the first valid block of the
// zone, or "" if there is none.
func clientAddress(p *firm.Plan, zone string, host int) string {
	for _, b := range p.Topology.Blocks {
		if b.Zone != zone {
			continue
		}
		prefix, err := netip.ParsePrefix(b.Prefix)
		if err != nil {
			continue
		}
		at := prefix.Addr().Next()
		for range host {
			at = at.Next()
		}
		return at.String()
	}
	return ""
}

// randomBody returns size bytes that are determined by the seed.
func randomBody(seed uint64, size int) []byte {
	if size == 0 {
		return nil
	}
	b := make([]byte, size)
	var key [32]byte
	for i := range 8 {
		key[i] = byte(seed >> (8 * i))
	}
	_, _ = rand.NewChaCha8(key).Read(b)
	return b
}

// hexUint64 formats a number as 16 hexadecimal digits.
func hexUint64(n uint64) string {
	var b [8]byte
	for i := range b {
		b[i] = byte(n >> (56 - 8*i))
	}
	return hex.EncodeToString(b[:])
}
