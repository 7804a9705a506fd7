package upstream

import (
	"context"
	"encoding/json"
	"io"
	"log"
	"net"
	"net/http"
	"sync"

	"github.com/zeebo/errs"

	"sycamoreledge.example/internal/lab/firm"
)

// Error is the class of errors of this package.
var Error = errs.Class("upstream")

// maxFaultBytes bounds the body of a control request.
const maxFaultBytes = 64 << 10

// Zone holds all upstreams of an availability zone, each on its own address.
type Zone struct {
	records *records
	order   []*server
	byName  map[string]*server
}

// server is an upstream with its listener, which a fault may close.
type server struct {
	*Upstream
	mu   sync.Mutex
	http *http.Server
}

// NewZone returns the upstreams of the zone in the plan, not yet listening.
func NewZone(p *firm.Plan, zone string, seed uint64) *Zone {
	z := &Zone{records: &records{}, byName: map[string]*server{}}
	for _, service := range p.Topology.Services {
		for _, pool := range service.Pools {
			if pool.Zone != zone {
				continue
			}
			for _, u := range pool.Upstreams {
				s := &server{Upstream: newUpstream(u, pool, service.Name, p.World, seed, z.records)}
				z.order = append(z.order, s)
				z.byName[u.Name] = s
			}
		}
	}
	return z
}

// Run serves the upstreams and the control interface until ctx ends.
func (z *Zone) Run(ctx context.Context, admin string) error {
	defer z.stop()
	for _, s := range z.order {
		if err := s.listen(); err != nil {
			return err
		}
	}
	l, err := net.Listen("tcp", admin)
	if err != nil {
		return Error.Wrap(err)
	}
	control := &http.Server{Handler: z.Control(), ErrorLog: silent}
	defer func() { _ = control.Close() }()
	failed := make(chan error, 1)
	go func() { failed <- control.Serve(l) }()
	select {
	case <-ctx.Done():
		return nil
	case err := <-failed:
		return Error.Wrap(err)
	}
}

// stop closes all upstreams.
func (z *Zone) stop() {
	for _, s := range z.order {
		s.close()
	}
}

// Control returns the handler of the control interface.
func (z *Zone) Control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /lab/ledger", z.serveLedger)
	mux.HandleFunc("GET /lab/counts", z.serveCounts)
	mux.HandleFunc("POST /lab/upstreams/{name}", z.serveFault)
	mux.HandleFunc("POST /lab/upstreams/{name}/restart", z.serveRestart)
	return mux
}

// Ledger returns what the upstreams did so far.
func (z *Zone) Ledger() Ledger {
	return Ledger{Upstreams: z.counts(), Records: z.records.list()}
}

// counts returns the totals of all upstreams.
func (z *Zone) counts() []Counts {
	var all []Counts
	for _, s := range z.order {
		all = append(all, s.Counts())
	}
	return all
}

// serveCounts sends the totals.
func (z *Zone) serveCounts(w http.ResponseWriter, _ *http.Request) { writeJSON(w, z.counts()) }

// serveLedger sends the ledger.
func (z *Zone) serveLedger(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, z.Ledger())
}

// serveFault replaces the faults of an upstream.
func (z *Zone) serveFault(w http.ResponseWriter, r *http.Request) {
	s := z.byName[r.PathValue("name")]
	if s == nil {
		http.NotFound(w, r)
		return
	}
	var f Fault
	dec := json.NewDecoder(io.LimitReader(r.Body, maxFaultBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := s.apply(f); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// serveRestart closes all connections of an upstream and makes it cold.
func (z *Zone) serveRestart(w http.ResponseWriter, r *http.Request) {
	s := z.byName[r.PathValue("name")]
	if s == nil {
		http.NotFound(w, r)
		return
	}
	s.close()
	s.Restart()
	if err := s.listen(); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// apply sets the faults and opens or closes the listener.
func (s *server) apply(f Fault) error {
	s.SetFault(f)
	if f.Refuse {
		s.close()
		return nil
	}
	return s.listen()
}

// listen starts serving unless it does already.
func (s *server) listen() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.http != nil {
		return nil
	}
	l, err := net.Listen("tcp", s.Address)
	if err != nil {
		return Error.Wrap(err)
	}
	s.http = &http.Server{Handler: s.Upstream, ErrorLog: silent}
	go serve(s.http, &listener{Listener: l, u: s.Upstream})
	return nil
}

// serve runs until the server is closed, which is its only end.
func serve(s *http.Server, l net.Listener) { _ = s.Serve(l) }

// close ends the listener and all connections.
func (s *server) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.http != nil {
		_ = s.http.Close()
		s.http = nil
	}
}

// silent drops what net/http logs about clients that go away.
var silent = log.New(io.Discard, "", 0)
