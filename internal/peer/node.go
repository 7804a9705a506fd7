package peer

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"sycamoreledge.example/internal/pki"
)

// Config is what a Node needs. Self, Peers, Keys and Handler are required.
type Config struct {
	// Self is the declared name of this instance, and Incarnation tells this
	// run of its process from others.
	Self        string
	Incarnation uint64
	// Listen is the UDP address, IP:port, or Socket the open socket to use in
	// its place. The Node closes the socket.
	Listen string
	Socket net.PacketConn
	// Peers maps the declared instances to their UDP addresses, IP:port.
	// Connections from other instances are refused.
	Peers map[string]string
	// Keys are this instance's certificate and the authority.
	Keys    *pki.Source
	Handler Handler
	Limits  Limits
	Timing  Timing
	// Events is told of changes and refusals. It must not block; it may be nil.
	Events func(Event)
}

// Limits bounds what peers may ask for. Zero values mean the defaults.
type Limits struct {
	// Streams is the number of concurrent requests on one connection.
	Streams int
	// HeadBytes is the size of the head of a request or response.
	HeadBytes int
	// ControlBytes is the size of a control message.
	ControlBytes int
	// KeysBytes is the size of a handover of idempotency keys.
	KeysBytes int
}

// The default limits.
const (
	DefaultStreams      = 4096
	DefaultHeadBytes    = 64 << 10
	DefaultControlBytes = 1<<20 + 64<<10
	DefaultKeysBytes    = 256 << 20
)

func (l *Limits) setDefaults() {
	setDefault(&l.Streams, DefaultStreams)
	setDefault(&l.HeadBytes, DefaultHeadBytes)
	setDefault(&l.ControlBytes, DefaultControlBytes)
	setDefault(&l.KeysBytes, DefaultKeysBytes)
}

// Timing holds the timeouts of connections. Zero values mean the defaults.
type Timing struct {
	// Dial bounds the set-up of a connection.
	Dial time.Duration
	// Idle is the silence after which a peer counts as dead; requests in
	// flight fail then.
	Idle time.Duration
	// Unused is how long a connection without requests is kept.
	Unused time.Duration
	// Head bounds the wait for the first frame of a stream.
	Head time.Duration
}

// The default timeouts.
const (
	DefaultDialTimeout   = time.Second
	DefaultIdleTimeout   = time.Second
	DefaultUnusedTimeout = 30 * time.Second
	DefaultHeadTimeout   = 5 * time.Second
)

func (t *Timing) setDefaults() {
	setDefault(&t.Dial, DefaultDialTimeout)
	setDefault(&t.Idle, DefaultIdleTimeout)
	setDefault(&t.Unused, DefaultUnusedTimeout)
	t.Unused = max(t.Unused, minUnusedIdles*t.Idle)
	setDefault(&t.Head, DefaultHeadTimeout)
}

func setDefault[T comparable](value *T, preset T) {
	var zero T
	if *value == zero {
		*value = preset
	}
}

const (
	// minUnusedIdles is the least Unused, in idle timeouts: a response must
	// have arrived, or its loss be noticed, before its connection is closed as
	// unused.
	minUnusedIdles = 4
	// keepAliveFraction is the silence, as a fraction of the idle timeout,
	// after which a keep-alive packet goes out. It is longer than the interval
	// of heartbeats, which make keep-alive packets needless, and leaves time
	// for a second one.
	keepAliveFraction = 0.4
	// controlStreams is how many large control messages a peer may have
	// under way on one connection.
	controlStreams = 16

	// Flow control windows, in bytes. A stream whose handler does not read
	// holds back no more than its own window.
	streamWindow        = 256 << 10
	maxStreamWindow     = 4 << 20
	connectionWindow    = 16 << 20
	maxConnectionWindow = 64 << 20

	resetPurpose = "sycamoreledge stateless reset"
)

