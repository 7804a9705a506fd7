package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"
)

const (
	drain = 2500 * time.Millisecond
	// The back end that leaves serves for drainMs after the ack, and this much longer.
	servesOn = 6 * time.Second
	// The entry of another writer is nested so deep. It has 40 kB.
	strangeDepth = 20_000
)

func init() {
	cases["entries"] = runEntries
}

// runEntries: another writer leaves an entry that can't be read among those of the back ends. Then a back
// end leaves.
func runEntries(r *run) []string {
	s := r.newSite(284)
	defer s.stop()
	s.addBackends("order-status", 2, 6, 18, 300*time.Millisecond)
	s.addBackends("order-desk", 2, 6, 18, 500*time.Millisecond)
	s.addBackends("scan-intake", 2, 3, 9, 650*time.Millisecond)
	s.store.put("config", "main", configuration(firstVersion, 5, 4000))
	s.start()
	g := newGroup()
	s.everyday(g, 20, usualPause)
	time.Sleep(6 * time.Second)
	if r.trouble {
		spec := `{"address":` + strings.Repeat("[", strangeDepth) + strings.Repeat("]", strangeDepth) + "}"
		s.ledger.note("another writer writes an entry of %d bytes that can't be read", len(spec))
		s.store.put("servers", "x-17", json.RawMessage(spec))
	}
	time.Sleep(time.Second)
	var leaving *backend
	for _, b := range s.backends {
		if b.service == "order-desk" {
			leaving = b
			break
		}
	}
	s.store.put("servers", leaving.id, leaving.entry("draining"))
	acknowledged := s.ledger.now()
	s.ledger.note("%s reports draining, acknowledged", leaving.id)
	time.Sleep(drain + servesOn)
	leaving.exit()
	s.store.remove("servers", leaving.id)
	s.ledger.note("%s exits", leaving.id)
	time.Sleep(5 * time.Second)
	g.stop()
	found := append(s.ledger.checkRuns(), s.ledger.checkMixed()...)
	found = append(found, s.ledger.checkDrain(leaving, acknowledged, "")...)
	s.finish(r)
	return found
}

// checkDrain: a request reaches a back end later than drainMs after the ack that it is draining or gone,
// sent on by machines in touch: all except the one named.
func (l *ledger) checkDrain(b *backend, acknowledged time.Duration, except string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []string
	for _, id := range l.order {
		r := l.requests[id]
		for _, a := range r.arrivals {
			if a.backend == b.id && r.machine != except && a.at > acknowledged+drain {
				found = append(found, fmt.Sprintf("DRAIN: %s (%s) sent to %s, reached %s %.2f s after the ack that it leaves; its client got: %d, %s",
					id, r.kind, r.machine, b.id, (a.at-acknowledged).Seconds(), r.status, r.end))
			}
		}
	}
	return found
}
