package fleet

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
)

const (
	// datagramVersion is the first byte of a datagram.
	datagramVersion = 2
	// proofSize is the length of its authenticator in bytes.
	proofSize = 16
	// maxDatagram is the longest datagram in bytes: it fits into one packet of an
	// Ethernet link with its headers.
	maxDatagram = 1400
)

// kind is what a datagram is, its second byte.
type kind byte

const (
	// heartbeat is what an instance says of itself to its zone.
	heartbeat kind = iota + 1
	// digest is what an instance says of its zone to other zones, too.
	digest
	// renewal is a digest that says the same as the last whole one.
	renewal
	// bundle holds digests of other zones that are passed on within a zone.
	bundle
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

// status is the state of an instance and its flags in one byte.
const (
	stateBits   = 0x0f
	flagCut     = 0x10
	flagInTouch = 0x20
	// flagSilent is set in a digest for an instance that its zone does not hear.
	flagSilent = 0x40
)

func status(r Report) byte {
	b := byte(r.State) & stateBits
	if r.Cut {
		b |= flagCut
	}
	if r.InTouch {
		b |= flagInTouch
	}
	return b
}

func reportOf(status byte) Report {
	return Report{State: State(status & stateBits), Cut: status&flagCut != 0, InTouch: status&flagInTouch != 0}
}

// Layout of heartbeats and digests: version, kind, status, length of the name,
// incarnation, sequence, edition, revisions, name, entries, authenticator.
const (
	statusAt      = 2
	nameLengthAt  = 3
	incarnationAt = 4
	sequenceAt    = incarnationAt + 8
	editionAt     = sequenceAt + 8
	revisionsAt   = editionAt + 4
	nameAt        = revisionsAt + 8*int(Topics)
	// entrySize is the size of an entry of a digest: incarnation and status.
	entrySize = 8 + 1
	// maxName bounds the names of instances that fit into datagrams.
	maxName = 255
)

// entry is what a digest says of an instance of its zone.
type entry struct {
	incarnation uint64
	report      Report
	silent      bool
}

// message is a heartbeat or a digest.
type message struct {
	kind     kind
	name     string
	sequence uint64
	report   Report
	// edition counts the changes of what digests say.
	edition uint32
	entries []entry
}

// maxEntries is how many entries fit into a digest of an instance.
func maxEntries(name string) int { return (maxDatagram - nameAt - len(name) - proofSize) / entrySize }

// encode makes the datagram of a run.
func encode(r *Registration, m message) []byte {
	name := r.Name[:min(len(r.Name), maxName)]
	text := make([]byte, nameAt, nameAt+len(name)+len(m.entries)*entrySize+proofSize)
	text[0], text[1], text[statusAt], text[nameLengthAt] = datagramVersion, byte(m.kind), status(m.report), byte(len(name))
	binary.BigEndian.PutUint64(text[incarnationAt:], r.Incarnation)
	binary.BigEndian.PutUint64(text[sequenceAt:], m.sequence)
	binary.BigEndian.PutUint32(text[editionAt:], m.edition)
	for i, revision := range m.report.Revisions {
		binary.BigEndian.PutUint64(text[revisionsAt+8*i:], uint64(revision))
	}
	text = append(text, name...)
	for _, e := range m.entries {
		b := status(e.report)
		if e.silent {
			b |= flagSilent
		}
		text = append(binary.BigEndian.AppendUint64(text, e.incarnation), b)
	}
	return append(text, proofOf(r.Secret, text)...)
}

// proofOf authenticates a text by the secret of a run.
func proofOf(secret, text []byte) []byte {
	mac := hmac.New(sha256.New, secret)
	_, _ = mac.Write(text)
	return mac.Sum(nil)[:proofSize]
}

// decode returns what a heartbeat or a digest says, if it proves to be of the run
// that registered under its name.
func decode(datagram []byte, registered func(name string) (Registration, bool)) (message, error) {
	if len(datagram) < nameAt+proofSize || datagram[0] != datagramVersion {
		return message{}, Error.New("malformed datagram of %d bytes", len(datagram))
	}
	m := message{kind: kind(datagram[1])}
	text, proof := datagram[:len(datagram)-proofSize], datagram[len(datagram)-proofSize:]
	end := nameAt + int(text[nameLengthAt])
	if m.kind < heartbeat || m.kind > renewal || len(text) < end || (len(text)-end)%entrySize != 0 {
		return message{}, Error.New("malformed datagram of kind %d with %d bytes", m.kind, len(datagram))
	}
	m.name = string(text[nameAt:end])
	r, ok := registered(m.name)
	if !ok {
		return message{}, Error.New("datagram of %q, which is not registered", m.name)
	}
	if binary.BigEndian.Uint64(text[incarnationAt:]) != r.Incarnation {
		return message{}, Error.New("datagram of another run of %q", m.name)
	}
	if !hmac.Equal(proof, proofOf(r.Secret, text)) {
		return message{}, Error.New("datagram of %q with a wrong authenticator", m.name)
	}
	m.sequence = binary.BigEndian.Uint64(text[sequenceAt:])
	m.edition = binary.BigEndian.Uint32(text[editionAt:])
	m.report = reportOf(text[statusAt])
	for i := range m.report.Revisions {
		m.report.Revisions[i] = int64(binary.BigEndian.Uint64(text[revisionsAt+8*i:]))
	}
	for rest := text[end:]; len(rest) > 0; rest = rest[entrySize:] {
		b := rest[8]
		m.entries = append(m.entries, entry{binary.BigEndian.Uint64(rest), reportOf(b), b&flagSilent != 0})
	}
	return m, nil
}

// Layout of bundles: version, kind, then each datagram after its length.
const (
	bundleHead  = 2
	lengthBytes = 2
)

// appendToBundle adds a datagram to a bundle, which it begins if there is none. It
// reports false when the datagram does not fit any more.
func appendToBundle(bundled, datagram []byte) ([]byte, bool) {
	if len(bundled) == 0 {
		bundled = []byte{datagramVersion, byte(bundle)}
	} else if len(bundled)+lengthBytes+len(datagram) > maxDatagram {
		return bundled, false
	}
	bundled = binary.BigEndian.AppendUint16(bundled, uint16(len(datagram)))
	return append(bundled, datagram...), true
}

func isBundle(datagram []byte) bool {
	return len(datagram) > bundleHead && datagram[0] == datagramVersion && kind(datagram[1]) == bundle
}

// unbundle returns the datagrams of a bundle. What follows a malformed length is
// left out.
func unbundle(datagram []byte) (parts [][]byte, err error) {
	rest := datagram[bundleHead:]
	for len(rest) > 0 {
		if len(rest) < lengthBytes {
			return parts, Error.New("malformed bundle of %d bytes", len(datagram))
		}
		length := int(binary.BigEndian.Uint16(rest))
		if rest = rest[lengthBytes:]; length > len(rest) {
			return parts, Error.New("malformed bundle of %d bytes", len(datagram))
		}
		parts = append(parts, rest[:length])
		rest = rest[length:]
	}
	return parts, nil
}
