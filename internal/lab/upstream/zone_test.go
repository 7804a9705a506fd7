package upstream_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"path/filepath"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/lab/firm"
	"sycamoreledge.example/internal/lab/upstream"
)

// start serves the upstreams of the first zone of a firm.
func start(t *testing.T, g *gomega.WithT) *firm.Plan {
	f, err := firm.Load(filepath.Join("..", "..", "..", "deploy", "lantern-mount"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	p, err := firm.Generate(t.TempDir(), f)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- upstream.NewZone(p, "east-a", 1).Run(ctx, p.UpstreamAdmin["east-a"]) }()
	t.Cleanup(func() {
		cancel()
		g.Expect(<-ended).To(gomega.Succeed())
	})
	g.Eventually(func() error { _, err := ledger(p); return err }, 30*time.Second).Should(gomega.Succeed())
	return p
}

// ledger reads the ledger over the control interface.
func ledger(p *firm.Plan) (upstream.Ledger, error) {
	var l upstream.Ledger
	resp, err := http.Get("http://" + p.UpstreamAdmin["east-a"] + "/lab/ledger")
	if err != nil {
		return l, err
	}
	defer resp.Body.Close()
	return l, json.NewDecoder(resp.Body).Decode(&l)
}

// control posts to the control interface and returns the status.
func control(g *gomega.WithT, p *firm.Plan, path string, body any) int {
	data, err := json.Marshal(body)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	resp, err := http.Post("http://"+p.UpstreamAdmin["east-a"]+path, "application/json", bytes.NewReader(data))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(resp.Body.Close()).To(gomega.Succeed())
	return resp.StatusCode
}

func TestAFaultClosesTheListenerAndItsEndOpensItAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	p := start(t, g)
	u := p.Topology.Services[0].Pools[0].Upstreams[0]
	get := func() error {
		resp, err := http.Get("http://" + u.Address + "/healthz")
		if err == nil {
			err = resp.Body.Close()
		}
		return err
	}
	path := "/lab/upstreams/" + u.Name
	g.Expect(get()).To(gomega.Succeed())
	g.Expect(control(g, p, path, upstream.Fault{Refuse: true})).To(gomega.Equal(http.StatusNoContent))
	g.Expect(get()).To(gomega.MatchError(gomega.ContainSubstring("refused")))
	g.Expect(control(g, p, path, upstream.Fault{})).To(gomega.Equal(http.StatusNoContent))
	g.Expect(get()).To(gomega.Succeed())
	g.Expect(control(g, p, path+"/restart", nil)).To(gomega.Equal(http.StatusNoContent))
	g.Expect(control(g, p, path, map[string]int{"no_such_fault": 1})).To(gomega.Equal(http.StatusBadRequest))
	g.Expect(control(g, p, "/lab/upstreams/nobody", upstream.Fault{})).To(gomega.Equal(http.StatusNotFound))
}

func TestAClosedConnectionFreesTheSlot(t *testing.T) {
	g := gomega.NewWithT(t)
	p := start(t, g)
	u := p.Topology.Services[0].Pools[0].Upstreams[0]
	g.Expect(control(g, p, "/lab/upstreams/"+u.Name, upstream.Fault{Mute: true})).To(gomega.Equal(http.StatusNoContent))
	busy := func() int {
		l, err := ledger(p)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return l.Upstreams[0].Busy
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	gone := make(chan error, 1)
	go func() {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+u.Address+"/items/n", nil)
		if err == nil {
			var resp *http.Response
			if resp, err = http.DefaultClient.Do(req); err == nil {
				err = resp.Body.Close()
			}
		}
		gone <- err
	}()
	g.Eventually(busy, 30*time.Second).Should(gomega.Equal(1))
	cancel()
	g.Expect(<-gone).To(gomega.MatchError(context.Canceled))
	g.Eventually(busy, 30*time.Second).Should(gomega.Equal(0))
}
