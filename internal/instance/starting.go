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
	// settleTime is how long after its start an instance knows its peers: the platform starts
	// all instances of a deployment within some 300 ms, and a start takes less time than that.
	settleTime = time.Second
	// firstListDelay is when, after its start, an instance of a new deployment reads the list
	// of instances: all have registered by then.
	firstListDelay = 600 * time.Millisecond
	// maxFirstReadDelay is how long at most an instance of a new deployment waits for others of
	// its region to read the platform first.
	maxFirstReadDelay = 1500 * time.Millisecond
	// peerRetryInterval is the time between two attempts to read from a peer.
	peerRetryInterval = 200 * time.Millisecond
	// startFetchTimeout bounds a request to a nearby peer: all objects of a large deployment
	// are some 400 kB.
	startFetchTimeout = 500 * time.Millisecond
	// maxStartPeers is how many peers are asked before the platform.
	maxStartPeers = 2
)

// startup is what a starting instance knows of its peers. It reads from them what it can: a call to
// the platform costs more, and most instances start at the same time.
type startup struct {
	firstStart bool
	// readDelay is how long this instance waits for others to read the platform first. The
	// square root in its distribution makes few instances read early.
	readDelay time.Duration
	// peersListed is closed once the list of registered instances was read.
	peersListed chan struct{}
	listOnce    sync.Once
	// previousRunListed is set when the list holds a previous run of this instance.
	// unknownSenders is set when a datagram came from an instance or a run that is not in the
	// list.
	previousRunListed atomic.Bool
	unknownSenders    atomic.Bool
	// relisted is set once the list was checked for unknown senders, and read again if there
	// were any.
	relisted bool
}

func (s *startup) init(firstStart bool) {
	s.firstStart = firstStart
	s.peersListed = make(chan struct{})
	if firstStart {
		s.readDelay = time.Duration(math.Sqrt(rand.Float64()) * float64(maxFirstReadDelay))
	}
}

// recordPeersListed records that the list of registered instances was read.
func (s *startup) recordPeersListed() {
	s.listOnce.Do(func() {
		// Senders of earlier datagrams are in the list, or will send again.
		s.unknownSenders.Store(false)
		close(s.peersListed)
	})
}

// awaitPeerList waits until the list of registered instances was read, but at most storeTimeout.
func (s *startup) awaitPeerList(ctx context.Context) {
	timer := time.NewTimer(storeTimeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-s.peersListed:
	}
}

// knowsPeers reports whether this instance, given how long it has been running, knows its peers, so
// that it can tell whether it is a watcher. Instances that start at the same time miss each other in
// their first read of the list. Each reads it once more if it received datagrams of unknown senders,
// rather than watch the platform as if it were alone.
func (w *watchCoordinator) knowsPeers(running time.Duration) bool {
	if running < settleTime {
		return false
	}
	select {
	case <-w.peersListed:
	default:
		// The platform does not answer; watchers must detect when it does again.
		return true
	}
	if !w.relisted {
		w.relisted = true
		if w.unknownSenders.Load() {
			w.reread(fleet.TopicInstances)
		}
		return false
	}
	return true
}

// initialFromPeers returns all objects of a topic from a peer, for an instance that has read nothing
// yet, or nil if no peer has them.
func (f *sharedFeed) initialFromPeers(ctx context.Context) *fleet.ChangeSet {
	i := f.instance
	s := &i.coordinator.startup
	if f.topic == fleet.TopicInstances {
		if s.firstStart {
			// The end of the context is handled by the call that follows.
			_ = store.Pause(ctx, time.Until(i.startedAt.Add(firstListDelay)))
		}
		return nil
	}
	s.awaitPeerList(ctx)
	deadline := time.Now().Add(s.readDelay)
	for {
		for _, p := range i.startPeers() {
			if set, err := f.fetchAll(ctx, p.Name); err == nil {
				return &set
			} else if ctx.Err() == nil {
				i.events.Log(event.PeerUnreachable, "peer", p.Name, "error", err)
			}
		}
		if !s.firstStart || time.Until(deadline) < peerRetryInterval || store.Pause(ctx, peerRetryInterval) != nil {
			return nil
		}
	}
}

func (f *sharedFeed) fetchAll(ctx context.Context, peer string) (fleet.ChangeSet, error) {
	ctx, cancel := context.WithTimeout(ctx, startFetchTimeout)
	defer cancel()
	return f.instance.peerSync.Fetch(ctx, peer, f.topic, -1, -1)
}

// startPeers returns peers of this instance's region that may have the objects it needs, those of its
// zone first. On the first start of a deployment only peers that serve qualify; otherwise also peers
// that have not been heard yet, after those that serve.
func (i *Instance) startPeers() []fleet.Peer {
	now := time.Now()
	peers := slices.DeleteFunc(i.table.Peers(now), func(p fleet.Peer) bool {
		return !p.Alive || p.Place.Region != i.self.Place.Region || p.State == fleet.Leaving ||
			p.State == fleet.Starting && i.coordinator.firstStart
	})
	rand.Shuffle(len(peers), func(a, b int) { peers[a], peers[b] = peers[b], peers[a] })
	preference := func(p fleet.Peer) int {
		n := 0
		if p.Place.Zone != i.self.Place.Zone {
			n++
		}
		if p.State != fleet.Serving {
			n += 2
		}
		return n
	}
	slices.SortStableFunc(peers, func(a, b fleet.Peer) int { return preference(a) - preference(b) })
	return peers[:min(len(peers), maxStartPeers)]
}
