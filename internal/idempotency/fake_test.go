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

const runTime = 10 * time.Millisecond

var errLost = errors.New("answer lost")

// world is a few instances with a platform and an upstream that counts.
type world struct {
	mu       sync.Mutex
	services map[string]*idempotency.Service // by instance
	ran      map[string]int                  // by body
	answer   func(*work.Request) *work.Response
	cut      map[string]bool
	lost     bool // answers of peers get lost
	down     bool // the platform
	claims   map[string]control.Identity
	after    map[control.Identity]string
	limit    int
}

func newWorld() *world {
	return &world{
		services: map[string]*idempotency.Service{}, ran: map[string]int{}, cut: map[string]bool{},
		claims: map[string]control.Identity{}, after: map[control.Identity]string{}, limit: 100,
	}
}

// join starts a run of an instance, in place of an earlier one.
func (w *world) join(g *gomega.WithT, name string, incarnation uint64) *idempotency.Service {
	self := control.Identity{Instance: name, Incarnation: incarnation}
	s := idempotency.New(idempotency.Options{
		Self:     self,
		Issuer:   issuer(g, self, secret("a", 1)),
		Snapshot: w.snapshot,
		Peers:    &wire{world: w, self: self},
		Run:      w.run,
		Claimer:  &claimer{world: w, self: self},
		MaxKeys:  w.limit,
		MaxBytes: 1 << 20,
	})
	w.mu.Lock()
	defer w.mu.Unlock()
	w.services[name] = s
	return s
}

func (w *world) snapshot() *control.Snapshot {
	w.mu.Lock()
	defer w.mu.Unlock()
	after := map[control.Identity]string{}
	for id, name := range w.after {
		after[id] = name
	}
	return &control.Snapshot{Successors: after}
}

// run is the upstream behind all instances.
func (w *world) run(_ context.Context, req *work.Request) *work.Response {
	var body []byte
	if req.Body != nil {
		var err error
		if body, err = io.ReadAll(req.Body); err != nil {
			return work.Uncertain(work.ReasonUpstreamBroken)
		}
	}
	w.mu.Lock()
	answer := w.answer
	w.mu.Unlock()
	if answer != nil {
		if resp := answer(req); resp != nil {
			return resp
		}
	}
	w.mu.Lock()
	w.ran[string(body)]++
	n := len(w.ran)
	w.mu.Unlock()
	<-time.After(runTime)
	text := fmt.Sprintf("receipt %d", n)
	return &work.Response{
		Outcome: work.Run, Status: http.StatusCreated, Header: http.Header{"X": {"1"}},
		Body: io.NopCloser(strings.NewReader(text)), Length: int64(len(text)),
	}
}

func (w *world) set(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

func (w *world) runs(body string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ran[body]
}

// wire is the transport of one instance.
type wire struct {
	peer.Transport
	world *world
	self  control.Identity
}

func (t *wire) Do(ctx context.Context, to string, _ peer.Role, req *work.Request) *work.Response {
	t.world.mu.Lock()
	cut, lost, home := t.world.cut[to], t.world.lost, t.world.services[to]
	t.world.mu.Unlock()
	if cut || home == nil {
		return work.Refuse(work.ReasonPeerUnreachable, 0)
	}
	resp := home.ServeHome(ctx, req)
	if lost {
		return work.Uncertain(work.ReasonPeerBroken)
	}
	return resp
}

func (t *wire) GiveKeys(_ context.Context, to string, value []byte) error {
	t.world.mu.Lock()
	cut, lost, heir := t.world.cut[to], t.world.lost, t.world.services[to]
	t.world.mu.Unlock()
	if cut || heir == nil {
		return errLost
	}
	if err := heir.Import(t.self, value); err != nil {
		return err
	}
	if lost {
		return errLost
	}
	return nil
}

// claimer claims keys on the platform of the world.
type claimer struct {
	world *world
	self  control.Identity
}

func (c *claimer) Claim(_ context.Context, service, key string) (idempotency.Claim, error) {
	<-time.After(2 * time.Millisecond)
	c.world.mu.Lock()
	defer c.world.mu.Unlock()
	if c.world.down {
		return idempotency.Claim{}, errLost
	}
	name := service + "/" + key
	holder, taken := c.world.claims[name]
	if !taken {
		holder = c.self
		c.world.claims[name] = holder
	}
	return idempotency.Claim{Won: !taken, Holder: holder, Expires: time.Now().Add(time.Minute)}, nil
}

func order(key, body string) *work.Request {
	return &work.Request{
		ID: "1", Service: "orders", Kind: work.Order, Method: http.MethodPost, Path: "/o", Key: key,
		Body: strings.NewReader(body), Length: int64(len(body)), Deadline: time.Now().Add(2 * time.Second),
	}
}

// issue returns a key of the service.
func issue(t *testing.T, s *idempotency.Service) string {
	t.Helper()
	key, _, err := s.Issue("orders")
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func text(g *gomega.WithT, resp *work.Response) string {
	g.Expect(resp.Outcome).To(gomega.Equal(work.Run), string(resp.Reason))
	b, err := io.ReadAll(resp.Body)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return string(b)
}
