package link

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"time"
)

// Direction says which way of a pair of zones is cut.
type Direction string

// The directions.
const (
	CutNone     Direction = "none"
	CutBoth     Direction = "both"
	CutForward  Direction = "forward"  // from A to B
	CutBackward Direction = "backward" // from B to A
)

// Change is the body of POST /lab/links. A and B name a zone, a region, the
// platform, or with "*" everything.
type Change struct {
	A   string    `json:"a"`
	B   string    `json:"b"`
	Cut Direction `json:"cut"`
	// Network limits a cut to "udp", which the instances use between each
	// other, while "tcp" to upstreams and platform goes on. Empty is both.
	Network string `json:"network,omitempty"`
	// DelayMs, when set, becomes the one-way delay in milliseconds.
	DelayMs *float64 `json:"delay_ms,omitempty"`
}

// Status is one direction between two zones, as GET /lab/links lists it.
type Status struct {
	From     string  `json:"from"`
	To       string  `json:"to"`
	Platform bool    `json:"platform"`
	DelayMs  float64 `json:"delay_ms"`
	Cut      bool    `json:"cut"`
	Bytes    int64   `json:"bytes"`
	// Windows holds the bytes of each window of WindowMs by its start in units
	// of WindowMs since 1970.
	Windows  map[int64]int64 `json:"windows"`
	WindowMs int64           `json:"window_ms"`
}

// ServeHTTP serves GET and POST /lab/links.
func (l *Links) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodGet:
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(l.Statuses()) //nolint:errcheck // the client sees a short answer
	case http.MethodPost:
		l.post(w, r)
	default:
		http.Error(w, "GET or POST", http.StatusMethodNotAllowed)
	}
}

func (l *Links) post(w http.ResponseWriter, r *http.Request) {
	var change Change
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&change); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := l.Apply(change); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// Apply carries out a change; one that matches nothing is an error.
func (l *Links) Apply(change Change) error {
	if !slices.Contains([]Direction{"", CutNone, CutBoth, CutForward, CutBackward}, change.Cut) {
		return Error.New("unknown direction %q", change.Cut)
	}
	if change.Network != "" && change.Network != UDP {
		return Error.New("only %q can be cut alone, not %q", UDP, change.Network)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	matched := false
	for id, p := range l.pipes {
		forward := l.matches(id, change.A, change.B)
		backward := l.matches(pipeID{id.to, id.from, id.platform}, change.A, change.B)
		if !forward && !backward {
			continue
		}
		matched = true
		if change.DelayMs != nil {
			p.delay.Store(int64(*change.DelayMs * float64(time.Millisecond)))
		}
		if change.Cut != "" {
			p.setCut(change.Network, change.Cut == CutBoth ||
				forward && change.Cut == CutForward || backward && change.Cut == CutBackward)
		}
	}
	if !matched {
		return Error.New("no link between %q and %q", change.A, change.B)
	}
	return nil
}

// matches reports whether a pipe leads from a to b. Pipes of the platform are
// also those of its zone.
func (l *Links) matches(id pipeID, a, b string) bool {
	return l.isIn(id, id.from, a) && l.isIn(id, id.to, b)
}

func (l *Links) isIn(id pipeID, zone, name string) bool {
	switch name {
	case "*", zone, l.zones[zone].Region:
		return true
	case Platform:
		return id.platform
	default:
		return false
	}
}

// Statuses lists all directions by name.
func (l *Links) Statuses() []Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]Status, 0, len(l.pipes))
	for id, p := range l.pipes {
		total, windows := p.counter.snapshot()
		list = append(list, Status{
			From:     id.from,
			To:       id.to,
			Platform: id.platform,
			DelayMs:  float64(p.latency()) / float64(time.Millisecond),
			Cut:      p.cut.Load(),
			Bytes:    total,
			Windows:  windows,
			WindowMs: window.Milliseconds(),
		})
	}
	slices.SortFunc(list, func(a, b Status) int {
		return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.To, b.To))
	})
	return list
}
