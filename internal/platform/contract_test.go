package platform_test

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/zeebo/errs"

	"sycamoreledge.example/internal/lab/platformsim"
	"sycamoreledge.example/internal/platform"
)

// callTimeout limits each call of the tests.
const callTimeout = 30 * time.Second

// clientUnderTest is a Client together with functions that control its platform.
type clientUnderTest struct {
	client       platform.Client
	setFaults    func(platform.Faults)
	setInstances func([]platform.Instance)
}

// implementations are the Clients that must meet the contract.
var implementations = []struct {
	name string
	make func(t *testing.T) clientUnderTest
}{
	{"memory", newMemory},
	{"http", newHTTP},
}

func newMemory(*testing.T) clientUnderTest {
	m := platform.NewMemory()
	return clientUnderTest{client: m, setFaults: m.SetFaults, setInstances: m.SetInstances}
}

func newHTTP(t *testing.T) clientUnderTest {
	sim := platformsim.New(platformsim.Config{Lag: time.Nanosecond, WatchWait: 300 * time.Millisecond})
	server := httptest.NewServer(sim.Handler())
	t.Cleanup(server.Close)
	client := platform.NewHTTPClient(server.Listener.Addr().String(), callTimeout)
	t.Cleanup(client.Close)
	return clientUnderTest{client: client, setFaults: sim.Store().SetFaults, setInstances: sim.Store().SetInstances}
}

func forEachImplementation(t *testing.T, test func(t *testing.T, g *gomega.WithT, s clientUnderTest)) {
	t.Helper()
	for _, s := range implementations {
		t.Run(s.name, func(t *testing.T) {
			test(t, gomega.NewWithT(t), s.make(t))
		})
	}
}

// expectClass checks that an error has the given class and no other.
func expectClass(g *gomega.WithT, err error, want *errs.Class) {
	g.Expect(errs.Classes(err)).To(gomega.Equal([]*errs.Class{want}), "%v", err)
}

func TestPutIsConditionalOnVersion(t *testing.T) {
	forEachImplementation(t, func(t *testing.T, g *gomega.WithT, s clientUnderTest) {
		ctx := t.Context()
		_, err := s.client.Get(ctx, "a/b")
		expectClass(g, err, &platform.NotFound)

		first, err := s.client.Put(ctx, "a/b", []byte("one"), 0)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = s.client.Put(ctx, "a/b", []byte("again"), 0)
		expectClass(g, err, &platform.Conflict)
		second, err := s.client.Put(ctx, "a/b", []byte("two"), first.Version)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(second.Version).To(gomega.BeNumerically(">", first.Version))
		_, err = s.client.Put(ctx, "a/b", []byte("late"), first.Version)
		expectClass(g, err, &platform.Conflict)

		got, err := s.client.Get(ctx, "a/b")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(got).To(gomega.Equal(platform.Object{Key: "a/b", Version: second.Version, Value: []byte("two")}))
	})
}

func TestVersionsGrowAcrossDeletion(t *testing.T) {
	forEachImplementation(t, func(t *testing.T, g *gomega.WithT, s clientUnderTest) {
		ctx := t.Context()
		first, err := s.client.Put(ctx, "a", []byte("one"), 0)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		expectClass(g, s.client.Delete(ctx, "a", first.Version+1), &platform.Conflict)
		g.Expect(s.client.Delete(ctx, "a", first.Version)).To(gomega.Succeed())
		expectClass(g, s.client.Delete(ctx, "a", first.Version), &platform.NotFound)
		_, err = s.client.Put(ctx, "a", []byte("late"), first.Version)
		expectClass(g, err, &platform.Conflict)
		second, err := s.client.Put(ctx, "a", []byte("two"), 0)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(second.Version).To(gomega.BeNumerically(">", first.Version))
	})
}

func TestListFiltersByPrefixAndSortsByKey(t *testing.T) {
	forEachImplementation(t, func(t *testing.T, g *gomega.WithT, s clientUnderTest) {
		for _, key := range []string{"a/2", "b/1", "a/1"} {
			_, err := s.client.Put(t.Context(), key, []byte(key), 0)
			g.Expect(err).NotTo(gomega.HaveOccurred())
		}
		list, err := s.client.List(t.Context(), "a/")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(list).To(gomega.HaveLen(2))
		g.Expect(list[0].Key).To(gomega.Equal("a/1"))
		g.Expect(list[1].Value).To(gomega.Equal([]byte("a/2")))
	})
}

func TestMalformedRequestsReturnInvalid(t *testing.T) {
	forEachImplementation(t, func(t *testing.T, g *gomega.WithT, s clientUnderTest) {
		for _, key := range []string{"", "/a", "a//b", "a/../b", "a b", "a?b"} {
			_, err := s.client.Get(t.Context(), key)
			expectClass(g, err, &platform.Invalid)
		}
		_, err := s.client.Put(t.Context(), "a", make([]byte, platform.MaxValueBytes+1), 0)
		expectClass(g, err, &platform.Invalid)
		_, err = s.client.Put(t.Context(), "a", make([]byte, platform.MaxValueBytes), 0)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		got, err := s.client.Get(t.Context(), "a")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(bytes.Equal(got.Value, make([]byte, platform.MaxValueBytes))).To(gomega.BeTrue())
	})
}

