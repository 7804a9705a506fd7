package peer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"sycamoreledge.example/internal/control"
	"sycamoreledge.example/internal/work"
)

// MemoryNetwork connects Transports inside one process. It stands in for Nodes
// in tests: requests, control messages and failures behave as over QUIC, and
// all time is taken from package time, so that it works under testing/synctest.
type MemoryNetwork struct {
	mu    sync.Mutex
	nodes map[string]*MemoryNode
	// cuts holds the directions in which nothing passes.
	cuts map[direction]bool
	// linked holds the pairs that have talked since their last break: a
	// request over such a pair is sent before the cut is noticed.
	linked map[direction]bool
	// broken is the time at which each cut pair notices its cut.
	broken map[direction]time.Time
	loss   float64
	random *rand.Rand
	// changed is closed and replaced whenever cuts change.
	changed chan struct{}
}

// MemoryDetectTime is how long a cut takes to be noticed.
const MemoryDetectTime = DefaultIdleTimeout

// direction is a one-way path, or with sorted ends a pair.
type direction struct{ from, to string }

func pair(a, b string) direction {
	if b < a {
		a, b = b, a
	}
	return direction{a, b}
}

// NewMemoryNetwork returns a network without nodes. The seed decides which
// control messages are lost.
func NewMemoryNetwork(seed uint64) *MemoryNetwork {
	return &MemoryNetwork{
		nodes:   make(map[string]*MemoryNode),
		cuts:    make(map[direction]bool),
		linked:  make(map[direction]bool),
		broken:  make(map[direction]time.Time),
		random:  rand.New(rand.NewPCG(seed, seed)),
		changed: make(chan struct{}),
	}
}

// Join adds a node. One with the same name is closed first, as by a restart.
func (m *MemoryNetwork) Join(self control.Identity, handler Handler) *MemoryNode {
	m.mu.Lock()
	former := m.nodes[self.Instance]
	m.mu.Unlock()
	if former != nil {
		_ = former.Close()
	}
	n := &MemoryNode{network: m, self: self, handler: handler, exchanges: make(map[*memoryExchange]bool)}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	m.mu.Lock()
	defer m.mu.Unlock()
	m.nodes[self.Instance] = n
	m.signal()
	return n
}

// Cut stops everything between two nodes. Nothing is reset: each side waits
// for MemoryDetectTime until it takes requests in flight as failed.
func (m *MemoryNetwork) Cut(a, b string) {
	m.set(true, direction{a, b}, direction{b, a})
}

// CutOneWay stops everything from one node to another.
func (m *MemoryNetwork) CutOneWay(from, to string) {
	m.set(true, direction{from, to})
}

// Heal ends all cuts between two nodes.
func (m *MemoryNetwork) Heal(a, b string) {
	m.set(false, direction{a, b}, direction{b, a})
}

// SetLoss sets the fraction of control messages that are lost.
func (m *MemoryNetwork) SetLoss(fraction float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.loss = fraction
}

// set changes cuts and lets each pair notice a new one after the detect time.
func (m *MemoryNetwork) set(cut bool, directions ...direction) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := pair(directions[0].from, directions[0].to)
	for _, d := range directions {
		if cut {
			m.cuts[d] = true
			continue
		}
		delete(m.cuts, d)
	}
	m.signal()
	if !cut {
		delete(m.broken, p)
		return
	}
	if _, known := m.broken[p]; known {
		return
	}
	due := time.Now().Add(MemoryDetectTime)
	m.broken[p] = due
	time.AfterFunc(MemoryDetectTime, func() { m.notice(p, due) })
}

// notice breaks what is in flight over a pair, unless it was healed meanwhile.
func (m *MemoryNetwork) notice(p direction, due time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.broken[p].Equal(due) {
		return
	}
	delete(m.linked, p)
	m.breakPair(func(x *memoryExchange) bool { return pair(x.from, x.to) == p })
}

// breakPair breaks the matching exchanges.
func (m *MemoryNetwork) breakPair(match func(*memoryExchange) bool) {
	for _, n := range m.nodes {
		for x := range n.exchanges {
			if match(x) {
				x.fail(errCut.New("connection lost"))
			}
		}
	}
}

