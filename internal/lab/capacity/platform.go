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

// Calls counts calls to the platform by mechanism.
type Calls struct {
	Watches, Reads, Lists atomic.Int64
}

// total sums the calls; a waiting watch counts as one.
func (c *Calls) total() int64 { return c.Watches.Load() + c.Reads.Load() + c.Lists.Load() }

// PlatformLoad is the rate of calls to the platform in calls per second.
type PlatformLoad struct {
	Zones, Watchers int
	// Watches, Reads and Lists are means of the undisturbed time.
	Watches, Reads, Lists float64
	// Down is the mean of all calls while the platform does not answer, Back
	// the largest number in one second after it is back.
	Down, Back float64
}

// Settings of a measurement of the calls.
const (
	watchersPerZone = 2
	// listInterval is the interval at which a watcher reads the list of
	// instances.
	listInterval = time.Second
	outage       = 10 * time.Second
	afterOutage  = 5 * time.Second
)

// counting counts the calls to a platform.
type counting struct {
	platform.Client
	calls *Calls
}

// Get implements platform.Client.
func (c counting) Get(ctx context.Context, key string) (platform.Object, error) {
	c.calls.Reads.Add(1)
	return c.Client.Get(ctx, key)
}

// Watch implements platform.Client.
func (c counting) Watch(ctx context.Context, key string, version int64) (platform.Object, error) {
	c.calls.Watches.Add(1)
	return c.Client.Watch(ctx, key, version)
}

// Instances implements platform.Client.
func (c counting) Instances(ctx context.Context) ([]platform.Instance, error) {
	c.calls.Lists.Add(1)
	return c.Client.Instances(ctx)
}

// MeasurePlatform runs the watchers of a fleet against a platform in memory,
// in real time: undisturbed, while it is down, and after that.
func MeasurePlatform(ctx context.Context, zones int, undisturbed time.Duration) PlatformLoad {
	ctx, cancel := context.WithCancel(ctx)
	memory := platform.NewMemory()
	calls := &Calls{}
	var wg sync.WaitGroup
	load := PlatformLoad{Zones: zones, Watchers: zones * watchersPerZone}
	for range load.Watchers {
		client := counting{Client: memory, calls: calls}
		watcher := &presets.Watcher{Client: client, OnConfig: func(*settings.Config) {}}
		wg.Go(func() { watcher.Run(ctx) })
		wg.Go(func() { pollList(ctx, client) })
	}
	pause(ctx, undisturbed)
	load.Watches = rate(&calls.Watches, undisturbed)
	load.Reads = rate(&calls.Reads, undisturbed)
	load.Lists = rate(&calls.Lists, undisturbed)
	memory.SetFaults(platform.Faults{Down: true})
	before := calls.total()
	pause(ctx, outage)
	load.Down = float64(calls.total()-before) / outage.Seconds()
	memory.SetFaults(platform.Faults{})
	load.Back = highest(ctx, calls)
	cancel()
	wg.Wait()
	return load
}

func rate(n *atomic.Int64, d time.Duration) float64 { return float64(n.Load()) / d.Seconds() }

// highest returns the most calls in one second after an outage.
func highest(ctx context.Context, calls *Calls) float64 {
	most := int64(0)
	for range int(afterOutage / time.Second) {
		before := calls.total()
		pause(ctx, time.Second)
		most = max(most, calls.total()-before)
	}
	return float64(most)
}

// pollList reads the list of instances at its interval.
func pollList(ctx context.Context, client platform.Client) {
	for ctx.Err() == nil {
		// A failed read is repeated at the next interval.
		_, _ = client.Instances(ctx)
		pause(ctx, listInterval)
	}
}

func pause(ctx context.Context, d time.Duration) {
	// The end of the context is looked at by the caller.
	_ = platform.Pause(ctx, d)
}