func TestUpdateErrorClassesUnderFaults(t *testing.T) {
	cases := []struct {
		name   string
		faults platform.Faults
		class  *errs.Class
		effect bool
	}{
		{"down", platform.Faults{Down: true}, &platform.Unavailable, false},
		{"answer lost", platform.Faults{LoseAnswers: 1}, &platform.Unavailable, true},
		{"call lost", platform.Faults{LoseCalls: 1}, &platform.Unavailable, false},
		{"throttled", platform.Faults{Throttle: 1}, &platform.Throttled, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			forEachImplementation(t, func(t *testing.T, g *gomega.WithT, s clientUnderTest) {
				s.setFaults(c.faults)
				_, err := s.client.Put(t.Context(), "a", []byte("x"), 0)
				expectClass(g, err, c.class)
				s.setFaults(platform.Faults{})
				_, err = s.client.Get(t.Context(), "a")
				g.Expect(err == nil).To(gomega.Equal(c.effect))
			})
		})
	}
}

func TestStaleFaultReturnsFormerState(t *testing.T) {
	forEachImplementation(t, func(t *testing.T, g *gomega.WithT, s clientUnderTest) {
		old, err := s.client.Put(t.Context(), "a", []byte("old"), 0)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		s.setFaults(platform.Faults{Stale: true})
		_, err = s.client.Put(t.Context(), "a", []byte("new"), old.Version)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		got, err := s.client.Get(t.Context(), "a")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(got).To(gomega.Equal(old))
	})
}

func TestWatchReturnsNewerVersion(t *testing.T) {
	forEachImplementation(t, func(t *testing.T, g *gomega.WithT, s clientUnderTest) {
		first, err := s.client.Put(t.Context(), "a", []byte("one"), 0)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		got, err := s.client.Watch(t.Context(), "a", 0)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(got).To(gomega.Equal(first))

		found := make(chan platform.Object, 1)
		go func() {
			obj, err := s.client.Watch(t.Context(), "a", first.Version)
			if err == nil {
				found <- obj
			}
		}()
		second, err := s.client.Put(t.Context(), "a", []byte("two"), first.Version)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Eventually(found, callTimeout).Should(gomega.Receive(gomega.Equal(second)))
	})
}

func TestWatchEndsWhenContextOrPlatformEnds(t *testing.T) {
	forEachImplementation(t, func(t *testing.T, g *gomega.WithT, s clientUnderTest) {
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 2)
		watch := func(ctx context.Context) {
			_, err := s.client.Watch(ctx, "a", 0)
			ended <- err
		}
		go watch(ctx)
		cancel()
		var err error
		g.Eventually(ended, callTimeout).Should(gomega.Receive(&err))
		g.Expect(platform.OutOfReach(err)).To(gomega.BeTrue())
		g.Expect(errors.Is(err, context.Canceled)).To(gomega.BeTrue())

		go watch(t.Context())
		s.setFaults(platform.Faults{Down: true})
		g.Eventually(ended, callTimeout).Should(gomega.Receive(&err))
		expectClass(g, err, &platform.Unavailable)
	})
}

func TestSilentWatchOutlivesALongPoll(t *testing.T) {
	forEachImplementation(t, func(t *testing.T, g *gomega.WithT, s clientUnderTest) {
		_, err := s.client.Put(t.Context(), "a", []byte("one"), 0)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		s.setFaults(platform.Faults{SilentWatch: true})
		ctx, cancel := context.WithTimeout(t.Context(), 700*time.Millisecond)
		defer cancel()
		_, err = s.client.Watch(ctx, "a", 0)
		g.Expect(errors.Is(err, context.DeadlineExceeded)).To(gomega.BeTrue(), "%v", err)
	})
}

func TestInstancesReturnsPlatformList(t *testing.T) {
	forEachImplementation(t, func(t *testing.T, g *gomega.WithT, s clientUnderTest) {
		list, err := s.client.Instances(t.Context())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(list).To(gomega.BeEmpty())
		want := []platform.Instance{{Name: "e1", State: platform.InstanceLeaving}}
		s.setInstances(want)
		list, err = s.client.Instances(t.Context())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(list).To(gomega.Equal(want))
	})
}

func TestUnreachablePlatformReturnsNotSent(t *testing.T) {
	g := gomega.NewWithT(t)
	// Port 1 is never assigned to another test as an ephemeral port.
	client := platform.NewHTTPClient("127.0.0.1:1", callTimeout)
	_, err := client.Put(t.Context(), "a", []byte("x"), 0)
	expectClass(g, err, &platform.NotSent)
}

// TestMalformedResponsesReturnUnavailable covers servers that accept a request but
// send no valid response, so that an update may have taken effect.
func TestMalformedResponsesReturnUnavailable(t *testing.T) {
	cases := map[string]http.HandlerFunc{
		"closed":       func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"no version":   func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) },
		"odd version":  func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("ETag", `W/"x"`) },
		"redirect":     func(w http.ResponseWriter, r *http.Request) { http.Redirect(w, r, "/v1/objects/b", http.StatusFound) },
		"server error": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) },
		"short body": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("ETag", `"1"`)
			w.Header().Set("Content-Length", "10")
			_, _ = w.Write([]byte("x"))
		},
	}
	for name, handler := range cases {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			server := httptest.NewServer(handler)
			defer server.Close()
			client := platform.NewHTTPClient(server.Listener.Addr().String(), callTimeout)
			_, err := client.Put(t.Context(), "a", []byte("x"), 0)
			expectClass(g, err, &platform.Unavailable)
			_, err = client.Get(t.Context(), "a")
			expectClass(g, err, &platform.Unavailable)
		})
	}
}

func TestWatchFailsWhenServerDoesNotWait(t *testing.T) {
	cases := map[string]http.HandlerFunc{
		"no content at once": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) },
		"an older version":   func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("ETag", `"5"`) },
	}
	for name, handler := range cases {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			server := httptest.NewServer(handler)
			defer server.Close()
			client := platform.NewHTTPClient(server.Listener.Addr().String(), callTimeout)
			_, err := client.Watch(t.Context(), "a", 5)
			expectClass(g, err, &platform.Unavailable)
		})
	}
}
