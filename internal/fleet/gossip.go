package fleet

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// speakersOfZone is how many instances of a zone exchange digests with other
	// zones. The second stands in until the failure of the first is known.
	speakersOfZone = 2
	// digestPause is the least time between two digests of a zone, so that a series
	// of changes costs few.
	digestPause = 100 * time.Millisecond
	// bundlePause is for how long digests of other zones wait for more to be passed
	// on together.
	bundlePause = 100 * time.Millisecond
	// wholeTwice is how often a changed digest is sent whole, as one may be lost;
	// wholeEvery is how often one without a change is, for those that missed both.
	wholeTwice = 2
	wholeEvery = 5
)

// Datagram is one to be sent.
type Datagram struct {
	// To is the address of the instance that gets it, as IP:port.
	To   string
	Data []byte
}

// Spread decides which datagrams an instance sends and takes over what those of
// others say. Instances of a zone hear each other. Between zones a few speakers
// exchange digests of their zones, which they pass on within their own, by the word
// of the zone that a digest is about: never what a third zone says of it. So what an
// instance sends and receives grows with its zone and the number of zones.
//
// It is a state machine without I/O and clock. It is safe for concurrent use.
type Spread struct {
	Self  *Registration
	Table *Table
	// Report returns what this instance tells of itself. Heard is told of reports of
	// peers; near is set when they came from the peer itself.
	Report func() Report
	Heard  func(name string, report Report, near bool)

	mu       sync.Mutex
	sequence uint64
	// beatAt and digestAt are when the next heartbeat and digest are due, digested is
	// when the last one was sent and told what it said.
	beatAt   time.Time
	digestAt time.Time
	digested time.Time
	told     []entry
	// edition counts the changes of digests, issued how often the present one was
	// sent, joined the peers that were known then.
	edition uint32
	issued  int
	joined  int
	// round counts digests, to look for a zone's instances in turn.
	round int
	// speaks is set while this instance is a speaker.
	speaks bool
	// passing are bundles of digests to be passed on at passAt.
	passing [][]byte
	passAt  time.Time
}

// Speaks reports whether this instance tells other zones of its own.
func (s *Spread) Speaks() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.speaks
}

// speakers returns those of a zone among all peers, the first one first.
func speakers(zone string, peers []Peer) []Peer {
	var list []Peer
	for _, p := range peers {
		if p.Place.Zone == zone && p.Alive && p.State != Leaving {
			list = append(list, p)
		}
	}
	rank(list)
	return list[:min(len(list), speakersOfZone)]
}

func rank(peers []Peer) {
	slices.SortFunc(peers, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(speakRank(a.Name), speakRank(b.Name)), cmp.Compare(a.Name, b.Name))
	})
}

// listeners returns whom digests for a zone go to: its speakers, as far as it is
// heard. If it is not, they may have failed or be unknown here, and its instances are
// tried in turn.
func (s *Spread) listeners(now time.Time, zone string, peers []Peer) []Peer {
	there := slices.DeleteFunc(slices.Clone(peers), func(p Peer) bool { return p.Place.Zone != zone })
	quiet := interval(len(peers)) * 3 / 2
	if slices.ContainsFunc(there, func(p Peer) bool { return p.Alive && p.Silent <= quiet }) {
		return speakers(zone, there)
	}
	there = slices.DeleteFunc(there, func(p Peer) bool { return p.State == Leaving })
	if len(there) <= speakersOfZone {
		return there
	}
	rank(there)
	first := s.round * speakersOfZone % len(there)
	return append(there[first:], there[:first]...)[:speakersOfZone]
}

func speakRank(name string) uint64 { return xxhash.Sum64String("speaker " + name) }

// Tick returns the datagrams that are due and when it must be called again. Prompt
// asks for those that tell of this instance at once.
func (s *Spread) Tick(now time.Time, prompt bool) ([]Datagram, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	mates := s.Table.zonePeers(now, s.Self.Place.Zone)
	self := Peer{Registration: *s.Self, Report: s.Report(), Alive: true}
	var out []Datagram
	if prompt || !now.Before(s.beatAt) {
		s.beatAt = now.Add(interval(len(mates)))
		s.sequence++
		beat := encode(s.Self, message{kind: heartbeat, sequence: s.sequence, report: self.Report})
		for _, p := range mates {
			out = append(out, Datagram{p.Peers, beat})
		}
	}
	zone := speakers(s.Self.Place.Zone, append(slices.Clone(mates), self))
	own := slices.IndexFunc(zone, func(p Peer) bool { return p.Name == s.Self.Name })
	if s.speaks = own >= 0; s.speaks {
		out = append(out, s.digests(now, prompt, self, mates, own, len(zone))...)
	}
	if len(s.passing) > 0 && !now.Before(s.passAt) {
		for _, data := range s.passing {
			for _, p := range mates {
				out = append(out, Datagram{p.Peers, data})
			}
		}
		s.passing = nil
	}
	return out, s.next(now)
}

