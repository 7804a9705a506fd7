package promises

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/goccy/go-yaml"

	"sycamoreledge.example/internal/client"
	"sycamoreledge.example/internal/lab/caller"
	"sycamoreledge.example/internal/lab/cluster"
	"sycamoreledge.example/internal/lab/firm"
	"sycamoreledge.example/internal/lab/trial"
	"sycamoreledge.example/internal/settings"
	"sycamoreledge.example/internal/work"
)

// specials are the cases that need no fault of long duration.
func specials() []*Case {
	once := []Promise{Once, NotRun, Answers}
	return []*Case{
		{Name: "orders twice at once", twice: 0.5},
		{Name: "repeat of a finished order", special: repeatOrder, checks: once},
		{Name: "another body under key", special: anotherBody, checks: once},
		{Name: "upload cut, then again", special: cutUpload, checks: once},
		{Name: "two operators at once", special: twoOperators, checks: []Promise{Config}},
		{Name: "change whose answer is lost", special: lostAnswer, checks: []Promise{Config}},
		{Name: "operator dies half way", special: dyingOperator, checks: []Promise{Config}},
		{Name: "presets that break a limit", special: badPresets, checks: []Promise{Config}},
		{Name: "shift under caps", special: shift, checks: []Promise{Slots, Answers, Caps, Headroom}},
		{Name: "expired keys", special: expiredKeys, checks: once, options: func(o *trial.Options) { o.KeyLifetime = shortLifetime }},
		{Name: "platform absent at start", faults: []fault{absentPlatform()}, options: func(o *trial.Options) { o.WithoutPlatform = true }},
	}
}

// service returns the first service of a kind.
func (e *env) service(kind work.Kind) string {
	for _, s := range e.Plan.Topology.Services {
		if s.Kind == kind {
			return s.Name
		}
	}
	panic("promises: no service of kind " + string(kind))
}

// caller returns a client in the first zone.
func (e *env) caller() *caller.Client {
	return caller.NewClient(caller.Latency(e.Plan, firm.Zones(&e.Plan.Topology)[0]))
}

// call returns a call of the kind with an issued key. The nonce must be new in
// the trial.
func (e *env) call(ctx context.Context, c *caller.Client, kind work.Kind, nonce string, body []byte) (*caller.Call, error) {
	service := e.service(kind)
	key, err := c.NewKey(ctx, e.Plan.Entries[0].Callers, service)
	if err != nil {
		return nil, err
	}
	return &caller.Call{Service: service, Kind: kind, Nonce: nonce, Key: key, Body: body, Size: 300, Deadline: 5 * time.Second}, nil
}

// expect adds a finding unless the result has the outcome and the reason.
func (e *env) expect(p Promise, what string, r caller.Result, outcome work.Outcome, reason work.Reason) {
	if r.Outcome != outcome || r.Reason != reason || r.Bad != nil {
		e.broken(p, "%s: got %s %q (status %d, %v, %v), want %s %q", what, r.Outcome, r.Reason, r.Status, r.Err, r.Bad, outcome, reason)
	}
}

// repeatOrder sends an order again, also through another region.
func repeatOrder(ctx context.Context, e *env) error {
	c := e.caller()
	defer c.Close()
	call, err := e.call(ctx, c, work.Order, "repeat", []byte("order"))
	if err != nil {
		return err
	}
	var results []caller.Result
	for _, i := range []int{0, 0, len(e.Plan.Entries) - 1} {
		r := c.Send(ctx, e.Plan.Entries[i].Callers, call)
		e.expect(Once, "order through "+e.Plan.Entries[i].Name, r, work.Run, "")
		results = append(results, r)
	}
	e.Note(caller.Combine(call, results...))
	return nil
}

// anotherBody sends another order under a used key.
func anotherBody(ctx context.Context, e *env) error {
	c := e.caller()
	defer c.Close()
	call, err := e.call(ctx, c, work.Order, "first-body", []byte("order"))
	if err != nil {
		return err
	}
	first := c.Send(ctx, e.Plan.Entries[0].Callers, call)
	e.expect(Once, "first order", first, work.Run, "")
	other := *call
	other.Nonce, other.Body = "other-body", []byte("another order")
	second := c.Send(ctx, e.Plan.Entries[len(e.Plan.Entries)-1].Callers, &other)
	// The key itself was run, so that an answer of not run would be wrong.
	e.expect(Once, "another order under its key", second, work.Unknown, work.ReasonKeyConflict)
	e.Note(caller.Combine(call, first))
	return nil
}

