package instance

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"sycamoreledge.example/internal/event"
	"sycamoreledge.example/internal/fleet"
	store "sycamoreledge.example/internal/platform"
)

const (
	// settling is how long an instance has been running when it knows its peers: the
	// platform starts all of a deployment within some 300 ms, and a start takes less
	// than that.
	settling = time.Second
	// firstListing is when the first instances of a deployment read who else there
	// is: all have registered by then.
	firstListing = 600 * time.Millisecond
	// firstPatience is for how long at most the first instances of a deployment
	// leave reading the platform to others of their region.
	firstPatience = 1500 * time.Millisecond
	// startPause is the time between two looks for a peer that can tell.
	startPause = 200 * time.Millisecond
	// startTimeout bounds a question to a peer nearby: all objects of a large
	// deployment are some 400 kB.
	startTimeout = 500 * time.Millisecond
	// startPeers is how many peers are asked before the platform is.
	startPeers = 2
)

// starting is what an instance that starts knows of its peers, from whom it reads
// what it can: a call to the platform costs more, and most instances start together.
type starting struct {
	firstStart bool
	// patience is for how long this instance leaves reading to others. The square
	// root makes few instances read early.
	patience time.Duration
	// listed is closed once the registered instances are known.
	listed   chan struct{}
	listOnce sync.Once
	// formerRun is set when the list holds a former run of this instance, strangers
	// when a datagram came from an instance or a run that it does not hold.
	formerRun atomic.Bool
	strangers atomic.Bool
	// relisted is set once the list was read again for strangers, if there were any.
	relisted bool
}

func (s *starting) init(firstStart bool) {
	s.firstStart = firstStart
	s.listed = make(chan struct{})
	if firstStart {
		s.patience = time.Duration(math.Sqrt(rand.Float64()) * float64(firstPatience))
	}
}

// peersRead notes that the registered instances are known.
func (s *starting) peersRead() {
	s.listOnce.Do(func() {
		// Whoever was heard before is in the list, or will be heard again.
		s.strangers.Store(false)
		close(s.listed)
	})
}

// awaitPeers waits until the registered instances are known, or the platform is slow
// to tell.
func (s *starting) awaitPeers(ctx context.Context) {
	timer := time.NewTimer(storeTimeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-s.listed:
	}
}

// knowsPeers reports whether an instance that has been running for some time knows
// its peers, so that it can tell whether it is a watcher. Instances that start
// together miss each other in their first reading of the list; each then reads it
// once more, rather than watch the platform for all others.
func (w *watching) knowsPeers(running time.Duration) bool {
	if running < settling {
		return false
	}
	select {
	case <-w.listed:
	default:
		// The platform does not answer, which watchers must find out.
		return true
	}
	if !w.relisted {
		w.relisted = true
		if w.strangers.Load() {
			w.reread(fleet.TopicInstances)
		}
		return false
	}
	return true
}

// start returns all objects of a topic as a peer knows them when this instance has
// read nothing yet, or nil when none can tell.
func (f *sharedFeed) start(ctx context.Context) *fleet.ChangeSet {
	i := f.instance
	s := &i.watching.starting
	if f.topic == fleet.TopicInstances {
		if s.firstStart {
			// An end of the wait shows in the call that follows.
			_ = store.Pause(ctx, time.Until(i.began.Add(firstListing)))
		}
		return nil
	}
	s.awaitPeers(ctx)
	until := time.Now().Add(s.patience)
	for {
		for _, p := range i.startPeers() {
			if news, err := f.askAll(ctx, p.Name); err == nil {
				return &news
			} else if ctx.Err() == nil {
				i.events.Log(event.PeerUnreachable, "peer", p.Name, "error", err)
			}
		}
		if !s.firstStart || time.Until(until) < startPause || store.Pause(ctx, startPause) != nil {
			return nil
		}
	}
}

func (f *sharedFeed) askAll(ctx context.Context, peer string) (fleet.ChangeSet, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	return f.instance.news.Fetch(ctx, peer, f.topic, -1)
}

// startPeers returns peers of this instance's region that may know what it has to
// read, those of its zone first. When all start for the first time, those that serve
// already; otherwise also ones that were not heard yet.
func (i *Instance) startPeers() []fleet.Peer {
	now := time.Now()
	peers := slices.DeleteFunc(i.table.Peers(now), func(p fleet.Peer) bool {
		return !p.Alive || p.Place.Region != i.self.Place.Region || p.State == fleet.Leaving ||
			p.State == fleet.Starting && i.watching.firstStart
	})
	rand.Shuffle(len(peers), func(a, b int) { peers[a], peers[b] = peers[b], peers[a] })
	near := func(p fleet.Peer) int {
		n := 0
		if p.Place.Zone != i.self.Place.Zone {
			n++
		}
		if p.State != fleet.Serving {
			n += 2
		}
		return n
	}
	slices.SortStableFunc(peers, func(a, b fleet.Peer) int { return near(a) - near(b) })
	return peers[:min(len(peers), startPeers)]
}
