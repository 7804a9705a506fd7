package link_test

import (
	"bytes"
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/control"
	"sycamoreledge.example/internal/peer"
	"sycamoreledge.example/internal/settings"
	"sycamoreledge.example/internal/traffic/link"
	"sycamoreledge.example/internal/work"
)

// recordingPeer is a peer that records the size and time of each read of a request
// body.
type recordingPeer struct {
	peer.Transport
	mu     sync.Mutex
	start  time.Time
	readAt []time.Duration
	bytes  []int
}

func (p *recordingPeer) Do(_ context.Context, _ string, _ peer.Role, req *work.Request) *work.Response {
	buffer := make([]byte, 32<<10)
	for req.Body != nil {
		n, err := req.Body.Read(buffer)
		p.mu.Lock()
		p.readAt = append(p.readAt, time.Since(p.start))
		p.bytes = append(p.bytes, n)
		p.mu.Unlock()
		if err != nil {
			break
		}
	}
	return &work.Response{Outcome: work.Run}
}

// maxExcess returns the largest number of bytes by which any window exceeds the
// rate.
func (p *recordingPeer) maxExcess(rate float64) float64 {
	worst := 0.0
	for i := range p.readAt {
		sum := 0.0
		for j := i; j < len(p.readAt); j++ {
			sum += float64(p.bytes[j])
			worst = max(worst, sum-rate*(p.readAt[j]-p.readAt[i]).Seconds())
		}
	}
	return worst
}

func topology() *settings.Topology {
	return &settings.Topology{
		Regions: []settings.Region{
			{Name: "r1", Zones: []settings.Zone{{Name: "z1", Instances: []settings.Instance{{Name: "a"}, {Name: "b"}}}}},
			{Name: "r2", Zones: []settings.Zone{{Name: "z2", Instances: []settings.Instance{{Name: "c"}}}}},
		},
		Links: []settings.Link{{Between: []string{"r1", "r2"}, Rate: 100}},
	}
}

func newTransport(p *recordingPeer, megabits float64) *link.Transport {
	preset := &settings.Preset{Links: []settings.LinkPolicy{{Between: []string{"r2", "r1"}, Cap: megabits}}}
	snapshot := func() *control.Snapshot { return &control.Snapshot{Preset: preset} }
	p.start = time.Now()
	return link.NewTransport(p, "a", topology(), snapshot)
}

func newRequest(kind work.Kind, size int, timeout time.Duration) *work.Request {
	return &work.Request{
		Kind: kind, Body: bytes.NewReader(make([]byte, size)), Length: int64(size), Deadline: time.Now().Add(timeout),
	}
}

func TestUploadsStayWithinTheShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		m := &recordingPeer{}
		l := newTransport(m, 16) // 2 MB/s for two instances: 1 MB/s each
		done := make(chan *work.Response, 4)
		for range 4 {
			go func() { done <- l.Do(t.Context(), "c", peer.RolePool, newRequest(work.Upload, 500_000, time.Minute)) }()
		}
		for range 4 {
			g.Expect((<-done).Outcome).To(gomega.Equal(work.Run))
		}
		g.Expect(time.Since(m.start)).To(gomega.BeNumerically("~", 2*time.Second, 50*time.Millisecond))
		g.Expect(m.maxExcess(1e6)).To(gomega.BeNumerically("<=", 2*20_000))
	})
}

func TestSmallRequestsOvertakeUploads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		m := &recordingPeer{}
		l := newTransport(m, 16)
		done := make(chan *work.Response, 1)
		go func() { done <- l.Do(t.Context(), "c", peer.RolePool, newRequest(work.Upload, 3_000_000, time.Minute)) }()
		for range 50 {
			<-time.After(20 * time.Millisecond)
			start := time.Now()
			g.Expect(l.Do(t.Context(), "c", peer.RolePool, newRequest(work.Order, 2000, time.Second)).Outcome).To(gomega.Equal(work.Run))
			g.Expect(time.Since(start)).To(gomega.BeNumerically("<", time.Millisecond))
		}
		g.Expect((<-done).Outcome).To(gomega.Equal(work.Run))
		g.Expect(m.maxExcess(1e6)).To(gomega.BeNumerically("<=", 2*20_000))
	})
}

func TestRefusalBeforeBytesAreSent(t *testing.T) {
	for name, megabits := range map[string]float64{"too slow": 16, "forbidden": 0} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				m := &recordingPeer{}
				resp := newTransport(m, megabits).Do(t.Context(), "c", peer.RolePool, newRequest(work.Upload, 10_000_000, time.Second))
				g.Expect(resp.Outcome).To(gomega.Equal(work.NotRun))
				g.Expect(resp.Reason).To(gomega.Equal(work.ReasonLinkCap))
				g.Expect(m.bytes).To(gomega.BeEmpty())
			})
		})
	}
}

func TestSameRegionIsNotLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		m := &recordingPeer{}
		resp := newTransport(m, 0).Do(t.Context(), "b", peer.RolePool, newRequest(work.Upload, 10_000_000, time.Second))
		g.Expect(resp.Outcome).To(gomega.Equal(work.Run))
		g.Expect(time.Since(m.start)).To(gomega.BeZero())
	})
}

func TestAnswersToOtherRegionsArePaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		m := &recordingPeer{}
		resp := &work.Response{Outcome: work.Run, Body: io.NopCloser(bytes.NewReader(make([]byte, 1_000_000)))}
		resp = newTransport(m, 16).PaceResponse(t.Context(), "c", resp)
		n, err := io.Copy(io.Discard, resp.Body)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(n).To(gomega.Equal(int64(1_000_000)))
		g.Expect(time.Since(m.start)).To(gomega.BeNumerically("~", 960*time.Millisecond, 50*time.Millisecond))
	})
}
