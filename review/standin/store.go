package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's metadata store: linearizable, with watches and a history of
// historyS seconds.
type store struct {
	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]storeObject
	history  []storeChange
	// compacted is the revision up to which the history is gone.
	compacted int64
	changed   chan struct{}
	// specs are the specs of all revisions. Answers are put together with them as they are, since the
	// entries of other writers may hold what an encoder refuses.
	specs map[int64]json.RawMessage
	// links are the ways of the machines to the store, by the machine's name.
	links map[string]*storeLink
}

type storeObject struct {
	name      string
	revision  int64
	createRev int64
	spec      json.RawMessage
}

type storeChange struct {
	kind     string
	object   storeObject
	deleted  bool
	revision int64
	at       time.Time
}

const (
	historySeconds = 20
	// A page of a list holds so many items or bytes at most.
	pageItems  = 500
	pageBytes  = 1 << 20
	storeDelay = 4 * time.Millisecond
	maxWatch   = 30 * time.Second
)

func newStore() *store {
	s := &store{objects: map[string]map[string]storeObject{}, specs: map[int64]json.RawMessage{}, changed: make(chan struct{}), revision: 100}
	s.links = map[string]*storeLink{}
	return s
}

// storeLink is the way of one machine to the store. While it is cut, nothing is answered.
type storeLink struct {
	store *store
	// delay is the round trip.
	delay   time.Duration
	address string
	mu      sync.Mutex
	healed  chan struct{}
	// lastWatch is when the last watch of a kind began that waits for changes, by kind.
	lastWatch map[string]time.Time
}

// link opens an address of the store for one machine.
func (s *store) link(ip, machine string, delay time.Duration) *storeLink {
	ln := listen(ip)
	l := &storeLink{store: s, delay: delay, address: ln.Addr().String(), lastWatch: map[string]time.Time{}}
	s.links[machine] = l
	go func() { _ = http.Serve(ln, l) }()
	return l
}

// cut partitions the machine from the store until heal is called.
func (l *storeLink) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.healed = make(chan struct{})
}

func (l *storeLink) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.healed)
	l.healed = nil
}

// watchedSince reports whether the machine has begun to wait for changes of a kind since a time.
func (l *storeLink) watchedSince(kind string, since time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastWatch[kind].After(since)
}

// ServeHTTP implements http.Handler.
func (l *storeLink) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.passOrDrop()
	kind := strings.TrimPrefix(r.URL.Path, "/-/objects/")
	if wait := r.URL.Query().Get("waitMs"); wait != "" && wait != "0" {
		l.mu.Lock()
		l.lastWatch[kind] = time.Now()
		l.mu.Unlock()
	}
	l.store.answer(w, r, func() {
		time.Sleep(l.delay)
		l.passOrDrop()
	})
}

// passOrDrop drops the connection, once the cut has healed, of a call that met the cut.
func (l *storeLink) passOrDrop() {
	l.mu.Lock()
	healed := l.healed
	l.mu.Unlock()
	if healed != nil {
		<-healed
		panic(http.ErrAbortHandler)
	}
}

func listen(ip string) net.Listener {
	ln, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	check(err)
	return ln
}

// put stores an object and returns the revision of the acknowledged change.
func (s *store) put(kind, name string, spec any) int64 {
	raw, ok := spec.(json.RawMessage)
	if !ok {
		text, err := json.Marshal(spec)
		check(err)
		raw = text
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set(kind, name, raw).revision
}

func (s *store) set(kind, name string, spec json.RawMessage) storeObject {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]storeObject{}
	}
	old, exists := s.objects[kind][name]
	if exists && bytes.Equal(old.spec, spec) {
		return old
	}
	s.revision++
	o := storeObject{name: name, revision: s.revision, createRev: s.revision, spec: spec}
	if exists {
		o.createRev = old.createRev
	}
	s.objects[kind][name] = o
	s.specs[o.revision] = spec
	s.record(storeChange{kind: kind, object: o, revision: s.revision})
	return o
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.objects[kind][name]; ok {
		s.revision++
		delete(s.objects[kind], name)
		s.record(storeChange{kind: kind, object: o, deleted: true, revision: s.revision})
	}
}

