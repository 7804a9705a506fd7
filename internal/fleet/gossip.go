package fleet

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// speakersPerZone is how many instances of a zone exchange digests with other zones.
	// The second covers the time until a failure of the first is detected.
	speakersPerZone = 2
	// minDigestInterval is the least time between two digests of a zone, so that a burst
	// of changes results in few digests.
	minDigestInterval = 100 * time.Millisecond
	// bundleDelay is how long digests of other zones wait for more, to be forwarded in one
	// bundle.
	bundleDelay = 100 * time.Millisecond
	// fullDigestRepeats is how often a changed digest is sent in full, as one may be lost.
	// Of the digests without a change every fullDigestEvery-th is sent in full, for receivers
	// that missed all of those.
	fullDigestRepeats = 2
	fullDigestEvery   = 5
)

// Datagram is a datagram to be sent.
type Datagram struct {
	// To is the address of the receiving instance, as IP:port.
	To   string
	Data []byte
}

// Gossip decides which datagrams an instance sends, and applies the datagrams of its peers.
// Instances of a zone send heartbeats to each other. Between zones, a few instances of each,
// its speakers, exchange digests of their zones and forward the digests that they receive
// within their own zone. Only digests made by a zone's own instances are used for it, never
// what a third zone reports about it. So the traffic of an instance grows with the size of
// its zone and the number of zones, not with the number of all instances.
//
// It is a state machine without I/O or a clock. It is safe for concurrent use.
type Gossip struct {
	Self  *Registration
	Table *Table
	// LocalReport returns the report of this instance. OnReport is called for reports of
	// peers; direct is set when the report came from the peer itself.
	LocalReport func() Report
	OnReport    func(name string, report Report, direct bool)

	mu       sync.Mutex
	sequence uint64
	// heartbeatDue and digestDue are when the next heartbeat and digest are due. lastDigest
	// is when the last digest was sent, lastEntries its content.
	heartbeatDue time.Time
	digestDue    time.Time
	lastDigest   time.Time
	lastEntries  []digestEntry
	// digestVersion is incremented when the content of digests changes. versionSends is how
	// often the present version was sent, versionRegistrations how many registrations were
	// known when it began.
	digestVersion        uint32
	versionSends         int
	versionRegistrations int
	// digestRound counts digests, to try the instances of an unreachable zone in turn.
	digestRound int
	// isSpeaker is set while this instance is a speaker of its zone.
	isSpeaker bool
	// pendingBundles are bundles of digests to be forwarded at bundlesDue.
	pendingBundles [][]byte
	bundlesDue     time.Time
}

// IsSpeaker reports whether this instance exchanges digests with other zones.
func (g *Gossip) IsSpeaker() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.isSpeaker
}

// speakers returns the speakers of a zone among the given peers, by rank. Instances that leave
// are speakers of a zone that has no others, which would not be known to leave otherwise.
func speakers(zone string, peers []Peer) []Peer {
	var list, leaving []Peer
	for _, p := range peers {
		switch {
		case p.Place.Zone != zone || !p.Alive:
		case p.State == Leaving:
			leaving = append(leaving, p)
		default:
			list = append(list, p)
		}
	}
	if len(list) == 0 {
		list = leaving
	}
	sortBySpeakerRank(list)
	return list[:min(len(list), speakersPerZone)]
}

func sortBySpeakerRank(peers []Peer) {
	slices.SortFunc(peers, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(speakerRank(a.Name), speakerRank(b.Name)), cmp.Compare(a.Name, b.Name))
	})
}

