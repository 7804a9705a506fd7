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

// TestLeavingInstanceStaysAmongItsPeers has a stop whose lists run out after a second.
// Until then the instance serves, and must hear of changes like any other: peers
// forget whoever is not registered.
func TestLeavingInstanceStaysAmongItsPeers(t *testing.T) {
	const limit = 2 * time.Second
	g := gomega.NewWithT(t)
	var mu sync.Mutex
	var registered, removed time.Time
	store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		switch r.Method {
		case http.MethodPost:
			registered = time.Now()
			_, _ = io.WriteString(w, `{"metadata":{"name":"a","revision":7}}`)
		case http.MethodDelete:
			removed = time.Now()
			_, _ = io.WriteString(w, `{}`)
		default:
			_, _ = io.WriteString(w, `{"items":[],"events":[],"currentRev":7}`)
		}
	}))
	defer store.Close()
	place := &deployment.Deployment{
		Instance: "a", Place: deployment.Place{Zone: "z", Region: "r"},
		PeerAddress: "127.0.0.1:0", StoreAddress: strings.TrimPrefix(store.URL, "http://"),
		Listen: deployment.Listen{Requests: "127.0.0.1:0"}, Bounds: deployment.Bounds{Stop: limit},
	}
	i, err := build(Options{}, place, event.Discard())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(i.listen()).To(gomega.Succeed())
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		i.serve(ctx)
	}()
	at := func(when *time.Time) func() time.Time {
		return func() time.Time {
			mu.Lock()
			defer mu.Unlock()
			return *when
		}
	}
	g.Eventually(at(&registered), 10*time.Second).ShouldNot(gomega.BeZero())
	began := time.Now()
	stop()
	g.Eventually(ended, 10*time.Second).Should(gomega.BeClosed())
	g.Expect(at(&removed)()).NotTo(gomega.BeZero(), "it leaves before it ends")
	g.Expect(at(&removed)().Sub(began)).To(gomega.BeNumerically(">=", limit/2), "lists that name it have run out")
}
