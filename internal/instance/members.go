package instance

import (
	"context"
	"encoding/json"
	"time"

	"sycamoreledge.example/internal/event"
	"sycamoreledge.example/internal/fleet"
	store "sycamoreledge.example/internal/platform"
	"sycamoreledge.example/internal/steering"
)

// keepMembers hands the instances that serve to the core.
func (i *Instance) keepMembers(ctx context.Context) {
	ticker := time.NewTicker(fleet.MinSendInterval)
	defer ticker.Stop()
	for {
		now := time.Now()
		peers := i.table.Peers(now)
		for _, p := range i.table.LivenessChanges(now) {
			switch {
			case p.Alive:
				i.events.Log(event.MemberJoined, "instance", p.Name, "zone", p.Place.Zone, "incarnation", p.Incarnation)
			case p.State == fleet.Leaving:
				i.events.Log(event.MemberLeft, "instance", p.Name, "zone", p.Place.Zone)
			default:
				i.events.Log(event.MemberFailed, "instance", p.Name, "zone", p.Place.Zone, "silent", p.SilentFor)
			}
		}
		members := []steering.Member{{Name: i.self.Name, Place: i.self.Place}}
		for _, p := range peers {
			if p.Alive && p.State != fleet.Leaving {
				members = append(members, steering.Member{Name: p.Name, Place: p.Place})
			}
		}
		i.core.SetMembers(members)
		all := append([]fleet.Peer{{Registration: i.self, Report: i.report(), Alive: true}}, peers...)
		i.chooseWatchers(now, all)
		i.noteIsolation(all)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// noteIsolation tells the core whether changes of upstreams may be missed for long,
// given all instances.
func (i *Instance) noteIsolation(all []fleet.Peer) {
	isolated := fleet.Isolated(all)
	if i.core.SetIsolated(isolated) {
		i.events.Log(event.IsolationChanged, "isolated", isolated, "peers", len(all)-1)
	}
}

// registerRetry spaces out tries to register.
const (
	registerRetryMin = 100 * time.Millisecond
	registerRetryMax = 2 * time.Second
)

// register makes this instance known to the others.
func (i *Instance) register(ctx context.Context) {
	value, err := json.Marshal(i.self)
	if err != nil {
		i.events.Log(event.RegistrationFailed, "error", err)
		return
	}
	if !i.watching.firstStart {
		// The list tells whether a former run is registered still.
		i.watching.awaitPeers(ctx)
	}
	backoff := store.Backoff{Min: registerRetryMin, Max: registerRetryMax}
	for {
		revision, err := i.store.Put(ctx, kindInstances, i.self.Name, value, i.watching.formerRun.Load())
		if err == nil {
			i.registered.Store(revision)
			return
		}
		if ctx.Err() != nil {
			return
		}
		i.events.Log(event.RegistrationFailed, "error", err)
		if backoff.Wait(ctx) != nil {
			return
		}
	}
}

// unregisterWait bounds the time for which a planned stop waits for the platform
// alone: it answers within milliseconds, and 200 ms when it is slow.
const unregisterWait = 500 * time.Millisecond

// unregister removes this instance from the platform, but not a later run of it. The
// channel is closed when that is done or has failed.
func (i *Instance) unregister(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		revision := i.registered.Load()
		if revision == 0 {
			return
		}
		if err := i.store.Delete(ctx, kindInstances, i.self.Name, revision); err != nil {
			i.events.Log(event.RegistrationFailed, "error", err)
		}
	}()
	return done
}
