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

// countedFeed counts the calls that reach the platform.
type countedFeed struct{ calls int }

func (f *countedFeed) Snapshot(context.Context, string) ([]store.Object, int64, error) {
	f.calls++
	return nil, 1, nil
}

func (f *countedFeed) Changes(ctx context.Context, _ string, after int64, wait time.Duration) ([]store.Change, int64, error) {
	f.calls++
	if err := store.Pause(ctx, wait); err != nil {
		return nil, 0, err
	}
	return nil, after, nil
}

func newSharedFeed() (*sharedFeed, *countedFeed) {
	i := &Instance{events: event.Discard(), table: fleet.NewTable()}
	i.current.Store(&deployment.Deployment{})
	i.watching.init(false)
	i.news = fleet.NewPeerSync(&i.self, i.table)
	i.beats = &fleet.Transport{Gossip: &fleet.Gossip{Self: &i.self, Table: i.table}}
	counted := &countedFeed{}
	return &sharedFeed{Feed: counted, instance: i, topic: fleet.TopicUpstreams}, counted
}

func TestOnlyWatchersAskThePlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		feed, counted := newSharedFeed()
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		_, _, err := feed.Changes(ctx, "k", 5, 20*time.Second)
		g.Expect(err).To(gomega.HaveOccurred(), "nobody told of changes within the minute")
		g.Expect(counted.calls).To(gomega.BeZero())

		feed.instance.watching.chosen[fleet.TopicUpstreams] = true
		began := time.Now()
		_, revision, err := feed.Changes(t.Context(), "k", 5, 20*time.Second)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(revision).To(gomega.Equal(int64(5)))
		g.Expect(counted.calls).To(gomega.Equal(1))
		g.Expect(time.Since(began)).To(gomega.Equal(feed.instance.watchWait(fleet.TopicUpstreams)))
	})
}

// TestReturnOfThePlatformIsFound is the case in which no instance reached the
// platform, so that none was a watcher: each must still look for its return.
func TestReturnOfThePlatformIsFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		feed, counted := newSharedFeed()
		began := time.Now()
		_, _, err := feed.Changes(t.Context(), "k", 5, 0)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(counted.calls).To(gomega.Equal(1))
		g.Expect(time.Since(began)).To(gomega.BeNumerically("~", probeInterval, 2*probePoll))

		feed.instance.watching.chosen[fleet.TopicUpstreams] = true
		began = time.Now()
		_, _, err = feed.Changes(t.Context(), "k", 5, 0)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(time.Since(began)).To(gomega.BeZero(), "a watcher asks at once")
	})
}

// TestWatcherTakesNewsOfPeers is the case of a watcher that does not reach the
// platform while its peers do.
func TestWatcherTakesNewsOfPeers(t *testing.T) {
	g := gomega.NewWithT(t)
	feed, counted := newSharedFeed()
	teller := fleet.Registration{Name: "peer", Incarnation: 1, Secret: []byte("s")}
	room := fleet.NewPeerSync(&teller, fleet.NewTable())
	server := httptest.NewServer(room)
	defer server.Close()
	teller.Peers = strings.TrimPrefix(server.URL, "http://")
	room.Logs[fleet.TopicUpstreams].Replace(nil, 5, false)
	room.Logs[fleet.TopicUpstreams].Append([]store.Change{{Object: store.Object{Key: "u", Version: 9}}}, 9, false)
	feed.instance.table.Register(time.Now(), teller)
	feed.instance.watching.chosen[fleet.TopicUpstreams] = true
	feed.instance.heard("peer", fleet.Report{Revisions: [fleet.TopicCount]int64{9}}, true)
	for _, wait := range []time.Duration{time.Hour, 0} {
		changes, revision, err := feed.Changes(t.Context(), "k", 5, wait)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(revision).To(gomega.Equal(int64(9)))
		g.Expect(changes).To(gomega.HaveLen(1))
		feed.instance.watching.hints[fleet.TopicUpstreams] = hint{"peer", 9}
	}
	g.Expect(counted.calls).To(gomega.BeZero())
}

func TestPeersThatCannotBeAskedLeadToThePlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		feed, counted := newSharedFeed()
		feed.instance.heard("unknown", fleet.Report{Revisions: [fleet.TopicCount]int64{9}}, true)
		began := time.Now()
		_, _, err := feed.Changes(t.Context(), "k", 5, time.Hour)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(counted.calls).To(gomega.Equal(1))
		g.Expect(time.Since(began)).To(gomega.BeNumerically("<=", feed.instance.watchWait(fleet.TopicUpstreams)))
	})
}

// slowFeed answers a watch a round trip after a change.
type slowFeed struct {
	trip    time.Duration
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
		if err := store.Pause(ctx, f.trip); err != nil {
			return nil, 0, err
		}
		return []store.Change{{Object: store.Object{Key: "u", Version: revision}}}, revision, nil
	}
}

