package fleet

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
)

const (
	// datagramVersion is the protocol version, the first byte of a datagram.
	datagramVersion = 2
	// tagSize is the length in bytes of the authenticator, a truncated HMAC-SHA256 tag.
	tagSize = 16
	// maxDatagram is the longest datagram in bytes. With its headers it fits into one
	// packet of an Ethernet link.
	maxDatagram = 1400
)

// datagramKind is the type of a datagram, its second byte.
type datagramKind byte

const (
	// heartbeat carries the report of an instance to the peers of its zone.
	heartbeat datagramKind = iota + 1
	// digest carries the states of all instances of a zone from one of its speakers to
	// other zones.
	digest
	// unchangedDigest is a digest without entries: they are the same as in the last full
	// digest of its sender.
	unchangedDigest
	// digestBundle holds digests of other zones that are forwarded within a zone.
	digestBundle
)

// Report is what an instance reports to its peers about itself.
type Report struct {
	State State
	// PlatformUnreachable is set while calls to the platform fail. PlatformAnswered is set
	// when the platform has answered recently. Both are unset while the instance has no
	// reason to call it.
	PlatformUnreachable bool
	PlatformAnswered    bool
	// Revisions are the revisions of the last changes that it knows, by topic; see
	// ChangeLog.LastChange.
	Revisions [TopicCount]int64
	// UpstreamsPartial is set when deletions of upstreams up to their revision are withheld;
	// see ChangeLog.LastReport.
	UpstreamsPartial bool
}

// IsPartial reports whether the changes of a topic up to its revision are incomplete.
func (r Report) IsPartial(topic Topic) bool { return topic == TopicUpstreams && r.UpstreamsPartial }

// Topic is a kind of platform objects that instances follow.
type Topic int

// The topics.
const (
	TopicUpstreams Topic = iota
	TopicConfiguration
	TopicEvacuations
	TopicInstances
	// TopicCount is the number of topics.
	TopicCount
)

// A status byte holds the state of an instance in its low bits and the flags of its report.
const (
	stateBits               = 0x0f
	flagPlatformUnreachable = 0x10
	flagPlatformAnswered    = 0x20
	// flagSilent is set in a digest for an instance from which its zone receives no heartbeats.
	flagSilent = 0x40
	// flagUpstreamsPartial is set only in the status of the sender, whose revisions it
	// concerns.
	flagUpstreamsPartial = 0x80
)

func encodeStatus(r Report) byte {
	b := byte(r.State) & stateBits
	if r.PlatformUnreachable {
		b |= flagPlatformUnreachable
	}
	if r.PlatformAnswered {
		b |= flagPlatformAnswered
	}
	return b
}

func decodeStatus(status byte) Report {
	return Report{State: State(status & stateBits), PlatformUnreachable: status&flagPlatformUnreachable != 0, PlatformAnswered: status&flagPlatformAnswered != 0}
}

// Layout of heartbeats and digests: version, kind, status, length of the name,
// incarnation, sequence, digest version, revisions, name, entries, authenticator.
const (
	statusOffset        = 2
	nameLengthOffset    = 3
	incarnationOffset   = 4
	sequenceOffset      = incarnationOffset + 8
	digestVersionOffset = sequenceOffset + 8
	revisionsOffset     = digestVersionOffset + 4
	nameOffset          = revisionsOffset + 8*int(TopicCount)
	// entrySize is the size in bytes of a digest entry: incarnation and status.
	entrySize = 8 + 1
	// maxNameLength is the longest name in bytes: its length is encoded in one byte.
	maxNameLength = 255
)

// digestEntry is the state of one instance in a digest of its zone.
type digestEntry struct {
	incarnation uint64
	report      Report
	silent      bool
}

// message is a heartbeat or a digest.
type message struct {
	kind     datagramKind
	name     string
	sequence uint64
	report   Report
	// digestVersion is incremented whenever the content of the sender's digests changes.
	digestVersion uint32
	entries       []digestEntry
}

// maxEntries returns how many entries fit into one digest datagram of the named instance.
func maxEntries(name string) int { return (maxDatagram - nameOffset - len(name) - tagSize) / entrySize }

// encode returns the datagram of a message, authenticated with the secret of the sender's
// registration.
func encode(r *Registration, m message) []byte {
	name := r.Name[:min(len(r.Name), maxNameLength)]
	payload := make([]byte, nameOffset, nameOffset+len(name)+len(m.entries)*entrySize+tagSize)
	payload[0], payload[1], payload[statusOffset], payload[nameLengthOffset] = datagramVersion, byte(m.kind), encodeStatus(m.report), byte(len(name))
	if m.report.UpstreamsPartial {
		payload[statusOffset] |= flagUpstreamsPartial
	}
	binary.BigEndian.PutUint64(payload[incarnationOffset:], r.Incarnation)
	binary.BigEndian.PutUint64(payload[sequenceOffset:], m.sequence)
	binary.BigEndian.PutUint32(payload[digestVersionOffset:], m.digestVersion)
	for i, revision := range m.report.Revisions {
		binary.BigEndian.PutUint64(payload[revisionsOffset+8*i:], uint64(revision))
	}
	payload = append(payload, name...)
	for _, e := range m.entries {
		b := encodeStatus(e.report)
		if e.silent {
			b |= flagSilent
		}
		payload = append(binary.BigEndian.AppendUint64(payload, e.incarnation), b)
	}
	return append(payload, authenticator(r.Secret, payload)...)
}

