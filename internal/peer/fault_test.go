package peer_test

import (
	"context"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/onsi/gomega"
	"github.com/quic-go/quic-go"

	"sycamoreledge.example/internal/control"
	"sycamoreledge.example/internal/peer"
	"sycamoreledge.example/internal/pki"
	"sycamoreledge.example/internal/work"
)

// Frame types and limits as docs/PROTOCOL.md gives them.
const (
	typeRequest = 1
	typeChunk   = 3
	typeEnd     = 4
	typeControl = 5
	typeKeys    = 6

	headLimit = 64 << 10
)

func frame(kind byte, payload []byte) []byte {
	b := binary.BigEndian.AppendUint32([]byte{kind}, uint32(len(payload)))
	return append(b, payload...)
}

func mustCBOR(value any) []byte {
	data, err := cbor.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}

// rawHead is a valid head of a request, to be spoiled.
func rawHead() map[int]any {
	return map[int]any{
		1: 1, 2: 1, 3: "id", 4: "status", 5: "lookup", 6: "GET", 7: "/", 9: -1, 10: true,
		11: int64(time.Minute), 13: map[int]any{1: "", 2: ""},
	}
}

func spoiled(key int, value any) []byte {
	head := rawHead()
	head[key] = value
	return frame(typeRequest, mustCBOR(head))
}

// rawDial connects to b as a peer that breaks the rules.
func rawDial(t *testing.T, f *quicFixture, config *tls.Config) (*quic.Conn, error) {
	t.Helper()
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	transport := &quic.Transport{Conn: socket}
	t.Cleanup(func() {
		_ = transport.Close()
		_ = socket.Close()
	})
	address, err := net.ResolveUDPAddr("udp", f.addresses["b"])
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	return transport.Dial(ctx, address, config, &quic.Config{
		EnableDatagrams: true, HandshakeIdleTimeout: testTimeout, MaxIdleTimeout: testTimeout,
	})
}

// expectEvent waits for an event of the kind.
func expectEvent(g gomega.Gomega, f *quicFixture, kind peer.EventKind) peer.Event {
	var found peer.Event
	g.Eventually(func() bool {
		select {
		case event := <-f.events:
			found = event
			return event.Kind == kind
		default:
			return false
		}
	}, testTimeout).Should(gomega.BeTrue(), "event %s", kind)
	return found
}

// expectServing checks that b still answers a.
func expectServing(g gomega.Gomega, f *quicFixture) {
	a := f.start("a", 1, handler{})
	resp := a.Do(context.Background(), "b", peer.RolePool, lookup(strings.NewReader("x"), 1))
	g.Expect(resp.Outcome).To(gomega.Equal(work.Run))
	expectBody(g, resp, "x")
}

func TestBadHandshakesAreRefused(t *testing.T) {
	cases := []struct {
		name     string
		peer     string
		foreign  bool
		protocol string
		event    peer.EventKind
	}{
		{name: "another authority", peer: "a", foreign: true, protocol: pki.Protocol, event: peer.PeerRefused},
		{name: "undeclared name", peer: "x", protocol: pki.Protocol, event: peer.PeerRefused},
		{name: "own name", peer: "b", protocol: pki.Protocol, event: peer.PeerRefused},
		{name: "another version", peer: "a", protocol: "sycamoreledge/2", event: peer.VersionRefused},
		{name: "another protocol", peer: "a", protocol: "h3", event: peer.VersionRefused},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			f := makeQUICFixture(t)
			f.start("b", 1, handler{serve: echo})
			authority := f.authority
			if c.foreign {
				var err error
				authority, err = pki.NewAuthority("other", time.Now())
				g.Expect(err).NotTo(gomega.HaveOccurred())
			}
			// The dialing side trusts b, so that b alone decides.
			conn, err := rawDial(t, f, f.source(c.peer, authority).PeerClient("b", c.protocol))
			if err == nil {
				<-conn.Context().Done()
				err = context.Cause(conn.Context())
			}
			var refusal *quic.TransportError
			g.Expect(errors.As(err, &refusal)).To(gomega.BeTrue(), "%v", err)
			g.Expect(refusal.ErrorCode.IsCryptoError()).To(gomega.BeTrue())
			expectEvent(g, f, c.event)
			expectServing(g, f)
		})
	}
}

func TestPeerWithoutCertificateIsRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	f := makeQUICFixture(t)
	f.start("b", 1, handler{serve: echo})
	config := f.source("a", f.authority).PeerClient("b", pki.Protocol)
	config.Certificates = nil
	conn, err := rawDial(t, f, config)
	if err == nil {
		<-conn.Context().Done()
		err = context.Cause(conn.Context())
	}
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("certificate")))
	expectServing(g, f)
}

