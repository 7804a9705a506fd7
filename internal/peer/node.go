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

// Config configures a Node. Self, Peers, Keys and Handler are required.
type Config struct {
	// Self is the declared name of this instance. Incarnation distinguishes this
	// run of its process from other runs.
	Self        string
	Incarnation uint64
	// Listen is the UDP address, IP:port, to listen on. If Socket is set, this
	// open socket is used instead. The Node closes the socket.
	Listen string
	Socket net.PacketConn
	// Peers maps the names of the declared instances, which are those of the
	// topology, to their UDP addresses, IP:port. Connections from other
	// instances are refused.
	Peers map[string]string
	// Keys provides the certificate of this instance and the certificate
	// authority.
	Keys    *pki.Source
	Handler Handler
	Limits  Limits
	Timing  Timing
	// Events is called with each Event. It must not block. It may be nil.
	Events func(Event)
}

// Limits bounds the resources that peers may use. Zero values mean the defaults.
type Limits struct {
	// Streams is the largest number of concurrent requests on one connection.
	Streams int
	// HeadBytes is the largest size of the head of a request or response.
	HeadBytes int
	// ControlBytes is the largest size of a control message.
	ControlBytes int
	// KeysBytes is the largest size of a handover of idempotency keys.
	KeysBytes int
}

// Defaults of the fields of Limits.
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
	// Dial limits the time to establish a connection.
	Dial time.Duration
	// Idle is the time without packets from a peer after which a connection is
	// lost. Its requests in flight then fail.
	Idle time.Duration
	// Unused is the time after which a connection without requests and control
	// messages is closed. It is at least minUnusedIdleTimeouts times Idle.
	Unused time.Duration
	// Head limits the wait for the first frame of a stream.
	Head time.Duration
}

// Defaults of the fields of Timing.
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
	t.Unused = max(t.Unused, minUnusedIdleTimeouts*t.Idle)
	setDefault(&t.Head, DefaultHeadTimeout)
}

func setDefault[T comparable](value *T, defaultValue T) {
	var zero T
	if *value == zero {
		*value = defaultValue
	}
}

const (
	// minUnusedIdleTimeouts is the smallest Timing.Unused, in multiples of
	// Timing.Idle: a response must have arrived, or its loss have been detected,
	// before the connection is closed as unused.
	minUnusedIdleTimeouts = 4
	// keepAliveFraction is the time without packets after which a keep-alive
	// packet is sent, as a fraction of Timing.Idle. It is longer than the
	// heartbeat interval, since heartbeats make keep-alive packets unnecessary,
	// and short enough for a second keep-alive packet before the idle timeout.
	keepAliveFraction = 0.4
	// maxControlStreams is the largest number of concurrent streams with control
	// messages from the peer on one connection.
	maxControlStreams = 16

	// Flow control windows, in bytes. A stream whose handler does not read uses
	// up no more than its own window of the connection's window.
	initialStreamWindow     = 256 << 10
	maxStreamWindow         = 4 << 20
	initialConnectionWindow = 16 << 20
	maxConnectionWindow     = 64 << 20

	statelessResetPurpose = "sycamoreledge stateless reset"
)