func (m *MemoryNetwork) signal() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// pass waits until the direction is open or the context ends.
func (m *MemoryNetwork) pass(ctx context.Context, from, to string) error {
	for {
		m.mu.Lock()
		open, changed := !m.cuts[direction{from, to}], m.changed
		m.mu.Unlock()
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		if open {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// reach returns the node at the other end for a request, or nil when it cannot
// be connected.
func (m *MemoryNetwork) reach(from, to string) *MemoryNode {
	m.mu.Lock()
	defer m.mu.Unlock()
	target, self := m.nodes[to], m.nodes[from]
	if target == nil || self == nil || to == from {
		return nil
	}
	p := pair(from, to)
	if m.cuts[direction{from, to}] || m.cuts[direction{to, from}] {
		if !m.linked[p] {
			return nil
		}
	}
	m.linked[p] = true
	return target
}

// carries decides whether a control message arrives.
func (m *MemoryNetwork) carries(from, to string) *MemoryNode {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cuts[direction{from, to}] || m.random.Float64() < m.loss {
		return nil
	}
	return m.nodes[to]
}

// MemoryNode is the Transport of one node of a MemoryNetwork.
type MemoryNode struct {
	network *MemoryNetwork
	self    control.Identity
	handler Handler
	ctx     context.Context
	cancel  context.CancelFunc

	// exchanges are those that this node has opened, guarded by network.mu.
	exchanges map[*memoryExchange]bool

	mu      sync.Mutex
	inbox   []control.Message
	running bool
}

var _ Transport = (*MemoryNode)(nil)

// SendControl implements Transport.
func (n *MemoryNode) SendControl(to string, msg control.Message) {
	target := n.network.carries(n.self.Instance, to)
	if target == nil || n.ctx.Err() != nil {
		return
	}
	copied, err := copyMessage(msg)
	if err != nil || copied.From != n.self.Instance {
		return
	}
	target.deliver(copied)
}

// copyMessage passes a message through its encoding, so that no memory is
// shared.
func copyMessage(msg control.Message) (control.Message, error) {
	var copied control.Message
	data, err := encoding.Marshal(msg)
	if err != nil {
		return copied, err
	}
	return copied, decode(data, &copied)
}

// deliver queues a message for the handler.
func (n *MemoryNode) deliver(msg control.Message) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.inbox = append(n.inbox, msg)
	if !n.running {
		n.running = true
		go n.handleInbox()
	}
}

// handleInbox hands messages over in order and ends when there are none.
func (n *MemoryNode) handleInbox() {
	for {
		n.mu.Lock()
		batch := n.inbox
		n.inbox = nil
		n.running = len(batch) > 0
		n.mu.Unlock()
		if len(batch) == 0 {
			return
		}
		for _, msg := range batch {
			if n.ctx.Err() == nil {
				n.handler.HandleControl(msg)
			}
		}
	}
}

// Do implements Transport.
func (n *MemoryNode) Do(ctx context.Context, to string, role Role, req *work.Request) *work.Response {
	remaining := time.Until(req.Deadline)
	if remaining <= 0 {
		return work.Refuse(work.ReasonDeadline, 0)
	}
	if ctx.Err() != nil {
		return notSent(ctx)
	}
	data, err := encoding.Marshal(newRequestHead(role, req, remaining))
	if err != nil || len(data) > DefaultHeadBytes {
		return work.Refuse(work.ReasonBadRequest, 0)
	}
	head, err := parseRequestHead(data)
	if err != nil {
		return work.Refuse(work.ReasonPeerUnreachable, 0)
	}
	ctx, cancel := context.WithDeadline(ctx, req.Deadline.Add(MemoryDetectTime))
	x := n.open(ctx, cancel, to)
	if x == nil {
		defer cancel()
		return notSent(ctx)
	}
	return x.do(head, req)
}

// GiveKeys implements Transport.
func (n *MemoryNode) GiveKeys(ctx context.Context, to string, value []byte) error {
	ctx, cancel := context.WithCancel(ctx)
	x := n.open(ctx, cancel, to)
	if x == nil {
		cancel()
		return Error.New("no connection to %q", to)
	}
	defer x.finish()
	result := make(chan error, 1)
	go func() {
		if err := n.network.pass(x.ctx, x.from, x.to); err != nil {
			return
		}
		err := x.target.handler.TakeKeys(x.ctx, n.self, append([]byte(nil), value...))
		if n.network.pass(x.ctx, x.to, x.from) == nil {
			result <- err
		}
	}()
	select {
	case err := <-result:
		return Error.Wrap(err)
	case <-x.ctx.Done():
		return Error.Wrap(context.Cause(x.ctx))
	}
}

// Close implements Transport. Requests in flight fail at both ends.
func (n *MemoryNode) Close() error {
	n.cancel()
	m := n.network
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.nodes[n.self.Instance] != n {
		return nil
	}
	m.breakPair(func(x *memoryExchange) bool { return x.from == n.self.Instance || x.to == n.self.Instance })
	delete(m.nodes, n.self.Instance)
	m.signal()
	return nil
}
