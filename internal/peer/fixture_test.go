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
	// testTimeout is long enough that it ends only tests that hang, even on a
	// machine under heavy load.
	testTimeout = 30 * time.Second
	// shortTimeout is for timeouts that a test expects to expire.
	shortTimeout = 3 * time.Second
)

// longTiming is the timing of nodes whose timeouts must not expire.
var longTiming = peer.Timing{Dial: testTimeout, Idle: testTimeout, Head: testTimeout}

// shortIdleTiming is the timing of nodes that must detect the loss of a peer.
var shortIdleTiming = peer.Timing{Dial: testTimeout, Idle: shortTimeout, Head: testTimeout}

// handler is a Handler that calls its functions. Only control may be nil when its
// method is called.
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

func (h handler) AcceptKeys(ctx context.Context, from control.Identity, value []byte) error {
	return h.keys(ctx, from, value)
}

// network is the implementation of Transport that the contract suite runs on.
type network interface {
	// start starts or restarts the node of the name.
	start(name string, incarnation uint64, h peer.Handler) peer.Transport
	cutOneWay(from, to string)
	heal(a, b string)
	// setTiming sets the timing of nodes started after the call.
	setTiming(timing peer.Timing)
}

func cutBoth(n network, a, b string) {
	n.cutOneWay(a, b)
	n.cutOneWay(b, a)
}

// memoryFixture is the network over a MemoryNetwork.
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

// quicFixture is the network of Nodes a and b on loopback sockets.
type quicFixture struct {
	t         testing.TB
	authority *pki.Authority
	events    chan peer.Event
	addresses map[string]string
	timing    peer.Timing

	mu      sync.Mutex
	nodes   map[string]*peer.Node
	sockets map[string]*lossySocket
	cuts    map[string]bool // "from>to", by address
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
		timing:    longTiming,
		nodes:     make(map[string]*peer.Node),
		sockets:   make(map[string]*lossySocket),
		cuts:      make(map[string]bool),
	}
	for _, name := range []string{"a", "b"} {
		socket, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		f.addresses[name] = socket.LocalAddr().String()
		f.sockets[name] = &lossySocket{PacketConn: socket, fixture: f}
	}
	t.Cleanup(f.close)
	return f
}

func (f *quicFixture) close() {
	for name, node := range f.nodes {
		_ = node.Close()
		delete(f.nodes, name)
	}
	for _, socket := range f.sockets {
		_ = socket.Close()
	}
}

// keySource returns a certificate for the name, issued by the authority. It trusts
// the authority of the fixture.
func (f *quicFixture) keySource(name string, authority *pki.Authority) *pki.Source {
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

// config returns the configuration of a node on its lossySocket.
func (f *quicFixture) config(name string, incarnation uint64, h peer.Handler) peer.Config {
	return peer.Config{
		Self: name, Incarnation: incarnation, Socket: f.sockets[name], Peers: f.addresses,
		Keys: f.keySource(name, f.authority), Handler: h, Timing: f.timing,
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

// stop closes a node and opens its socket again.
func (f *quicFixture) stop(name string) {
	f.t.Helper()
	_ = f.nodes[name].Close()
	delete(f.nodes, name)
	socket, err := net.ListenPacket("udp", f.addresses[name])
	if err != nil {
		f.t.Fatal(err)
	}
	f.sockets[name] = &lossySocket{PacketConn: socket, fixture: f}
}

// kill stops a node without sending anything more to its peers.
func (f *quicFixture) kill(name string) {
	f.t.Helper()
	f.sockets[name].dropAllPackets()
	f.stop(name)
}

func (f *quicFixture) setTiming(timing peer.Timing) { f.timing = timing }

func (f *quicFixture) cutOneWay(from, to string) { f.setCut(from, to, true) }

func (f *quicFixture) heal(a, b string) {
	f.setCut(a, b, false)
	f.setCut(b, a, false)
}

func (f *quicFixture) setCut(from, to string, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cuts[f.addresses[from]+">"+f.addresses[to]] = cut
}

// lossySocket is a socket that drops the packets in directions that the fixture has
// cut, or all packets after dropAllPackets.
type lossySocket struct {
	net.PacketConn
	fixture *quicFixture

	mu      sync.Mutex
	dropAll bool
}

func (s *lossySocket) dropAllPackets() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropAll = true
}

// WriteTo implements net.PacketConn.
func (s *lossySocket) WriteTo(p []byte, to net.Addr) (int, error) {
	s.mu.Lock()
	drop := s.dropAll
	s.mu.Unlock()
	s.fixture.mu.Lock()
	drop = drop || s.fixture.cuts[s.LocalAddr().String()+">"+to.String()]
	s.fixture.mu.Unlock()
	if drop {
		return len(p), nil
	}
	return s.PacketConn.WriteTo(p, to)
}

// lookupRequest returns a lookup with an optional body.
func lookupRequest(body io.Reader, length int64) *work.Request {
	return &work.Request{
		ID: "0123456789abcdef0123456789abcdef", Service: "status", Kind: work.Lookup,
		Method: "GET", Path: "/x?y=z", Body: body, Length: length,
		Deadline: time.Now().Add(testTimeout),
	}
}

// textResponse returns a response with outcome Run and the body.
func textResponse(body string) *work.Response {
	return &work.Response{
		Outcome: work.Run, Status: 200, Length: int64(len(body)), Body: io.NopCloser(strings.NewReader(body)),
	}
}
