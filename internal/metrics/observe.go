package metrics

import (
	"context"
	"time"

	"github.com/zeebo/errs"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"sycamoreledge.example/internal/control"
	"sycamoreledge.example/internal/event"
)

// gauges are the instruments whose values are read when they are asked for.
type gauges struct {
	busy, slots, queued metric.Int64ObservableGauge
	configVersion       metric.Int64ObservableGauge
	presetInForce       metric.Int64ObservableGauge
	members             metric.Int64ObservableGauge
	ownedPools          metric.Int64ObservableGauge
	snapshotAge         metric.Float64ObservableGauge
	keys, keyBytes      metric.Int64ObservableGauge
	attempts            metric.Int64ObservableCounter
	events              metric.Int64ObservableCounter
	droppedLines        metric.Int64ObservableCounter
}

// observe registers what is read from the sources of the options.
func (m *Metrics) observe(meter metric.Meter) error {
	var failed errs.Group
	gauge := func(name, description string) metric.Int64ObservableGauge {
		g, err := meter.Int64ObservableGauge(name, metric.WithDescription(description))
		failed.Add(err)
		return g
	}
	counter := func(name, description string) metric.Int64ObservableCounter {
		c, err := meter.Int64ObservableCounter(name, metric.WithDescription(description))
		failed.Add(err)
		return c
	}
	g := &gauges{
		busy:          gauge("pool_busy", "Slots in use, by pool that this instance dispatches to."),
		slots:         gauge("pool_slots", "Slots that this instance may use, by pool."),
		queued:        gauge("pool_queued", "Requests that wait, by pool."),
		configVersion: gauge("config_version", "Version of the configuration in force at this instance."),
		presetInForce: gauge("preset_in_force", "1 for the preset in force at this instance."),
		members:       gauge("members", "Declared instances by state as this instance knows them."),
		ownedPools:    gauge("owned_pools", "Pools that this instance may dispatch to."),
		keys:          gauge("idempotency_keys", "Idempotency keys kept by this instance."),
		keyBytes:      gauge("idempotency_key_bytes", "Size of the stored outcomes of idempotency keys."),
		attempts:      counter("attempts", "Dispatches to upstreams: first attempts, retries and hedges."),
		events:        counter("events", "Numbered events, also those that were not written to the log."),
		droppedLines:  counter("dropped_log_lines", "Log lines lost because the output was too slow."),
	}
	age, err := meter.Float64ObservableGauge("snapshot_age", metric.WithUnit("s"),
		metric.WithDescription("Time since the control loop last ran."))
	failed.Add(err)
	g.snapshotAge = age
	if err := failed.Err(); err != nil {
		return err
	}
	_, err = meter.RegisterCallback(
		func(_ context.Context, o metric.Observer) error {
			m.read(g, o)
			return nil
		},
		g.busy, g.slots, g.queued, g.configVersion, g.presetInForce, g.members, g.ownedPools,
		g.snapshotAge, g.keys, g.keyBytes, g.attempts, g.events, g.droppedLines)
	return err
}

func (m *Metrics) read(g *gauges, o metric.Observer) {
	if m.opts.Pools != nil {
		readPools(g, o, m.opts.Pools())
	}
	if m.opts.Attempts != nil {
		readAttempts(g, o, m.opts.Attempts())
	}
	if m.opts.Keys != nil {
		keys, size := m.opts.Keys()
		o.ObserveInt64(g.keys, int64(keys))
		o.ObserveInt64(g.keyBytes, size)
	}
	if m.opts.Snapshot != nil {
		readSnapshot(g, o, m.opts.Snapshot())
	}
	readEvents(g, o, m.opts.Events)
}

func readPools(g *gauges, o metric.Observer, pools []control.PoolStatus) {
	for _, p := range pools {
		labels := metric.WithAttributes(
			attribute.String("service", p.Pool.Service),
			attribute.String("zone", p.Pool.Zone),
		)
		o.ObserveInt64(g.busy, int64(p.Busy), labels)
		o.ObserveInt64(g.slots, int64(p.Slots), labels)
		o.ObserveInt64(g.queued, int64(p.Queued), labels)
	}
}

func readAttempts(g *gauges, o metric.Observer, a Attempts) {
	o.ObserveInt64(g.attempts, a.First, metric.WithAttributes(attribute.String("attempt", "first")))
	o.ObserveInt64(g.attempts, a.Retries, metric.WithAttributes(attribute.String("attempt", "retry")))
	o.ObserveInt64(g.attempts, a.Hedges, metric.WithAttributes(attribute.String("attempt", "hedge")))
}

func readSnapshot(g *gauges, o metric.Observer, snap *control.Snapshot) {
	if snap == nil {
		return
	}
	o.ObserveFloat64(g.snapshotAge, time.Since(snap.At).Seconds())
	o.ObserveInt64(g.ownedPools, int64(len(snap.Owned)))
	if snap.Config != nil {
		o.ObserveInt64(g.configVersion, snap.Config.Version)
	}
	if snap.Preset != nil {
		o.ObserveInt64(g.presetInForce, 1, metric.WithAttributes(attribute.String("preset", snap.Preset.Name)))
	}
	for state, count := range countMembers(snap) {
		o.ObserveInt64(g.members, count, metric.WithAttributes(attribute.String("state", state)))
	}
}

// stateFailed is the label of instances that are not alive.
const stateFailed = "failed"

// countMembers counts the declared instances by state, with a zero for each
// state that no instance is in.
func countMembers(snap *control.Snapshot) map[string]int64 {
	counts := map[string]int64{stateFailed: 0}
	for state := control.Joining; state <= control.Left; state++ {
		counts[state.String()] = 0
	}
	for i := range snap.Instances {
		state := stateFailed
		if snap.Instances[i].Alive {
			state = snap.Instances[i].State.String()
		}
		counts[state]++
	}
	return counts
}

func readEvents(g *gauges, o metric.Observer, events *event.Logger) {
	if events == nil {
		return
	}
	o.ObserveInt64(g.droppedLines, int64(events.DroppedLines()))
	for _, d := range event.Catalogue() {
		if count := events.Count(d.ID); count > 0 {
			o.ObserveInt64(g.events, int64(count), eventAttributes(d))
		}
	}
}
