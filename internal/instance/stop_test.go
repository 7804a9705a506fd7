package instance

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/deployment"
	"sycamoreledge.example/internal/event"
)

// TestStoppingInstanceStaysRegisteredUntilListsExpire runs a stop in which cached lists expire after a
// second. Until then the instance serves and must receive changes like any other, so it must stay
// registered: peers remove instances that are not.
func TestStoppingInstanceStaysRegisteredUntilListsExpire(t *testing.T) {
	const limit = 2 * time.Second
	g := gomega.NewWithT(t)
	var mu sync.Mutex
	var registered, unregistered time.Time
	store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		switch r.Method {
		case http.MethodPost:
			registered = time.Now()
			_, _ = io.WriteString(w, `{"metadata":{"name":"a","revision":7}}`)
		case http.MethodDelete:
			unregistered = time.Now()
			_, _ = io.WriteString(w, `{}`)
		default:
			_, _ = io.WriteString(w, `{"items":[],"events":[],"currentRev":7}`)
		}
	}))
	defer store.Close()
	settings := &deployment.Deployment{
		Instance: "a", Place: deployment.Place{Zone: "z", Region: "r"},
		PeerAddress: "127.0.0.1:0", StoreAddress: strings.TrimPrefix(store.URL, "http://"),
		Listen: deployment.Listen{Requests: "127.0.0.1:0"}, Bounds: deployment.Bounds{Stop: limit},
	}
	i, err := build(Options{}, settings, event.Discard())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(i.listen()).To(gomega.Succeed())
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		i.serve(ctx)
	}()
	locked := func(value *time.Time) func() time.Time {
		return func() time.Time {
			mu.Lock()
			defer mu.Unlock()
			return *value
		}
	}
	g.Eventually(locked(&registered), 10*time.Second).ShouldNot(gomega.BeZero())
	began := time.Now()
	stop()
	g.Eventually(ended, 10*time.Second).Should(gomega.BeClosed())
	g.Expect(locked(&unregistered)()).NotTo(gomega.BeZero(), "it unregisters before it ends")
	g.Expect(locked(&unregistered)().Sub(began)).To(gomega.BeNumerically(">=", limit/2), "it unregisters after the lists that name it expired")
}
