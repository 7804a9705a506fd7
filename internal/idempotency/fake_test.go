package idempotency_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/control"
	"sycamoreledge.example/internal/idempotency"
	"sycamoreledge.example/internal/peer"
	"sycamoreledge.example/internal/work"
)

const upstreamDelay = 10 * time.Millisecond

var errReplyLost = errors.New("reply lost")

// cluster simulates instances with a platform and an upstream that counts the
// requests it runs.
type cluster struct {
	mu               sync.Mutex
	services         map[string]*idempotency.Service // by instance
	runsByBody       map[string]int                  // executed requests by body
	upstreamResponse func(*work.Request) *work.Response
	unreachable      map[string]bool
	loseReplies      bool // replies of peers are lost
	platformDown     bool // the platform is unreachable
	claims           map[string]control.Identity
	successors       map[control.Identity]string
	maxKeys          int
}

func newCluster() *cluster {
	return &cluster{
		services: map[string]*idempotency.Service{}, runsByBody: map[string]int{}, unreachable: map[string]bool{},
		claims: map[string]control.Identity{}, successors: map[control.Identity]string{}, maxKeys: 100,
	}
}

// start starts a run of an instance and replaces an earlier run.
func (cl *cluster) start(g *gomega.WithT, name string, incarnation uint64) *idempotency.Service {
	self := control.Identity{Instance: name, Incarnation: incarnation}
	s := idempotency.New(idempotency.Options{
		Self:     self,
		Issuer:   newIssuer(g, self, newSecret("a", 1)),
		Snapshot: cl.snapshot,
		Peers:    &testTransport{cluster: cl, self: self},
		Run:      cl.run,
		Claimer:  &claimer{cluster: cl, self: self},
		MaxKeys:  cl.maxKeys,
		MaxBytes: 1 << 20,
	})
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.services[name] = s
	return s
}

func (cl *cluster) snapshot() *control.Snapshot {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	successors := map[control.Identity]string{}
	for id, name := range cl.successors {
		successors[id] = name
	}
	return &control.Snapshot{Successors: successors}
}

// run simulates the upstream of all instances.
func (cl *cluster) run(_ context.Context, req *work.Request) *work.Response {
	var body []byte
	if req.Body != nil {
		var err error
		if body, err = io.ReadAll(req.Body); err != nil {
			return work.UnknownOutcome(work.ReasonUpstreamBroken)
		}
	}
	cl.mu.Lock()
	respond := cl.upstreamResponse
	cl.mu.Unlock()
	if respond != nil {
		if resp := respond(req); resp != nil {
			return resp
		}
	}
	cl.mu.Lock()
	cl.runsByBody[string(body)]++
	n := len(cl.runsByBody)
	cl.mu.Unlock()
	<-time.After(upstreamDelay)
	text := fmt.Sprintf("receipt %d", n)
	return &work.Response{
		Outcome: work.Run, Status: http.StatusCreated, Header: http.Header{"X": {"1"}},
		Body: io.NopCloser(strings.NewReader(text)), Length: int64(len(text)),
	}
}

func (cl *cluster) update(f func()) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	f()
}

func (cl *cluster) runs(body string) int {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.runsByBody[body]
}

// testTransport is the peer transport of one instance.
type testTransport struct {
	peer.Transport
	cluster *cluster
	self    control.Identity
}

func (t *testTransport) Do(ctx context.Context, to string, _ peer.Role, req *work.Request) *work.Response {
	t.cluster.mu.Lock()
	unreachable, loseReply, home := t.cluster.unreachable[to], t.cluster.loseReplies, t.cluster.services[to]
	t.cluster.mu.Unlock()
	if unreachable || home == nil {
		return work.Refuse(work.ReasonPeerUnreachable, 0)
	}
	resp := home.ServeHome(ctx, req)
	if loseReply {
		return work.UnknownOutcome(work.ReasonPeerBroken)
	}
	return resp
}

func (t *testTransport) HandOverKeys(_ context.Context, to string, value []byte) error {
	t.cluster.mu.Lock()
	unreachable, loseReply, successor := t.cluster.unreachable[to], t.cluster.loseReplies, t.cluster.services[to]
	t.cluster.mu.Unlock()
	if unreachable || successor == nil {
		return errReplyLost
	}
	if err := successor.Import(t.self, value); err != nil {
		return err
	}
	if loseReply {
		return errReplyLost
	}
	return nil
}

// claimer claims keys on the simulated platform for one instance.
type claimer struct {
	cluster *cluster
	self    control.Identity
}

func (c *claimer) Claim(_ context.Context, service, key string) (idempotency.Claim, error) {
	<-time.After(2 * time.Millisecond)
	c.cluster.mu.Lock()
	defer c.cluster.mu.Unlock()
	if c.cluster.platformDown {
		return idempotency.Claim{}, errReplyLost
	}
	name := service + "/" + key
	holder, taken := c.cluster.claims[name]
	if !taken {
		holder = c.self
		c.cluster.claims[name] = holder
	}
	return idempotency.Claim{Won: !taken, Holder: holder, Expires: time.Now().Add(time.Minute)}, nil
}

func orderRequest(key, body string) *work.Request {
	return &work.Request{
		ID: "1", Service: "orders", Kind: work.Order, Method: http.MethodPost, Path: "/o", Key: key,
		Body: strings.NewReader(body), Length: int64(len(body)), Deadline: time.Now().Add(2 * time.Second),
	}
}

// issueKey returns a new key issued by the instance.
func issueKey(t *testing.T, s *idempotency.Service) string {
	t.Helper()
	key, _, err := s.Issue("orders")
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func responseBody(g *gomega.WithT, resp *work.Response) string {
	g.Expect(resp.Outcome).To(gomega.Equal(work.Run), string(resp.Reason))
	b, err := io.ReadAll(resp.Body)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return string(b)
}