// authenticator returns the truncated HMAC-SHA256 of a payload.
func authenticator(secret, payload []byte) []byte {
	mac := hmac.New(sha256.New, secret)
	_, _ = mac.Write(payload)
	return mac.Sum(nil)[:tagSize]
}

// decode parses a heartbeat or a digest. It returns an error if the datagram is malformed,
// or not authenticated by the incarnation that is registered under the sender's name.
func decode(datagram []byte, registered func(name string) (Registration, bool)) (message, error) {
	if len(datagram) < nameOffset+tagSize || datagram[0] != datagramVersion {
		return message{}, Error.New("malformed datagram of %d bytes: too short, or of another protocol version; dropped", len(datagram))
	}
	m := message{kind: datagramKind(datagram[1])}
	payload, mac := datagram[:len(datagram)-tagSize], datagram[len(datagram)-tagSize:]
	nameEnd := nameOffset + int(payload[nameLengthOffset])
	if m.kind < heartbeat || m.kind > unchangedDigest || len(payload) < nameEnd || (len(payload)-nameEnd)%entrySize != 0 {
		return message{}, Error.New("malformed datagram of kind %d with %d bytes: unknown kind, or lengths do not match; dropped", m.kind, len(datagram))
	}
	m.name = string(payload[nameOffset:nameEnd])
	r, ok := registered(m.name)
	if !ok {
		return message{}, Error.New("datagram from %q, which is not registered; dropped", m.name)
	}
	if binary.BigEndian.Uint64(payload[incarnationOffset:]) != r.Incarnation {
		return message{}, Error.New("datagram from an incarnation of %q that is not the registered one; dropped", m.name)
	}
	if !hmac.Equal(mac, authenticator(r.Secret, payload)) {
		return message{}, Error.New("datagram from %q with a wrong authenticator; dropped", m.name)
	}
	m.sequence = binary.BigEndian.Uint64(payload[sequenceOffset:])
	m.digestVersion = binary.BigEndian.Uint32(payload[digestVersionOffset:])
	m.report = decodeStatus(payload[statusOffset])
	m.report.UpstreamsPartial = payload[statusOffset]&flagUpstreamsPartial != 0
	for i := range m.report.Revisions {
		m.report.Revisions[i] = int64(binary.BigEndian.Uint64(payload[revisionsOffset+8*i:]))
	}
	for rest := payload[nameEnd:]; len(rest) > 0; rest = rest[entrySize:] {
		b := rest[8]
		m.entries = append(m.entries, digestEntry{binary.BigEndian.Uint64(rest), decodeStatus(b), b&flagSilent != 0})
	}
	return m, nil
}

// Layout of bundles: version, kind, then every datagram preceded by its length.
const (
	bundleHeaderSize = 2
	lengthSize       = 2
)

// appendToBundle appends a datagram to a bundle, and starts the bundle if it is empty. It
// reports false when the datagram does not fit.
func appendToBundle(bundled, datagram []byte) ([]byte, bool) {
	if len(bundled) == 0 {
		bundled = []byte{datagramVersion, byte(digestBundle)}
	} else if len(bundled)+lengthSize+len(datagram) > maxDatagram {
		return bundled, false
	}
	bundled = binary.BigEndian.AppendUint16(bundled, uint16(len(datagram)))
	return append(bundled, datagram...), true
}

func isBundle(datagram []byte) bool {
	return len(datagram) > bundleHeaderSize && datagram[0] == datagramVersion && datagramKind(datagram[1]) == digestBundle
}

// splitBundle returns the datagrams of a bundle. After a malformed length it returns an
// error and the datagrams before it.
func splitBundle(datagram []byte) (parts [][]byte, err error) {
	rest := datagram[bundleHeaderSize:]
	for len(rest) > 0 {
		if len(rest) < lengthSize {
			return parts, Error.New("malformed bundle of %d bytes: ends within a length field; rest dropped", len(datagram))
		}
		length := int(binary.BigEndian.Uint16(rest))
		if rest = rest[lengthSize:]; length > len(rest) {
			return parts, Error.New("malformed bundle of %d bytes: a length exceeds the rest; rest dropped", len(datagram))
		}
		parts = append(parts, rest[:length])
		rest = rest[length:]
	}
	return parts, nil
}