// cutBytes is the size of the upload that is cut.
const cutBytes = 400 << 10

// cutUpload breaks an upload off in the middle and sends it again.
func cutUpload(ctx context.Context, e *env) error {
	c := e.caller()
	defer c.Close()
	call, err := e.call(ctx, c, work.Upload, "cut-upload", make([]byte, cutBytes))
	if err != nil {
		return err
	}
	if err := sendHalf(ctx, e.Plan.Entries[0].Callers, call); err != nil {
		return err
	}
	op := caller.New(caller.Config{Plan: e.Plan, Zone: e.Plan.Entries[0].Zone}).Operate(ctx, call, false)
	if op.Outcome != work.Run && op.Outcome != work.Unknown {
		e.broken(Once, "upload after a cut one: %s %s", op.Outcome, op.Reason)
	}
	e.Note(op)
	return nil
}

// sendHalf writes a request with half of its body and closes the connection.
func sendHalf(ctx context.Context, address string, call *caller.Call) error {
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
	if err != nil {
		return Error.Wrap(err)
	}
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST /v1/services/%s/items/%s?size=%d HTTP/1.1\r\nHost: %s\r\nDeadline-Ms: 5000\r\nIdempotency-Key: %s\r\nContent-Length: %d\r\n\r\n",
		call.Service, call.Nonce, call.Size, address, call.Key, len(call.Body))
	if err != nil {
		return Error.Wrap(err)
	}
	if _, err := conn.Write(call.Body[:len(call.Body)/2]); err != nil {
		return Error.Wrap(err)
	}
	pause(ctx, stagger)
	return nil
}

// shortLifetime is that of the keys in the case about expiry.
const shortLifetime = 3 * time.Second

// expiredKeys repeats an order and sends a new one under keys that expired
// meanwhile.
func expiredKeys(ctx context.Context, e *env) error {
	c := e.caller()
	defer c.Close()
	used, err := e.call(ctx, c, work.Order, "used-key", []byte("order"))
	if err != nil {
		return err
	}
	unused, err := e.call(ctx, c, work.Order, "unused-key", []byte("order"))
	if err != nil {
		return err
	}
	entry := e.Plan.Entries[0].Callers
	first := c.Send(ctx, entry, used)
	e.expect(Once, "order under a fresh key", first, work.Run, "")
	pause(ctx, 2*shortLifetime)
	again := c.Send(ctx, entry, used)
	e.Note(caller.Combine(used, first, again))
	late := c.Send(ctx, entry, unused)
	if late.Outcome == work.Run {
		e.broken(Once, "an order ran under an expired key")
	}
	e.Note(caller.Combine(unused, late))
	return nil
}

// absentPlatform is a platform that starts after the entries.
func absentPlatform() fault {
	return fault{
		name:   "platform absent at start",
		begin:  func(context.Context, *env) error { return nil },
		end:    startPlatform,
		hurts:  nobody,
		silent: true,
	}
}

// startPlatform starts the platform and stores the presets as soon as an
// entry accepts them.
func startPlatform(ctx context.Context, e *env) error {
	if err := e.Cluster.StartPlatform(ctx); err != nil {
		return err
	}
	for {
		err := e.ApplyPresets(ctx)
		if err == nil || ctx.Err() != nil {
			return err
		}
		pause(ctx, sampleInterval)
	}
}

// rounds is how often the cases with operators repeat.
const rounds = 5

// twoOperators lets two operators change the same version at once.
func twoOperators(ctx context.Context, e *env) error {
	entries := e.entries()
	for range rounds {
		before, err := e.operator.Presets(ctx)
		if err != nil {
			return err
		}
		type result struct {
			operation string
			err       error
		}
		results := make(chan result, 2)
		for i, name := range []string{"first", "second"} {
			operator, err := e.Operator(name, entries[i*(len(entries)-1)])
			if err != nil {
				return err
			}
			preset := []string{"peak", "ordinary"}[i]
			go func() {
				id := client.NewOperation()
				_, err := operator.Use(ctx, client.Change{Operation: id, IfVersion: before.Version}, preset)
				results <- result{id, err}
			}()
		}
		a, b := <-results, <-results
		e.note(a.operation, a.err)
		e.note(b.operation, b.err)
		if (a.err == nil) == (b.err == nil) {
			e.broken(Config, "two changes of version %d: %v and %v", before.Version, a.err, b.err)
			continue
		}
		winner, loser := a, b
		if a.err != nil {
			winner, loser = b, a
		}
		e.checkLoser(winner.operation, loser.err)
	}
	return e.checkAudit(ctx)
}

