package fleet

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/platform"
)

// TestWithheldDeletionsAreNotComplete guards against peers that take a change set without a
// deletion as complete up to a revision after it, and so never learn of the deletion.
func TestWithheldDeletionsAreNotComplete(t *testing.T) {
	g := gomega.NewWithT(t)
	l := NewChangeLog()
	l.Replace([]platform.Object{object("a", 3), object("b", 4)}, 10, false)
	l.Append([]platform.Change{{Object: object("a", 3), Deleted: true}}, 12, true)
	l.Append([]platform.Change{{Object: object("b", 13)}}, 13, true)

	set, _ := l.Since(10, 10)
	g.Expect(set).To(gomega.Equal(ChangeSet{Revision: 10, Changes: []platform.Change{{Object: object("b", 13)}}}))
	_, ok := l.Since(-1, -1)
	g.Expect(ok).To(gomega.BeFalse(), "the objects are neither those of revision 10 nor those of 13")
	revision, partial := l.LastReport()
	g.Expect(revision).To(gomega.Equal(int64(13)))
	g.Expect(partial).To(gomega.BeTrue())

	// The entry of a has not come back, and nothing has changed since.
	l.Replace([]platform.Object{object("b", 13)}, 13, false)
	set, _ = l.Since(10, 10)
	g.Expect(set.Revision).To(gomega.Equal(int64(13)))
	g.Expect(set.Changes).To(gomega.ContainElement(platform.Change{Object: object("a", 3), Deleted: true}))
	_, partial = l.LastReport()
	g.Expect(partial).To(gomega.BeFalse())
}

// TestWithheldDeletionThatWasUndone has an entry come back before its deletion was handed on, which
// the log learns from a snapshot or from a change.
func TestWithheldDeletionThatWasUndone(t *testing.T) {
	g := gomega.NewWithT(t)
	l := NewChangeLog()
	l.Replace([]platform.Object{object("a", 3), object("b", 4)}, 10, false)
	l.Replace([]platform.Object{object("b", 4)}, 12, true)
	set, _ := l.Since(10, 10)
	g.Expect(set).To(gomega.Equal(ChangeSet{Revision: 10, Changes: []platform.Change{}}))
	l.Replace([]platform.Object{object("a", 14), object("b", 4)}, 15, true)
	set, _ = l.Since(10, 10)
	g.Expect(set).To(gomega.Equal(ChangeSet{Revision: 15, Skipped: true, Changes: []platform.Change{{Object: object("a", 14)}}}))

	l.Append([]platform.Change{{Object: object("a", 14), Deleted: true}}, 16, true)
	l.Append([]platform.Change{{Object: object("a", 17)}}, 17, true)
	set, _ = l.Since(15, 15)
	g.Expect(set).To(gomega.Equal(ChangeSet{Revision: 17, Changes: []platform.Change{{Object: object("a", 17)}}}))
	g.Expect(l.Withholding()).To(gomega.BeFalse())
}

// TestShortLivedObjectIsConfirmedGone has an object created and deleted within one read, of which
// peers may have learned the creation from another instance.
func TestShortLivedObjectIsConfirmedGone(t *testing.T) {
	g := gomega.NewWithT(t)
	l := NewChangeLog()
	l.Replace([]platform.Object{object("b", 4)}, 10, false)
	l.Append([]platform.Change{{Object: object("a", 11)}, {Object: object("a", 11), Deleted: true}}, 12, true)
	l.Replace([]platform.Object{object("b", 4)}, 13, true)
	set, _ := l.Since(11, 11)
	g.Expect(set).To(gomega.Equal(ChangeSet{Revision: 11, Changes: []platform.Change{}}))
	l.Replace([]platform.Object{object("b", 4)}, 14, false)
	set, _ = l.Since(11, 11)
	g.Expect(set).To(gomega.Equal(ChangeSet{Revision: 14, Skipped: true, Changes: []platform.Change{{Object: object("a", 11), Deleted: true}}}))
}

// storeHistory is what happened to the objects of a simulated store. Revision i is change i.
type storeHistory struct{ changes []platform.Change }

