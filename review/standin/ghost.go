package main

import (
	"path/filepath"
	"time"
)

// The cut of the small sites lasts 5.5 s.
const cutFor = 5500 * time.Millisecond

func init() { cases["ghost"] = runGhost }

// runGhost: a machine is partitioned from the store for a while. Later three back ends leave, one of them
// without a report.
func runGhost(r *run) []string {
	repository, err := filepath.Abs(r.repository)
	check(err)
	s := newSite(repository, r.temporary, 284, []zoneOf{zones[0], zones[0], zones[1], zones[1]})
	defer s.stop()
	s.addBackends("order-status", 2, 6, 18, 200*time.Millisecond)
	s.addBackends("order-desk", 2, 6, 18, 300*time.Millisecond)
	s.addBackends("scan-intake", 2, 3, 9, 650*time.Millisecond)
	s.store.put("config", "main", configuration(firstVersion, 5, 4000))
	s.start()
	g := newGroup()
	s.everyday(g, 12, usualPause)
	time.Sleep(6 * time.Second)
	cut := s.watcherOf("servers", zones[0])
	link := s.store.links[cut.name]
	if r.trouble {
		s.ledger.note("%s is partitioned from the store", cut.name)
		link.cut()
		time.Sleep(cutFor)
		link.heal()
		s.ledger.note("%s reaches the store", cut.name)
	}
	began := time.Now()
	for !link.watchedSince("servers", began) && time.Since(began) < 8*time.Second {
		time.Sleep(20 * time.Millisecond)
	}
	s.ledger.note("%s watches the back ends", cut.name)
	time.Sleep(300 * time.Millisecond)
	// Three back ends leave, as planned: two report that they do, the one between them doesn't.
	var gone *backend
	var leaving []*backend
	for _, b := range s.backends {
		switch {
		case b.service == "order-desk" && b.zone == cut.zone.name && gone == nil:
			gone = b
		case b.service == "scan-intake" && len(leaving) < 2:
			leaving = append(leaving, b)
		}
	}
	s.store.put("servers", leaving[0].id, leaving[0].entry("draining"))
	s.ledger.note("%s reports draining", leaving[0].id)
	time.Sleep(30 * time.Millisecond)
	s.store.remove("servers", gone.id)
	acknowledged := s.ledger.now()
	s.ledger.note("the entry of %s is removed", gone.id)
	s.store.put("servers", leaving[1].id, leaving[1].entry("draining"))
	s.ledger.note("%s reports draining", leaving[1].id)
	time.Sleep(drain + servesOn)
	gone.exit()
	for _, b := range leaving {
		b.exit()
		s.store.remove("servers", b.id)
	}
	s.ledger.note("all three exit")
	time.Sleep(4 * time.Second)
	g.stop()
	found := append(s.ledger.checkRuns(), s.ledger.checkMixed()...)
	found = append(found, s.ledger.checkDrain(gone, acknowledged, cut.name)...)
	s.finish(r)
	return found
}

// watcherOf returns the machine of a zone that watches a kind at the store.
func (s *site) watcherOf(kind string, zone zoneOf) *machine {
	since := time.Now().Add(-2 * time.Second)
	for _, m := range s.machines {
		if m.zone == zone && s.store.links[m.name].watchedSince(kind, since) {
			return m
		}
	}
	fail("no machine watches " + kind)
	return nil
}