func (s *store) record(c storeChange) {
	c.at = time.Now()
	s.history = append(s.history, c)
	for len(s.history) > 0 && time.Since(s.history[0].at) > historySeconds*time.Second {
		s.compacted = s.history[0].revision
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire drops the history that is older than historySeconds.
func (s *store) expire() {
	for len(s.history) > 0 && time.Since(s.history[0].at) > historySeconds*time.Second {
		s.compacted = s.history[0].revision
		s.history = s.history[1:]
	}
}

// specMark stands for the spec of a revision until an answer is put together.
var specMark = regexp.MustCompile(`"@spec-(\d+)@"`)

func wire(o storeObject) map[string]any {
	return map[string]any{
		"metadata": map[string]any{"name": o.name, "revision": o.revision, "createRev": o.createRev, "finalizers": []string{}, "deleting": false},
		"spec":     fmt.Sprintf("@spec-%d@", o.revision), "status": nil,
	}
}

// answer answers one call; beforeAnswer is called before anything is written.
func (s *store) answer(w http.ResponseWriter, r *http.Request, beforeAnswer func()) {
	path, ok := strings.CutPrefix(r.URL.Path, "/-/objects/")
	if !ok {
		http.NotFound(w, r)
		return
	}
	kind, name, _ := strings.Cut(path, "/")
	status, body := s.handle(r, kind, name)
	time.Sleep(storeDelay)
	text, err := json.Marshal(body)
	check(err)
	text = specMark.ReplaceAllFunc(text, func(mark []byte) []byte {
		revision, err := strconv.ParseInt(string(specMark.FindSubmatch(mark)[1]), 10, 64)
		check(err)
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.specs[revision]
	})
	beforeAnswer()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

func (s *store) handle(r *http.Request, kind, name string) (int, any) {
	query := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && query.Has("watch"):
		return s.watch(r, kind)
	case r.Method == http.MethodGet && name != "":
		s.mu.Lock()
		defer s.mu.Unlock()
		if o, ok := s.objects[kind][name]; ok {
			return http.StatusOK, wire(o)
		}
		return http.StatusNotFound, nil
	case r.Method == http.MethodGet:
		return s.list(kind, query.Get("after"))
	}
	var call struct {
		Metadata struct {
			Name     string `json:"name"`
			Revision int64  `json:"revision"`
		} `json:"metadata"`
		Spec json.RawMessage `json:"spec"`
	}
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
			return http.StatusBadRequest, nil
		}
	}
	if name == "" {
		name = call.Metadata.Name
	}
	condition := call.Metadata.Revision
	if v, err := strconv.ParseInt(query.Get("revision"), 10, 64); err == nil {
		condition = v
	}
	s.mu.Lock()
	o, exists := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && exists, exists && condition > 0 && condition != o.revision:
		defer s.mu.Unlock()
		return http.StatusConflict, wire(o)
	case r.Method != http.MethodPost && !exists:
		defer s.mu.Unlock()
		return http.StatusNotFound, nil
	case r.Method == http.MethodDelete:
		s.mu.Unlock()
		s.remove(kind, name)
		return http.StatusOK, wire(o)
	}
	defer s.mu.Unlock()
	return http.StatusOK, wire(s.set(kind, name, call.Spec))
}

func (s *store) list(kind, after string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	items, size := []any{}, 0
	for _, name := range names {
		o := s.objects[kind][name]
		size += len(o.spec)
		if len(items) == pageItems || len(items) > 0 && size > pageBytes {
			break
		}
		items = append(items, wire(o))
	}
	return http.StatusOK, map[string]any{"items": items, "hasMore": len(items) < len(names), "currentRev": s.revision}
}

func (s *store) watch(r *http.Request, kind string) (int, any) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timer := time.NewTimer(min(time.Duration(wait)*time.Millisecond, maxWatch))
	defer timer.Stop()
	for over := wait == 0; ; {
		s.mu.Lock()
		s.expire()
		if after < s.compacted {
			defer s.mu.Unlock()
			return http.StatusGone, map[string]any{"currentRev": s.revision}
		}
		events := []any{}
		for _, c := range s.history {
			if c.kind == kind && c.revision > after {
				events = append(events, map[string]any{"object": wire(c.object), "deleted": c.deleted})
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || over {
			return http.StatusOK, map[string]any{"events": events, "currentRev": revision}
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return http.StatusOK, nil
		}
	}
}

func hexVersion(n int) string { return fmt.Sprintf("%08x", n) }