func (h *storeHistory) revision() int64 { return int64(len(h.changes) - 1) }

// objects returns all objects as of a revision, by key.
func (h *storeHistory) objects(revision int64) map[string]platform.Object {
	objects := map[string]platform.Object{}
	for _, c := range h.changes[:revision+1] {
		if c.Deleted {
			delete(objects, c.Object.Key)
		} else {
			objects[c.Object.Key] = c.Object
		}
	}
	return objects
}

func (h *storeHistory) change(rng *rand.Rand) {
	known := h.objects(h.revision())
	key := fmt.Sprintf("u%d", rng.IntN(6))
	if o, ok := known[key]; ok && rng.IntN(3) == 0 {
		h.changes = append(h.changes, platform.Change{Object: o, Deleted: true})
		return
	}
	h.changes = append(h.changes, platform.Change{Object: object(key, h.revision()+1)})
}

// missing returns what a reader that is complete up to a revision should know and does not.
func (h *storeHistory) missing(known map[string]platform.Object, revision int64) []string {
	var list []string
	for i, c := range h.changes[:revision+1] {
		o, ok := known[c.Object.Key]
		if c.Deleted && ok && o.Version < int64(i) {
			list = append(list, fmt.Sprintf("%s is gone since revision %d, but known with version %d", c.Object.Key, i, o.Version))
		}
	}
	now := h.objects(h.revision())
	for key, o := range h.objects(revision) {
		if k, ok := known[key]; k.Version < o.Version && (ok || now[key].Version == o.Version) {
			list = append(list, fmt.Sprintf("%s has version %d, but %d is known", key, o.Version, k.Version))
		}
	}
	return list
}

// TestReaderWithinASnapshotGap has peers ask for changes after a revision that the log has skipped
// with a snapshot: they may know an object that was created and deleted in between.
func TestReaderWithinASnapshotGap(t *testing.T) {
	g := gomega.NewWithT(t)
	l := NewChangeLog()
	l.Replace([]platform.Object{object("b", 4)}, 10, false)
	l.Replace([]platform.Object{object("b", 4)}, 20, false)
	for after, full := range map[int64]bool{10: false, 11: true, 19: true, 20: false} {
		set, _ := l.Since(after, after)
		g.Expect(set.Full).To(gomega.Equal(full), "after %d", after)
		g.Expect(set.Revision).To(gomega.Equal(int64(20)))
		g.Expect(set.Skipped).To(gomega.Equal(after == 10), "after %d", after)
	}
	peer := NewChangeLog()
	peer.Replace([]platform.Object{object("b", 4)}, 10, false)
	peer.AppendDifferences(nil, 20)
	set, _ := peer.Since(15, 15)
	g.Expect(set.Full).To(gomega.BeTrue(), "the peer has the differences of the log and no more")
	set, _ = l.Since(10, 15)
	g.Expect(set.Full).To(gomega.BeTrue(), "the peer has later objects, from an instance that withholds deletions")

	for i := range int64(2 * maxGaps) {
		l.Replace([]platform.Object{object("b", 4)}, 30+i, false)
	}
	g.Expect(len(l.gaps)).To(gomega.BeNumerically("<=", maxGaps))
	set, _ = l.Since(10, 10)
	g.Expect(set.Full).To(gomega.BeTrue(), "the log does not reach back over that many snapshots")
}

// storeReader is an instance that reads the store into a log, and withholds deletions at times.
type storeReader struct {
	log         *ChangeLog
	read        int64
	withholding bool
}

func (r *storeReader) step(rng *rand.Rand, h *storeHistory, mayWithhold bool) {
	snapshot := rng.IntN(6) == 0
	switch {
	case r.withholding && rng.IntN(4) == 0:
		// All objects are read again at the end of the grace period.
		r.withholding, snapshot = false, true
	case mayWithhold && rng.IntN(6) == 0:
		r.withholding = true
	}
	if snapshot {
		r.log.Replace(slices.Collect(maps.Values(h.objects(h.revision()))), h.revision(), r.withholding)
	} else {
		r.log.Append(h.changes[r.read+1:], h.revision(), r.withholding)
	}
	r.read = h.revision()
}

