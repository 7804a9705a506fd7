package fleet

import (
	"slices"
	"sync"

	"sycamoreledge.example/internal/platform"
)

// maxLoggedChanges is how many changes of a topic an instance keeps for its peers: some
// minutes of normal operation, or one replacement of all upstreams.
const maxLoggedChanges = 2000

// batch holds the changes that one read from the platform returned.
type batch struct {
	// revision is the revision of the last change of the batch.
	revision int64
	changes  []platform.Change
}

// ChangeLog keeps the last changes of a topic for peers that have not read them
// from the platform themselves. It is safe for concurrent use.
type ChangeLog struct {
	mu sync.Mutex
	// base is the revision after which the log holds every change, -1 before the first
	// snapshot.
	base int64
	// latest is the revision up to which the log is complete, lastChange the revision of
	// its last change.
	latest      int64
	lastChange  int64
	batches     []batch
	changeCount int
	// objects holds all objects as of latest, by key.
	objects map[string]platform.Object
}

// ChangeSet holds the changes after a revision.
type ChangeSet struct {
	// Revision is the revision up to which the set is complete.
	Revision int64 `json:"revision"`
	// Full is set when Changes holds all objects instead of the changes, because the
	// log does not reach back to the requested revision.
	Full    bool              `json:"full,omitempty"`
	Changes []platform.Change `json:"changes"`
}

// NewChangeLog returns an empty log, without a snapshot.
func NewChangeLog() *ChangeLog { return &ChangeLog{base: -1, latest: -1} }

// Replace sets the log to a snapshot of all objects as of a revision. Earlier batches are
// kept: the differences to the snapshot are appended as one more batch, so that peers need
// not read all objects whenever the platform has compacted the history of a topic that
// rarely changes. A snapshot older than the log starts a new log.
//
// With ignoreDeletions, objects that are missing in the snapshot are kept and not reported
// to peers as deleted, because they may come back.
func (l *ChangeLog) Replace(objects []platform.Object, revision int64, ignoreDeletions bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	present := make(map[string]platform.Object, len(objects))
	for _, o := range objects {
		present[o.Key] = o
	}
	if l.base < 0 || revision < l.latest {
		l.base, l.latest, l.batches, l.changeCount = revision, revision, nil, 0
		l.objects, l.lastChange = present, 0
		for _, o := range objects {
			// A snapshot read in several calls may hold versions later than its revision.
			l.lastChange = max(l.lastChange, min(o.Version, revision))
		}
		return
	}
	if ignoreDeletions {
		for key, o := range l.objects {
			if _, ok := present[key]; !ok {
				present[key] = o
			}
		}
	}
	l.add(diff(l.objects, present), revision)
	l.objects, l.latest = present, revision
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

// Append adds the changes up to a revision. With ignoreDeletions, deletions among them
// are left out, as in Replace.
func (l *ChangeLog) Append(changes []platform.Change, revision int64, ignoreDeletions bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.base < 0 || revision <= l.latest {
		return
	}
	changes = slices.Clone(changes)
	if ignoreDeletions {
		changes = slices.DeleteFunc(changes, func(c platform.Change) bool { return c.Deleted })
	}
	for _, c := range changes {
		if c.Deleted {
			delete(l.objects, c.Object.Key)
		} else {
			l.objects[c.Object.Key] = c.Object
		}
	}
	l.add(changes, revision)
	l.latest = revision
}

// LastChange returns the revision of the last known change. An instance reports this to
// its peers rather than the revision up to which it has read: an instance that has just
// started has read further than the others without having any change that they lack.
func (l *ChangeLog) LastChange() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastChange
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

// Since returns the changes after a revision. It reports false before the first snapshot.
func (l *ChangeLog) Since(after int64) (ChangeSet, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.base < 0 {
		return ChangeSet{}, false
	}
	set := ChangeSet{Revision: max(l.latest, after), Changes: []platform.Change{}}
	if after >= l.base {
		for _, b := range l.batches {
			if b.revision > after {
				set.Changes = append(set.Changes, b.changes...)
			}
		}
		return set, true
	}
	set.Full = true
	for _, o := range l.objects {
		set.Changes = append(set.Changes, platform.Change{Object: o})
	}
	return set, true
}
