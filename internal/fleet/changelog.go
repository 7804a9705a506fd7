package fleet

import (
	"maps"
	"slices"
	"sync"

	"sycamoreledge.example/internal/platform"
)

// maxLoggedChanges is how many changes of a topic an instance keeps for its peers: some
// minutes of normal operation, or one replacement of all upstreams.
const maxLoggedChanges = 2000

// maxGaps is how many snapshots a log reaches back over.
const maxGaps = 100

// batch holds the changes that one read from the platform returned.
type batch struct {
	// revision is the revision of the last change of the batch.
	revision int64
	changes  []platform.Change
}

// gap is a range of revisions that was read as a snapshot. Only the differences between its
// ends are known: an object that was created and deleted within it is not among them.
type gap struct{ from, to int64 }

// ChangeLog keeps the last changes of a topic for peers that have not read them
// from the platform themselves. It is safe for concurrent use.
type ChangeLog struct {
	mu sync.Mutex
	// base is the revision after which the log holds every change, -1 before the first
	// snapshot.
	base int64
	// latest is the revision up to which changes were appended, lastChange the revision of
	// the last of them.
	latest     int64
	lastChange int64
	// complete is the revision up to which the log holds every change. It equals latest,
	// unless deletions of objects after complete are withheld.
	complete    int64
	withheld    map[string]platform.Object
	batches     []batch
	changeCount int
	gaps        []gap
	// objects holds all objects as of latest, by key.
	objects map[string]platform.Object
}

// ChangeSet holds the changes after a revision.
type ChangeSet struct {
	// Revision is the revision up to which the set is complete. If it is not above that of
	// the reader, the set holds what a log has beyond that while it withholds deletions.
	Revision int64 `json:"revision"`
	// Full is set when Changes holds all objects instead of the changes, because the
	// log does not reach back to the requested revision or has skipped it.
	Full bool `json:"full,omitempty"`
	// Skipped is set when the log has skipped some revisions: an object that was created
	// and deleted within them is not among the changes.
	Skipped bool              `json:"skipped,omitempty"`
	Changes []platform.Change `json:"changes"`
}

// NewChangeLog returns an empty log, without a snapshot.
func NewChangeLog() *ChangeLog { return &ChangeLog{base: -1, latest: -1, complete: -1} }

// Replace sets the log to a snapshot of all objects as of a revision. Earlier batches are
// kept: the differences to the snapshot are appended as one more batch, so that peers need
// not read all objects whenever the platform has compacted the history of a topic that
// rarely changes. A snapshot older than the log starts a new log.
//
// With ignoreDeletions, objects that are missing in the snapshot are kept and not reported
// to peers as deleted, because they may come back. The log is then complete only up to what
// it held before, until a snapshot without ignoreDeletions, or without missing objects.
func (l *ChangeLog) Replace(objects []platform.Object, revision int64, ignoreDeletions bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	present := make(map[string]platform.Object, len(objects))
	for _, o := range objects {
		present[o.Key] = o
	}
	if l.base < 0 || revision < l.latest {
		l.base, l.batches, l.changeCount, l.gaps = revision, nil, 0, nil
		l.objects, l.lastChange = present, 0
		l.withheld = nil
		l.advance(revision)
		for _, o := range objects {
			// A snapshot read in several calls may hold versions later than its revision.
			l.lastChange = max(l.lastChange, min(o.Version, revision))
		}
		return
	}
	changes := diff(l.objects, present)
	if ignoreDeletions {
		maps.DeleteFunc(l.withheld, func(key string, _ platform.Object) bool { _, ok := present[key]; return ok })
		changes = l.withholdDeletions(changes)
		for key := range l.withheld {
			if o, ok := l.objects[key]; ok {
				present[key] = o
			}
		}
	} else {
		changes = append(changes, l.confirmDeletions(present)...)
	}
	l.addGap(gap{l.latest, revision})
	l.add(changes, revision)
	l.objects = present
	l.advance(revision)
}

// addGap records that a snapshot was read, and drops the oldest gap beyond maxGaps.
func (l *ChangeLog) addGap(added gap) {
	if added.from == added.to {
		return
	}
	l.gaps = append(l.gaps, added)
	if len(l.gaps) > maxGaps {
		l.base = max(l.base, l.gaps[0].to)
		l.gaps = l.gaps[1:]
	}
}

// inGap reports whether a reader up to a revision that knows objects up to another one may
// know an object of which the log does not hold the deletion.
func (l *ChangeLog) inGap(after, known int64) bool {
	return slices.ContainsFunc(l.gaps, func(g gap) bool { return known > g.from && after < g.to })
}

// advance records that changes were read up to a revision.
func (l *ChangeLog) advance(revision int64) {
	l.latest = revision
	if len(l.withheld) == 0 {
		l.complete = revision
	}
}

// withholdDeletions returns the changes without deletions, which it records as withheld.
// Earlier changes of a deleted object are left out too: a peer that knows of the deletion
// would take the object for a new one.
func (l *ChangeLog) withholdDeletions(changes []platform.Change) []platform.Change {
	var kept []platform.Change
	for _, c := range changes {
		if !c.Deleted {
			kept = append(kept, c)
			continue
		}
		kept = slices.DeleteFunc(kept, func(k platform.Change) bool { return k.Object.Key == c.Object.Key })
		if l.withheld == nil {
			l.withheld = make(map[string]platform.Object)
		}
		l.withheld[c.Object.Key] = c.Object
	}
	return kept
}