// digestTargets returns the instances of a zone to which digests are sent: its speakers, if any
// instance of the zone was heard within the last 1.5 send intervals. Otherwise the speakers may
// have failed or be unknown here, and the instances of the zone are tried in turn.
func (g *Gossip) digestTargets(now time.Time, zone string, peers []Peer) []Peer {
	candidates := slices.DeleteFunc(slices.Clone(peers), func(p Peer) bool { return p.Place.Zone != zone })
	maxSilence := sendInterval(len(peers)) * 3 / 2
	if slices.ContainsFunc(candidates, func(p Peer) bool { return p.Alive && p.SilentFor <= maxSilence }) {
		return speakers(zone, candidates)
	}
	candidates = slices.DeleteFunc(candidates, func(p Peer) bool { return p.State == Leaving })
	if len(candidates) <= speakersPerZone {
		return candidates
	}
	sortBySpeakerRank(candidates)
	first := g.digestRound * speakersPerZone % len(candidates)
	return append(candidates[first:], candidates[:first]...)[:speakersPerZone]
}

func speakerRank(name string) uint64 { return xxhash.Sum64String("speaker " + name) }

// Tick returns the datagrams that are due and the time at which it must be called again. If
// immediate is set, the datagrams that carry the state of this instance are due at once.
func (g *Gossip) Tick(now time.Time, immediate bool) ([]Datagram, time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	zonePeers := g.Table.zonePeers(now, g.Self.Place.Zone)
	self := Peer{Registration: *g.Self, Report: g.LocalReport(), Alive: true}
	var out []Datagram
	if immediate || !now.Before(g.heartbeatDue) {
		g.heartbeatDue = now.Add(sendInterval(len(zonePeers)))
		g.sequence++
		encoded := encode(g.Self, message{kind: heartbeat, sequence: g.sequence, report: self.Report})
		for _, p := range zonePeers {
			out = append(out, Datagram{p.Peers, encoded})
		}
	}
	zoneSpeakers := speakers(g.Self.Place.Zone, append(slices.Clone(zonePeers), self))
	ownIndex := slices.IndexFunc(zoneSpeakers, func(p Peer) bool { return p.Name == g.Self.Name })
	if g.isSpeaker = ownIndex >= 0; g.isSpeaker {
		out = append(out, g.dueDigests(now, immediate, self, zonePeers, ownIndex, len(zoneSpeakers))...)
	}
	if len(g.pendingBundles) > 0 && !now.Before(g.bundlesDue) {
		for _, data := range g.pendingBundles {
			for _, p := range zonePeers {
				out = append(out, Datagram{p.Peers, data})
			}
		}
		g.pendingBundles = nil
	}
	return out, g.nextDue(now)
}

// nextDue returns when the next datagram is due. Changes of the table are noticed with the
// next heartbeat.
func (g *Gossip) nextDue(now time.Time) time.Time {
	due := g.heartbeatDue
	if g.isSpeaker && g.digestDue.Before(due) {
		due = g.digestDue
	}
	if len(g.pendingBundles) > 0 && g.bundlesDue.Before(due) {
		due = g.bundlesDue
	}
	if due.Before(now) {
		return now
	}
	return due
}

// dueDigests returns the digests that are due to the speakers of other zones: at intervals,
// and when their content changes. The speakers of two zones are paired, so that every zone
// gets each digest over two paths.
func (g *Gossip) dueDigests(now time.Time, immediate bool, self Peer, zonePeers []Peer, ownIndex, speakerCount int) []Datagram {
	entries := digestEntries(append(slices.Clone(zonePeers), self))
	changed := !slices.Equal(entries, g.lastEntries)
	if changed || immediate {
		g.digestDue = g.lastDigest.Add(minDigestInterval)
	}
	if now.Before(g.digestDue) {
		return nil
	}
	peerCount, registrations := g.Table.counts()
	if changed || registrations != g.versionRegistrations {
		g.digestVersion++
		g.versionSends, g.versionRegistrations = 0, registrations
	}
	g.lastDigest, g.digestDue, g.lastEntries = now, now.Add(sendInterval(peerCount)), entries
	peers := g.Table.Peers(now)
	datagrams := g.encodeDigests(self, entries)
	g.versionSends++
	g.digestRound++
	var out []Datagram
	for _, zone := range zonesOf(peers) {
		if zone == g.Self.Place.Zone {
			continue
		}
		targets := g.digestTargets(now, zone, peers)
		for path := range min(speakersPerZone, max(speakerCount, len(targets))) {
			if len(targets) == 0 || path%speakerCount != ownIndex {
				continue
			}
			for _, data := range datagrams {
				out = append(out, Datagram{targets[path%len(targets)].Peers, data})
			}
		}
	}
	return out
}

