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

// failingOnce is a platform without upstreams, of which some snapshots after the
// first fail.
type failingOnce struct{ failures, snapshots int }

func (f *failingOnce) Snapshot(context.Context, string) ([]store.Object, int64, error) {
	f.snapshots++
	if f.snapshots > 1 && f.snapshots <= 1+f.failures {
		return nil, 0, store.Unavailable.New("down again")
	}
	return nil, 20, nil
}

func (f *failingOnce) Changes(ctx context.Context, _ string, after int64, wait time.Duration) ([]store.Change, int64, error) {
	return nil, after, store.Pause(ctx, wait)
}

func TestLapsedUpstreamsGoAlsoWhenThePlatformFailsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		i, err := build(Options{}, &deployment.Deployment{Instance: "a"}, event.Discard())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		ids := []string{"u1", "u2", "u3"}
		for _, id := range ids {
			i.core.SetUpstream(time.Now(), steering.Upstream{ID: id, Incarnation: 1, Service: "s", Address: id, Slots: 1})
		}
		ctx, cancel := context.WithCancel(t.Context())
		feed := &failingOnce{failures: 3}
		follower := &store.Follower{
			Feed: feed, Kind: "k", OnLost: func(error) {}, OnReached: func() {},
			OnSnapshot: func(_ []store.Object, revision int64) {
				if feed.snapshots == 1 {
					return
				}
				for _, id := range i.core.Upstreams() {
					i.dropUpstream(ctx, id, revision, false)
				}
			},
		}
		i.watching.add(fleet.TopicUpstreams, follower)
		go follower.Run(ctx)
		synctest.Wait()
		// The platform is back for a second, and the upstreams' entries have lapsed.
		i.reach.returned = time.Now().Add(-time.Second)
		for _, id := range ids {
			i.dropUpstream(ctx, id, 10, false)
		}
		g.Expect(i.core.Upstreams()).To(gomega.HaveLen(3), "their entries may come back")
		time.Sleep(lapseGrace + 5*time.Second)
		synctest.Wait()
		g.Expect(i.core.Upstreams()).To(gomega.BeEmpty())
		g.Expect(feed.snapshots).To(gomega.Equal(5), "one reading for all of them, tried until it succeeds")
		cancel()
		synctest.Wait()
	})
}
