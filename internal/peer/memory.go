package peer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"sycamoreledge.example/internal/control"
	"sycamoreledge.example/internal/work"
)

// MemoryNetwork connects Transports within one process. It replaces Nodes in
// tests: requests, control messages and failures behave as over QUIC. It uses only
// package time for clocks and timers, so that it works with testing/synctest.
type MemoryNetwork struct {
	mu    sync.Mutex
	nodes map[string]*MemoryNode
	// cuts contains the directions in which all traffic is blocked.
	cuts map[direction]bool
	// connectedPairs contains the pairs that have a connection, which exists from
	// the first request until a cut is detected. A request over such a pair is
	// sent even during a cut that is not yet detected.
	connectedPairs map[direction]bool
	// detectAt is the time at which each cut pair detects its cut.
	detectAt    map[direction]time.Time
	controlLoss float64
	random      *rand.Rand
	// changed is closed and replaced when cuts or nodes change.
	changed chan struct{}
}

// MemoryDetectionDelay is the time from a cut to its detection.
const MemoryDetectionDelay = DefaultIdleTimeout

// direction is a one-way path between two nodes. With sorted names it is the key
// of a pair; see pairOf.
type direction struct{ from, to string }

func pairOf(a, b string) direction {
	if b < a {
		a, b = b, a
	}
	return direction{a, b}
}

// NewMemoryNetwork returns a network without nodes. The seed determines which
// control messages are lost; see SetControlLoss.
func NewMemoryNetwork(seed uint64) *MemoryNetwork {
	return &MemoryNetwork{
		nodes:          make(map[string]*MemoryNode),
		cuts:           make(map[direction]bool),
		connectedPairs: make(map[direction]bool),
		detectAt:       make(map[direction]time.Time),
		random:         rand.New(rand.NewPCG(seed, seed)),
		changed:        make(chan struct{}),
	}
}

// Join adds a node. An existing node of the same name is closed first, which
// simulates a restart.
func (m *MemoryNetwork) Join(self control.Identity, handler Handler) *MemoryNode {
	m.mu.Lock()
	previous := m.nodes[self.Instance]
	m.mu.Unlock()
	if previous != nil {
		_ = previous.Close()
	}
	n := &MemoryNode{network: m, self: self, handler: handler, exchanges: make(map[*memoryExchange]bool)}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	m.mu.Lock()
	defer m.mu.Unlock()
	m.nodes[self.Instance] = n
	m.notifyWaiters()
	return n
}

// Cut blocks all traffic between two nodes. No connection is reset: requests in
// flight fail after MemoryDetectionDelay.
func (m *MemoryNetwork) Cut(a, b string) {
	m.setCut(true, direction{a, b}, direction{b, a})
}

// CutOneWay blocks all traffic from one node to another.
func (m *MemoryNetwork) CutOneWay(from, to string) {
	m.setCut(true, direction{from, to})
}

// Heal ends the cuts between two nodes in both directions.
func (m *MemoryNetwork) Heal(a, b string) {
	m.setCut(false, direction{a, b}, direction{b, a})
}

// SetControlLoss sets the fraction of control messages, from 0 to 1, that are lost
// at random.
func (m *MemoryNetwork) SetControlLoss(fraction float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.controlLoss = fraction
}

// setCut cuts or heals the directions, which are of one pair. The pair detects a
// new cut after MemoryDetectionDelay.
func (m *MemoryNetwork) setCut(cut bool, directions ...direction) {
	m.mu.Lock()
	defer m.mu.Unlock()
	cutPair := pairOf(directions[0].from, directions[0].to)
	for _, d := range directions {
		if cut {
			m.cuts[d] = true
			continue
		}
		delete(m.cuts, d)
	}
	m.notifyWaiters()
	if !cut {
		delete(m.detectAt, cutPair)
		return
	}
	if _, known := m.detectAt[cutPair]; known {
		return
	}
	due := time.Now().Add(MemoryDetectionDelay)
	m.detectAt[cutPair] = due
	time.AfterFunc(MemoryDetectionDelay, func() { m.detectCut(cutPair, due) })
}

// detectCut closes the connection of a pair and fails its exchanges, unless the
// cut that is detected at due has been healed.
func (m *MemoryNetwork) detectCut(cutPair direction, due time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.detectAt[cutPair].Equal(due) {
		return
	}
	delete(m.connectedPairs, cutPair)
	m.failExchanges(func(x *memoryExchange) bool { return pairOf(x.from, x.to) == cutPair })
}

