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

func TestCallersWaitUntilDrainedZonesAreKnown(t *testing.T) {
	g := gomega.NewWithT(t)
	i, err := build(Options{}, &deployment.Deployment{Instance: "a"}, event.Discard())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	table := routing.NewTable("1", routing.Limits{}, nil, nil)
	table.Revision = 1
	i.core.SetTable(table)
	i.upstreamsRead(5)
	g.Expect(i.gateway.Ready()).To(gomega.BeFalse(), "upstreams and configuration alone are not enough")
	i.seen.evacuations = true
	i.updateState()
	g.Expect(i.gateway.Ready()).To(gomega.BeTrue())
}

// teller is a peer that knows some objects of a topic, in a zone of region r.
func teller(t *testing.T, table *fleet.Table, name, zone string, topic fleet.Topic, objects ...store.Object) *fleet.PeerSync {
	t.Helper()
	self := &fleet.Registration{
		Name: name, Place: deployment.Place{Zone: zone, Region: "r"}, Incarnation: 1, Secret: []byte("s"),
	}
	room := fleet.NewPeerSync(self, fleet.NewTable())
	server := httptest.NewServer(room)
	t.Cleanup(server.Close)
	self.Peers = strings.TrimPrefix(server.URL, "http://")
	if objects != nil {
		room.Logs[topic].Replace(objects, 9, false)
	}
	table.Register(time.Now(), *self)
	return room
}

// TestStartReadsFromPeers has an instance start among others: it reads from the
// platform only what no peer of its region knows.
func TestStartReadsFromPeers(t *testing.T) {
	known := []store.Object{{Key: "u", Version: 7}}
	cases := []struct {
		name  string
		topic fleet.Topic
		first bool
		peers func(table *fleet.Table)
		calls int
	}{
		{"peer of the zone", fleet.TopicUpstreams, false, func(table *fleet.Table) {
			teller(t, table, "p1", "z", fleet.TopicUpstreams, known...)
		}, 0},
		{"peer of the region", fleet.TopicUpstreams, false, func(table *fleet.Table) {
			teller(t, table, "p1", "y", fleet.TopicUpstreams, known...)
		}, 0},
		{"second peer", fleet.TopicUpstreams, false, func(table *fleet.Table) {
			teller(t, table, "p1", "z", fleet.TopicUpstreams)
			teller(t, table, "p2", "y", fleet.TopicUpstreams, known...)
		}, 0},
		{"peers that start too", fleet.TopicUpstreams, false, func(table *fleet.Table) {
			teller(t, table, "p1", "z", fleet.TopicUpstreams)
			teller(t, table, "p2", "z", fleet.TopicUpstreams)
		}, 1},
		{"peers that are gone", fleet.TopicUpstreams, false, func(table *fleet.Table) {
			table.Register(time.Now(), fleet.Registration{Name: "p1", Place: deployment.Place{Zone: "z", Region: "r"}, Peers: "127.0.0.1:1"})
		}, 1},
		{"no peers", fleet.TopicUpstreams, false, func(*fleet.Table) {}, 1},
		{"first start, a peer serves", fleet.TopicUpstreams, true, func(table *fleet.Table) {
			teller(t, table, "p1", "z", fleet.TopicUpstreams, known...)
			table.RecordHeartbeat(time.Now(), "p1", fleet.Report{State: fleet.Serving})
		}, 0},
		{"first start, nobody serves yet", fleet.TopicUpstreams, true, func(table *fleet.Table) {
			teller(t, table, "p1", "z", fleet.TopicUpstreams, known...)
		}, 1},
		{"instances", fleet.TopicInstances, false, func(table *fleet.Table) {
			teller(t, table, "p1", "z", fleet.TopicInstances, known...)
		}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			feed, counted := newSharedFeed()
			i := feed.instance
			i.self.Place = deployment.Place{Zone: "z", Region: "r"}
			i.watching.starting = starting{}
			i.watching.starting.init(c.first)
			feed.topic = c.topic
			c.peers(i.table)
			i.watching.peersRead()
			objects, _, err := feed.Snapshot(t.Context(), "k")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(counted.calls).To(gomega.Equal(c.calls))
			if c.calls == 0 {
				g.Expect(objects).To(gomega.Equal(known))
			}
			_, _, err = feed.Snapshot(t.Context(), "k")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(counted.calls).To(gomega.Equal(c.calls+1), "a later reading goes to the platform")
		})
	}
}

// TestWatchersAreChosenOncePeersAreKnown has instances that start together leave
// watching alone until each can tell whose task it is.
func TestWatchersAreChosenOncePeersAreKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		feed, _ := newSharedFeed()
		i := feed.instance
		i.began = time.Now()
		alone := []fleet.Peer{{Registration: i.self, Alive: true}}
		i.watching.strangers.Store(true)
		chosen := func() bool { return slices.Contains(i.watching.chosen[:], true) }
		i.watching.peersRead()
		g.Expect(i.watching.strangers.Load()).To(gomega.BeFalse(), "heard before the list was read")
		i.chooseWatchers(time.Now(), alone)
		g.Expect(chosen()).To(gomega.BeFalse())
		time.Sleep(settling)
		i.chooseWatchers(time.Now(), alone)
		g.Expect(chosen()).To(gomega.BeFalse(), "the list may have to be read once more")
		i.chooseWatchers(time.Now(), alone)
		g.Expect(chosen()).To(gomega.BeTrue())
	})
}