// Node is the Transport of one instance over QUIC. It also serves the requests,
// control messages and key handovers of peers with its Handler.
type Node struct {
	config    Config
	counters  counters
	transport *quic.Transport
	listener  *quic.Listener
	quic      *quic.Config
	peers     map[string]*remotePeer

	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

var _ Transport = (*Node)(nil)

// New opens the socket and starts to accept connections from peers. It fails if
// the certificate was issued to another instance.
func New(config Config) (*Node, error) {
	config.Limits.setDefaults()
	config.Timing.setDefaults()
	if err := checkCertificateName(config); err != nil {
		return nil, err
	}
	secret, err := config.Keys.Derive(statelessResetPurpose)
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
		peers:     make(map[string]*remotePeer, len(config.Peers)),
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	for name, address := range config.Peers {
		n.peers[name] = newRemotePeer(n, name, address)
	}
	n.listener, err = n.transport.Listen(n.serverTLS(), n.quic)
	if err != nil {
		n.cancel()
		_ = socket.Close()
		return nil, Error.Wrap(err)
	}
	n.tasks.Go(n.acceptConnections)
	n.tasks.Go(n.closeUnused)
	return n, nil
}

// checkCertificateName returns an error if the certificate was issued to another
// instance.
func checkCertificateName(config Config) error {
	name, err := config.Keys.Name()
	if err != nil {
		return Error.Wrap(err)
	}
	if name != config.Self {
		return Error.New("certificate was issued to %q, expected this instance, %q", name, config.Self)
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
		InitialStreamReceiveWindow:     initialStreamWindow,
		MaxStreamReceiveWindow:         maxStreamWindow,
		InitialConnectionReceiveWindow: initialConnectionWindow,
		MaxConnectionReceiveWindow:     maxConnectionWindow,
		MaxIncomingStreams:             int64(config.Limits.Streams),
		MaxIncomingUniStreams:          maxControlStreams,
		EnableDatagrams:                true,
	}
}

// Address returns the local UDP address of the socket.
func (n *Node) Address() net.Addr { return n.transport.Conn.LocalAddr() }

// Stats returns a snapshot of the counters.
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
		stats.Connections += r.connectionCount()
	}
	return stats
}

// Close implements Transport. Requests in flight fail.
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

// isDeclaredPeer reports whether the name is that of a declared instance other
// than this one.
func (n *Node) isDeclaredPeer(name string) bool {
	_, ok := n.config.Peers[name]
	return ok && name != n.config.Self
}

// serverTLS returns the TLS configuration of the listener. Its callbacks report
// failed handshakes, since the listener does not return them.
func (n *Node) serverTLS() *tls.Config {
	config := n.config.Keys.PeerServer(n.isDeclaredPeer, protocolShort, protocolBulk)
	configForClient := config.GetConfigForClient
	config.GetConfigForClient = func(hello *tls.ClientHelloInfo) (*tls.Config, error) {
		address := hello.Conn.RemoteAddr().String()
		n.checkProtocol(hello.SupportedProtos, address)
		clientConfig, err := configForClient(hello)
		if err != nil {
			return nil, err
		}
		verify := clientConfig.VerifyConnection
		clientConfig.VerifyConnection = func(state tls.ConnectionState) error {
			err := verify(state)
			if err != nil {
				n.report(Event{Kind: PeerRefused, Address: address, Err: Error.Wrap(err)})
			}
			return err
		}
		return clientConfig, nil
	}
	return config
}

// checkProtocol reports a client that offers no protocol of this version. The TLS
// handshake then fails without further action.
func (n *Node) checkProtocol(offered []string, address string) {
	for _, protocol := range offered {
		if protocol == protocolShort || protocol == protocolBulk {
			return
		}
	}
	err := errVersion.New("peer offers the protocols %q, expected %q; connection refused", offered, protocolShort)
	n.report(Event{Kind: VersionRefused, Address: address, Err: Error.Wrap(err)})
}

// acceptConnections accepts connections from peers until the Node is closed.
func (n *Node) acceptConnections() {
	for {
		c, err := n.listener.Accept(n.ctx)
		if err != nil {
			return
		}
		n.addAccepted(c)
	}
}

// addAccepted registers an accepted connection. It closes connections from clients
// that are not declared instances.
func (n *Node) addAccepted(c *quic.Conn) {
	state := c.ConnectionState().TLS
	name, err := pki.PeerName(state)
	if err != nil || !n.isDeclaredPeer(name) {
		_ = c.CloseWithError(codeNotDeclared, "not a declared instance")
		return
	}
	class := classShort
	if state.NegotiatedProtocol == protocolBulk {
		class = classBulk
	}
	n.peers[name].add(c, class, false)
}

// unusedChecksPerTimeout is the number of checks for unused connections in one
// Timing.Unused.
const unusedChecksPerTimeout = 4

// closeUnused periodically closes connections that were not used for
// Timing.Unused, until the Node is closed.
func (n *Node) closeUnused() {
	ticker := time.NewTicker(n.config.Timing.Unused / unusedChecksPerTimeout)
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
