package instance

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/deployment"
	"sycamoreledge.example/internal/event"
	"sycamoreledge.example/internal/fleet"
	store "sycamoreledge.example/internal/platform"
	"sycamoreledge.example/internal/steering"
)

// flakyFeed is a feed of a platform without upstreams. A number of snapshots after the first fail.
type flakyFeed struct{ failures, snapshots int }

func (f *flakyFeed) Snapshot(context.Context, string) ([]store.Object, int64, error) {
	f.snapshots++
	if f.snapshots > 1 && f.snapshots <= 1+f.failures {
		return nil, 0, store.Unavailable.New("simulated new outage")
	}
	return nil, 20, nil
}

func (f *flakyFeed) Changes(ctx context.Context, _ string, after int64, wait time.Duration) ([]store.Change, int64, error) {
	return nil, after, store.Pause(ctx, wait)
}

func TestLapsedUpstreamsAreDroppedDespiteNewOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		i, err := build(Options{}, &deployment.Deployment{Instance: "a"}, event.Discard())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		ids := []string{"u1", "u2", "u3"}
		for _, id := range ids {
			i.core.SetUpstream(time.Now(), steering.Upstream{ID: id, Incarnation: 1, Service: "s", Address: id, Slots: 1})
		}
		ctx, cancel := context.WithCancel(t.Context())
		feed := &flakyFeed{failures: 3}
		follower := &store.Follower{
			Feed: feed, Kind: "k", OnLost: func(error) {}, OnReached: func() {},
			OnSnapshot: func(_ []store.Object, revision int64) {
				if feed.snapshots == 1 {
					return
				}
				for _, id := range i.core.Upstreams() {
					i.dropUpstream(ctx, id, revision, i.inLapseGrace())
				}
			},
		}
		i.coordinator.addFollower(fleet.TopicUpstreams, follower)
		go follower.Run(ctx)
		synctest.Wait()
		// The platform came back a second ago, and the upstreams' entries have lapsed.
		i.platformStatus.recoveredAt = time.Now().Add(-time.Second)
		for _, id := range ids {
			i.dropUpstream(ctx, id, 10, i.inLapseGrace())
		}
		g.Expect(i.core.Upstreams()).To(gomega.HaveLen(3), "the entries may come back within the grace period")
		time.Sleep(lapseGrace + 5*time.Second)
		synctest.Wait()
		g.Expect(i.core.Upstreams()).To(gomega.BeEmpty())
		g.Expect(feed.snapshots).To(gomega.Equal(5), "one read for all entries, repeated until it succeeds")
		cancel()
		synctest.Wait()
	})
}

// TestWithheldDeletionsAreConfirmed guards against a log that withholds the deletion of an entry for
// ever because this instance has no such upstream in use, as with an entry that it cannot decode.
func TestWithheldDeletionsAreConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		i, err := build(Options{}, &deployment.Deployment{Instance: "a"}, event.Discard())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		ctx, cancel := context.WithCancel(t.Context())
		log := i.peerSync.Logs[fleet.TopicUpstreams]
		follower := &store.Follower{
			Feed: &flakyFeed{}, Kind: "k", OnLost: func(error) {}, OnReached: func() {},
			OnSnapshot: func(objects []store.Object, revision int64) {
				log.Replace(objects, revision, i.inLapseGrace())
			},
		}
		unknown := store.Object{Key: "u", Version: 5}
		log.Replace([]store.Object{unknown}, 10, false)
		i.platformStatus.recoveredAt = time.Now()
		i.updateLog(ctx, fleet.TopicUpstreams, 12, true, func() {
			log.Append([]store.Change{{Object: unknown, Deleted: true}}, 12, true)
		})
		i.coordinator.addFollower(fleet.TopicUpstreams, follower)
		go follower.Run(ctx)
		synctest.Wait()
		set, _ := log.Since(10, 10)
		g.Expect(set.Changes).To(gomega.BeEmpty())
		time.Sleep(lapseGrace + time.Second)
		synctest.Wait()
		set, _ = log.Since(10, 10)
		g.Expect(set.Changes).To(gomega.Equal([]store.Change{{Object: unknown, Deleted: true}}))
		cancel()
		synctest.Wait()
	})
}
