package instance

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/fleet"
	store "sycamoreledge.example/internal/platform"
)

// countedPeer is a peer with upstreams, which counts the requests for its changes.
type countedPeer struct {
	*fleet.PeerSync
	requests atomic.Int64
}

func newCountedPeer(t *testing.T, table *fleet.Table, name string, objects ...store.Object) *countedPeer {
	t.Helper()
	self := &fleet.Registration{Name: name, Incarnation: 1, Secret: []byte("s")}
	p := &countedPeer{PeerSync: fleet.NewPeerSync(self, fleet.NewTable())}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.requests.Add(1)
		p.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	self.Peers = strings.TrimPrefix(server.URL, "http://")
	p.log().Replace(objects, 10, false)
	table.Register(time.Now(), *self)
	return p
}

func (p *countedPeer) log() *fleet.ChangeLog { return p.Logs[fleet.TopicUpstreams] }

// report gives the report of the peer to an instance.
func (p *countedPeer) report(i *Instance, direct bool) {
	var r fleet.Report
	r.Revisions[fleet.TopicUpstreams], r.UpstreamsPartial = p.log().LastReport()
	i.receiveReport(p.Self.Name, r, direct)
}

// TestDeletionIsLearnedDespitePeerThatWithholdsIt guards against requests to an upstream that has
// left: a peer that was cut off from the platform leaves the deletion out of its changes, reports
// a later change first, and must not keep the report of a peer with the deletion from being heard.
func TestDeletionIsLearnedDespitePeerThatWithholdsIt(t *testing.T) {
	for _, direct := range []bool{true, false} {
		g := gomega.NewWithT(t)
		feed, counted := newSharedFeed()
		i := feed.instance
		gone, changed := store.Object{Key: "gone", Version: 7}, store.Object{Key: "changed", Version: 13}
		deletion := store.Change{Object: gone, Deleted: true}
		cut, sound := newCountedPeer(t, i.table, "cut", gone), newCountedPeer(t, i.table, "sound", gone)
		cut.log().Append([]store.Change{deletion}, 12, true)
		cut.log().Append([]store.Change{{Object: changed}}, 13, true)
		sound.log().Append([]store.Change{deletion}, 12, false)

		cut.report(i, direct)
		changes, revision, err := feed.Changes(t.Context(), "k", 10, time.Hour)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(changes).To(gomega.ConsistOf(store.Change{Object: changed}), "other changes are not held up")
		i.recordRead(fleet.TopicUpstreams, revision)

		sound.report(i, direct)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		changes, revision, err = feed.Changes(ctx, "k", revision, time.Hour)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(changes).To(gomega.ContainElement(deletion))
		g.Expect(revision).To(gomega.Equal(int64(12)))
		g.Expect(counted.calls).To(gomega.BeZero())
	}
}

// TestPartialChangesAreFetchedOnce guards against a fetch of the same changes with each report of
// a peer that withholds deletions.
func TestPartialChangesAreFetchedOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	feed, _ := newSharedFeed()
	i := feed.instance
	gone := store.Object{Key: "gone", Version: 7}
	peer := newCountedPeer(t, i.table, "cut", gone)
	peer.log().Append([]store.Change{{Object: gone, Deleted: true}}, 12, true)
	peer.report(i, true)
	g.Expect(feed.hasHint(10)).To(gomega.BeFalse(), "nothing but a withheld deletion is new")
	peer.log().Append([]store.Change{{Object: store.Object{Key: "changed", Version: 13}}}, 13, true)
	peer.report(i, true)
	changes, revision, err := feed.Changes(t.Context(), "k", 10, time.Hour)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(changes).To(gomega.HaveLen(1))
	g.Expect(revision).To(gomega.Equal(int64(10)))

	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _, _ = feed.Changes(ctx, "k", revision, time.Hour)
	}()
	g.Consistently(func() int64 {
		peer.report(i, true)
		return peer.requests.Load()
	}, 200*time.Millisecond).Should(gomega.BeEquivalentTo(1))
	// The deletion is confirmed, which is news.
	peer.log().Replace([]store.Object{{Key: "changed", Version: 13}}, 14, false)
	g.Eventually(func() int64 {
		peer.report(i, true)
		return peer.requests.Load()
	}).Should(gomega.BeEquivalentTo(2))
	cancel()
	<-ended
}

// TestObjectOfPartialChangesIsNotKept has a peer that skipped the life of an upstream with a snapshot:
// an instance that learned of the upstream from partial changes must read all objects from it.
func TestObjectOfPartialChangesIsNotKept(t *testing.T) {
	g := gomega.NewWithT(t)
	feed, _ := newSharedFeed()
	feed.loaded = true
	i := feed.instance
	gone, kept := store.Object{Key: "gone", Version: 7}, store.Object{Key: "kept", Version: 8}
	cut, sound := newCountedPeer(t, i.table, "cut", gone, kept), newCountedPeer(t, i.table, "sound", gone, kept)
	cut.log().Append([]store.Change{{Object: gone, Deleted: true}}, 12, true)
	cut.log().Append([]store.Change{{Object: store.Object{Key: "brief", Version: 13}}}, 13, true)
	cut.report(i, true)
	_, revision, err := feed.Changes(t.Context(), "k", 10, time.Hour)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(revision).To(gomega.Equal(int64(10)))

	sound.log().Replace([]store.Object{kept}, 20, false)
	sound.report(i, true)
	_, _, err = feed.Changes(t.Context(), "k", revision, time.Hour)
	g.Expect(store.Compacted.Has(err)).To(gomega.BeTrue(), "all objects replace what is known, got %v", err)
	objects, revision, err := feed.Snapshot(t.Context(), "k")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(objects).To(gomega.ConsistOf(kept))
	g.Expect(revision).To(gomega.Equal(int64(20)))
}
