package presets_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/platform"
	"sycamoreledge.example/internal/presets"
	"sycamoreledge.example/internal/settings"
)

// sink collects what a watcher hands on.
type sink struct {
	mu       sync.Mutex
	versions []int64
	errors   int
}

func (s *sink) watcher(client platform.Client) *presets.Watcher {
	return &presets.Watcher{
		Client: client,
		OnConfig: func(cfg *settings.Config) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.versions = append(s.versions, cfg.Version)
		},
		OnError: func(error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.errors++
		},
	}
}

func (s *sink) failed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.errors
}

func (s *sink) seen() []int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]int64(nil), s.versions...)
}

func TestWatcherStartsUnderFaults(t *testing.T) {
	cases := []struct {
		name   string
		faults platform.Faults
		within time.Duration
	}{
		{"healthy", platform.Faults{}, 0},
		{"silent watch", platform.Faults{SilentWatch: true}, 0},
		{"throttled for a while", platform.Faults{Throttle: 4}, 4 * time.Second},
		{"slow", platform.Faults{Latency: time.Second}, time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				got := new(sink)
				first, err := f.store(f.memory).Apply(t.Context(), request("first"), f.named("peak", 10))
				f.Expect(err).NotTo(gomega.HaveOccurred())
				f.memory.SetFaults(c.faults)
				go got.watcher(f.memory).Run(t.Context())
				time.Sleep(c.within) // fake time
				synctest.Wait()
				f.Expect(got.seen()).To(gomega.Equal([]int64{first.Config.Version}))
			})
		})
	}
}

func TestReadsReplaceASilentWatch(t *testing.T) {
	for _, silent := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t)
			got := new(sink)
			go got.watcher(f.memory).Run(t.Context())
			synctest.Wait()
			f.memory.SetFaults(platform.Faults{SilentWatch: silent})
			result, err := f.store(f.memory).Apply(t.Context(), request("first"), f.named("peak", 10))
			f.Expect(err).NotTo(gomega.HaveOccurred())
			synctest.Wait()
			f.Expect(got.seen() == nil).To(gomega.Equal(silent), "a watch shows the change at once, a silent one does not")
			time.Sleep(presets.DefaultInterval * 5 / 4) // fake time
			synctest.Wait()
			f.Expect(got.seen()).To(gomega.Equal([]int64{result.Config.Version}))
		})
	}
}

func TestWatcherCatchesUpAfterALongOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		got := new(sink)
		ctx, cancel := context.WithCancel(t.Context())
		stopped := make(chan struct{})
		go func() {
			got.watcher(f.memory).Run(ctx)
			close(stopped)
		}()
		synctest.Wait()
		f.memory.SetFaults(platform.Faults{Down: true})
		time.Sleep(time.Hour) // fake time
		f.Expect(got.failed()).To(gomega.BeNumerically("<", 5000), "calls during an outage are spaced out")
		f.Expect(got.failed()).To(gomega.BeNumerically(">", 1000))
		f.memory.SetFaults(platform.Faults{})
		result, err := f.store(f.memory).Apply(t.Context(), request("first"), f.named("peak", 10))
		f.Expect(err).NotTo(gomega.HaveOccurred())
		time.Sleep(4 * time.Second)
		synctest.Wait()
		f.Expect(got.seen()).To(gomega.Equal([]int64{result.Config.Version}))
		cancel()
		<-stopped
	})
}

func TestWatcherNeverHandsOnAnOlderVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		got := new(sink)
		watcher := got.watcher(f.memory)
		go watcher.Run(t.Context())
		store := f.store(f.memory)
		for i := range 20 {
			_, err := store.Apply(t.Context(), request(fmt.Sprint(i)), f.named("peak", i))
			f.Expect(err).NotTo(gomega.HaveOccurred())
			f.memory.SetFaults(platform.Faults{Stale: i%3 == 0})
			time.Sleep(3 * time.Second) // fake time
		}
		synctest.Wait()
		seen := got.seen()
		f.Expect(len(seen)).To(gomega.BeNumerically(">", 5))
		for i := 1; i < len(seen); i++ {
			f.Expect(seen[i]).To(gomega.BeNumerically(">", seen[i-1]))
		}
		watcher.Observe(1000)
		_, err := store.Apply(t.Context(), request("known from a peer"), f.named("peak", 99))
		f.Expect(err).NotTo(gomega.HaveOccurred())
		time.Sleep(time.Minute)
		f.Expect(got.seen()).To(gomega.Equal(seen))
	})
}

func TestWatcherOutlivesACorruptConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		got := new(sink)
		go got.watcher(f.memory).Run(t.Context())
		bad, err := f.memory.Put(t.Context(), presets.ConfigKey, []byte("{"), 0)
		f.Expect(err).NotTo(gomega.HaveOccurred())
		time.Sleep(time.Minute) // fake time
		synctest.Wait()
		f.Expect(got.seen()).To(gomega.BeEmpty())
		f.Expect(got.failed()).To(gomega.BeNumerically("<", 200))
		good := `{"in_force":"p","presets":{"p":{"name":"p"}}}`
		obj, err := f.memory.Put(t.Context(), presets.ConfigKey, []byte(good), bad.Version)
		f.Expect(err).NotTo(gomega.HaveOccurred())
		time.Sleep(5 * time.Second)
		synctest.Wait()
		f.Expect(got.seen()).To(gomega.Equal([]int64{obj.Version}))
	})
}
