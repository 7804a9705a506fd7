// Package fleet tracks which instances of a deployment are alive. Instances register
// themselves on the platform, where the others find them. They detect failures by the
// heartbeats and digests that they send each other as short UDP datagrams.
package fleet

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"sycamoreledge.example/internal/deployment"
)

// Registration is the record of an instance on the platform. Only instances can read it.
type Registration struct {
	Name  string           `json:"name"`
	Place deployment.Place `json:"place"`
	// Requests and Peers are its addresses for callers and for other instances.
	Requests string `json:"requests"`
	Peers    string `json:"peers"`
	// Incarnation distinguishes the runs of the instance.
	Incarnation uint64 `json:"incarnation"`
	// Secret is the key that authenticates the datagrams and responses of this run.
	Secret []byte `json:"secret"`
}

// State is the phase of an instance between start and stop.
type State uint8

// The states of an instance.
const (
	Starting State = iota + 1
	Serving
	Leaving
)

// Times of failure detection.
const (
	// MinSendInterval is the time between two datagrams to a peer in a small deployment.
	MinSendInterval = 400 * time.Millisecond
	// sendIntervalPerPeer is the interval per peer in larger deployments, in proportion to
	// the number of peers, so that sending takes a fixed share of an instance's CPU.
	// maxSendInterval bounds it, so that a failure is detected within a few seconds.
	sendIntervalPerPeer = 10 * time.Millisecond
	maxSendInterval     = time.Second
	// missedIntervals is after how many intervals without a datagram a peer counts as
	// failed. Some datagrams are lost: on a link that loses 6 of 100, three in a row are
	// lost once in 5,000 intervals. Callers wait for a frozen instance until it counts as
	// failed, so the number is small.
	missedIntervals = 3
	// registrationGrace is how long a newly registered peer counts as alive before its
	// first datagram arrives.
	registrationGrace = 1500 * time.Millisecond
)

// sendInterval returns the time between two datagrams to a peer, given the number of peers.
func sendInterval(peers int) time.Duration {
	return min(max(MinSendInterval, time.Duration(peers)*sendIntervalPerPeer), maxSendInterval)
}

// row is the state of one peer.
type row struct {
	registration Registration
	report       Report
	// lastHeard is when its last heartbeat arrived, or the last digest that does not list it
	// as silent. addedAt is when it was added to the table.
	lastHeard time.Time
	addedAt   time.Time
	// viaDigest is set when its report came from a digest, reportedSilent when its zone
	// receives no heartbeats from it according to the last digest.
	viaDigest      bool
	reportedSilent bool
	// sequence is the sequence number of its last datagram; digestVersion and entries are
	// those of its last full digest.
	sequence      uint64
	digestVersion uint32
	entries       []digestEntry
	// lastAlive is whether it was alive when LivenessChanges was called last.
	lastAlive bool
}

// Table holds the state of all other instances. It is safe for concurrent use.
type Table struct {
	mu   sync.Mutex
	rows map[string]*row
	// byIncarnation holds the rows by incarnation, sorted the rows by name, and zoneSizes the
	// number of rows by zone.
	byIncarnation map[uint64]*row
	sorted        []*row
	zoneSizes     map[string]int
	// registrations counts all runs that were ever registered.
	registrations int
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{rows: make(map[string]*row), byIncarnation: make(map[uint64]*row), zoneSizes: make(map[string]int)}
}

// Register adds a peer, or replaces it by its new run. It does nothing if the run is known.
func (t *Table) Register(now time.Time, r Registration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.rows[r.Name]
	if known != nil && known.registration.Incarnation == r.Incarnation {
		return
	}
	t.remove(r.Name)
	added := &row{registration: r, report: Report{State: Starting}, addedAt: now}
	t.rows[r.Name], t.byIncarnation[r.Incarnation] = added, added
	at, _ := slices.BinarySearchFunc(t.sorted, r.Name, compareName)
	t.sorted = slices.Insert(t.sorted, at, added)
	t.zoneSizes[r.Place.Zone]++
	t.registrations++
}

func compareName(r *row, name string) int { return cmp.Compare(r.registration.Name, name) }

func (t *Table) remove(name string) {
	r := t.rows[name]
	if r == nil {
		return
	}
	delete(t.byIncarnation, r.registration.Incarnation)
	delete(t.rows, name)
	at, _ := slices.BinarySearchFunc(t.sorted, name, compareName)
	t.sorted = slices.Delete(t.sorted, at, at+1)
	t.zoneSizes[r.registration.Place.Zone]--
}

// Remove deletes a peer that is no longer registered.
func (t *Table) Remove(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.remove(name)
}

// Names returns the names of all registered peers.
func (t *Table) Names() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Collect(maps.Keys(t.rows))
}

// Registration returns the registration of a peer.
func (t *Table) Registration(name string) (Registration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.rows[name]
	if !ok {
		return Registration{}, false
	}
	return r.registration, true
}

// RecordHeartbeat applies a heartbeat of a peer. It reports whether the peer's status changed,
// or the peer was not alive before.
func (t *Table) RecordHeartbeat(now time.Time, name string, report Report) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.rows[name]
	if r == nil {
		return false
	}
	changed := r.lastHeard.IsZero() || encodeStatus(r.report) != encodeStatus(report) || !t.view(now, r).Alive
	r.lastHeard, r.report, r.viaDigest, r.reportedSilent = now, report, false, false
	return changed
}

// advanceSequence records the sequence number of a datagram. It reports false for a datagram
// that is a duplicate, arrived out of order, or is of an unknown peer.
func (t *Table) advanceSequence(name string, sequence uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.rows[name]
	if r == nil || sequence <= r.sequence {
		return false
	}
	r.sequence = sequence
	return true
}

