package instance

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/deployment"
	"sycamoreledge.example/internal/event"
	"sycamoreledge.example/internal/fleet"
	store "sycamoreledge.example/internal/platform"
)

// countingFeed counts the calls to the platform.
type countingFeed struct{ calls int }

func (f *countingFeed) Snapshot(context.Context, string) ([]store.Object, int64, error) {
	f.calls++
	return nil, 1, nil
}

func (f *countingFeed) Changes(ctx context.Context, _ string, after int64, wait time.Duration) ([]store.Change, int64, error) {
	f.calls++
	if err := store.Pause(ctx, wait); err != nil {
		return nil, 0, err
	}
	return nil, after, nil
}

func newSharedFeed() (*sharedFeed, *countingFeed) {
	i := &Instance{events: event.Discard(), table: fleet.NewTable()}
	i.deployment.Store(&deployment.Deployment{})
	i.coordinator.init(false)
	i.peerSync = fleet.NewPeerSync(&i.self, i.table)
	i.transport = &fleet.Transport{Gossip: &fleet.Gossip{Self: &i.self, Table: i.table}}
	counted := &countingFeed{}
	return &sharedFeed{Feed: counted, instance: i, topic: fleet.TopicUpstreams}, counted
}

func TestOnlyWatchersCallPlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		feed, counted := newSharedFeed()
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		_, _, err := feed.Changes(ctx, "k", 5, 20*time.Second)
		g.Expect(err).To(gomega.HaveOccurred(), "no peer reported changes within the minute")
		g.Expect(counted.calls).To(gomega.BeZero())

		feed.instance.coordinator.isWatcher[fleet.TopicUpstreams] = true
		began := time.Now()
		_, revision, err := feed.Changes(t.Context(), "k", 5, 20*time.Second)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(revision).To(gomega.Equal(int64(5)))
		g.Expect(counted.calls).To(gomega.Equal(1))
		g.Expect(time.Since(began)).To(gomega.Equal(feed.instance.watchTimeout(fleet.TopicUpstreams)))
	})
}

// TestNonWatcherProbesPlatform covers an outage in which no instance reaches the platform, so that none
// is a watcher: each must still detect when it answers again.
func TestNonWatcherProbesPlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		feed, counted := newSharedFeed()
		began := time.Now()
		_, _, err := feed.Changes(t.Context(), "k", 5, 0)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(counted.calls).To(gomega.Equal(1))
		g.Expect(time.Since(began)).To(gomega.BeNumerically("~", probeInterval, 2*probePollInterval))

		feed.instance.coordinator.isWatcher[fleet.TopicUpstreams] = true
		began = time.Now()
		_, _, err = feed.Changes(t.Context(), "k", 5, 0)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(time.Since(began)).To(gomega.BeZero(), "a watcher probes at once")
	})
}

// TestWatcherFetchesFromPeers covers a watcher that does not reach the platform while its peers do.
func TestWatcherFetchesFromPeers(t *testing.T) {
	g := gomega.NewWithT(t)
	feed, counted := newSharedFeed()
	registration := fleet.Registration{Name: "peer", Incarnation: 1, Secret: []byte("s")}
	peer := fleet.NewPeerSync(&registration, fleet.NewTable())
	server := httptest.NewServer(peer)
	defer server.Close()
	registration.Peers = strings.TrimPrefix(server.URL, "http://")
	peer.Logs[fleet.TopicUpstreams].Replace(nil, 5, false)
	peer.Logs[fleet.TopicUpstreams].Append([]store.Change{{Object: store.Object{Key: "u", Version: 9}}}, 9, false)
	feed.instance.table.Register(time.Now(), registration)
	feed.instance.coordinator.isWatcher[fleet.TopicUpstreams] = true
	feed.instance.receiveReport("peer", fleet.Report{Revisions: [fleet.TopicCount]int64{9}}, true)
	for _, wait := range []time.Duration{time.Hour, 0} {
		changes, revision, err := feed.Changes(t.Context(), "k", 5, wait)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(revision).To(gomega.Equal(int64(9)))
		g.Expect(changes).To(gomega.HaveLen(1))
		feed.instance.coordinator.hints[fleet.TopicUpstreams] = hint{"peer", 9}
	}
	g.Expect(counted.calls).To(gomega.BeZero())
}

func TestFallbackToPlatformWhenFetchFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		feed, counted := newSharedFeed()
		feed.instance.receiveReport("unknown", fleet.Report{Revisions: [fleet.TopicCount]int64{9}}, true)
		began := time.Now()
		_, _, err := feed.Changes(t.Context(), "k", 5, time.Hour)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(counted.calls).To(gomega.Equal(1))
		g.Expect(time.Since(began)).To(gomega.BeNumerically("<=", feed.instance.watchTimeout(fleet.TopicUpstreams)))
	})
}

// slowFeed answers a watch with a delay after a change.
type slowFeed struct {
	delay   time.Duration
	changed chan int64
}

func (f *slowFeed) Snapshot(context.Context, string) ([]store.Object, int64, error) {
	return nil, 1, nil
}

func (f *slowFeed) Changes(ctx context.Context, _ string, after int64, wait time.Duration) ([]store.Change, int64, error) {
	select {
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	case <-time.After(wait):
		return nil, after, nil
	case revision := <-f.changed:
		if err := store.Pause(ctx, f.delay); err != nil {
			return nil, 0, err
		}
		return []store.Change{{Object: store.Object{Key: "u", Version: revision}}}, revision, nil
	}
}