// checkLoser finds a refusal that does not show who won.
func (e *env) checkLoser(winner string, err error) {
	var refusal *client.APIError
	if !errors.As(err, &refusal) {
		e.broken(Config, "the second of two changes ended with %v", err)
		return
	}
	conflict, ok := refusal.Conflict()
	named := false
	for _, won := range conflict.Won {
		named = named || won.Operation == winner
	}
	if !ok || !named {
		e.broken(Config, "the refusal %v does not name the winner %s: %+v", err, winner, conflict)
	}
}

// lostAnswer loses the platform's answers to changes, and the operator asks
// again under the same operation id.
func lostAnswer(ctx context.Context, e *env) error {
	for i := range rounds {
		if err := e.Cluster.SetPlatform(ctx, cluster.Knobs{"lose_answers": 1 + i%2}); err != nil {
			return err
		}
		operation := client.NewOperation()
		preset := []string{"peak", "ordinary"}[i%2]
		_, err := e.operator.Use(ctx, client.Change{Operation: operation}, preset)
		if err := e.Cluster.SetPlatform(ctx, cluster.Knobs{"lose_answers": 0}); err != nil {
			return err
		}
		if err != nil {
			_, err = e.operator.Use(ctx, client.Change{Operation: operation}, preset)
		}
		e.note(operation, err)
		if err != nil {
			e.broken(Config, "the repeat of a change ended with %v", err)
		}
	}
	return e.checkAudit(ctx)
}

// dyingOperator breaks commands off after a short time, then repeats them.
func dyingOperator(ctx context.Context, e *env) error {
	for i := range 2 * rounds {
		operation := client.NewOperation()
		preset := []string{"peak", "ordinary"}[i%2]
		short, cancel := context.WithTimeout(ctx, time.Duration(i+1)*2*time.Millisecond)
		_, _ = e.operator.Use(short, client.Change{Operation: operation}, preset)
		cancel()
		_, err := e.operator.Use(ctx, client.Change{Operation: operation}, preset)
		e.note(operation, err)
		if err != nil {
			e.broken(Config, "the repeat of a change ended with %v", err)
		}
	}
	return e.checkAudit(ctx)
}

// badPresets offers presets that would break a limit.
func badPresets(ctx context.Context, e *env) error {
	cases := []struct {
		name  string
		spoil func(*settings.Preset)
	}{
		{"shift over the headroom", func(p *settings.Preset) { p.Services[0].ShiftRate *= 100 }},
		{"cap over the link", func(p *settings.Preset) { p.Links[0].Cap = 2 * e.Plan.Topology.Links[0].Rate }},
		{"all zones drained", func(p *settings.Preset) { p.DrainedZones = firm.Zones(&e.Plan.Topology) }},
		{"hedged orders", func(p *settings.Preset) { p.Services[1].HedgeQuantile = 0.9 }},
		{"service without policy", func(p *settings.Preset) { p.Services = p.Services[1:] }},
	}
	for _, c := range cases {
		text, err := spoiled(e.Plan, c.spoil)
		if err != nil {
			return err
		}
		operation := client.NewOperation()
		_, err = e.operator.Apply(ctx, client.Change{Operation: operation}, "ordinary", text)
		e.note(operation, err)
		var refusal *client.APIError
		if !errors.As(err, &refusal) || refusal.Status/100 != http.StatusBadRequest/100 || refusal.Answer.Message == "" {
			e.broken(Config, "%s: ended with %v", c.name, err)
		}
	}
	return e.checkAudit(ctx)
}

// spoiled returns the ordinary preset with a change, as YAML.
func spoiled(p *firm.Plan, change func(*settings.Preset)) ([]byte, error) {
	data, err := os.ReadFile(p.PresetFile("ordinary"))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	var preset settings.Preset
	if err := yaml.Unmarshal(data, &preset); err != nil {
		return nil, Error.Wrap(err)
	}
	change(&preset)
	data, err = yaml.Marshal(preset)
	return data, Error.Wrap(err)
}