func TestRequestToUnauthenticatedPeerIsNotRun(t *testing.T) {
	cases := map[string]func(f *quicFixture) peer.Config{
		"the peer does not trust this instance": func(f *quicFixture) peer.Config {
			config := f.config("b", 1, handler{serve: echo})
			config.Peers = map[string]string{"c": "127.0.0.1:1"}
			return config
		},
		"another instance answers at the address": func(f *quicFixture) peer.Config {
			config := f.config("b", 1, handler{serve: echo})
			config.Self, config.Keys = "c", f.source("c", f.authority)
			return config
		},
	}
	for name, make := range cases {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			f := makeQUICFixture(t)
			f.startWith(make(f))
			a := f.start("a", 1, handler{})
			resp := a.Do(context.Background(), "b", peer.RolePool, lookup(nil, 0))
			g.Expect(resp).To(gomega.Equal(work.Refuse(work.ReasonPeerUnreachable, 0)))
		})
	}
}

func TestCertificateOfAnotherInstanceIsRefusedAtStart(t *testing.T) {
	g := gomega.NewWithT(t)
	f := makeQUICFixture(t)
	config := f.config("a", 1, handler{})
	config.Self = "b"
	_, err := peer.New(config)
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(`issued to "a"`)))
}

func TestBadStreamsAreRefusedBeforeHandling(t *testing.T) {
	const refused, version, malformed = 1, 2, 3
	cases := []struct {
		name  string
		bytes []byte
		code  quic.StreamErrorCode
		event peer.EventKind
	}{
		{name: "garbage", bytes: []byte(strings.Repeat("garbage ", 1000)), code: malformed, event: peer.OversizedRefused},
		{name: "unknown frame", bytes: frame(99, []byte("x")), code: malformed, event: peer.MalformedRefused},
		{name: "oversized head", bytes: frame(typeRequest, make([]byte, headLimit+1)), code: malformed, event: peer.OversizedRefused},
		{name: "head is no CBOR", bytes: frame(typeRequest, []byte{0xff, 0xff}), code: malformed, event: peer.MalformedRefused},
		{name: "empty head", bytes: frame(typeRequest, nil), code: malformed, event: peer.MalformedRefused},
		{name: "trailing bytes in head", bytes: frame(typeRequest, append(mustCBOR(rawHead()), 0)), code: malformed, event: peer.MalformedRefused},
		{name: "another version", bytes: spoiled(1, 2), code: version, event: peer.VersionRefused},
		{name: "unknown role", bytes: spoiled(2, 9), code: malformed, event: peer.MalformedRefused},
		{name: "unknown kind", bytes: spoiled(5, "other"), code: malformed, event: peer.MalformedRefused},
		{name: "no service", bytes: spoiled(4, ""), code: malformed, event: peer.MalformedRefused},
		{name: "no time left", bytes: spoiled(11, 0), code: malformed, event: peer.MalformedRefused},
		{name: "negative length", bytes: spoiled(9, -2), code: malformed, event: peer.MalformedRefused},
		{name: "wrong type of field", bytes: spoiled(8, 7), code: malformed, event: peer.MalformedRefused},
		{name: "oversized keys", bytes: frame(typeKeys, mustCBOR(map[int]any{1: 1, 2: 1, 3: int64(1) << 40})), code: malformed, event: peer.OversizedRefused},
		{name: "keys of another version", bytes: frame(typeKeys, mustCBOR(map[int]any{1: 7, 2: 1, 3: 1})), code: version, event: peer.VersionRefused},
		{
			name: "keys with a wrong checksum", code: malformed, event: peer.MalformedRefused,
			bytes: append(append(frame(typeKeys, mustCBOR(map[int]any{1: 1, 2: 1, 3: 1})), frame(typeChunk, []byte("x"))...), frame(typeEnd, make([]byte, 16))...),
		},
		{name: "cut in the head", bytes: spoiled(4, "status")[:20], code: refused},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			f := makeQUICFixture(t)
			handled := make(chan string, 1)
			f.start("b", 1, handler{
				serve: func(ctx context.Context, role peer.Role, req *work.Request) *work.Response {
					if req.Body == nil || req.ID == "id" {
						handled <- "request"
					}
					return echo(ctx, role, req)
				},
				keys: func(context.Context, control.Identity, []byte) error {
					handled <- "keys"
					return nil
				},
			})
			conn, err := rawDial(t, f, f.source("a", f.authority).PeerClient("b", pki.Protocol))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			stream, err := conn.OpenStream()
			g.Expect(err).NotTo(gomega.HaveOccurred())
			_, _ = stream.Write(c.bytes)
			_ = stream.Close()
			_, err = stream.Read(make([]byte, 1))
			var reset *quic.StreamError
			g.Expect(errors.As(err, &reset)).To(gomega.BeTrue(), "%v", err)
			g.Expect(reset.ErrorCode).To(gomega.Equal(c.code))
			if c.event != 0 {
				event := expectEvent(g, f, c.event)
				g.Expect(event.Peer).To(gomega.Equal("a"))
				g.Expect(event.Err).To(gomega.HaveOccurred())
			}
			g.Expect(handled).NotTo(gomega.Receive())
			_ = conn.CloseWithError(0, "")
			expectServing(g, f)
		})
	}
}

