package main

import (
	"encoding/json"
	"fmt"
	"time"
)

const (
	// manyRoutes makes a configuration that is just below valueBytes.
	manyRoutes = 4250
	valueBytes = 1 << 20
	// The small sites have storms with a change each 0.17 s for 4.35 s, and each 0.215 s for 3.51 s.
	stormFor   = 4 * time.Second
	stormGap   = 270 * time.Millisecond
	stormEvery = 4100 * time.Millisecond
	stormsMost = 23
)

func init() {
	cases["configs"] = runConfigs
}

// operator writes configurations.
type operator struct {
	site    *site
	version int
}

// write writes the next version.
func (o *operator) write() {
	o.version++
	// Each version has another time-out for orders; all of them are far above what orders take.
	c := configuration(o.version, manyRoutes, 4000+o.version%100)
	text, err := json.Marshal(c)
	check(err)
	if len(text) > valueBytes {
		fail(fmt.Sprintf("the configuration has %d bytes, more than valueBytes", len(text)))
	}
	revision := o.site.store.put("config", "main", json.RawMessage(text))
	o.site.ledger.note("version %s of %d bytes is acknowledged, revision %d", hexVersion(o.version), len(text), revision)
}

func (o *operator) storm() {
	tick := time.NewTicker(stormGap)
	defer tick.Stop()
	for end := time.Now().Add(stormFor); time.Now().Before(end); <-tick.C {
		o.write()
	}
}

func (r *run) ordinarySite() (*site, *operator) {
	s := r.newSite(284)
	s.addBackends("order-status", 2, 6, 18, 300*time.Millisecond)
	s.addBackends("order-desk", 2, 6, 18, 500*time.Millisecond)
	s.addBackends("scan-intake", 2, 3, 9, 650*time.Millisecond)
	return s, &operator{site: s, version: firstVersion}
}

// runConfigs: storms of configurations come again and again.
func runConfigs(r *run) []string {
	s, o := r.ordinarySite()
	defer s.stop()
	o.write()
	s.start()
	g := newGroup()
	s.everyday(g, 20, usualPause)
	time.Sleep(6 * time.Second)
	for range stormsMost {
		next := time.Now().Add(stormEvery)
		if r.trouble {
			o.storm()
		}
		time.Sleep(time.Until(next))
		if s.endedOnAll() {
			break
		}
	}
	ended := s.ledger.now()
	found := append(s.ledger.checkRuns(), s.ledger.checkMixed()...)
	found = append(found, s.ledger.checkLost(func(q *request) bool { return q.ended < ended })...)
	found = append(found, s.checkFault()...)
	g.stop()
	s.finish(r)
	return found
}

// endedOnAll reports whether the processes of all machines have ended by themselves.
func (s *site) endedOnAll() bool {
	for _, m := range s.machines {
		m.mu.Lock()
		n := len(m.ends)
		m.mu.Unlock()
		if n == 0 {
			return false
		}
	}
	return true
}