// logReader is an instance that reads the logs of peers into one of its own.
type logReader struct {
	log              *ChangeLog
	known            map[string]platform.Object
	revision, latest int64
}

func newLogReader(h *storeHistory) *logReader {
	r := &logReader{log: NewChangeLog(), known: h.objects(0)}
	r.log.Replace(slices.Collect(maps.Values(r.known)), 0, false)
	return r
}

// read reads changes from the log of a peer. It returns what the reader then should know and does not.
func (r *logReader) read(h *storeHistory, peer *ChangeLog) []string {
	set, ok := peer.Since(r.revision, r.latest)
	switch {
	case !ok:
		return nil
	case set.Revision < r.revision:
		return []string{fmt.Sprintf("set back from revision %d to %d", r.revision, set.Revision)}
	case set.Full:
		r.known = map[string]platform.Object{}
	}
	for _, c := range set.Changes {
		r.latest = max(r.latest, c.Object.Version)
		if c.Deleted {
			delete(r.known, c.Object.Key)
		} else {
			r.known[c.Object.Key] = c.Object
		}
	}
	r.revision = set.Revision
	switch {
	case set.Full:
		r.log.Replace(slices.Collect(maps.Values(r.known)), set.Revision, false)
	case set.Skipped:
		r.log.AppendDifferences(set.Changes, set.Revision)
	default:
		r.log.Append(set.Changes, set.Revision, false)
	}
	return h.missing(r.known, r.revision)
}

// TestPeersMissNothingUpToTheirRevision has a peer read changes in turn from two instances that
// withhold deletions at times and from one that never does, which all read snapshots at times.
// Another peer reads from all of these.
func TestPeersMissNothingUpToTheirRevision(t *testing.T) {
	for seed := range uint64(300) {
		g := gomega.NewWithT(t)
		rng := rand.New(rand.NewPCG(seed, 1))
		h := &storeHistory{changes: []platform.Change{{Object: object("u0", 0)}}}
		readers := []*storeReader{{log: NewChangeLog()}, {log: NewChangeLog()}, {log: NewChangeLog()}}
		var logs []*ChangeLog
		for _, r := range readers {
			r.log.Replace(slices.Collect(maps.Values(h.objects(0))), 0, false)
			logs = append(logs, r.log)
		}
		near, far := newLogReader(h), newLogReader(h)
		for step := range 60 {
			for range rng.IntN(3) {
				h.change(rng)
			}
			chosen := rng.IntN(len(readers))
			readers[chosen].step(rng, h, chosen > 0)
			g.Expect(near.read(h, logs[rng.IntN(len(logs))])).To(gomega.BeEmpty(), "seed %d, step %d, revision %d", seed, step, near.revision)
			if peers := append(slices.Clone(logs), near.log, near.log); rng.IntN(2) == 0 {
				g.Expect(far.read(h, peers[rng.IntN(len(peers))])).To(gomega.BeEmpty(), "far: seed %d, step %d, revision %d", seed, step, far.revision)
			}
		}
	}
}

// TestPartialReportsAreMarked checks that heartbeats and digests say of their sender that it
// withholds deletions, and that entries of a digest, which carry no revisions, do not.
func TestPartialReportsAreMarked(t *testing.T) {
	g := gomega.NewWithT(t)
	r := registration("a", "n1")
	known := func(string) (Registration, bool) { return r, true }
	for _, partial := range []bool{true, false} {
		report := Report{State: Serving, UpstreamsPartial: partial, Revisions: [TopicCount]int64{9, 9}}
		entries := digestEntries([]Peer{{Registration: r, Report: report, Alive: true}})
		m, err := decode(encode(&r, message{kind: digest, report: report, entries: entries}), known)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(m.report).To(gomega.Equal(report))
		g.Expect(m.report.IsPartial(TopicUpstreams)).To(gomega.Equal(partial))
		g.Expect(m.report.IsPartial(TopicConfiguration)).To(gomega.BeFalse())
		g.Expect(m.entries).To(gomega.Equal([]digestEntry{{incarnation: r.Incarnation, report: Report{State: Serving}}}))
	}
}
