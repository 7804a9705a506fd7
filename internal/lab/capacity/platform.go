package capacity

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"sycamoreledge.example/internal/platform"
	"sycamoreledge.example/internal/presets"
	"sycamoreledge.example/internal/settings"
)

// Calls counts the calls to the platform by method.
type Calls struct {
	Watches, Reads, Lists atomic.Int64
}

// total returns the sum of all calls. A pending watch counts as one call.
func (c *Calls) total() int64 { return c.Watches.Load() + c.Reads.Load() + c.Lists.Load() }

// PlatformLoad is the rate of calls to the platform in calls per second.
type PlatformLoad struct {
	Zones, Watchers int
	// Watches, Reads and Lists are the mean rates before the outage.
	Watches, Reads, Lists float64
	// DuringOutage is the mean rate of all calls while the platform does not
	// answer; AfterOutage is the highest number of calls in one second after it
	// has recovered.
	DuringOutage, AfterOutage float64
}

// Parameters of MeasurePlatform.
const (
	watchersPerZone = 2
	// listInterval is the interval at which a watcher lists the instances.
	listInterval = time.Second
	outage       = 10 * time.Second
	afterOutage  = 5 * time.Second
)

// countingClient is a platform client that counts its calls.
type countingClient struct {
	platform.Client
	calls *Calls
}

// Get implements platform.Client.
func (c countingClient) Get(ctx context.Context, key string) (platform.Object, error) {
	c.calls.Reads.Add(1)
	return c.Client.Get(ctx, key)
}

// Watch implements platform.Client.
func (c countingClient) Watch(ctx context.Context, key string, version int64) (platform.Object, error) {
	c.calls.Watches.Add(1)
	return c.Client.Watch(ctx, key, version)
}

// Instances implements platform.Client.
func (c countingClient) Instances(ctx context.Context) ([]platform.Instance, error) {
	c.calls.Lists.Add(1)
	return c.Client.Instances(ctx)
}

// MeasurePlatform runs the watchers of a fleet against an in-memory platform in
// real time: for the duration undisturbed without faults, then during an outage
// and after it.
func MeasurePlatform(ctx context.Context, zones int, undisturbed time.Duration) PlatformLoad {
	ctx, cancel := context.WithCancel(ctx)
	memory := platform.NewMemory()
	calls := &Calls{}
	var wg sync.WaitGroup
	load := PlatformLoad{Zones: zones, Watchers: zones * watchersPerZone}
	for range load.Watchers {
		client := countingClient{Client: memory, calls: calls}
		watcher := &presets.Watcher{Client: client, OnConfig: func(*settings.Config) {}}
		wg.Go(func() { watcher.Run(ctx) })
		wg.Go(func() { pollList(ctx, client) })
	}
	sleep(ctx, undisturbed)
	load.Watches = rate(&calls.Watches, undisturbed)
	load.Reads = rate(&calls.Reads, undisturbed)
	load.Lists = rate(&calls.Lists, undisturbed)
	memory.SetFaults(platform.Faults{Down: true})
	before := calls.total()
	sleep(ctx, outage)
	load.DuringOutage = float64(calls.total()-before) / outage.Seconds()
	memory.SetFaults(platform.Faults{})
	load.AfterOutage = peakCallRate(ctx, calls)
	cancel()
	wg.Wait()
	return load
}

func rate(n *atomic.Int64, d time.Duration) float64 { return float64(n.Load()) / d.Seconds() }

// peakCallRate returns the highest number of calls in one second within
// afterOutage.
func peakCallRate(ctx context.Context, calls *Calls) float64 {
	most := int64(0)
	for range int(afterOutage / time.Second) {
		before := calls.total()
		sleep(ctx, time.Second)
		most = max(most, calls.total()-before)
	}
	return float64(most)
}

// pollList lists the instances every listInterval until ctx ends.
func pollList(ctx context.Context, client platform.Client) {
	for ctx.Err() == nil {
		// A failed call is retried at the next interval.
		_, _ = client.Instances(ctx)
		sleep(ctx, listInterval)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	// Callers check ctx themselves.
	_ = platform.Pause(ctx, d)
}