// confirmDeletions returns the deletions of withheld objects that are not among the present
// ones and that the log no longer holds, so that they are no difference to it.
func (l *ChangeLog) confirmDeletions(present map[string]platform.Object) []platform.Change {
	var changes []platform.Change
	for key, o := range l.withheld {
		_, isPresent := present[key]
		if _, held := l.objects[key]; !isPresent && !held {
			changes = append(changes, platform.Change{Object: o, Deleted: true})
		}
	}
	l.withheld = nil
	return changes
}

// diff returns the changes that turn one set of objects into another.
func diff(from, to map[string]platform.Object) []platform.Change {
	var changes []platform.Change
	for key, o := range from {
		if _, ok := to[key]; !ok {
			changes = append(changes, platform.Change{Object: o, Deleted: true})
		}
	}
	for key, o := range to {
		if known, ok := from[key]; !ok || known.Version != o.Version {
			changes = append(changes, platform.Change{Object: o})
		}
	}
	return changes
}

// Append adds the changes up to a revision. With ignoreDeletions, objects that are deleted
// among them are kept as they were, as in Replace.
func (l *ChangeLog) Append(changes []platform.Change, revision int64, ignoreDeletions bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.base < 0 || revision <= l.latest {
		return
	}
	if ignoreDeletions {
		changes = l.withholdDeletions(changes)
	}
	l.append(slices.Clone(changes), revision)
}

// AppendDifferences adds changes of a peer that has skipped some revisions; see
// ChangeSet.Skipped.
func (l *ChangeLog) AppendDifferences(changes []platform.Change, revision int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.base < 0 || revision <= l.latest {
		return
	}
	l.addGap(gap{l.latest, revision})
	l.append(slices.Clone(changes), revision)
}

func (l *ChangeLog) append(changes []platform.Change, revision int64) {
	for _, c := range changes {
		delete(l.withheld, c.Object.Key)
		if c.Deleted {
			delete(l.objects, c.Object.Key)
		} else {
			l.objects[c.Object.Key] = c.Object
		}
	}
	l.add(changes, revision)
	l.advance(revision)
}

// LastChange returns the revision of the last known change. An instance reports this to
// its peers rather than the revision up to which it has read: an instance that has just
// started has read further than the others without having any change that they lack.
func (l *ChangeLog) LastChange() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastChange
}

// LastReport returns what an instance reports of a topic to its peers: LastChange, and
// whether changes up to it are withheld, so that peers must read them elsewhere or later.
func (l *ChangeLog) LastReport() (revision int64, partial bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastChange, l.lastChange > l.complete
}

// Withholding reports whether deletions are withheld from peers.
func (l *ChangeLog) Withholding() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.withheld) > 0
}

// lastRevision returns the revision of the last of the given changes, which were read up
// to a revision.
func lastRevision(changes []platform.Change, revision int64) int64 {
	last := int64(0)
	for _, c := range changes {
		if c.Deleted {
			// A deleted object carries the revision of its previous change.
			return revision
		}
		last = max(last, c.Object.Version)
	}
	return min(last, revision)
}

// add appends a batch that was read up to a revision, and drops the oldest batches beyond
// maxLoggedChanges.
func (l *ChangeLog) add(changes []platform.Change, revision int64) {
	if len(changes) == 0 {
		return
	}
	// A change that was read late may be older than the last one.
	l.lastChange = max(l.lastChange, lastRevision(changes, revision))
	l.batches = append(l.batches, batch{l.lastChange, changes})
	l.changeCount += len(changes)
	for l.changeCount > maxLoggedChanges && len(l.batches) > 1 {
		l.base = l.batches[0].revision
		l.changeCount -= len(l.batches[0].changes)
		l.batches = l.batches[1:]
	}
}

// Since returns the changes after a revision for a reader that knows objects up to the
// revision known. That is a later one if the reader has changes of a log that withholds
// deletions. It reports false if the log cannot answer: before the first snapshot, and while
// it withholds deletions if the reader needs all objects.
func (l *ChangeLog) Since(after, known int64) (ChangeSet, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	set := ChangeSet{Revision: max(l.complete, after), Changes: []platform.Change{}}
	switch {
	case l.base < 0:
		return ChangeSet{}, false
	case after >= l.complete:
		// The log may have later changes, but is not complete beyond the reader.
		set.Changes = l.changesBetween(after, l.latest)
	case after >= l.base && !l.inGap(after, max(after, known)):
		set.Changes = l.changesBetween(after, l.complete)
		set.Skipped = slices.ContainsFunc(l.gaps, func(g gap) bool { return after < g.to })
	case l.complete < l.latest:
		// The objects are not those of the revision up to which the log is complete.
		return ChangeSet{}, false
	default:
		set.Full = true
		for _, o := range l.objects {
			set.Changes = append(set.Changes, platform.Change{Object: o})
		}
	}
	return set, true
}

// changesBetween returns the changes of the batches after one revision and up to another.
func (l *ChangeLog) changesBetween(after, until int64) []platform.Change {
	changes := []platform.Change{}
	for _, b := range l.batches {
		if b.revision > after && b.revision <= until {
			changes = append(changes, b.changes...)
		}
	}
	return changes
}
