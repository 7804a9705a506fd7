package api

import (
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"sycamoreledge.example/internal/api/wire"
	"sycamoreledge.example/internal/work"
)

// entries tells a caller which instances to use.
func (s *Callers) entries(w http.ResponseWriter, r *http.Request) {
	service, kind, ok := s.askedService(w, r)
	if !ok {
		return
	}
	client, err := clientAddr(r)
	if err != nil {
		writeError(w, http.StatusBadRequest, wire.CodeBadRequest, err.Error())
		return
	}
	answer := s.rank(service, client)
	if len(answer.Entries) == 0 {
		setRetryAfter(w.Header(), overloadRetry)
		writeError(w, http.StatusServiceUnavailable, string(work.ReasonNotReady), "no instance can take requests now")
		return
	}
	if r.URL.Query().Get("issue_key") == "true" && !kind.Idempotent() {
		s.addKey(answer)
	}
	w.Header().Set("Cache-Control", cacheControl(answer, s.opts.MaxAge))
	writeJSON(w, http.StatusOK, answer)
}

func (s *Callers) rank(service string, client netip.Addr) *wire.Entries {
	answer := &wire.Entries{Service: service, MaxAgeMs: s.opts.MaxAge.Milliseconds(), Entries: []wire.Entry{}}
	for _, e := range s.opts.Rank(service, client) {
		answer.Entries = append(answer.Entries, wire.Entry{Name: e.Name, Zone: e.Zone, Region: e.Region, Address: e.Callers})
	}
	return answer
}

// addKey puts a new key into the answer; without one the caller asks for it by
// POST /v1/keys.
func (s *Callers) addKey(answer *wire.Entries) {
	key, expires, err := s.opts.Keys.Issue(answer.Service)
	if err != nil {
		return
	}
	answer.Key = key
	answer.KeyExpires = &expires
}

// cacheControl keeps an answer with a key out of caches: a key that two orders
// share would make the second one a repeat of the first.
func cacheControl(answer *wire.Entries, maxAge time.Duration) string {
	if answer.Key != "" {
		return "no-store"
	}
	return fmt.Sprintf("max-age=%d", int(maxAge.Seconds()))
}

func (s *Callers) issueKey(w http.ResponseWriter, r *http.Request) {
	service, _, ok := s.askedService(w, r)
	if !ok {
		return
	}
	key, expires, err := s.opts.Keys.Issue(service)
	if err != nil {
		setRetryAfter(w.Header(), overloadRetry)
		writeError(w, http.StatusServiceUnavailable, string(work.ReasonNotReady), err.Error())
		return
	}
	w.Header().Set("Cache-Control", "no-store")
	writeJSON(w, http.StatusCreated, wire.Key{Key: key, Expires: expires})
}

// askedService returns the declared service that the query names, or answers
// with an error.
func (s *Callers) askedService(w http.ResponseWriter, r *http.Request) (string, work.Kind, bool) {
	name := r.URL.Query().Get("service")
	if name == "" {
		writeError(w, http.StatusBadRequest, wire.CodeBadRequest, "the query needs service=NAME")
		return "", "", false
	}
	kind, ok := s.opts.Services[name]
	if !ok {
		writeError(w, http.StatusNotFound, string(work.ReasonUnknownService), fmt.Sprintf("there is no service %q", name))
		return "", "", false
	}
	return name, kind, true
}

// clientAddr returns the address of the client: that of the query for a caller
// that asks for another, or that of the connection.
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