// isStale reports whether the header of a datagram shows a sequence number that was received
// before, so that authenticating the datagram can be skipped.
func (t *Table) isStale(datagram []byte) bool {
	if len(datagram) < nameOffset {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.byIncarnation[binary.BigEndian.Uint64(datagram[incarnationOffset:])]
	return r != nil && binary.BigEndian.Uint64(datagram[sequenceOffset:]) <= r.sequence
}

// applyDigest applies a digest to the instances of its sender's zone. An unchanged digest whose
// full version was not received counts as a report of the sender alone.
func (t *Table) applyDigest(now time.Time, m message) {
	t.mu.Lock()
	defer t.mu.Unlock()
	sender := t.rows[m.name]
	if sender == nil {
		return
	}
	entries := m.entries
	switch {
	case m.kind == digest:
		sender.digestVersion, sender.entries = m.digestVersion, m.entries
	case m.digestVersion == sender.digestVersion:
		entries = sender.entries
	default:
		entries = []digestEntry{{incarnation: sender.registration.Incarnation, report: m.report}}
	}
	for _, e := range entries {
		r := t.byIncarnation[e.incarnation]
		// A digest is valid for instances of its sender's own zone only.
		if r == nil || r.registration.Place.Zone != sender.registration.Place.Zone {
			continue
		}
		if r.reportedSilent = e.silent; !e.silent {
			r.lastHeard, r.viaDigest = now, true
			e.report.Revisions = r.report.Revisions
			r.report = e.report
		}
	}
}

// Peer is a snapshot of the state of one peer.
type Peer struct {
	Registration
	Report
	// Alive is set unless the peer counts as failed.
	Alive bool
	// SilentFor is the time since the last heartbeat or digest that showed the peer to be
	// alive, or since it was added to the table.
	SilentFor time.Duration
}

// Peers returns all peers, ordered by name.
func (t *Table) Peers(now time.Time) []Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	peers := make([]Peer, len(t.sorted))
	for i, r := range t.sorted {
		peers[i] = t.view(now, r)
	}
	return peers
}

// zonePeers returns the peers of a zone, ordered by name.
func (t *Table) zonePeers(now time.Time, zone string) []Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	peers := make([]Peer, 0, t.zoneSizes[zone])
	for _, r := range t.sorted {
		if r.registration.Place.Zone == zone {
			peers = append(peers, t.view(now, r))
		}
	}
	return peers
}

// counts returns the number of peers, and of all runs that were ever registered.
func (t *Table) counts() (peers, registrations int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.rows), t.registrations
}

// LivenessChanges returns the peers that became alive or failed since its last call.
func (t *Table) LivenessChanges(now time.Time) []Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changed []Peer
	for _, r := range t.sorted {
		if p := t.view(now, r); p.Alive != r.lastAlive {
			r.lastAlive = p.Alive
			changed = append(changed, p)
		}
	}
	return changed
}

// view returns the snapshot of a row. The time after which a peer counts as failed follows from
// the interval of its reports: that of heartbeats within a zone depends on the size of the zone,
// that of digests between zones on the number of all instances.
func (t *Table) view(now time.Time, r *row) Peer {
	p := Peer{Registration: r.registration, Report: r.report, SilentFor: now.Sub(r.addedAt)}
	if r.lastHeard.IsZero() {
		p.Alive = p.SilentFor <= registrationGrace
		return p
	}
	p.SilentFor = now.Sub(r.lastHeard)
	limit := missedIntervals * sendInterval(t.zoneSizes[r.registration.Place.Zone])
	if r.viaDigest {
		limit = missedIntervals * sendInterval(len(t.rows))
		if r.reportedSilent {
			// Another speaker of the zone may still receive its heartbeats.
			limit = sendInterval(len(t.rows)) * 3 / 2
		}
	}
	p.Alive = p.SilentFor <= limit
	return p
}

// SelectWatchers returns the names of the instances, at most count, that watch a topic on the
// platform, so that the others need not: the first by rank among those that reach the platform,
// each from another zone as long as there are enough zones.
func SelectWatchers(topic Topic, candidates []Peer, count int) []string {
	sorted := slices.Clone(candidates)
	slices.SortFunc(sorted, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(watcherRank(topic, a.Name), watcherRank(topic, b.Name)), cmp.Compare(a.Name, b.Name))
	})
	alive := slices.DeleteFunc(sorted, func(p Peer) bool { return !p.Alive || p.State == Leaving })
	connected := slices.DeleteFunc(slices.Clone(alive), func(p Peer) bool { return p.PlatformUnreachable })
	if len(connected) == 0 {
		// No instance reaches the platform: some must detect when it answers again.
		connected = alive
	}
	var names []string
	usedZones := map[string]bool{}
	for _, sameZone := range []bool{false, true} {
		for _, p := range connected {
			if len(names) == count {
				return names
			}
			if usedZones[p.Place.Zone] != sameZone || slices.Contains(names, p.Name) {
				continue
			}
			usedZones[p.Place.Zone] = true
			names = append(names, p.Name)
		}
	}
	return names
}

// Isolated reports whether an instance and the peers that are alive are probably partitioned from
// the rest: more than half of all instances, itself included, are silent, and none of the others
// has had an answer of the platform recently.
func Isolated(candidates []Peer) bool {
	silent := 0
	for _, p := range candidates {
		switch {
		case p.Alive && p.PlatformAnswered:
			return false
		case !p.Alive && p.State != Leaving:
			silent++
		}
	}
	return 2*silent > len(candidates)
}

func watcherRank(topic Topic, name string) uint64 {
	return xxhash.Sum64String(name + string(rune('0'+int(topic))))
}