// encodeDigests returns the datagrams of one digest. A zone that needs several datagrams
// always sends its digests in full.
func (g *Gossip) encodeDigests(self Peer, entries []digestEntry) [][]byte {
	m := message{kind: digest, report: self.Report, digestVersion: g.digestVersion}
	maxPerDatagram := maxEntries(g.Self.Name)
	if len(entries) <= maxPerDatagram && g.versionSends >= fullDigestRepeats && g.versionSends%fullDigestEvery != 0 {
		m.kind = unchangedDigest
		g.sequence++
		m.sequence = g.sequence
		return [][]byte{encode(g.Self, m)}
	}
	var datagrams [][]byte
	for part := range slices.Chunk(entries, maxPerDatagram) {
		g.sequence++
		m.sequence, m.entries = g.sequence, part
		datagrams = append(datagrams, encode(g.Self, m))
	}
	return datagrams
}

// digestEntries returns the digest entries of the instances of a zone, by incarnation.
func digestEntries(members []Peer) []digestEntry {
	entries := make([]digestEntry, len(members))
	for i, p := range members {
		entries[i] = digestEntry{incarnation: p.Incarnation, report: decodeStatus(encodeStatus(p.Report)), silent: !p.Alive}
	}
	slices.SortFunc(entries, func(a, b digestEntry) int { return cmp.Compare(a.incarnation, b.incarnation) })
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

// Receive processes a datagram from the network. It reports whether Tick should be called
// before the time that it returned. A datagram that is malformed or not authenticated
// returns an error; the other datagrams of a bundle are processed all the same.
func (g *Gossip) Receive(now time.Time, datagram []byte) (tickNow bool, err error) {
	if !isBundle(datagram) {
		return g.process(now, datagram, true)
	}
	parts, err := splitBundle(datagram)
	for _, part := range parts {
		partTickNow, partErr := g.process(now, part, false)
		tickNow = tickNow || partTickNow
		if err == nil {
			err = partErr
		}
	}
	return tickNow, err
}

// process applies a heartbeat or a digest. direct is set when the datagram came from the
// instance that made it, and not in a bundle.
func (g *Gossip) process(now time.Time, datagram []byte, direct bool) (tickNow bool, err error) {
	if !direct && g.Table.isStale(datagram) {
		return false, nil
	}
	m, err := decode(datagram, g.Table.Registration)
	if err != nil {
		return false, err
	}
	if !g.Table.advanceSequence(m.name, m.sequence) {
		return false, nil
	}
	switch {
	case m.kind != heartbeat:
		g.Table.applyDigest(now, m)
		if direct {
			g.queueForZone(now, datagram)
			tickNow = true
		}
	case g.Table.RecordHeartbeat(now, m.name, m.report):
		// The speakers of the zone report the change to other zones.
		tickNow = g.IsSpeaker()
	}
	g.OnReport(m.name, m.report, direct)
	return tickNow, nil
}

// queueForZone adds a digest of another zone to the bundles for the own zone.
func (g *Gossip) queueForZone(now time.Time, datagram []byte) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.pendingBundles) == 0 {
		g.bundlesDue = now.Add(bundleDelay)
	}
	data := slices.Clone(datagram)
	if n := len(g.pendingBundles); n > 0 {
		if extended, ok := appendToBundle(g.pendingBundles[n-1], data); ok {
			g.pendingBundles[n-1] = extended
			return
		}
	}
	started, _ := appendToBundle(nil, data)
	g.pendingBundles = append(g.pendingBundles, started)
}
