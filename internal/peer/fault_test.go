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

// Frame types and limits as documented in docs/PROTOCOL.md, in bytes.
const (
	typeRequest = 1
	typeChunk   = 3
	typeEnd     = 4
	typeControl = 5
	typeKeys    = 6

	headLimit = 64 << 10
)

func encodeFrame(kind byte, payload []byte) []byte {
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

// validRequestHead returns the fields of a valid request head. Tests replace single
// fields by invalid values; see requestWithField.
func validRequestHead() map[int]any {
	return map[int]any{
		1: 1, 2: 1, 3: "id", 4: "status", 5: "lookup", 6: "GET", 7: "/", 9: -1, 10: true,
		11: int64(time.Minute), 13: map[int]any{1: "", 2: ""},
	}
}

func requestWithField(key int, value any) []byte {
	head := validRequestHead()
	head[key] = value
	return encodeFrame(typeRequest, mustCBOR(head))
}

// dialB connects to node b over plain QUIC, so that tests can send invalid input.
func dialB(t *testing.T, f *quicFixture, config *tls.Config) (*quic.Conn, error) {
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

// expectEvent waits for an event of the kind and returns it.
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
	}, testTimeout).Should(gomega.BeTrue(), "expected an event of kind %s", kind)
	return found
}

// expectServing checks that node b still serves requests from node a.
func expectServing(g gomega.Gomega, f *quicFixture) {
	a := f.start("a", 1, handler{})
	resp := a.Do(context.Background(), "b", peer.RolePool, lookupRequest(strings.NewReader("x"), 1))
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
		{name: "certificate of another authority", peer: "a", foreign: true, protocol: pki.Protocol, event: peer.PeerRefused},
		{name: "certificate of an undeclared instance", peer: "x", protocol: pki.Protocol, event: peer.PeerRefused},
		{name: "certificate of the server's own name", peer: "b", protocol: pki.Protocol, event: peer.PeerRefused},
		{name: "other protocol version", peer: "a", protocol: "sycamoreledge/2", event: peer.VersionRefused},
		{name: "other application protocol", peer: "a", protocol: "h3", event: peer.VersionRefused},
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
			// The dialing side accepts b's certificate, so that only b can refuse.
			conn, err := dialB(t, f, f.keySource(c.peer, authority).PeerClient("b", c.protocol))
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
	config := f.keySource("a", f.authority).PeerClient("b", pki.Protocol)
	config.Certificates = nil
	conn, err := dialB(t, f, config)
	if err == nil {
		<-conn.Context().Done()
		err = context.Cause(conn.Context())
	}
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("certificate")))
	expectServing(g, f)
}

