package main

import (
	"fmt"
	"sort"
)

// The checks of rules. Each returns what breaks the rule; nothing if it held.

// checkLost: at any time, a machine in touch passes a request from a kept channel on to a sound back
// end and closes that channel without an answer, more than three times. A process that ends by itself
// counts as running. The requests of the last moments, whose channels the test itself ends, are left
// out by the caller.
func (l *ledger) checkLost(inTouch func(r *request) bool) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := map[string]int{}
	for _, r := range l.requests {
		if r.keptChannel && r.runs > 0 && r.end != endAnswered && r.end != "" && r.end != "time budget reached" &&
			r.ended-r.sent < r.deadline && inTouch(r) {
			counts[r.machine]++
		}
	}
	var found []string
	for machine, n := range counts {
		if n > lostMostTimes {
			found = append(found, fmt.Sprintf("LOST: %s passed %d requests from kept channels on to sound back ends and closed the channels without an answer (at most %d)", machine, n, lostMostTimes))
		}
	}
	sort.Strings(found)
	return found
}

// checkRuns: UNASKED, TWICE and REFUSED.
func (l *ledger) checkRuns() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []string
	for _, id := range l.order {
		r := l.requests[id]
		if r.changed != "" && r.runs > 0 {
			found = append(found, "UNASKED: "+id+" "+r.changed)
		}
		if r.kind == kindStatus {
			continue
		}
		if r.runs > 1 {
			found = append(found, fmt.Sprintf("TWICE: %s ran at %v", id, r.ranAt))
		}
		if r.runs > 0 && (r.status == 429 || r.status == 503 || r.status == 408 || r.status == 421) {
			found = append(found, fmt.Sprintf("REFUSED: %s was answered %d and ran at %v", id, r.status, r.ranAt))
		}
	}
	return found
}

// checkMixed: a client gets a success without the back end's signature, or with another body than the
// back end's.
func (l *ledger) checkMixed() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []string
	for _, id := range l.order {
		r := l.requests[id]
		if r.end != endAnswered || r.status/100 != 2 {
			continue
		}
		if r.signature == "" || r.signature != signature(id, answerBody(id)) || r.body != answerBody(id) {
			found = append(found, fmt.Sprintf("MIXED: %s (%s) was answered %d with the signature %q and the body %.60q", id, r.kind, r.status, r.signature, r.body))
		}
	}
	return found
}

// checkFault: on a tenth of the machines in use (two at least) processes end by themselves three times
// in the day, with no impairment there.
func (s *site) checkFault() []string {
	n := 0
	var found []string
	for _, m := range s.machines {
		m.mu.Lock()
		if len(m.ends) >= 3 {
			n++
			found = append(found, fmt.Sprintf("FAULT: the processes of %s ended by themselves %d times", m.name, len(m.ends)))
		}
		m.mu.Unlock()
	}
	if n < 2 {
		return nil
	}
	return found
}