// next is when something is due. Changes of the table show with the heartbeats.
func (s *Spread) next(now time.Time) time.Time {
	next := s.beatAt
	if s.speaks && s.digestAt.Before(next) {
		next = s.digestAt
	}
	if len(s.passing) > 0 && s.passAt.Before(next) {
		next = s.passAt
	}
	if next.Before(now) {
		return now
	}
	return next
}

// digests returns those that are due to the speakers of other zones. They are due in
// intervals and when they say something new. The speakers of two zones pair off, so
// that each zone gets two by different ways.
func (s *Spread) digests(now time.Time, prompt bool, self Peer, mates []Peer, own, speaking int) []Datagram {
	entries := entriesOf(append(slices.Clone(mates), self))
	changed := !slices.Equal(entries, s.told)
	if changed || prompt {
		s.digestAt = s.digested.Add(digestPause)
	}
	if now.Before(s.digestAt) {
		return nil
	}
	known, joined := s.Table.known()
	if changed || joined != s.joined {
		s.edition++
		s.issued, s.joined = 0, joined
	}
	s.digested, s.digestAt, s.told = now, now.Add(interval(known)), entries
	peers := s.Table.Peers(now)
	datagrams := s.makeDigests(self, entries)
	s.issued++
	s.round++
	var out []Datagram
	for _, zone := range zonesOf(peers) {
		if zone == s.Self.Place.Zone {
			continue
		}
		there := s.listeners(now, zone, peers)
		for path := range min(speakersOfZone, max(speaking, len(there))) {
			if len(there) == 0 || path%speaking != own {
				continue
			}
			for _, data := range datagrams {
				out = append(out, Datagram{there[path%len(there)].Peers, data})
			}
		}
	}
	return out
}

// makeDigests returns the datagrams of a digest. Those of a zone that needs several
// are always whole.
func (s *Spread) makeDigests(self Peer, entries []entry) [][]byte {
	m := message{kind: digest, report: self.Report, edition: s.edition}
	most := maxEntries(s.Self.Name)
	if len(entries) <= most && s.issued >= wholeTwice && s.issued%wholeEvery != 0 {
		m.kind = renewal
		s.sequence++
		m.sequence = s.sequence
		return [][]byte{encode(s.Self, m)}
	}
	var datagrams [][]byte
	for part := range slices.Chunk(entries, most) {
		s.sequence++
		m.sequence, m.entries = s.sequence, part
		datagrams = append(datagrams, encode(s.Self, m))
	}
	return datagrams
}

// entriesOf are what a digest says of the instances of a zone.
func entriesOf(members []Peer) []entry {
	entries := make([]entry, len(members))
	for i, p := range members {
		entries[i] = entry{incarnation: p.Incarnation, report: reportOf(status(p.Report)), silent: !p.Alive}
	}
	slices.SortFunc(entries, func(a, b entry) int { return cmp.Compare(a.incarnation, b.incarnation) })
	return entries
}

func zonesOf(peers []Peer) []string {
	var zones []string
	for _, p := range peers {
		if !slices.Contains(zones, p.Place.Zone) {
			zones = append(zones, p.Place.Zone)
		}
	}
	return zones
}

// Receive takes over a datagram. It reports whether Tick should be called sooner than
// it said.
func (s *Spread) Receive(now time.Time, datagram []byte) (soon bool, err error) {
	if !isBundle(datagram) {
		return s.take(now, datagram, true)
	}
	parts, err := unbundle(datagram)
	for _, part := range parts {
		again, fault := s.take(now, part, false)
		soon = soon || again
		if err == nil {
			err = fault
		}
	}
	return soon, err
}

// take takes over a heartbeat or a digest. Near is set when it came from the
// instance that made it.
func (s *Spread) take(now time.Time, datagram []byte, near bool) (soon bool, err error) {
	if !near && s.Table.isRepeated(datagram) {
		return false, nil
	}
	m, err := decode(datagram, s.Table.Registration)
	if err != nil {
		return false, err
	}
	if !s.Table.isNew(m.name, m.sequence) {
		return false, nil
	}
	switch {
	case m.kind != heartbeat:
		s.Table.listed(now, m)
		if near {
			s.pass(now, datagram)
			soon = true
		}
	case s.Table.Heard(now, m.name, m.report):
		// Other zones learn of it from the speakers.
		soon = s.Speaks()
	}
	s.Heard(m.name, m.report, near)
	return soon, nil
}

// pass keeps a digest of another zone to be passed on to this one.
func (s *Spread) pass(now time.Time, datagram []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.passing) == 0 {
		s.passAt = now.Add(bundlePause)
	}
	data := slices.Clone(datagram)
	if n := len(s.passing); n > 0 {
		if joined, ok := appendToBundle(s.passing[n-1], data); ok {
			s.passing[n-1] = joined
			return
		}
	}
	begun, _ := appendToBundle(nil, data)
	s.passing = append(s.passing, begun)
}