// failExchanges fails the matching exchanges. The caller must hold m.mu.
func (m *MemoryNetwork) failExchanges(match func(*memoryExchange) bool) {
	for _, n := range m.nodes {
		for x := range n.exchanges {
			if match(x) {
				x.abort(errInterrupted.New("connection lost"))
			}
		}
	}
}

func (m *MemoryNetwork) notifyWaiters() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// waitUntilOpen waits until the direction is not cut. It returns the cause of the
// context's end if that comes first.
func (m *MemoryNetwork) waitUntilOpen(ctx context.Context, from, to string) error {
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

// connect connects two nodes for a request and returns the target, or nil if it
// is not reachable.
func (m *MemoryNetwork) connect(from, to string) *MemoryNode {
	m.mu.Lock()
	defer m.mu.Unlock()
	target, source := m.nodes[to], m.nodes[from]
	if target == nil || source == nil || to == from {
		return nil
	}
	p := pairOf(from, to)
	if m.cuts[direction{from, to}] || m.cuts[direction{to, from}] {
		if !m.connectedPairs[p] {
			return nil
		}
	}
	m.connectedPairs[p] = true
	return target
}

// controlTarget returns the node that receives a control message, or nil if the
// message is lost or there is no such node.
func (m *MemoryNetwork) controlTarget(from, to string) *MemoryNode {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cuts[direction{from, to}] || m.random.Float64() < m.controlLoss {
		return nil
	}
	return m.nodes[to]
}

// MemoryNode is the Transport of a node in a MemoryNetwork.
type MemoryNode struct {
	network *MemoryNetwork
	self    control.Identity
	handler Handler
	ctx     context.Context
	cancel  context.CancelFunc

	// exchanges contains the exchanges that this node has opened. It is guarded
	// by network.mu.
	exchanges map[*memoryExchange]bool

	mu            sync.Mutex
	inbox         []control.Message
	handlingInbox bool
}

var _ Transport = (*MemoryNode)(nil)

// SendControl implements Transport.
func (n *MemoryNode) SendControl(to string, msg control.Message) {
	target := n.network.controlTarget(n.self.Instance, to)
	if target == nil || n.ctx.Err() != nil {
		return
	}
	copied, err := copyMessage(msg)
	if err != nil || copied.From != n.self.Instance {
		return
	}
	target.deliver(copied)
}

// copyMessage encodes and decodes a message, so that sender and receiver share no
// memory.
func copyMessage(msg control.Message) (control.Message, error) {
	var copied control.Message
	data, err := encMode.Marshal(msg)
	if err != nil {
		return copied, err
	}
	return copied, decode(data, &copied)
}

// deliver queues a control message for the handler.
func (n *MemoryNode) deliver(msg control.Message) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.inbox = append(n.inbox, msg)
	if !n.handlingInbox {
		n.handlingInbox = true
		go n.handleInbox()
	}
}

// handleInbox passes queued messages to the handler in order and returns once the
// queue is empty.
func (n *MemoryNode) handleInbox() {
	for {
		n.mu.Lock()
		batch := n.inbox
		n.inbox = nil
		n.handlingInbox = len(batch) > 0
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
		return refuseUnsent(ctx)
	}
	data, err := encMode.Marshal(newRequestHead(role, req, remaining))
	if err != nil || len(data) > DefaultHeadBytes {
		return work.Refuse(work.ReasonBadRequest, 0)
	}
	head, err := parseRequestHead(data)
	if err != nil {
		return work.Refuse(work.ReasonPeerUnreachable, 0)
	}
	ctx, cancel := context.WithDeadline(ctx, req.Deadline.Add(MemoryDetectionDelay))
	x := n.openExchange(ctx, cancel, to)
	if x == nil {
		defer cancel()
		return refuseUnsent(ctx)
	}
	return x.roundTrip(head, req)
}

// HandOverKeys implements Transport.
func (n *MemoryNode) HandOverKeys(ctx context.Context, to string, value []byte) error {
	ctx, cancel := context.WithCancel(ctx)
	x := n.openExchange(ctx, cancel, to)
	if x == nil {
		cancel()
		return Error.New("peer %q is not reachable, keys not sent", to)
	}
	defer x.finish()
	result := make(chan error, 1)
	go func() {
		if err := n.network.waitUntilOpen(x.ctx, x.from, x.to); err != nil {
			return
		}
		err := x.target.handler.AcceptKeys(x.ctx, n.self, append([]byte(nil), value...))
		if n.network.waitUntilOpen(x.ctx, x.to, x.from) == nil {
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
	m.failExchanges(func(x *memoryExchange) bool { return x.from == n.self.Instance || x.to == n.self.Instance })
	delete(m.nodes, n.self.Instance)
	m.notifyWaiters()
	return nil
}
