// Package fleet knows which instances of a deployment serve. Instances register
// themselves on the platform, where the others find them, and send each other
// short datagrams, which show who is alive.
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

// Registration is what an instance says of itself on the platform. Only
// instances can read it.
type Registration struct {
	Name  string           `json:"name"`
	Place deployment.Place `json:"place"`
	// Requests and Peers are its addresses for callers and for other instances.
	Requests string `json:"requests"`
	Peers    string `json:"peers"`
	// Incarnation tells runs of the instance apart.
	Incarnation uint64 `json:"incarnation"`
	// Secret authenticates the datagrams of this run.
	Secret []byte `json:"secret"`
}

// State is what an instance is ready for.
type State uint8

// The states of an instance.
const (
	Starting State = iota + 1
	Serving
	Leaving
)

// Times of the table.
const (
	// Interval is the time between two datagrams to a peer in a small deployment.
	Interval = 400 * time.Millisecond
	// intervalStep is by how much it grows with each peer, so that datagrams cost
	// an instance a fixed part of its processor; maxInterval keeps a failure
	// known within a few seconds.
	intervalStep = 10 * time.Millisecond
	maxInterval  = time.Second
	// silence is how many intervals a peer may say nothing before it counts as
	// failed. Some datagrams are lost: of links that lose 6 in 100, three in a row
	// are in 5,000 intervals once. Callers wait on a frozen instance until then.
	silence = 3
	// introduction is how long a peer that registered counts as alive before its
	// first datagram arrives.
	introduction = 1500 * time.Millisecond
)

// interval is the time between two datagrams to a peer, given their number.
func interval(peers int) time.Duration {
	return min(max(Interval, time.Duration(peers)*intervalStep), maxInterval)
}

// row is what is known of one peer.
type row struct {
	registration Registration
	report       Report
	// heard is when its last datagram arrived, or the last digest that tells of it;
	// since is when it came into the table.
	heard time.Time
	since time.Time
	// listed is set when a digest told of it last, silent when its zone does not hear
	// it.
	listed bool
	silent bool
	// sequence is that of its last datagram; edition and entries are those of its last
	// whole digest.
	sequence uint64
	edition  uint32
	entries  []entry
	// alive is what Changed told last.
	alive bool
}

// Table is the table of the other instances. It is safe for concurrent use.
type Table struct {
	mu   sync.Mutex
	rows map[string]*row
	// runs are the rows by incarnation, ordered those by name, and sizes their numbers
	// by zone.
	runs    map[uint64]*row
	ordered []*row
	sizes   map[string]int
	// joined counts all runs that ever registered.
	joined int
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{rows: make(map[string]*row), runs: make(map[uint64]*row), sizes: make(map[string]int)}
}

// Register adds a peer, or a new run of it.
func (t *Table) Register(now time.Time, r Registration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.rows[r.Name]
	if known != nil && known.registration.Incarnation == r.Incarnation {
		return
	}
	t.remove(r.Name)
	added := &row{registration: r, report: Report{State: Starting}, since: now}
	t.rows[r.Name], t.runs[r.Incarnation] = added, added
	at, _ := slices.BinarySearchFunc(t.ordered, r.Name, byName)
	t.ordered = slices.Insert(t.ordered, at, added)
	t.sizes[r.Place.Zone]++
	t.joined++
}

func byName(r *row, name string) int { return cmp.Compare(r.registration.Name, name) }

func (t *Table) remove(name string) {
	r := t.rows[name]
	if r == nil {
		return
	}
	delete(t.runs, r.registration.Incarnation)
	delete(t.rows, name)
	at, _ := slices.BinarySearchFunc(t.ordered, name, byName)
	t.ordered = slices.Delete(t.ordered, at, at+1)
	t.sizes[r.registration.Place.Zone]--
}

// Remove forgets a peer that is not registered any more.
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

// Registration returns what a peer said of itself.
func (t *Table) Registration(name string) (Registration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.rows[name]
	if !ok {
		return Registration{}, false
	}
	return r.registration, true
}

// Heard notes a heartbeat of a peer. It reports whether it tells something new.
func (t *Table) Heard(now time.Time, name string, report Report) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.rows[name]
	if r == nil {
		return false
	}
	changed := r.heard.IsZero() || status(r.report) != status(report) || !t.peer(now, r).Alive
	r.heard, r.report, r.listed, r.silent = now, report, false, false
	return changed
}

// isNew notes the sequence number of a datagram. It reports false for one that was
// overtaken or arrived before.
func (t *Table) isNew(name string, sequence uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.rows[name]
	if r == nil || sequence <= r.sequence {
		return false
	}
	r.sequence = sequence
	return true
}

