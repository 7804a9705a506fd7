package api

import (
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"sycamoreledge.example/internal/api/wire"
	"sycamoreledge.example/internal/work"
)

// entries serves the list of entry instances that a caller may use.
func (s *Callers) entries(w http.ResponseWriter, r *http.Request) {
	service, kind, ok := s.requestedService(w, r)
	if !ok {
		return
	}
	client, err := clientAddr(r)
	if err != nil {
		writeError(w, http.StatusBadRequest, wire.CodeBadRequest, err.Error())
		return
	}
	response := s.rankedEntries(service, client)
	if len(response.Entries) == 0 {
		setRetryAfter(w.Header(), overloadRetryAfter)
		writeError(w, http.StatusServiceUnavailable, string(work.ReasonNotReady), "no instance can serve requests at present; retry later")
		return
	}
	if r.URL.Query().Get("issue_key") == "true" && !kind.Idempotent() {
		s.addKey(response)
	}
	w.Header().Set("Cache-Control", cacheControl(response, s.opts.MaxAge))
	writeJSON(w, http.StatusOK, response)
}

func (s *Callers) rankedEntries(service string, client netip.Addr) *wire.Entries {
	response := &wire.Entries{Service: service, MaxAgeMs: s.opts.MaxAge.Milliseconds(), Entries: []wire.Entry{}}
	for _, e := range s.opts.Rank(service, client) {
		response.Entries = append(response.Entries, wire.Entry{Name: e.Name, Zone: e.Zone, Region: e.Region, Address: e.Callers})
	}
	return response
}

// addKey adds a new idempotency key to the response. If none can be issued, the
// response has no key and the caller can request one with POST /v1/keys.
func (s *Callers) addKey(response *wire.Entries) {
	key, expires, err := s.opts.Keys.Issue(response.Service)
	if err != nil {
		return
	}
	response.Key = key
	response.KeyExpires = &expires
}

// cacheControl returns the Cache-Control value. A response with a key must not be
// cached: if two orders used the same key, the second would be treated as a repeat of
// the first.
func cacheControl(response *wire.Entries, maxAge time.Duration) string {
	if response.Key != "" {
		return "no-store"
	}
	return fmt.Sprintf("max-age=%d", int(maxAge.Seconds()))
}

func (s *Callers) issueKey(w http.ResponseWriter, r *http.Request) {
	service, _, ok := s.requestedService(w, r)
	if !ok {
		return
	}
	key, expires, err := s.opts.Keys.Issue(service)
	if err != nil {
		setRetryAfter(w.Header(), overloadRetryAfter)
		writeError(w, http.StatusServiceUnavailable, string(work.ReasonNotReady), err.Error())
		return
	}
	w.Header().Set("Cache-Control", "no-store")
	writeJSON(w, http.StatusCreated, wire.Key{Key: key, Expires: expires})
}

// requestedService returns the declared service named by the query. It writes an error
// response and reports false if there is none.
func (s *Callers) requestedService(w http.ResponseWriter, r *http.Request) (string, work.Kind, bool) {
	name := r.URL.Query().Get("service")
	if name == "" {
		writeError(w, http.StatusBadRequest, wire.CodeBadRequest, "the query parameter service=NAME is required")
		return "", "", false
	}
	kind, ok := s.opts.Services[name]
	if !ok {
		writeError(w, http.StatusNotFound, string(work.ReasonUnknownService), fmt.Sprintf("there is no service %q", name))
		return "", "", false
	}
	return name, kind, true
}

// clientAddr returns the client address given by the query, which lets a caller ask on
// behalf of another client, or else the remote address of the connection.
func clientAddr(r *http.Request) (netip.Addr, error) {
	if text := r.URL.Query().Get("client"); text != "" {
		addr, err := netip.ParseAddr(text)
		if err != nil {
			return netip.Addr{}, fmt.Errorf("client=%q is not an IP address", text)
		}
		return addr.Unmap(), nil
	}
	remote, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return netip.Addr{}, nil
	}
	return remote.Addr().Unmap(), nil
}
