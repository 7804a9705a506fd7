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
	// The small sites have storms with a change each 0.17 s for 4.35 s, and each 0.08 s for 2 s.
	longStormFor  = 4 * time.Second
	longStormGap  = 270 * time.Millisecond
	denseStormFor = 2 * time.Second
	denseStormGap = 80 * time.Millisecond
	// The store of the small sites is up to 60 times as slow, for 4.5 s.
	storeSlowness = 60
	storeSlowFor  = 4500 * time.Millisecond
	stormEvery    = 4100 * time.Millisecond
	stormsMost    = 23
)

func init() {
	cases["configs"] = runConfigs
	cases["stale"] = runStale
}

// operator writes configurations.
type operator struct {
	site    *site
	version int
}

// write writes the next version. Orders go to the given service.
func (o *operator) write(orders string) {
	o.version++
	// Each version has another time-out for orders; all of them are far above what orders take.
	c := configuration(o.version, manyRoutes, 4000+o.version%100, orders)
	text, err := json.Marshal(c)
	check(err)
	if len(text) > valueBytes {
		fail(fmt.Sprintf("the configuration has %d bytes, more than valueBytes", len(text)))
	}
	revision := o.site.store.put("config", "main", json.RawMessage(text))
	o.site.ledger.note("version %s of %d bytes is acknowledged, revision %d; orders go to %s", hexVersion(o.version), len(text), revision, orders)
}

func (o *operator) storm(length, gap time.Duration, orders string) {
	tick := time.NewTicker(gap)
	defer tick.Stop()
	for end := time.Now().Add(length); time.Now().Before(end); <-tick.C {
		o.write(orders)
	}
}

func (r *run) ordinarySite() (*site, *operator) {
	s := r.newSite(284)
	s.addBackends("order-status", 2, 6, 18, 300*time.Millisecond)
	s.addBackends("order-desk", 2, 6, 18, 500*time.Millisecond)
	s.addBackends("order-desk-new", 2, 6, 18, 500*time.Millisecond)
	s.addBackends("scan-intake", 2, 3, 9, 650*time.Millisecond)
	return s, &operator{site: s, version: firstVersion}
}

// runConfigs: storms of configurations come again and again.
func runConfigs(r *run) []string {
	s, o := r.ordinarySite()
	defer s.stop()
	o.write("order-desk")
	s.start()
	g := newGroup()
	s.everyday(g, 20, usualPause)
	time.Sleep(6 * time.Second)
	for range stormsMost {
		next := time.Now().Add(stormEvery)
		if r.trouble {
			o.storm(longStormFor, longStormGap, "order-desk")
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

// runStale: the store is slow while configurations come in quick succession; after it, orders go to
// another service.
func runStale(r *run) []string {
	s, o := r.ordinarySite()
	defer s.stop()
	o.write("order-desk")
	s.start()
	g := newGroup()
	s.everyday(g, 6, usualPause)
	time.Sleep(6 * time.Second)
	slowEnd := time.Now()
	if r.trouble {
		s.ledger.note("the store takes %d times as long", storeSlowness)
		s.store.setSlowness(storeSlowness)
		slowEnd = slowEnd.Add(storeSlowFor)
		time.Sleep(storeSlowFor - denseStormFor - time.Second)
		o.storm(denseStormFor, denseStormGap, "order-desk")
	}
	o.write("order-desk-new")
	acknowledged := s.ledger.now()
	time.Sleep(time.Until(slowEnd))
	s.store.setSlowness(1)
	s.ledger.note("the store is as fast as usual")
	// Machines are in touch once the store has been without impairment for stabilityWindowMs.
	inTouch := s.ledger.now() + stability
	time.Sleep(stability + 8*time.Second)
	found := append(s.ledger.checkRuns(), s.ledger.checkMixed()...)
	found = append(found, s.ledger.checkOldService("order-desk", acknowledged, inTouch)...)
	g.stop()
	s.finish(r)
	return found
}

// checkOldService: a request sent later than configApplyMs after the ack of a version is run by the
// service of an older version, by machines in touch.
func (l *ledger) checkOldService(service string, acknowledged, inTouch time.Duration) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []string
	for _, id := range l.order {
		r := l.requests[id]
		if r.kind != kindOrder || r.sent <= max(acknowledged+configApply, inTouch) {
			continue
		}
		for _, ran := range r.ranServices {
			if ran == service {
				found = append(found, fmt.Sprintf("CONFIG: %s was sent to %s %.2f s after the ack of the version that moved orders, and ran at %v of the old service",
					id, r.machine, (r.sent-acknowledged).Seconds(), r.ranAt))
			}
		}
	}
	return found
}
