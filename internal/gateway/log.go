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

// logRequest logs the result of a request and counts it in the metrics.
func (t *transaction) logRequest(status int, outcome work.Outcome, reason work.Reason, err error) {
	elapsed := time.Since(t.received)
	id, route, target, kind := event.RequestFailed, "", time.Duration(0), work.Kind("")
	if t.route != nil {
		route, target, kind = t.route.Name, t.route.Target, t.route.Kind
	}
	if outcome == work.Run {
		id = event.RequestServed
		if target > 0 && elapsed > target {
			id = event.RequestLate
		}
	}
	t.gateway.Metrics.RequestDone(t.service, kind, outcome, reason, elapsed)
	if !t.gateway.Events.Enabled(id) {
		t.gateway.Events.Log(id)
		return
	}
	t.gateway.Events.Log(id, "request", t.caller.ID, "route", route, "status", status,
		"outcome", outcome.String(), "reason", string(reason), "took", elapsed, "target", target,
		"config", t.configVersion, "service", t.service, "object", t.caller.Object,
		"attempts", strings.Join(t.attemptSummaries, "; "), "error", err)
}

// logAttempt records and logs the result of one attempt.
func (t *transaction) logAttempt(req *steering.Request, d steering.Decision, r exchange.Result, elapsed time.Duration) {
	t.outcomes = append(t.outcomes, r.Outcome)
	result := r.Outcome.String()
	if r.Outcome == work.Run {
		result = fmt.Sprintf("status %d", r.Status)
	} else if r.Reason != "" {
		result += " " + string(r.Reason)
	}
	t.attemptSummaries = append(t.attemptSummaries, fmt.Sprintf("%s in %s: %s after %s, expected %s, load %.1f of %d, wait %s, remembered %t",
		d.Target.ID, d.Target.Place.Zone, result, elapsed.Round(time.Millisecond), d.Expected.Round(time.Millisecond),
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
		"load", d.Load, "slots", d.Slots, "wait", d.Wait, "expected", d.Expected, "took", elapsed,
		"outcome", r.Outcome.String(), "reason", string(r.Reason), "status", r.Status, "kept", r.Reused,
		"reported", r.Info.Load, "error", r.Err)
}

// logRefusal logs why no upstream was chosen for a request.
func (t *transaction) logRefusal(req *steering.Request, d steering.Decision) {
	t.gateway.Events.Log(event.RequestRefused, "request", req.ID, "service", req.Service, "object", req.Object,
		"reason", string(d.Reason), "upstream", d.Target.ID, "remembered", d.Cached, "load", d.Load,
		"slots", d.Slots, "wait", d.Wait, "expected", d.Expected, "retry_after", d.RetryAfter,
		"left", time.Until(t.deadline), "attempts", len(t.outcomes))
}
