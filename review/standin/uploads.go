package main

import (
	"fmt"
	"time"
)

func init() {
	cases["uploads"] = runUploads
}

// runUploads: many users send large bodies in chunks at once.
func runUploads(r *run) []string {
	s := r.newSite(284)
	defer s.stop()
	s.addBackends("order-status", 2, 6, 18, 200*time.Millisecond)
	s.addBackends("order-desk", 2, 6, 18, 400*time.Millisecond)
	s.addBackends("scan-intake", 4, 3, 9, 650*time.Millisecond)
	s.store.put("config", "main", configuration(firstVersion, 5, 4000))
	s.start()
	g := newGroup()
	s.everyday(g, 16, usualPause)
	time.Sleep(6 * time.Second)
	uploaders := uploadersUsual
	if r.trouble {
		uploaders = uploadersBurst
	}
	for burst := range bursts {
		s.ledger.note("%d users of each zone upload", uploaders)
		uploads := newGroup()
		for i, z := range zones {
			for n := range uploaders {
				start := time.Duration(0)
				if !r.trouble {
					// Without the burst, the users don't come at once but one after the other.
					start = time.Duration(n) * uploadCycle / uploadersUsual
				}
				uploads.add(&client{
					site: s, name: fmt.Sprintf("%d%d%02d-", burst, i, n), zone: z, start: start, pause: uploadPause, steady: true,
					next: batchRequest(uploadBytes), budget: 4 * time.Second, chunked: true,
				})
			}
		}
		time.Sleep(burstFor)
		uploads.stop()
		time.Sleep(burstPause)
	}
	ended := s.ledger.now()
	found := append(s.ledger.checkRuns(), s.ledger.checkMixed()...)
	found = append(found, s.ledger.checkLost(func(q *request) bool { return q.ended < ended })...)
	found = append(found, s.checkFault()...)
	g.stop()
	s.finish(r)
	return found
}

const (
	// The burst of the small sites has 1.7 times the usual traffic, for 3 s.
	uploadersUsual = 6
	uploadersBurst = 10
	burstFor       = 3000 * time.Millisecond
	burstPause     = 6 * time.Second
	bursts         = 4
	// uploadCycle is how long a user takes for an upload and the pause after it.
	uploadCycle = 2900 * time.Millisecond
	uploadPause = 2 * time.Second
	// uploadBytes is less than half of maxBodyBytes.
	uploadBytes = 27 << 20
)

// finish ends all processes and writes the record.
func (s *site) finish(r *run) {
	s.stop()
	for _, m := range s.machines {
		s.ledger.note("%s: at most %d kB of memory, ended by itself at %v", m.name, m.peakKB, m.ends)
	}
	s.ledger.write(r.folder)
}