// TestNewsDoNotStarveAWatch is the case of a series of changes that peers in a
// nearer region always read first.
func TestNewsDoNotStarveAWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		feed, _ := newSharedFeed()
		slow := &slowFeed{trip: 100 * time.Millisecond, changed: make(chan int64, 1000)}
		feed.Feed = slow
		feed.instance.watching.chosen[fleet.TopicUpstreams] = true
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() {
			for revision := int64(10); ctx.Err() == nil; revision++ {
				slow.changed <- revision
				feed.instance.heard("unknown", fleet.Report{Revisions: [fleet.TopicCount]int64{revision}}, true)
				_ = store.Pause(ctx, 10*time.Millisecond)
			}
		}()
		for range 20 {
			began := time.Now()
			_, _, err := feed.Changes(ctx, "k", 1, time.Hour)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(time.Since(began)).To(gomega.BeNumerically("<=", watchLeast+2*slow.trip))
		}
	})
}

// TestNewsAreFetchedWhileMoreArrive is the case of many peers that hint at the
// same change: the question to one of them must not be given up for the next.
func TestNewsAreFetchedWhileMoreArrive(t *testing.T) {
	g := gomega.NewWithT(t)
	feed, counted := newSharedFeed()
	teller := fleet.Registration{Name: "peer", Incarnation: 1, Secret: []byte("s")}
	room := fleet.NewPeerSync(&teller, fleet.NewTable())
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-time.After(100 * time.Millisecond)
		room.ServeHTTP(w, r)
	}))
	defer server.Close()
	teller.Peers = strings.TrimPrefix(server.URL, "http://")
	room.Logs[fleet.TopicUpstreams].Replace(nil, 5, false)
	room.Logs[fleet.TopicUpstreams].Append([]store.Change{{Object: store.Object{Key: "u", Version: 9}}}, 9, false)
	feed.instance.table.Register(time.Now(), teller)
	done := make(chan struct{})
	defer close(done)
	go func() {
		for revision := int64(9); ; revision++ {
			feed.instance.heard("peer", fleet.Report{Revisions: [fleet.TopicCount]int64{revision}}, true)
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

// TestPeerThatReadFurtherIsAskedOnce is the case of two watchers whose readings
// differ by changes of other topics only.
func TestPeerThatReadFurtherIsAskedOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	feed, _ := newSharedFeed()
	teller := fleet.Registration{Name: "peer", Incarnation: 1, Secret: []byte("s")}
	room := fleet.NewPeerSync(&teller, fleet.NewTable())
	asked := make(chan struct{}, 100)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked <- struct{}{}
		room.ServeHTTP(w, r)
	}))
	defer server.Close()
	teller.Peers = strings.TrimPrefix(server.URL, "http://")
	room.Logs[fleet.TopicUpstreams].Replace(nil, 9, false)
	feed.instance.table.Register(time.Now(), teller)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _, _ = feed.Changes(ctx, "k", 9, time.Hour)
	}()
	room.Logs[fleet.TopicUpstreams].Append(nil, 10, false)
	report := fleet.Report{Revisions: [fleet.TopicCount]int64{10}}
	feed.instance.heard("peer", report, true)
	g.Eventually(asked).Should(gomega.Receive())
	g.Consistently(func() int {
		feed.instance.heard("peer", report, true)
		return len(asked)
	}, 200*time.Millisecond).Should(gomega.BeZero())
	cancel()
	<-ended
}

// TestManyInstancesStartAtOnce plays instances that start one after the other and
// each read more of the platform than all before: what they read is no news to the
// others. If it were, every member would fetch every object from every one of them.
func TestManyInstancesStartAtOnce(t *testing.T) {
	const members, starting, read = 20, 15, 50
	g := gomega.NewWithT(t)
	objects := []store.Object{{Key: "a", Version: 30}, {Key: "b", Version: 40}}
	start := func(revision int64) *Instance {
		feed, _ := newSharedFeed()
		for topic := range fleet.TopicCount {
			feed.instance.news.Logs[topic].Replace(objects, revision, false)
			feed.instance.read(topic, revision)
		}
		return feed.instance
	}
	var old []*Instance
	for range members {
		old = append(old, start(read))
	}
	hinted := func() (n int) {
		for _, i := range old {
			for topic := range fleet.TopicCount {
				if i.watching.hints[topic].revision > i.watching.revisions[topic] {
					n++
				}
			}
		}
		return n
	}
	for n := range starting {
		newcomer := start(int64(100 + n))
		for _, i := range old {
			i.heard("newcomer", newcomer.report(), true)
			newcomer.heard("member", i.report(), true)
		}
		g.Expect(newcomer.watching.hints).To(gomega.Equal([fleet.TopicCount]hint{}))
	}
	g.Expect(hinted()).To(gomega.BeZero())

	// The change that one of them reads is news to all members.
	teller := old[0]
	old = old[1:]
	teller.news.Logs[fleet.TopicConfiguration].Append([]store.Change{{Object: store.Object{Key: "a", Version: 130}}}, 140, false)
	teller.read(fleet.TopicConfiguration, 140)
	for _, i := range old {
		i.heard("teller", teller.report(), true)
	}
	g.Expect(hinted()).To(gomega.Equal(members - 1))
}