// TestHintsDoNotStarveWatch covers a series of changes that peers in a region nearer to the platform
// always read first: the hints must not end every watch before its answer.
func TestHintsDoNotStarveWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		feed, _ := newSharedFeed()
		slow := &slowFeed{delay: 100 * time.Millisecond, changed: make(chan int64, 1000)}
		feed.Feed = slow
		feed.instance.coordinator.isWatcher[fleet.TopicUpstreams] = true
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() {
			for revision := int64(10); ctx.Err() == nil; revision++ {
				slow.changed <- revision
				feed.instance.receiveReport("unknown", fleet.Report{Revisions: [fleet.TopicCount]int64{revision}}, true)
				_ = store.Pause(ctx, 10*time.Millisecond)
			}
		}()
		for range 20 {
			began := time.Now()
			_, _, err := feed.Changes(ctx, "k", 1, time.Hour)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(time.Since(began)).To(gomega.BeNumerically("<=", minWatchTime+2*slow.delay))
		}
	})
}

// TestFetchCompletesWhileHintsArrive covers many peers that give hints of the same change: a fetch
// from one of them must not be cancelled by the next hint.
func TestFetchCompletesWhileHintsArrive(t *testing.T) {
	g := gomega.NewWithT(t)
	feed, counted := newSharedFeed()
	registration := fleet.Registration{Name: "peer", Incarnation: 1, Secret: []byte("s")}
	peer := fleet.NewPeerSync(&registration, fleet.NewTable())
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-time.After(100 * time.Millisecond)
		peer.ServeHTTP(w, r)
	}))
	defer server.Close()
	registration.Peers = strings.TrimPrefix(server.URL, "http://")
	peer.Logs[fleet.TopicUpstreams].Replace(nil, 5, false)
	peer.Logs[fleet.TopicUpstreams].Append([]store.Change{{Object: store.Object{Key: "u", Version: 9}}}, 9, false)
	feed.instance.table.Register(time.Now(), registration)
	done := make(chan struct{})
	defer close(done)
	go func() {
		for revision := int64(9); ; revision++ {
			feed.instance.receiveReport("peer", fleet.Report{Revisions: [fleet.TopicCount]int64{revision}}, true)
			select {
			case <-done:
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	}()
	changes, _, err := feed.Changes(t.Context(), "k", 5, time.Hour)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(changes).To(gomega.HaveLen(1))
	g.Expect(counted.calls).To(gomega.BeZero())
}

// TestNoRepeatedFetchWithoutChanges covers two watchers whose read revisions differ only by changes of
// other topics: the peer must be asked once, not in a loop.
func TestNoRepeatedFetchWithoutChanges(t *testing.T) {
	g := gomega.NewWithT(t)
	feed, _ := newSharedFeed()
	registration := fleet.Registration{Name: "peer", Incarnation: 1, Secret: []byte("s")}
	peer := fleet.NewPeerSync(&registration, fleet.NewTable())
	requests := make(chan struct{}, 100)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests <- struct{}{}
		peer.ServeHTTP(w, r)
	}))
	defer server.Close()
	registration.Peers = strings.TrimPrefix(server.URL, "http://")
	peer.Logs[fleet.TopicUpstreams].Replace(nil, 9, false)
	feed.instance.table.Register(time.Now(), registration)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _, _ = feed.Changes(ctx, "k", 9, time.Hour)
	}()
	peer.Logs[fleet.TopicUpstreams].Append(nil, 10, false)
	report := fleet.Report{Revisions: [fleet.TopicCount]int64{10}}
	feed.instance.receiveReport("peer", report, true)
	g.Eventually(requests).Should(gomega.Receive())
	g.Consistently(func() int {
		feed.instance.receiveReport("peer", report, true)
		return len(requests)
	}, 200*time.Millisecond).Should(gomega.BeZero())
	cancel()
	<-ended
}

// TestStartingInstancesCauseNoHints has instances start one after the other, each of which has read the
// platform up to a later revision than all before, without a new change. If their revisions were taken
// as hints, every member would fetch every object from each of them.
func TestStartingInstancesCauseNoHints(t *testing.T) {
	const members, starting, read = 20, 15, 50
	g := gomega.NewWithT(t)
	objects := []store.Object{{Key: "a", Version: 30}, {Key: "b", Version: 40}}
	start := func(revision int64) *Instance {
		feed, _ := newSharedFeed()
		for topic := range fleet.TopicCount {
			feed.instance.peerSync.Logs[topic].Replace(objects, revision, false)
			feed.instance.recordRead(topic, revision)
		}
		return feed.instance
	}
	var running []*Instance
	for range members {
		running = append(running, start(read))
	}
	hintCount := func() (n int) {
		for _, i := range running {
			for topic := range fleet.TopicCount {
				if i.coordinator.hints[topic].revision > i.coordinator.readRevisions[topic] {
					n++
				}
			}
		}
		return n
	}
	for n := range starting {
		newcomer := start(int64(100 + n))
		for _, i := range running {
			i.receiveReport("newcomer", newcomer.localReport(), true)
			newcomer.receiveReport("member", i.localReport(), true)
		}
		g.Expect(newcomer.coordinator.hints).To(gomega.Equal([fleet.TopicCount]hint{}))
	}
	g.Expect(hintCount()).To(gomega.BeZero())

	// A change that one member reads must be a hint to all others.
	reader := running[0]
	running = running[1:]
	reader.peerSync.Logs[fleet.TopicConfiguration].Append([]store.Change{{Object: store.Object{Key: "a", Version: 130}}}, 140, false)
	reader.recordRead(fleet.TopicConfiguration, 140)
	for _, i := range running {
		i.receiveReport("teller", reader.localReport(), true)
	}
	g.Expect(hintCount()).To(gomega.Equal(members - 1))
}
