package peer_test

import (
	"context"
	"io"
	"net"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"sycamoreledge.example/internal/control"
	"sycamoreledge.example/internal/peer"
	"sycamoreledge.example/internal/pki"
	"sycamoreledge.example/internal/work"
)

const (
	// testTimeout bounds what a test waits for: it ends only tests that hang,
	// also on a machine that is far from idle.
	testTimeout = 30 * time.Second
	// shortTimeout is a timeout whose lapse a test waits for.
	shortTimeout = 3 * time.Second
)

// patient is the timing of nodes whose timeouts must not lapse.
var patient = peer.Timing{Dial: testTimeout, Idle: testTimeout, Head: testTimeout}

// noticing is the timing of nodes that notice soon when a peer falls silent.
var noticing = peer.Timing{Dial: testTimeout, Idle: shortTimeout, Head: testTimeout}

// handler is a Handler made of functions.
type handler struct {
	control func(control.Message)
	serve   func(context.Context, peer.Role, *work.Request) *work.Response
	keys    func(context.Context, control.Identity, []byte) error
}

func (h handler) HandleControl(msg control.Message) {
	if h.control != nil {
		h.control(msg)
	}
}

func (h handler) ServeWork(ctx context.Context, role peer.Role, req *work.Request) *work.Response {
	return h.serve(ctx, role, req)
}

func (h handler) TakeKeys(ctx context.Context, from control.Identity, value []byte) error {
	return h.keys(ctx, from, value)
}

// network is what the contract suite runs on.
type network interface {
	// start starts or restarts a node.
	start(name string, incarnation uint64, h peer.Handler) peer.Transport
	cutOneWay(from, to string)
	heal(a, b string)
	// setTiming sets the timing of nodes that are started later.
	setTiming(timing peer.Timing)
}

func cutBoth(n network, a, b string) {
	n.cutOneWay(a, b)
	n.cutOneWay(b, a)
}

// memoryFixture runs on a MemoryNetwork.
type memoryFixture struct{ *peer.MemoryNetwork }

func newMemoryFixture(*testing.T) network {
	return memoryFixture{peer.NewMemoryNetwork(1)}
}

func (f memoryFixture) start(name string, incarnation uint64, h peer.Handler) peer.Transport {
	return f.Join(control.Identity{Instance: name, Incarnation: incarnation}, h)
}

func (f memoryFixture) cutOneWay(from, to string) { f.CutOneWay(from, to) }
func (f memoryFixture) heal(a, b string)          { f.Heal(a, b) }
func (f memoryFixture) setTiming(peer.Timing)     {}

// quicFixture runs Nodes on loopback sockets.
type quicFixture struct {
	t         testing.TB
	authority *pki.Authority
	events    chan peer.Event
	addresses map[string]string
	timing    peer.Timing

	mu    sync.Mutex
	nodes map[string]*peer.Node
	gates map[string]*gate
	cuts  map[string]bool // "from>to", by address
}

func newQUICFixture(t *testing.T) network { return makeQUICFixture(t) }

func makeQUICFixture(t testing.TB) *quicFixture {
	t.Helper()
	authority, err := pki.NewAuthority("firm", time.Now())
	if err != nil {
		t.Fatal(err)
	}
	f := &quicFixture{
		t: t, authority: authority,
		events:    make(chan peer.Event, 1000),
		addresses: make(map[string]string),
		timing:    patient,
		nodes:     make(map[string]*peer.Node),
		gates:     make(map[string]*gate),
		cuts:      make(map[string]bool),
	}
	for _, name := range []string{"a", "b"} {
		socket, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		f.addresses[name] = socket.LocalAddr().String()
		f.gates[name] = &gate{PacketConn: socket, fixture: f}
	}
	t.Cleanup(f.close)
	return f
}

func (f *quicFixture) close() {
	for name, node := range f.nodes {
		_ = node.Close()
		delete(f.nodes, name)
	}
	for _, g := range f.gates {
		_ = g.Close()
	}
}

