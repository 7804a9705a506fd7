package fleet

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"net"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("fleet")

const (
	// beatVersion is the first byte of a datagram.
	beatVersion = 1
	// digestSize is the length of its authenticator in bytes.
	digestSize = 16
	// maxBeat is the longest datagram in bytes; names are short.
	maxBeat = 512
)

// Report is what an instance tells its peers of itself.
type Report struct {
	State State
	// Cut is set while the instance does not reach the platform. InTouch is set
	// when the platform has answered it lately; both are unset where it need not ask.
	Cut     bool
	InTouch bool
	// Revisions are those of the last changes that it knows, by topic; see
	// ChangeLog.LastChange.
	Revisions [Topics]int64
}

// Topic is something that instances follow on the platform.
type Topic int

// The topics.
const (
	TopicUpstreams Topic = iota
	TopicConfiguration
	TopicEvacuations
	TopicInstances
	// Topics is their number.
	Topics
)

// Flags of a datagram.
const (
	flagCut = 1 << iota
	flagInTouch
)

// encode makes the datagram of a run: version, state, flags, incarnation,
// sequence, revisions, name, authenticator.
func encode(r *Registration, report Report, sequence uint64) []byte {
	beat := []byte{beatVersion, byte(report.State), 0}
	if report.Cut {
		beat[2] |= flagCut
	}
	if report.InTouch {
		beat[2] |= flagInTouch
	}
	beat = binary.BigEndian.AppendUint64(beat, r.Incarnation)
	beat = binary.BigEndian.AppendUint64(beat, sequence)
	for _, revision := range report.Revisions {
		beat = binary.BigEndian.AppendUint64(beat, uint64(revision))
	}
	beat = append(beat, r.Name...)
	return append(beat, digest(r.Secret, beat)...)
}

func digest(secret, text []byte) []byte {
	mac := hmac.New(sha256.New, secret)
	_, _ = mac.Write(text)
	return mac.Sum(nil)[:digestSize]
}

const (
	incarnationAt = 3
	revisionsAt   = incarnationAt + 8 + 8
	headSize      = revisionsAt + 8*int(Topics)
)

// decode returns the sender and the report of a datagram that proves to be of
// the run that registered under the name.
func decode(beat []byte, registered func(name string) (Registration, bool)) (string, Report, error) {
	if len(beat) < headSize+digestSize+1 || beat[0] != beatVersion {
		return "", Report{}, Error.New("malformed datagram of %d bytes", len(beat))
	}
	text, proof := beat[:len(beat)-digestSize], beat[len(beat)-digestSize:]
	name := string(text[headSize:])
	r, ok := registered(name)
	if !ok {
		return "", Report{}, Error.New("datagram of %q, which is not registered", name)
	}
	if binary.BigEndian.Uint64(text[incarnationAt:]) != r.Incarnation {
		return "", Report{}, Error.New("datagram of another run of %q", name)
	}
	if !hmac.Equal(proof, digest(r.Secret, text)) {
		return "", Report{}, Error.New("datagram of %q with a wrong authenticator", name)
	}
	report := Report{State: State(text[1]), Cut: text[2]&flagCut != 0, InTouch: text[2]&flagInTouch != 0}
	for i := range report.Revisions {
		report.Revisions[i] = int64(binary.BigEndian.Uint64(text[revisionsAt+8*i:]))
	}
	return name, report, nil
}

// Beats sends and receives datagrams.
type Beats struct {
	Self  *Registration
	Table *Table
	// Report returns what this instance tells of itself, Heard is told of the
	// reports of peers.
	Report func() Report
	Heard  func(name string, report Report)
	// Refused is told of datagrams that prove nothing.
	Refused func(err error)

	conn net.PacketConn
	// prompt asks for datagrams at once.
	prompt chan struct{}
}

// Listen opens the socket.
func (b *Beats) Listen() error {
	conn, err := net.ListenPacket("udp4", b.Self.Peers)
	if err != nil {
		return Error.Wrap(err)
	}
	b.conn = conn
	b.prompt = make(chan struct{}, 1)
	return nil
}

// Prompt tells the peers the present state without waiting for the interval.
func (b *Beats) Prompt() {
	select {
	case b.prompt <- struct{}{}:
	default:
	}
}

// Run sends and receives until the context ends.
func (b *Beats) Run(ctx context.Context) {
	go b.receive()
	defer func() { _ = b.conn.Close() }()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for sequence := uint64(1); ; sequence++ {
		timer.Reset(b.send(sequence))
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-b.prompt:
		}
	}
}

// send sends a datagram to all peers and returns when the next one is due.
func (b *Beats) send(sequence uint64) time.Duration {
	beat := encode(b.Self, b.Report(), sequence)
	peers := b.Table.Registrations()
	for _, r := range peers {
		address, err := net.ResolveUDPAddr("udp4", r.Peers)
		if err != nil {
			b.Refused(Error.New("address of %s: %w", r.Name, err))
			continue
		}
		// A datagram that cannot be sent is like one that is lost.
		_, _ = b.conn.WriteTo(beat, address)
	}
	return interval(len(peers))
}

func (b *Beats) receive() {
	buffer := make([]byte, maxBeat)
	for {
		n, _, err := b.conn.ReadFrom(buffer)
		if err != nil {
			return
		}
		name, report, err := decode(buffer[:n], b.Table.Registration)
		if err != nil {
			b.Refused(err)
			continue
		}
		b.Table.Heard(time.Now(), name, report)
		b.Heard(name, report)
	}
}
