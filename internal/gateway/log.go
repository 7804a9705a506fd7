package gateway

import (
	"fmt"
	"strings"
	"time"

	"sycamoreledge.example/internal/event"
	"sycamoreledge.example/internal/exchange"
	"sycamoreledge.example/internal/steering"
	"sycamoreledge.example/internal/work"
)

// log writes the line that ends a request, and counts it.
func (t *trip) log(status int, outcome work.Outcome, reason work.Reason, err error) {
	took := time.Since(t.arrived)
	id, route, target, kind := event.RequestFailed, "", time.Duration(0), work.Kind("")
	if t.route != nil {
		route, target, kind = t.route.Name, t.route.Target, t.route.Kind
	}
	if outcome == work.Run {
		id = event.RequestServed
		if target > 0 && took > target {
			id = event.RequestLate
		}
	}
	t.gateway.Metrics.RequestDone(t.service, kind, outcome, reason, took)
	if !t.gateway.Events.Enabled(id) {
		t.gateway.Events.Log(id)
		return
	}
	t.gateway.Events.Log(id, "request", t.caller.ID, "route", route, "status", status,
		"outcome", outcome.String(), "reason", string(reason), "took", took, "target", target,
		"config", t.config, "service", t.service, "object", t.caller.Object,
		"attempts", strings.Join(t.story, "; "), "error", err)
}

// logAttempt notes what became of one attempt, and writes its line.
func (t *trip) logAttempt(req *steering.Request, d steering.Decision, r exchange.Result, took time.Duration) {
	t.outcomes = append(t.outcomes, r.Outcome)
	result := r.Outcome.String()
	if r.Outcome == work.Run {
		result = fmt.Sprintf("status %d", r.Status)
	} else if r.Reason != "" {
		result += " " + string(r.Reason)
	}
	t.story = append(t.story, fmt.Sprintf("%s in %s: %s after %s, expected %s, load %.1f of %d, wait %s, remembered %t",
		d.Target.ID, d.Target.Place.Zone, result, took.Round(time.Millisecond), d.Expected.Round(time.Millisecond),
		d.Load, d.Slots, d.Wait.Round(time.Millisecond), d.Cached))
	id := event.AttemptFailed
	if r.Outcome == work.Run {
		id = event.AttemptAnswered
	}
	if !t.gateway.Events.Enabled(id) {
		t.gateway.Events.Log(id)
		return
	}
	t.gateway.Events.Log(id, "request", req.ID, "service", req.Service, "object", req.Object,
		"upstream", d.Target.ID, "zone", d.Target.Place.Zone, "remembered", d.Cached,
		"load", d.Load, "slots", d.Slots, "wait", d.Wait, "expected", d.Expected, "took", took,
		"outcome", r.Outcome.String(), "reason", string(r.Reason), "status", r.Status, "kept", r.Kept,
		"reported", r.Verdict.Load, "error", r.Err)
}

// logRefusal writes why a request is not sent.
func (t *trip) logRefusal(req *steering.Request, d steering.Decision) {
	t.gateway.Events.Log(event.RequestRefused, "request", req.ID, "service", req.Service, "object", req.Object,
		"reason", string(d.Reason), "upstream", d.Target.ID, "remembered", d.Cached, "load", d.Load,
		"slots", d.Slots, "wait", d.Wait, "expected", d.Expected, "retry_after", d.RetryAfter,
		"left", time.Until(t.deadline), "attempts", len(t.outcomes))
}