// Node is the end of all connections of one instance. It implements
// Transport, and serves what peers send through its Handler.
type Node struct {
	config    Config
	counters  counters
	transport *quic.Transport
	listener  *quic.Listener
	quic      *quic.Config
	peers     map[string]*remote

	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

var _ Transport = (*Node)(nil)

// New opens the socket and starts to accept connections from peers.
func New(config Config) (*Node, error) {
	config.Limits.setDefaults()
	config.Timing.setDefaults()
	if err := checkName(config); err != nil {
		return nil, err
	}
	secret, err := config.Keys.Derive(resetPurpose)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	socket, err := openSocket(config)
	if err != nil {
		return nil, err
	}
	resetKey := quic.StatelessResetKey(secret)
	n := &Node{
		config:    config,
		transport: &quic.Transport{Conn: socket, StatelessResetKey: &resetKey},
		quic:      quicConfig(config),
		peers:     make(map[string]*remote, len(config.Peers)),
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	for name, address := range config.Peers {
		n.peers[name] = newRemote(n, name, address)
	}
	n.listener, err = n.transport.Listen(n.serverTLS(), n.quic)
	if err != nil {
		n.cancel()
		_ = socket.Close()
		return nil, Error.Wrap(err)
	}
	n.tasks.Go(n.accept)
	n.tasks.Go(n.closeUnused)
	return n, nil
}

// checkName fails when the certificate was issued to another instance.
func checkName(config Config) error {
	name, err := config.Keys.Name()
	if err != nil {
		return Error.Wrap(err)
	}
	if name != config.Self {
		return Error.New("certificate is issued to %q, this instance is %q", name, config.Self)
	}
	return nil
}

func openSocket(config Config) (net.PacketConn, error) {
	if config.Socket != nil {
		return config.Socket, nil
	}
	socket, err := net.ListenPacket("udp", config.Listen)
	return socket, Error.Wrap(err)
}

func quicConfig(config Config) *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           config.Timing.Dial,
		MaxIdleTimeout:                 config.Timing.Idle,
		KeepAlivePeriod:                time.Duration(keepAliveFraction * float64(config.Timing.Idle)),
		InitialStreamReceiveWindow:     streamWindow,
		MaxStreamReceiveWindow:         maxStreamWindow,
		InitialConnectionReceiveWindow: connectionWindow,
		MaxConnectionReceiveWindow:     maxConnectionWindow,
		MaxIncomingStreams:             int64(config.Limits.Streams),
		MaxIncomingUniStreams:          controlStreams,
		EnableDatagrams:                true,
	}
}

// Address returns the UDP address of the socket.
func (n *Node) Address() net.Addr { return n.transport.Conn.LocalAddr() }

// Stats returns counts since the start.
func (n *Node) Stats() Stats {
	stats := Stats{
		Events:         make(map[EventKind]uint64),
		ControlDropped: n.counters.dropped.Load(),
	}
	for kind := range n.counters.events {
		if count := n.counters.events[kind].Load(); count > 0 {
			stats.Events[EventKind(kind)] = count
		}
	}
	for _, r := range n.peers {
		stats.Connections += r.count()
	}
	return stats
}

// Close implements Transport. Requests in flight are cut off.
func (n *Node) Close() error {
	n.cancel()
	for _, r := range n.peers {
		r.closeAll(codeShutdown, "shutdown")
	}
	_ = n.listener.Close()
	err := n.transport.Close()
	_ = n.transport.Conn.Close()
	n.tasks.Wait()
	return Error.Wrap(err)
}

// declared reports whether the name is one of a possible peer.
func (n *Node) declared(name string) bool {
	_, ok := n.config.Peers[name]
	return ok && name != n.config.Self
}

// serverTLS reports handshakes that fail, which the listener does not show.
func (n *Node) serverTLS() *tls.Config {
	config := n.config.Keys.PeerServer(n.declared, protocolShort, protocolBulk)
	build := config.GetConfigForClient
	config.GetConfigForClient = func(hello *tls.ClientHelloInfo) (*tls.Config, error) {
		address := hello.Conn.RemoteAddr().String()
		n.checkProtocol(hello.SupportedProtos, address)
		own, err := build(hello)
		if err != nil {
			return nil, err
		}
		verify := own.VerifyConnection
		own.VerifyConnection = func(state tls.ConnectionState) error {
			err := verify(state)
			if err != nil {
				n.report(Event{Kind: PeerRefused, Address: address, Err: Error.Wrap(err)})
			}
			return err
		}
		return own, nil
	}
	return config
}

// checkProtocol reports a client that offers no protocol of this version. The
// handshake then fails by itself.
func (n *Node) checkProtocol(offered []string, address string) {
	for _, protocol := range offered {
		if protocol == protocolShort || protocol == protocolBulk {
			return
		}
	}
	err := errVersion.New("peer offers %q, not %q", offered, protocolShort)
	n.report(Event{Kind: VersionRefused, Address: address, Err: Error.Wrap(err)})
}

// accept takes connections of peers until the Node is closed.
func (n *Node) accept() {
	for {
		c, err := n.listener.Accept(n.ctx)
		if err != nil {
			return
		}
		n.adopt(c)
	}
}

// adopt registers a connection that a peer has made.
func (n *Node) adopt(c *quic.Conn) {
	state := c.ConnectionState().TLS
	name, err := pki.PeerName(state)
	if err != nil || !n.declared(name) {
		_ = c.CloseWithError(codeUnwanted, "not a declared instance")
		return
	}
	kind := classShort
	if state.NegotiatedProtocol == protocolBulk {
		kind = classBulk
	}
	n.peers[name].add(c, kind, false)
}

// unusedChecks is how often, in one Timing.Unused, connections are examined.
const unusedChecks = 4

// closeUnused closes connections that nobody used for a while.
func (n *Node) closeUnused() {
	ticker := time.NewTicker(n.config.Timing.Unused / unusedChecks)
	defer ticker.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case now := <-ticker.C:
			for _, r := range n.peers {
				r.closeUnused(now.Add(-n.config.Timing.Unused))
			}
		}
	}
}
