package fleet

import (
	"slices"
	"sync"

	"sycamoreledge.example/internal/platform"
)

// maxLogged is how many changes of a topic an instance keeps for its peers: some
// minutes of an ordinary day, or one exchange of all upstreams.
const maxLogged = 2000

// batch is what one reading of the platform brought.
type batch struct {
	// revision is that of its last change.
	revision int64
	changes  []platform.Change
}

// ChangeLog keeps the last changes of a topic for peers that did not read them
// themselves. It is safe for concurrent use.
type ChangeLog struct {
	mu sync.Mutex
	// base is the revision after which the log is complete, -1 before the first
	// snapshot.
	base int64
	// latest is the revision up to which it is complete, changed that of the last
	// change in it.
	latest  int64
	changed int64
	batches []batch
	size    int
	// objects are all objects as of latest, by key.
	objects map[string]platform.Object
}

// News is what changed after a revision.
type News struct {
	// Revision is the one as of which it is complete.
	Revision int64 `json:"revision"`
	// Full is set when Changes holds all objects instead, since the log does not
	// reach back to the revision asked for.
	Full    bool              `json:"full,omitempty"`
	Changes []platform.Change `json:"changes"`
}

// NewChangeLog returns a log that knows nothing.
func NewChangeLog() *ChangeLog { return &ChangeLog{base: -1, latest: -1} }

// Replace brings the log to all objects as of a revision. What it held before
// stays: the differences follow as one more batch, so that peers need not read
// all objects whenever the platform has dropped the history of a quiet topic.
//
// Hold keeps objects that are missing: their absence is not believed yet and is no
// news to peers.
func (l *ChangeLog) Replace(objects []platform.Object, revision int64, hold bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	present := make(map[string]platform.Object, len(objects))
	for _, o := range objects {
		present[o.Key] = o
	}
	if l.base < 0 || revision < l.latest {
		l.base, l.latest, l.batches, l.size = revision, revision, nil, 0
		l.objects, l.changed = present, 0
		for _, o := range objects {
			// A reading in several calls may hold later versions.
			l.changed = max(l.changed, min(o.Version, revision))
		}
		return
	}
	if hold {
		for key, o := range l.objects {
			if _, ok := present[key]; !ok {
				present[key] = o
			}
		}
	}
	l.add(differences(l.objects, present), revision)
	l.objects, l.latest = present, revision
}

// differences returns what turns one set of objects into another.
func differences(from, to map[string]platform.Object) []platform.Change {
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

// Append adds what changed up to a revision. Hold leaves out what was deleted, as
// in Replace.
func (l *ChangeLog) Append(changes []platform.Change, revision int64, hold bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.base < 0 || revision <= l.latest {
		return
	}
	changes = slices.Clone(changes)
	if hold {
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

// LastChange returns the revision of the last change that is known. An instance
// tells it to its peers, and not how far it has read: whoever starts has read
// further than the others, and has nothing to tell them.
func (l *ChangeLog) LastChange() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// lastChange returns the revision of the last of some changes that were read up to
// a revision.
func lastChange(changes []platform.Change, revision int64) int64 {
	last := int64(0)
	for _, c := range changes {
		if c.Deleted {
			// The object bears the revision of an earlier change.
			return revision
		}
		last = max(last, c.Object.Version)
	}
	return min(last, revision)
}

// add appends a batch that was read up to a revision, and drops the oldest beyond
// the bound.
func (l *ChangeLog) add(changes []platform.Change, revision int64) {
	if len(changes) == 0 {
		return
	}
	// A change that was read late may be older than the last one.
	l.changed = max(l.changed, lastChange(changes, revision))
	l.batches = append(l.batches, batch{l.changed, changes})
	l.size += len(changes)
	for l.size > maxLogged && len(l.batches) > 1 {
		l.base = l.batches[0].revision
		l.size -= len(l.batches[0].changes)
		l.batches = l.batches[1:]
	}
}

// Since returns what changed after a revision. It reports false when nothing is
// known yet.
func (l *ChangeLog) Since(after int64) (News, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.base < 0 {
		return News{}, false
	}
	news := News{Revision: max(l.latest, after), Changes: []platform.Change{}}
	if after >= l.base {
		for _, b := range l.batches {
			if b.revision > after {
				news.Changes = append(news.Changes, b.changes...)
			}
		}
		return news, true
	}
	news.Full = true
	for _, o := range l.objects {
		news.Changes = append(news.Changes, platform.Change{Object: o})
	}
	return news, true
}
