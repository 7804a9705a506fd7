package entry

import (
	"context"
	"sync/atomic"
	"time"

	"sycamoreledge.example/internal/control"
	"sycamoreledge.example/internal/settings"
)

const (
	// inboxSize bounds the queue of messages for the control goroutine. Messages
	// over it are dropped; the protocol tolerates message loss.
	inboxSize = 4096
	// batchSize bounds the queued messages processed in one step before the
	// results are published.
	batchSize = 64
)

// controlLoop runs the goroutine that has exclusive access to the control core.
type controlLoop struct {
	core     *control.Core
	tick     time.Duration
	inbox    chan control.Message
	commands chan func(*control.Core)
	snapshot atomic.Pointer[control.Snapshot]
	dropped  atomic.Int64
	done     chan struct{}

	// send, load and report must be set before run is called.
	send   func(to string, msg control.Message)
	load   func() []control.PoolStatus
	report func(control.Event)
}

// newControlLoop ticks the core once, so that a snapshot exists before run is
// called.
func newControlLoop(core *control.Core, tick time.Duration) *controlLoop {
	l := &controlLoop{
		core:     core,
		tick:     tick,
		inbox:    make(chan control.Message, inboxSize),
		commands: make(chan func(*control.Core)),
		done:     make(chan struct{}),
	}
	core.Tick(time.Now())
	l.snapshot.Store(core.Ready().Snapshot)
	return l
}

// Snapshot returns the latest snapshot, which is never nil.
func (l *controlLoop) Snapshot() *control.Snapshot { return l.snapshot.Load() }

// Receive queues a message without blocking, and drops it if the queue is full.
func (l *controlLoop) Receive(msg control.Message) {
	select {
	case l.inbox <- msg:
	default:
		l.dropped.Add(1)
	}
}

// Do runs a command on the control goroutine and waits for its completion. It does
// nothing once the loop has ended.
func (l *controlLoop) Do(command func(*control.Core)) {
	executed := make(chan struct{})
	wrapped := func(c *control.Core) {
		command(c)
		close(executed)
	}
	select {
	case l.commands <- wrapped:
		<-executed
	case <-l.done:
	}
}

// AcceptConfig passes a configuration to the core.
func (l *controlLoop) AcceptConfig(cfg *settings.Config) {
	l.Do(func(c *control.Core) { c.AcceptConfig(cfg) })
}

// run processes ticks, messages and commands until ctx is cancelled.
func (l *controlLoop) run(ctx context.Context) {
	defer close(l.done)
	ticker := time.NewTicker(l.tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			l.core.SetPoolLoads(l.load())
			l.core.Tick(time.Now())
		case msg := <-l.inbox:
			l.stepBatch(msg)
		case command := <-l.commands:
			command(l.core)
		}
		l.publishResults()
	}
}

// stepBatch processes a message and up to batchSize messages queued behind it.
func (l *controlLoop) stepBatch(msg control.Message) {
	now := time.Now()
	l.core.Step(now, msg)
	for range batchSize {
		select {
		case msg = <-l.inbox:
			l.core.Step(now, msg)
		default:
			return
		}
	}
}

// publishResults publishes the new snapshot before it sends messages: a message may
// hand over a grant, which this instance must have stopped using by then.
func (l *controlLoop) publishResults() {
	r := l.core.Ready()
	if r.Snapshot != nil {
		l.snapshot.Store(r.Snapshot)
	}
	for _, out := range r.Messages {
		l.send(out.To, out.Msg)
	}
	for _, e := range r.Events {
		l.report(e)
	}
}
