package entry

import (
	"context"
	"sync/atomic"
	"time"

	"sycamoreledge.example/internal/control"
	"sycamoreledge.example/internal/settings"
)

const (
	// inboxSize bounds the messages that wait for the control goroutine; more
	// are dropped, as the network may do.
	inboxSize = 4096
	// batchSize bounds the messages taken in before results are carried out.
	batchSize = 64
)

// loop is the one goroutine that owns the control core.
type loop struct {
	core     *control.Core
	tick     time.Duration
	inbox    chan control.Message
	commands chan func(*control.Core)
	snapshot atomic.Pointer[control.Snapshot]
	dropped  atomic.Int64
	done     chan struct{}

	// send, load and report are set before the loop runs.
	send   func(to string, msg control.Message)
	load   func() []control.PoolStatus
	report func(control.Event)
}

// newLoop ticks the core once, so that there is a snapshot from the start.
func newLoop(core *control.Core, tick time.Duration) *loop {
	l := &loop{
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

// Snapshot returns the latest view; it is never nil.
func (l *loop) Snapshot() *control.Snapshot { return l.snapshot.Load() }

// Receive passes a message in without waiting.
func (l *loop) Receive(msg control.Message) {
	select {
	case l.inbox <- msg:
	default:
		l.dropped.Add(1)
	}
}

// Do runs a command on the control goroutine and waits for it; after the loop
// has ended it does nothing.
func (l *loop) Do(command func(*control.Core)) {
	finished := make(chan struct{})
	wrapped := func(c *control.Core) {
		command(c)
		close(finished)
	}
	select {
	case l.commands <- wrapped:
		<-finished
	case <-l.done:
	}
}

// AcceptConfig offers a configuration to the core.
func (l *loop) AcceptConfig(cfg *settings.Config) {
	l.Do(func(c *control.Core) { c.AcceptConfig(cfg) })
}

// run owns the core until the context ends.
func (l *loop) run(ctx context.Context) {
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
			l.step(msg)
		case command := <-l.commands:
			command(l.core)
		}
		l.carryOut()
	}
}

// step takes in a message and those that wait behind it.
func (l *loop) step(msg control.Message) {
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

// carryOut publishes the snapshot before it sends messages, so that no right
// that a message gives away is still in use here.
func (l *loop) carryOut() {
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
