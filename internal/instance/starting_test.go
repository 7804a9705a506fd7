package instance

import (
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/deployment"
	"sycamoreledge.example/internal/event"
	"sycamoreledge.example/internal/fleet"
	store "sycamoreledge.example/internal/platform"
	"sycamoreledge.example/internal/routing"
	"sycamoreledge.example/internal/steering"
)

func TestNotReadyUntilDrainedZonesAreRead(t *testing.T) {
	g := gomega.NewWithT(t)
	i, err := build(Options{}, &deployment.Deployment{Instance: "a"}, event.Discard())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	table := routing.NewTable("1", routing.Limits{}, nil, nil)
	table.Revision = 1
	i.core.SetTable(table)
	i.recordUpstreamsRead(5)
	g.Expect(i.gateway.Ready()).To(gomega.BeFalse(), "upstreams and configuration were read, evacuations were not")
	i.initialReads.evacuations = true
	i.updateState()
	g.Expect(i.gateway.Ready()).To(gomega.BeTrue())
}

// newPeerServer starts a peer in a zone of region r that has some objects of a topic.
func newPeerServer(t *testing.T, table *fleet.Table, name, zone string, topic fleet.Topic, objects ...store.Object) *fleet.PeerSync {
	t.Helper()
	self := &fleet.Registration{
		Name: name, Place: deployment.Place{Zone: zone, Region: "r"}, Incarnation: 1, Secret: []byte("s"),
	}
	peer := fleet.NewPeerSync(self, fleet.NewTable())
	server := httptest.NewServer(peer)
	t.Cleanup(server.Close)
	self.Peers = strings.TrimPrefix(server.URL, "http://")
	if objects != nil {
		peer.Logs[topic].Replace(objects, 9, false)
	}
	table.Register(time.Now(), *self)
	return peer
}

// TestInitialSnapshotFromPeers has an instance start while others run: it must read from the platform
// only what no peer of its region has.
func TestInitialSnapshotFromPeers(t *testing.T) {
	known := []store.Object{{Key: "u", Version: 7}}
	cases := []struct {
		name       string
		topic      fleet.Topic
		firstStart bool
		addPeers   func(table *fleet.Table)
		wantCalls  int
	}{
		{"peer of the zone", fleet.TopicUpstreams, false, func(table *fleet.Table) {
			newPeerServer(t, table, "p1", "z", fleet.TopicUpstreams, known...)
		}, 0},
		{"peer of the region", fleet.TopicUpstreams, false, func(table *fleet.Table) {
			newPeerServer(t, table, "p1", "y", fleet.TopicUpstreams, known...)
		}, 0},
		{"second peer", fleet.TopicUpstreams, false, func(table *fleet.Table) {
			newPeerServer(t, table, "p1", "z", fleet.TopicUpstreams)
			newPeerServer(t, table, "p2", "y", fleet.TopicUpstreams, known...)
		}, 0},
		{"peers that are starting", fleet.TopicUpstreams, false, func(table *fleet.Table) {
			newPeerServer(t, table, "p1", "z", fleet.TopicUpstreams)
			newPeerServer(t, table, "p2", "z", fleet.TopicUpstreams)
		}, 1},
		{"peers that do not answer", fleet.TopicUpstreams, false, func(table *fleet.Table) {
			table.Register(time.Now(), fleet.Registration{Name: "p1", Place: deployment.Place{Zone: "z", Region: "r"}, Peers: "127.0.0.1:1"})
		}, 1},
		{"no peers", fleet.TopicUpstreams, false, func(*fleet.Table) {}, 1},
		{"first start, a peer serves", fleet.TopicUpstreams, true, func(table *fleet.Table) {
			newPeerServer(t, table, "p1", "z", fleet.TopicUpstreams, known...)
			table.RecordHeartbeat(time.Now(), "p1", fleet.Report{State: fleet.Serving})
		}, 0},
		{"first start, no peer serves yet", fleet.TopicUpstreams, true, func(table *fleet.Table) {
			newPeerServer(t, table, "p1", "z", fleet.TopicUpstreams, known...)
		}, 1},
		{"instances", fleet.TopicInstances, false, func(table *fleet.Table) {
			newPeerServer(t, table, "p1", "z", fleet.TopicInstances, known...)
		}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			feed, counted := newSharedFeed()
			i := feed.instance
			i.self.Place = deployment.Place{Zone: "z", Region: "r"}
			i.coordinator.startup = startup{}
			i.coordinator.startup.init(c.firstStart)
			feed.topic = c.topic
			c.addPeers(i.table)
			i.coordinator.recordPeersListed()
			objects, _, err := feed.Snapshot(t.Context(), "k")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(counted.calls).To(gomega.Equal(c.wantCalls))
			if c.wantCalls == 0 {
				g.Expect(objects).To(gomega.Equal(known))
			}
			_, _, err = feed.Snapshot(t.Context(), "k")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(counted.calls).To(gomega.Equal(c.wantCalls+1), "a later snapshot is read from the platform")
		})
	}
}

// TestWatchersAreSelectedOncePeersAreListed guards against instances that start at the same time all
// watching the platform: none may be a watcher before it knows its peers.
func TestWatchersAreSelectedOncePeersAreListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		feed, _ := newSharedFeed()
		i := feed.instance
		i.startedAt = time.Now()
		alone := []fleet.Peer{{Registration: i.self, Alive: true}}
		i.coordinator.unknownSenders.Store(true)
		isWatcher := func() bool { return slices.Contains(i.coordinator.isWatcher[:], true) }
		i.coordinator.recordPeersListed()
		g.Expect(i.coordinator.unknownSenders.Load()).To(gomega.BeFalse(), "the datagram arrived before the list was read")
		i.updateWatchers(time.Now(), alone)
		g.Expect(isWatcher()).To(gomega.BeFalse())
		time.Sleep(settleTime)
		i.updateWatchers(time.Now(), alone)
		g.Expect(isWatcher()).To(gomega.BeFalse(), "the list may have to be read again")
		i.updateWatchers(time.Now(), alone)
		g.Expect(isWatcher()).To(gomega.BeTrue())
	})
}