// source makes keys for a name.
func (f *quicFixture) source(name string, authority *pki.Authority) *pki.Source {
	f.t.Helper()
	dir := f.t.TempDir()
	files := pki.Files{
		Authority:   filepath.Join(dir, "authority.pem"),
		Certificate: filepath.Join(dir, "certificate.pem"),
		Key:         filepath.Join(dir, "key.pem"),
	}
	pair, err := authority.Issue(name, nil, time.Now())
	if err != nil {
		f.t.Fatal(err)
	}
	if err := pair.Write(files.Certificate, files.Key); err != nil {
		f.t.Fatal(err)
	}
	if err := f.authority.Pair().Write(files.Authority, filepath.Join(dir, "unused.pem")); err != nil {
		f.t.Fatal(err)
	}
	source, err := pki.NewSource(files, pki.Options{})
	if err != nil {
		f.t.Fatal(err)
	}
	return source
}

// config is the configuration of a node on its gate.
func (f *quicFixture) config(name string, incarnation uint64, h peer.Handler) peer.Config {
	return peer.Config{
		Self: name, Incarnation: incarnation, Socket: f.gates[name], Peers: f.addresses,
		Keys: f.source(name, f.authority), Handler: h, Timing: f.timing,
		Events: func(event peer.Event) {
			select {
			case f.events <- event:
			default:
			}
		},
	}
}

func (f *quicFixture) start(name string, incarnation uint64, h peer.Handler) peer.Transport {
	f.t.Helper()
	if f.nodes[name] != nil {
		f.stop(name)
	}
	return f.startWith(f.config(name, incarnation, h))
}

func (f *quicFixture) startWith(config peer.Config) *peer.Node {
	f.t.Helper()
	node, err := peer.New(config)
	if err != nil {
		f.t.Fatal(err)
	}
	f.nodes[config.Self] = node
	return node
}

// stop ends a node and opens its socket anew.
func (f *quicFixture) stop(name string) {
	f.t.Helper()
	_ = f.nodes[name].Close()
	delete(f.nodes, name)
	socket, err := net.ListenPacket("udp", f.addresses[name])
	if err != nil {
		f.t.Fatal(err)
	}
	f.gates[name] = &gate{PacketConn: socket, fixture: f}
}

// kill ends a node without a word to its peers.
func (f *quicFixture) kill(name string) {
	f.t.Helper()
	f.gates[name].silence()
	f.stop(name)
}

func (f *quicFixture) setTiming(timing peer.Timing) { f.timing = timing }

func (f *quicFixture) cutOneWay(from, to string) { f.set(from, to, true) }

func (f *quicFixture) heal(a, b string) {
	f.set(a, b, false)
	f.set(b, a, false)
}

func (f *quicFixture) set(from, to string, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cuts[f.addresses[from]+">"+f.addresses[to]] = cut
}

// gate is a socket whose packets are dropped where the fixture says so.
type gate struct {
	net.PacketConn
	fixture *quicFixture

	mu     sync.Mutex
	silent bool
}

func (g *gate) silence() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.silent = true
}

// WriteTo implements net.PacketConn.
func (g *gate) WriteTo(p []byte, to net.Addr) (int, error) {
	g.mu.Lock()
	drop := g.silent
	g.mu.Unlock()
	g.fixture.mu.Lock()
	drop = drop || g.fixture.cuts[g.LocalAddr().String()+">"+to.String()]
	g.fixture.mu.Unlock()
	if drop {
		return len(p), nil
	}
	return g.PacketConn.WriteTo(p, to)
}

// lookup returns a request with an optional body.
func lookup(body io.Reader, length int64) *work.Request {
	return &work.Request{
		ID: "0123456789abcdef0123456789abcdef", Service: "status", Kind: work.Lookup,
		Method: "GET", Path: "/x?y=z", Body: body, Length: length,
		Deadline: time.Now().Add(testTimeout),
	}
}

// text returns a run response with a body.
func text(s string) *work.Response {
	return &work.Response{
		Outcome: work.Run, Status: 200, Length: int64(len(s)), Body: io.NopCloser(strings.NewReader(s)),
	}
}
