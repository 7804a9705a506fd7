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

// runMembership updates the core with the members that serve, until the context ends. It also logs
// changes of membership, and updates the watchers and the isolation.
func (i *Instance) runMembership(ctx context.Context) {
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
		all := append([]fleet.Peer{{Registration: i.self, Report: i.localReport(), Alive: true}}, peers...)
		i.updateWatchers(now, all)
		i.updateIsolation(all)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// updateIsolation tells the core whether this instance is isolated and so may miss changes of
// upstreams for long, given all instances.
func (i *Instance) updateIsolation(all []fleet.Peer) {
	isolated := fleet.Isolated(all)
	if i.core.SetIsolated(isolated) {
		i.events.Log(event.IsolationChanged, "isolated", isolated, "peers", len(all)-1)
	}
}

// The backoff between attempts to register.
const (
	registerRetryMin = 100 * time.Millisecond
	registerRetryMax = 2 * time.Second
)

// register registers this instance on the platform, so that the others find it. It retries until it
// succeeds or the context ends.
func (i *Instance) register(ctx context.Context) {
	value, err := json.Marshal(i.self)
	if err != nil {
		i.events.Log(event.RegistrationFailed, "error", err)
		return
	}
	if !i.coordinator.firstStart {
		// The list shows whether a previous run is still registered.
		i.coordinator.awaitPeerList(ctx)
	}
	backoff := store.Backoff{Min: registerRetryMin, Max: registerRetryMax}
	for {
		revision, err := i.store.Put(ctx, kindInstances, i.self.Name, value, i.coordinator.previousRunListed.Load())
		if err == nil {
			i.registrationRevision.Store(revision)
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

// unregisterTimeout bounds how long a planned stop waits for the platform alone: it answers within
// milliseconds, and within 200 ms when it is slow.
const unregisterTimeout = 500 * time.Millisecond

// unregister removes the registration of this run from the platform, but not that of a later run.
// The channel is closed when the call has succeeded or failed.
func (i *Instance) unregister(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		revision := i.registrationRevision.Load()
		if revision == 0 {
			return
		}
		if err := i.store.Delete(ctx, kindInstances, i.self.Name, revision); err != nil {
			i.events.Log(event.RegistrationFailed, "error", err)
		}
	}()
	return done
}