// TestWatchersAreChosenWithoutThePlatform must not wait for a list that cannot come.
func TestWatchersAreChosenWithoutThePlatform(t *testing.T) {
	g := gomega.NewWithT(t)
	feed, _ := newSharedFeed()
	i := feed.instance
	i.began = time.Now().Add(-settling)
	i.chooseWatchers(time.Now(), []fleet.Peer{{Registration: i.self, Alive: true}})
	g.Expect(i.watching.chosen[fleet.TopicUpstreams]).To(gomega.BeTrue())
}

// TestEndOfADrainIsReadFromAWatcher has an instance wait for upstreams' entries as
// new as the end of a drain. The watcher reads them later than it is asked first.
func TestEndOfADrainIsReadFromAWatcher(t *testing.T) {
	for _, watcherReads := range []bool{true, false} {
		g := gomega.NewWithT(t)
		feed, counted := newSharedFeed()
		i := feed.instance
		i.core = newCore()
		room := teller(t, i.table, "w", "z", fleet.TopicUpstreams, store.Object{Key: "u", Version: 7})
		i.watching.watchers[fleet.TopicUpstreams] = []string{"w"}
		i.core.Evacuate("z")
		i.core.EndEvacuation("z", 20)
		i.watching.refresh(fleet.TopicUpstreams, 20)
		if watcherReads {
			time.AfterFunc(catchUpPause+50*time.Millisecond, func() {
				room.Logs[fleet.TopicUpstreams].Replace([]store.Object{{Key: "u", Version: 7}}, 21, false)
			})
		}
		_, _, err := feed.Changes(t.Context(), "k", 9, time.Hour)
		g.Expect(counted.calls).To(gomega.BeZero())
		if watcherReads {
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(i.core.Evacuated()).To(gomega.BeEmpty())
			continue
		}
		g.Expect(store.Compacted.Has(err)).To(gomega.BeTrue(), "%v: all objects are read from the platform", err)
	}
}

// TestNewsGoOnWhileADrainEnds has the watchers fail right after the end of a drain:
// changes that others know must not wait until one of them can tell of it.
func TestNewsGoOnWhileADrainEnds(t *testing.T) {
	g := gomega.NewWithT(t)
	feed, counted := newSharedFeed()
	i := feed.instance
	i.core = newCore()
	i.table.Register(time.Now(), fleet.Registration{Name: "w", Peers: "127.0.0.1:1", Incarnation: 5})
	i.watching.watchers[fleet.TopicUpstreams] = []string{"w"}
	room := teller(t, i.table, "p", "z", fleet.TopicUpstreams, store.Object{Key: "u", Version: 7})
	i.watching.refresh(fleet.TopicUpstreams, 20)
	time.AfterFunc(600*time.Millisecond, func() {
		room.Logs[fleet.TopicUpstreams].Append([]store.Change{{Object: store.Object{Key: "u", Version: 15}}}, 15, false)
		i.heard("p", fleet.Report{Revisions: [fleet.TopicCount]int64{15}}, true)
	})
	began := time.Now()
	changes, revision, err := feed.Changes(t.Context(), "k", 9, time.Hour)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(changes).To(gomega.HaveLen(1))
	g.Expect(revision).To(gomega.Equal(int64(15)))
	g.Expect(counted.calls).To(gomega.BeZero())
	g.Expect(time.Since(began)).To(gomega.BeNumerically("<", 600*time.Millisecond+time.Second))
}

// TestMissingUpstreamsAreNoNewsWhileTheyMayComeBack has a watcher read entries right
// after an outage of the platform: peers must not drop what it keeps itself.
func TestMissingUpstreamsAreNoNewsWhileTheyMayComeBack(t *testing.T) {
	g := gomega.NewWithT(t)
	feed, _ := newSharedFeed()
	i := feed.instance
	i.reach.returned = time.Now()
	g.Expect(feed.holds()).To(gomega.BeTrue())
	feed.fromPeer = true
	g.Expect(feed.holds()).To(gomega.BeFalse(), "a peer has waited already")

	log := fleet.NewChangeLog()
	kept, lapsed := store.Object{Key: "a", Version: 3}, store.Object{Key: "b", Version: 4}
	log.Replace([]store.Object{kept, lapsed}, 10, false)
	log.Append([]store.Change{{Object: lapsed, Deleted: true}}, 12, true)
	log.Replace([]store.Object{kept}, 14, true)
	news, _ := log.Since(10)
	g.Expect(news.Changes).To(gomega.BeEmpty())
	log.Replace([]store.Object{kept}, 16, false)
	news, _ = log.Since(10)
	g.Expect(news.Changes).To(gomega.Equal([]store.Change{{Object: lapsed, Deleted: true}}), "the time to come back is over")
}

func newCore() *steering.Core {
	return steering.New(steering.Config{Instance: "a", Place: deployment.Place{Zone: "z", Region: "r"}})
}
