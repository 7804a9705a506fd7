// Package caller is the stand-in of a firm's callers: an open-loop load of
// lookups, orders and uploads that checks every answer and never gives an
// operation a second key.
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

// Load is the work asked of one service.
type Load struct {
	Service string
	Kind    work.Kind
	// Rate is in operations per second; arrivals are a Poisson process.
	Rate float64
	// MaxInFlight bounds the operations at a time; more are skipped.
	MaxInFlight int
	// BodyMin and BodyMax bound the size of a request's body in bytes.
	BodyMin, BodyMax int
	// AnswerSize is in bytes.
	AnswerSize int
	Deadline   time.Duration
	// OwnKeys is the share of the keys that the caller makes itself.
	OwnKeys float64
	// Twice is the share of the operations sent through two entries at once.
	Twice float64
}

// Config describes the callers of one availability zone.
type Config struct {
	Plan  *firm.Plan
	Zone  string
	Seed  uint64
	Loads []Load
	// Host tells callers of one zone apart: it is the place of their address in
	// the zone's block.
	Host int
	// MaxOperation bounds an operation with all its attempts; 0 is 40 s.
	MaxOperation time.Duration
	// Stats collects the totals; several callers may share it.
	Stats *Stats
}

// Caller sends the load of one availability zone.
type Caller struct {
	config    Config
	client    *Client
	directory *directory

	mu  sync.Mutex
	ops []*Op
}

// New returns a caller that has sent nothing yet.
func New(config Config) *Caller {
	if config.MaxOperation == 0 {
		config.MaxOperation = maxOperation
	}
	if config.Stats == nil {
		config.Stats = NewStats()
	}
	client := NewClient(Latency(config.Plan, config.Zone))
	return &Caller{
		config:    config,
		client:    client,
		directory: newDirectory(client, address(config.Plan, config.Zone, config.Host), known(config.Plan, config.Zone)),
	}
}

// Run sends the load until ctx ends and returns when all operations ended,
// which takes at most the longest time of one operation.
func (c *Caller) Run(ctx context.Context) {
	defer c.client.Close()
	var all sync.WaitGroup
	for i, load := range c.config.Loads {
		all.Go(func() { c.send(ctx, load, rand.New(rand.NewPCG(c.config.Seed, uint64(i)))) })
	}
	all.Wait()
}

// send starts the operations of one load and waits for their ends.
func (c *Caller) send(ctx context.Context, load Load, random *rand.Rand) {
	var all sync.WaitGroup
	defer all.Wait()
	room := make(chan struct{}, max(1, load.MaxInFlight))
	next := time.Now()
	for {
		next = next.Add(time.Duration(random.ExpFloat64() / load.Rate * float64(time.Second)))
		pause(ctx, time.Until(next))
		if ctx.Err() != nil {
			return
		}
		call, plan := draw(load, random)
		select {
		case room <- struct{}{}:
		default:
			c.config.Stats.add(load.Service, load.Kind, 0, func(t *Totals) { t.Skipped++ })
			continue
		}
		intended := next
		all.Go(func() {
			defer func() { <-room }()
			c.operate(context.WithoutCancel(ctx), call, plan, intended)
		})
	}
}

// drawn is what chance decided about an operation beside the call itself.
type drawn struct {
	bodySeed uint64
	bodySize int
	ownKey   string
	twice    bool
}

// draw makes the next call of a load. It takes the same numbers from random
// for every call, so that a load repeats with its seed.
func draw(load Load, random *rand.Rand) (*Call, drawn) {
	nonce, own := random.Uint64(), random.Uint64()
	d := drawn{
		bodySeed: random.Uint64(),
		bodySize: load.BodyMin + int(random.Float64()*float64(load.BodyMax-load.BodyMin)),
		twice:    random.Float64() < load.Twice,
	}
	if random.Float64() < load.OwnKeys {
		d.ownKey = "own-" + hexadecimal(own)
	}
	call := &Call{
		Service:  load.Service,
		Kind:     load.Kind,
		Nonce:    hexadecimal(nonce),
		Size:     load.AnswerSize,
		Chunked:  random.Float64() < 0.5,
		Deadline: load.Deadline,
	}
	return call, d
}

// operate gets a key where one is needed and runs the operation.
func (c *Caller) operate(ctx context.Context, call *Call, d drawn, intended time.Time) {
	c.config.Stats.add(call.Service, call.Kind, 0, func(t *Totals) { t.Sent++ })
	call.Body = body(d.bodySeed, d.bodySize)
	if !call.Kind.Idempotent() {
		call.Key = d.ownKey
		if call.Key == "" {
			call.Key = c.issuedKey(ctx, call.Service)
		}
		if call.Key == "" {
			c.config.Stats.add(call.Service, call.Kind, 0, func(t *Totals) { t.NoKey++ })
			return
		}
	}
	op := c.Operate(ctx, call, d.twice)
	op.Late = op.Outcome == work.Run && op.Attempts == 1 && op.End.Sub(op.Start) > call.Deadline+lateSlack
	c.config.Stats.finished(op, intended)
	if call.Key != "" || op.Bad != "" {
		c.keep(op)
	}
}

// issuedKey asks the entries in turn for a key; it returns "" when none gave one.
func (c *Caller) issuedKey(ctx context.Context, service string) string {
	for _, address := range c.directory.entries(ctx, service) {
		if key, err := c.client.NewKey(ctx, address, service); err == nil {
			return key
		}
	}
	return ""
}

// keep stores an operation for the later comparison with the ledgers.
func (c *Caller) keep(op *Op) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ops = append(c.ops, op)
}

// Stats returns where the totals are collected.
func (c *Caller) Stats() *Stats { return c.config.Stats }

// Ops returns the operations that had a key or a bad answer.
func (c *Caller) Ops() []*Op {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*Op(nil), c.ops...)
}

// Latency returns the one-way latency from callers of a zone to an entry.
func Latency(p *firm.Plan, zone string) func(address string) time.Duration {
	byAddress := map[string]time.Duration{}
	for _, e := range p.Entries {
		byAddress[e.Callers] = p.World.CallerLatency + firm.Latency(&p.Topology, &p.World, zone, e.Zone)
	}
	return func(address string) time.Duration { return byAddress[address] }
}

// known lists the entries, those of the zone first.
func known(p *firm.Plan, zone string) []string {
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

// address returns the address of a host inside the first block of the zone.
func address(p *firm.Plan, zone string, host int) string {
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

// body returns bytes that depend on the seed alone.
func body(seed uint64, size int) []byte {
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

// hexadecimal writes a number as 16 digits.
func hexadecimal(n uint64) string {
	var b [8]byte
	for i := range b {
		b[i] = byte(n >> (56 - 8*i))
	}
	return hex.EncodeToString(b[:])
}
