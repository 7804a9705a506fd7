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

// recorder records the versions that a watcher delivers and counts its errors.
type recorder struct {
	mu       sync.Mutex
	versions []int64
	errors   int
}

func (s *recorder) newWatcher(client platform.Client) *presets.Watcher {
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

func (s *recorder) errorCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.errors
}

func (s *recorder) seenVersions() []int64 {
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
				recorded := new(recorder)
				first, err := f.store(f.memory).Apply(t.Context(), newRequest("first"), f.presetNamed("peak", 10))
				f.Expect(err).NotTo(gomega.HaveOccurred())
				f.memory.SetFaults(c.faults)
				go recorded.newWatcher(f.memory).Run(t.Context())
				time.Sleep(c.within) // fake time
				synctest.Wait()
				f.Expect(recorded.seenVersions()).To(gomega.Equal([]int64{first.Config.Version}))
			})
		})
	}
}

func TestPollingDeliversChangesWhenTheWatchIsSilent(t *testing.T) {
	for _, silent := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t)
			recorded := new(recorder)
			go recorded.newWatcher(f.memory).Run(t.Context())
			synctest.Wait()
			f.memory.SetFaults(platform.Faults{SilentWatch: silent})
			result, err := f.store(f.memory).Apply(t.Context(), newRequest("first"), f.presetNamed("peak", 10))
			f.Expect(err).NotTo(gomega.HaveOccurred())
			synctest.Wait()
			f.Expect(recorded.seenVersions() == nil).To(gomega.Equal(silent), "a working watch reports the change immediately, a silent one does not")
			time.Sleep(presets.DefaultPollInterval * 5 / 4) // fake time
			synctest.Wait()
			f.Expect(recorded.seenVersions()).To(gomega.Equal([]int64{result.Config.Version}))
		})
	}
}

func TestWatcherCatchesUpAfterLongOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		recorded := new(recorder)
		ctx, cancel := context.WithCancel(t.Context())
		stopped := make(chan struct{})
		go func() {
			recorded.newWatcher(f.memory).Run(ctx)
			close(stopped)
		}()
		synctest.Wait()
		f.memory.SetFaults(platform.Faults{Down: true})
		time.Sleep(time.Hour) // fake time
		f.Expect(recorded.errorCount()).To(gomega.BeNumerically("<", 5000), "calls during an outage must back off")
		f.Expect(recorded.errorCount()).To(gomega.BeNumerically(">", 1000))
		f.memory.SetFaults(platform.Faults{})
		result, err := f.store(f.memory).Apply(t.Context(), newRequest("first"), f.presetNamed("peak", 10))
		f.Expect(err).NotTo(gomega.HaveOccurred())
		time.Sleep(4 * time.Second)
		synctest.Wait()
		f.Expect(recorded.seenVersions()).To(gomega.Equal([]int64{result.Config.Version}))
		cancel()
		<-stopped
	})
}

func TestWatcherNeverDeliversAnOlderVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		recorded := new(recorder)
		watcher := recorded.newWatcher(f.memory)
		go watcher.Run(t.Context())
		store := f.store(f.memory)
		for i := range 20 {
			_, err := store.Apply(t.Context(), newRequest(fmt.Sprint(i)), f.presetNamed("peak", i))
			f.Expect(err).NotTo(gomega.HaveOccurred())
			f.memory.SetFaults(platform.Faults{Stale: i%3 == 0})
			time.Sleep(3 * time.Second) // fake time
		}
		synctest.Wait()
		seen := recorded.seenVersions()
		f.Expect(len(seen)).To(gomega.BeNumerically(">", 5))
		for i := 1; i < len(seen); i++ {
			f.Expect(seen[i]).To(gomega.BeNumerically(">", seen[i-1]))
		}
		watcher.Observe(1000)
		_, err := store.Apply(t.Context(), newRequest("known from a peer"), f.presetNamed("peak", 99))
		f.Expect(err).NotTo(gomega.HaveOccurred())
		time.Sleep(time.Minute)
		f.Expect(recorded.seenVersions()).To(gomega.Equal(seen))
	})
}

func TestWatcherContinuesAfterCorruptConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		recorded := new(recorder)
		go recorded.newWatcher(f.memory).Run(t.Context())
		bad, err := f.memory.Put(t.Context(), presets.ConfigKey, []byte("{"), 0)
		f.Expect(err).NotTo(gomega.HaveOccurred())
		time.Sleep(time.Minute) // fake time
		synctest.Wait()
		f.Expect(recorded.seenVersions()).To(gomega.BeEmpty())
		f.Expect(recorded.errorCount()).To(gomega.BeNumerically("<", 200))
		good := `{"in_force":"p","presets":{"p":{"name":"p"}}}`
		obj, err := f.memory.Put(t.Context(), presets.ConfigKey, []byte(good), bad.Version)
		f.Expect(err).NotTo(gomega.HaveOccurred())
		time.Sleep(5 * time.Second)
		synctest.Wait()
		f.Expect(recorded.seenVersions()).To(gomega.Equal([]int64{obj.Version}))
	})
}