// TestWatchersAreSelectedWithoutPeerList checks that the choice does not wait for a list that cannot
// be read.
func TestWatchersAreSelectedWithoutPeerList(t *testing.T) {
	g := gomega.NewWithT(t)
	feed, _ := newSharedFeed()
	i := feed.instance
	i.startedAt = time.Now().Add(-settleTime)
	i.updateWatchers(time.Now(), []fleet.Peer{{Registration: i.self, Alive: true}})
	g.Expect(i.coordinator.isWatcher[fleet.TopicUpstreams]).To(gomega.BeTrue())
}

// TestDrainEndIsFetchedFromWatcher has an instance wait for entries of upstreams at least as new as the
// end of a drain. The watcher reads them only after it is first asked.
func TestDrainEndIsFetchedFromWatcher(t *testing.T) {
	for _, watcherReads := range []bool{true, false} {
		g := gomega.NewWithT(t)
		feed, counted := newSharedFeed()
		i := feed.instance
		i.core = newCore()
		peer := newPeerServer(t, i.table, "w", "z", fleet.TopicUpstreams, store.Object{Key: "u", Version: 7})
		i.coordinator.watchers[fleet.TopicUpstreams] = []string{"w"}
		i.core.Evacuate("z")
		i.core.EndEvacuation("z", 20)
		i.coordinator.requireRevision(fleet.TopicUpstreams, 20)
		if watcherReads {
			time.AfterFunc(catchUpInterval+50*time.Millisecond, func() {
				peer.Logs[fleet.TopicUpstreams].Replace([]store.Object{{Key: "u", Version: 7}}, 21, false)
			})
		}
		_, _, err := feed.Changes(t.Context(), "k", 9, time.Hour)
		g.Expect(counted.calls).To(gomega.BeZero())
		if watcherReads {
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(i.core.EvacuatedZones()).To(gomega.BeEmpty())
			continue
		}
		g.Expect(store.Compacted.Has(err)).To(gomega.BeTrue(), "all objects must be read from the platform, got %v", err)
	}
}

// TestChangesAreFetchedDuringCatchUp has the watchers fail right after the end of a drain: changes that
// other peers have must not wait until a watcher has the wanted revision.
func TestChangesAreFetchedDuringCatchUp(t *testing.T) {
	g := gomega.NewWithT(t)
	feed, counted := newSharedFeed()
	i := feed.instance
	i.core = newCore()
	i.table.Register(time.Now(), fleet.Registration{Name: "w", Peers: "127.0.0.1:1", Incarnation: 5})
	i.coordinator.watchers[fleet.TopicUpstreams] = []string{"w"}
	peer := newPeerServer(t, i.table, "p", "z", fleet.TopicUpstreams, store.Object{Key: "u", Version: 7})
	i.coordinator.requireRevision(fleet.TopicUpstreams, 20)
	time.AfterFunc(600*time.Millisecond, func() {
		peer.Logs[fleet.TopicUpstreams].Append([]store.Change{{Object: store.Object{Key: "u", Version: 15}}}, 15, false)
		i.receiveReport("p", fleet.Report{Revisions: [fleet.TopicCount]int64{15}}, true)
	})
	began := time.Now()
	changes, revision, err := feed.Changes(t.Context(), "k", 9, time.Hour)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(changes).To(gomega.HaveLen(1))
	g.Expect(revision).To(gomega.Equal(int64(15)))
	g.Expect(counted.calls).To(gomega.BeZero())
	g.Expect(time.Since(began)).To(gomega.BeNumerically("<", 600*time.Millisecond+time.Second))
}

// TestMissingUpstreamsAreNotReportedInGracePeriod has a watcher read entries right after an outage of
// the platform: peers must not drop upstreams that the watcher itself keeps.
func TestMissingUpstreamsAreNotReportedInGracePeriod(t *testing.T) {
	g := gomega.NewWithT(t)
	feed, _ := newSharedFeed()
	i := feed.instance
	i.platformStatus.recoveredAt = time.Now()
	g.Expect(feed.ignoreDeletions()).To(gomega.BeTrue())
	feed.fromPeer = true
	g.Expect(feed.ignoreDeletions()).To(gomega.BeFalse(), "the peer has waited already")

	log := fleet.NewChangeLog()
	kept, lapsed := store.Object{Key: "a", Version: 3}, store.Object{Key: "b", Version: 4}
	log.Replace([]store.Object{kept, lapsed}, 10, false)
	log.Append([]store.Change{{Object: lapsed, Deleted: true}}, 12, true)
	log.Replace([]store.Object{kept}, 14, true)
	set, _ := log.Since(10, 10)
	g.Expect(set.Changes).To(gomega.BeEmpty())
	log.Replace([]store.Object{kept}, 16, false)
	set, _ = log.Since(10, 10)
	g.Expect(set.Changes).To(gomega.Equal([]store.Change{{Object: lapsed, Deleted: true}}), "the grace period is over")
}

func newCore() *steering.Core {
	return steering.New(steering.Config{Instance: "a", Place: deployment.Place{Zone: "z", Region: "r"}})
}