// isRepeated reports whether a datagram looks like one that arrived before, which
// need not be authenticated then.
func (t *Table) isRepeated(datagram []byte) bool {
	if len(datagram) < nameAt {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.runs[binary.BigEndian.Uint64(datagram[incarnationAt:])]
	return r != nil && binary.BigEndian.Uint64(datagram[sequenceAt:]) <= r.sequence
}

// listed takes over what a digest of a peer says of the instances of its zone. A
// renewal of an edition that is not known tells of the peer alone.
func (t *Table) listed(now time.Time, m message) {
	t.mu.Lock()
	defer t.mu.Unlock()
	by := t.rows[m.name]
	if by == nil {
		return
	}
	entries := m.entries
	switch {
	case m.kind == digest:
		by.edition, by.entries = m.edition, m.entries
	case m.edition == by.edition:
		entries = by.entries
	default:
		entries = []entry{{incarnation: by.registration.Incarnation, report: m.report}}
	}
	for _, e := range entries {
		r := t.runs[e.incarnation]
		// A zone is spoken for by its own instances only.
		if r == nil || r.registration.Place.Zone != by.registration.Place.Zone {
			continue
		}
		if r.silent = e.silent; !e.silent {
			r.heard, r.listed = now, true
			e.report.Revisions = r.report.Revisions
			r.report = e.report
		}
	}
}

// Peer is a row of the table for readers.
type Peer struct {
	Registration
	Report
	// Alive is set while datagrams arrive.
	Alive bool
	// Silent is for how long none arrived.
	Silent time.Duration
}

// Peers returns the peers by name.
func (t *Table) Peers(now time.Time) []Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	peers := make([]Peer, len(t.ordered))
	for i, r := range t.ordered {
		peers[i] = t.peer(now, r)
	}
	return peers
}

// zonePeers returns the peers of a zone by name.
func (t *Table) zonePeers(now time.Time, zone string) []Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	peers := make([]Peer, 0, t.sizes[zone])
	for _, r := range t.ordered {
		if r.registration.Place.Zone == zone {
			peers = append(peers, t.peer(now, r))
		}
	}
	return peers
}

// known returns the number of peers, and of all runs that ever registered.
func (t *Table) known() (peers, joined int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.rows), t.joined
}

// Changed returns the peers whose aliveness changed since its last call.
func (t *Table) Changed(now time.Time) []Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changed []Peer
	for _, r := range t.ordered {
		if p := t.peer(now, r); p.Alive != r.alive {
			r.alive = p.Alive
			changed = append(changed, p)
		}
	}
	return changed
}

// peer is what readers see of a row. Instances of the own zone send heartbeats to each
// other; of other zones digests tell, whose interval grows with the number of all
// instances.
func (t *Table) peer(now time.Time, r *row) Peer {
	p := Peer{Registration: r.registration, Report: r.report, Silent: now.Sub(r.since)}
	if r.heard.IsZero() {
		p.Alive = p.Silent <= introduction
		return p
	}
	p.Silent = now.Sub(r.heard)
	limit := silence * interval(t.sizes[r.registration.Place.Zone])
	if r.listed {
		limit = silence * interval(len(t.rows))
		if r.silent {
			// Another speaker of the zone may still hear it.
			limit = interval(len(t.rows)) * 3 / 2
		}
	}
	p.Alive = p.Silent <= limit
	return p
}

// Watchers returns the names of the instances that look for changes on the
// platform often, so that the others need not: the first by rank among those
// that reach it, each from another zone as far as there are enough zones.
func Watchers(topic Topic, candidates []Peer, count int) []string {
	sorted := slices.Clone(candidates)
	slices.SortFunc(sorted, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(watchRank(topic, a.Name), watchRank(topic, b.Name)), cmp.Compare(a.Name, b.Name))
	})
	alive := slices.DeleteFunc(sorted, func(p Peer) bool { return !p.Alive || p.State == Leaving })
	reaching := slices.DeleteFunc(slices.Clone(alive), func(p Peer) bool { return p.Cut })
	if len(reaching) == 0 {
		// Nobody reaches the platform: some must find out when it answers again.
		reaching = alive
	}
	var names []string
	zones := map[string]bool{}
	for _, again := range []bool{false, true} {
		for _, p := range reaching {
			if len(names) == count {
				return names
			}
			if zones[p.Place.Zone] != again || slices.Contains(names, p.Name) {
				continue
			}
			zones[p.Place.Zone] = true
			names = append(names, p.Name)
		}
	}
	return names
}

// Isolated reports whether an instance and those it hears are probably cut off from
// the rest: most of all, the instance itself included, are silent, and none of those
// that are left has had an answer of the platform lately.
func Isolated(candidates []Peer) bool {
	silent := 0
	for _, p := range candidates {
		switch {
		case p.Alive && p.InTouch:
			return false
		case !p.Alive && p.State != Leaving:
			silent++
		}
	}
	return 2*silent > len(candidates)
}

func watchRank(topic Topic, name string) uint64 {
	return xxhash.Sum64String(name + string(rune('0'+int(topic))))
}