func TestRequestToUnauthenticatedPeerIsNotRun(t *testing.T) {
	cases := map[string]func(f *quicFixture) peer.Config{
		"the peer does not declare this instance": func(f *quicFixture) peer.Config {
			config := f.config("b", 1, handler{serve: echo})
			config.Peers = map[string]string{"c": "127.0.0.1:1"}
			return config
		},
		"another instance answers at the address": func(f *quicFixture) peer.Config {
			config := f.config("b", 1, handler{serve: echo})
			config.Self, config.Keys = "c", f.keySource("c", f.authority)
			return config
		},
	}
	for name, configOf := range cases {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			f := makeQUICFixture(t)
			f.startWith(configOf(f))
			a := f.start("a", 1, handler{})
			resp := a.Do(context.Background(), "b", peer.RolePool, lookupRequest(nil, 0))
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
		{name: "unknown frame type", bytes: encodeFrame(99, []byte("x")), code: malformed, event: peer.MalformedRefused},
		{name: "oversized head", bytes: encodeFrame(typeRequest, make([]byte, headLimit+1)), code: malformed, event: peer.OversizedRefused},
		{name: "head is not CBOR", bytes: encodeFrame(typeRequest, []byte{0xff, 0xff}), code: malformed, event: peer.MalformedRefused},
		{name: "empty head", bytes: encodeFrame(typeRequest, nil), code: malformed, event: peer.MalformedRefused},
		{name: "trailing bytes in head", bytes: encodeFrame(typeRequest, append(mustCBOR(validRequestHead()), 0)), code: malformed, event: peer.MalformedRefused},
		{name: "other version", bytes: requestWithField(1, 2), code: version, event: peer.VersionRefused},
		{name: "unknown role", bytes: requestWithField(2, 9), code: malformed, event: peer.MalformedRefused},
		{name: "unknown kind", bytes: requestWithField(5, "other"), code: malformed, event: peer.MalformedRefused},
		{name: "no service", bytes: requestWithField(4, ""), code: malformed, event: peer.MalformedRefused},
		{name: "no remaining time", bytes: requestWithField(11, 0), code: malformed, event: peer.MalformedRefused},
		{name: "negative length", bytes: requestWithField(9, -2), code: malformed, event: peer.MalformedRefused},
		{name: "field of the wrong type", bytes: requestWithField(8, 7), code: malformed, event: peer.MalformedRefused},
		{name: "oversized keys", bytes: encodeFrame(typeKeys, mustCBOR(map[int]any{1: 1, 2: 1, 3: int64(1) << 40})), code: malformed, event: peer.OversizedRefused},
		{name: "keys of another protocol version", bytes: encodeFrame(typeKeys, mustCBOR(map[int]any{1: 7, 2: 1, 3: 1})), code: version, event: peer.VersionRefused},
		{
			name: "keys with a wrong checksum", code: malformed, event: peer.MalformedRefused,
			bytes: append(append(encodeFrame(typeKeys, mustCBOR(map[int]any{1: 1, 2: 1, 3: 1})), encodeFrame(typeChunk, []byte("x"))...), encodeFrame(typeEnd, make([]byte, 16))...),
		},
		{name: "stream ends in the head", bytes: requestWithField(4, "status")[:20], code: refused},
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
			conn, err := dialB(t, f, f.keySource("a", f.authority).PeerClient("b", pki.Protocol))
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
	head := encodeFrame(typeRequest, mustCBOR(validRequestHead()))
	endFrame := func(total, sum uint64) []byte {
		b := binary.BigEndian.AppendUint64(nil, total)
		return encodeFrame(typeEnd, binary.BigEndian.AppendUint64(b, sum))
	}
	const emptyChecksum = 0xef46db3751d8e999 // xxhash64 of no bytes
	join := func(parts ...[]byte) []byte { return []byte(strings.Join(toStrings(parts), "")) }
	cases := map[string][]byte{
		"wrong checksum":                join(head, encodeFrame(typeChunk, []byte("abc")), endFrame(3, 1)),
		"wrong length":                  join(head, encodeFrame(typeChunk, []byte("abc")), endFrame(4, 0)),
		"no end frame":                  join(head, encodeFrame(typeChunk, []byte("abc"))),
		"end frame of wrong size":       join(head, encodeFrame(typeEnd, []byte("abc"))),
		"empty chunk":                   join(head, encodeFrame(typeChunk, nil), endFrame(0, emptyChecksum)),
		"oversized chunk":               join(head, encodeFrame(typeChunk, make([]byte, 64<<10+1))),
		"unexpected frame type":         join(head, encodeFrame(typeControl, []byte("abc"))),
		"stream ends in a chunk header": join(head, []byte{typeChunk, 0}),
		"stream ends in a chunk":        join(head, encodeFrame(typeChunk, []byte("abc"))[:6]),
		"data after the end frame":      join(head, endFrame(0, emptyChecksum), []byte("x")),
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
			conn, err := dialB(t, f, f.keySource("a", f.authority).PeerClient("b", pki.Protocol))
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
		{name: "datagram of another version", datagram: append([]byte{2, typeControl}, message...), event: peer.VersionRefused},
		{name: "datagram with another frame type", datagram: append([]byte{1, typeChunk}, message...), event: peer.MalformedRefused},
		{name: "garbage datagram", datagram: []byte{1, typeControl, 0xff}, event: peer.MalformedRefused},
		{name: "datagram with a wrong sender", datagram: append([]byte{1, typeControl}, mustCBOR(heartbeat("b", 1))...), event: peer.SenderRefused},
		{name: "stream of another version", stream: append([]byte{2}, encodeFrame(typeControl, message)...), event: peer.VersionRefused},
		{name: "stream with another frame type", stream: append([]byte{1}, encodeFrame(typeKeys, message)...), event: peer.MalformedRefused},
		{name: "oversized", stream: []byte{1, typeControl, 0x10, 0, 0, 0}, event: peer.OversizedRefused},
		{name: "garbage stream", stream: append([]byte{1}, encodeFrame(typeControl, []byte("zzz"))...), event: peer.MalformedRefused},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			f := makeQUICFixture(t)
			handled := make(chan control.Message, 2)
			f.start("b", 1, handler{serve: echo, control: func(msg control.Message) { handled <- msg }})
			conn, err := dialB(t, f, f.keySource("a", f.authority).PeerClient("b", pki.Protocol))
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
			g.Expect(handled).NotTo(gomega.Receive())
			_ = conn.CloseWithError(0, "")
			expectServing(g, f)
		})
	}
}