func TestBadBodiesFailInTheHandler(t *testing.T) {
	head := frame(typeRequest, mustCBOR(rawHead()))
	end := func(total, sum uint64) []byte {
		b := binary.BigEndian.AppendUint64(nil, total)
		return frame(typeEnd, binary.BigEndian.AppendUint64(b, sum))
	}
	const emptySum = 0xef46db3751d8e999 // xxhash64 of no bytes
	join := func(parts ...[]byte) []byte { return []byte(strings.Join(toStrings(parts), "")) }
	cases := map[string][]byte{
		"wrong checksum":        join(head, frame(typeChunk, []byte("abc")), end(3, 1)),
		"wrong length":          join(head, frame(typeChunk, []byte("abc")), end(4, 0)),
		"no end":                join(head, frame(typeChunk, []byte("abc"))),
		"end of another size":   join(head, frame(typeEnd, []byte("abc"))),
		"empty chunk":           join(head, frame(typeChunk, nil), end(0, emptySum)),
		"oversized chunk":       join(head, frame(typeChunk, make([]byte, 64<<10+1))),
		"another frame":         join(head, frame(typeControl, []byte("abc"))),
		"cut in a chunk header": join(head, []byte{typeChunk, 0}),
		"cut in a chunk":        join(head, frame(typeChunk, []byte("abc"))[:6]),
		"data after the end":    join(head, end(0, emptySum), []byte("x")),
	}
	for name, bytes := range cases {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			f := makeQUICFixture(t)
			readErr := make(chan error, 2)
			f.start("b", 1, handler{serve: func(ctx context.Context, role peer.Role, req *work.Request) *work.Response {
				if req.ID != "id" {
					return echo(ctx, role, req)
				}
				_, err := io.ReadAll(req.Body)
				readErr <- err
				return work.Refuse(work.ReasonBadRequest, 0)
			}})
			conn, err := rawDial(t, f, f.source("a", f.authority).PeerClient("b", pki.Protocol))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			stream, err := conn.OpenStream()
			g.Expect(err).NotTo(gomega.HaveOccurred())
			_, _ = stream.Write(bytes)
			_ = stream.Close()
			g.Eventually(readErr, testTimeout).Should(gomega.Receive(gomega.HaveOccurred()))
			_ = conn.CloseWithError(0, "")
			expectServing(g, f)
		})
	}
}

func toStrings(parts [][]byte) []string {
	all := make([]string, len(parts))
	for i, part := range parts {
		all[i] = string(part)
	}
	return all
}

func TestBadControlMessagesAreRefused(t *testing.T) {
	message := mustCBOR(heartbeat("a", 1))
	cases := []struct {
		name     string
		datagram []byte
		stream   []byte
		event    peer.EventKind
	}{
		{name: "empty datagram", datagram: []byte{1}, event: peer.MalformedRefused},
		{name: "another version", datagram: append([]byte{2, typeControl}, message...), event: peer.VersionRefused},
		{name: "another frame", datagram: append([]byte{1, typeChunk}, message...), event: peer.MalformedRefused},
		{name: "garbage datagram", datagram: []byte{1, typeControl, 0xff}, event: peer.MalformedRefused},
		{name: "wrong sender", datagram: append([]byte{1, typeControl}, mustCBOR(heartbeat("b", 1))...), event: peer.SenderRefused},
		{name: "stream of another version", stream: append([]byte{2}, frame(typeControl, message)...), event: peer.VersionRefused},
		{name: "stream with another frame", stream: append([]byte{1}, frame(typeKeys, message)...), event: peer.MalformedRefused},
		{name: "oversized", stream: []byte{1, typeControl, 0x10, 0, 0, 0}, event: peer.OversizedRefused},
		{name: "garbage stream", stream: append([]byte{1}, frame(typeControl, []byte("zzz"))...), event: peer.MalformedRefused},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			f := makeQUICFixture(t)
			got := make(chan control.Message, 2)
			f.start("b", 1, handler{serve: echo, control: func(msg control.Message) { got <- msg }})
			conn, err := rawDial(t, f, f.source("a", f.authority).PeerClient("b", pki.Protocol))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			if c.datagram != nil {
				g.Expect(conn.SendDatagram(c.datagram)).To(gomega.Succeed())
			}
			if c.stream != nil {
				stream, err := conn.OpenUniStream()
				g.Expect(err).NotTo(gomega.HaveOccurred())
				_, _ = stream.Write(c.stream)
				_ = stream.Close()
			}
			g.Expect(expectEvent(g, f, c.event).Peer).To(gomega.Equal("a"))
			g.Expect(got).NotTo(gomega.Receive())
			_ = conn.CloseWithError(0, "")
			expectServing(g, f)
		})
	}
}
