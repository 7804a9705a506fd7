package main

import (
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

const (
	// The dose of the kind garble in the list of the site file: a share of the back ends of each service
	// spoils a part of its answers.
	spoilShare = 0.35
	spoilPart  = 0.02
	spoilFor   = 5500 * time.Millisecond
	// A sound back end ends one channel in so many answers with Connection: close.
	closesEvery = 4
)

func init() {
	cases["foreign"] = runForeign
}

// runForeign: faulty back ends send bytes that are not a response.
func runForeign(r *run) []string {
	s := r.newSite(284)
	defer s.stop()
	s.addBackends("order-status", 3, 6, 18, 60*time.Millisecond)
	s.addBackends("order-desk", 3, 6, 18, 60*time.Millisecond)
	s.addBackends("scan-intake", 2, 3, 9, 650*time.Millisecond)
	for _, b := range s.backends {
		b.closeAfter = closesEvery
	}
	s.store.put("config", "main", configuration(firstVersion, 5, 4000))
	s.start()
	g := newGroup()
	s.everyday(g, 40, 150*time.Millisecond)
	time.Sleep(5 * time.Second)
	// The disruption comes three times: it may come at any moment, more than once.
	for range 3 {
		if r.trouble {
			s.spoilAnswers()
		}
		time.Sleep(spoilFor)
		s.soundAnswers()
		time.Sleep(2 * time.Second)
	}
	g.stop()
	found := append(s.ledger.checkRuns(), s.ledger.checkMixed()...)
	s.finish(r)
	return found
}

// spoilAnswers makes a share of the back ends of each service spoil a part of its answers: the bytes are
// not the back end's response, which bears its signature and the request's id.
func (s *site) spoilAnswers() {
	count := map[string]int{}
	for _, b := range s.backends {
		count[b.service]++
	}
	spoils := map[string]int{}
	for _, b := range s.backends {
		if spoils[b.service] >= int(spoilShare*float64(count[b.service])) {
			continue
		}
		spoils[b.service]++
		s.ledger.note("%s spoils %g of its answers", b.id, spoilPart)
		b.setSpoil(func(conn net.Conn, b *backend, r *http.Request, id string) bool {
			if rand.Float64() >= spoilPart {
				return false
			}
			s.ledger.note("%s sends bytes that are not a response to %s", b.id, id)
			junk := make([]byte, 40)
			for i := range junk {
				junk[i] = byte(rand.IntN(256))
			}
			return write(conn, "HTTP/1.1 200 OK\r\n\r\n"+string(junk))
		})
	}
}

func (s *site) soundAnswers() {
	for _, b := range s.backends {
		b.setSpoil(nil)
	}
}

func (b *backend) setSpoil(f func(conn net.Conn, b *backend, r *http.Request, id string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spoil = f
}
