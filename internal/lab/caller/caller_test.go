package caller_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"path"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/lab/answer"
	"sycamoreledge.example/internal/lab/caller"
	"sycamoreledge.example/internal/lab/firm"
	"sycamoreledge.example/internal/settings"
	"sycamoreledge.example/internal/work"
)

const (
	// testTimeout is reached only by tests that hang.
	testTimeout = 30 * time.Second
	// minRequests is the number of requests with a key, and without one, after
	// which the load test stops.
	minRequests = 20
)

// fakeEntry is an entry that answers its n-th request with responders[n], and
// further ones with the last responder.
type fakeEntry struct {
	mu         sync.Mutex
	responders []responder
	keys       []string
}

// responder writes one response; own is the correct body.
type responder func(w http.ResponseWriter, own []byte)

func respondRun(w http.ResponseWriter, own []byte) {
	w.Header().Set("Outcome", "run")
	_, _ = w.Write(own)
}

func respondRefused(reason work.Reason) responder {
	return func(w http.ResponseWriter, _ []byte) {
		w.Header().Set("Outcome", "not-run")
		w.Header().Set("Outcome-Reason", string(reason))
		w.Header().Set("Retry-After-Ms", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func respondUnknown(w http.ResponseWriter, _ []byte) {
	w.Header().Set("Outcome", "unknown")
	w.WriteHeader(http.StatusGatewayTimeout)
}

func respondForeign(w http.ResponseWriter, _ []byte) {
	respondRun(w, answer.Body("other", answer.EmptyDigest, 200))
}

// respondShortened sends half of the body as a complete response.
func respondShortened(w http.ResponseWriter, own []byte) { respondRun(w, own[:len(own)/2]) }

func respondBroken(w http.ResponseWriter, own []byte) {
	w.Header().Set("Content-Length", fmt.Sprint(len(own)))
	respondRun(w, own[:len(own)/2])
	panic(http.ErrAbortHandler)
}

// respondLate sends no response until 3 s have passed, well after the caller's
// deadline.
func respondLate(http.ResponseWriter, []byte) { <-time.After(3 * time.Second) }

func respondWithoutOutcome(w http.ResponseWriter, own []byte) { _, _ = w.Write(own) }

func (e *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/entries" {
		_, _ = fmt.Fprintf(w, `{"max_age_ms":60000,"entries":[{"name":"dead","address":"127.0.0.1:1"},{"name":"e","address":%q}]}`, r.Host)
		return
	}
	if r.URL.Path == "/v1/keys" {
		w.WriteHeader(http.StatusCreated)
		_, _ = fmt.Fprint(w, `{"key":"issued"}`)
		return
	}
	body, _ := io.ReadAll(r.Body)
	e.mu.Lock()
	n := min(len(e.keys), len(e.responders)-1)
	e.keys = append(e.keys, r.Header.Get("Idempotency-Key"))
	e.mu.Unlock()
	e.responders[n](w, answer.Body(path.Base(r.URL.Path), answer.Digest(body), 200))
}

// minKeyedOrUnkeyed returns the number of received requests with a key or the
// number without one, whichever is smaller.
func (e *fakeEntry) minKeyedOrUnkeyed() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	without := 0
	for _, key := range e.keys {
		if key == "" {
			without++
		}
	}
	return min(without, len(e.keys)-without)
}

// plan returns a plan with one entry at the address.
func plan(address string) *firm.Plan {
	inst := settings.Instance{Name: "e", Callers: address}
	return &firm.Plan{
		Topology: settings.Topology{Regions: []settings.Region{{Name: "r", Zones: []settings.Zone{{Name: "z"}}}}},
		Entries:  []firm.Entry{{Instance: inst, Zone: "z"}},
	}
}

func TestOperationKeepsItsKeyUntilItsOutcomeIsFinal(t *testing.T) {
	cases := []struct {
		name     string
		steps    []responder
		outcome  work.Outcome
		attempts int
		notRun   int
		check    func(*gomega.WithT, *caller.Op)
	}{
		{"run", []responder{respondRun}, work.Run, 1, 0, nil},
		{"refused, then run", []responder{respondRefused(work.ReasonQueueFull), respondRun}, work.Run, 2, 1, nil},
		{"unknown, then run", []responder{respondUnknown, respondRun}, work.Run, 2, 0, nil},
		{"refused permanently", []responder{respondRefused(work.ReasonKeyExpired)}, work.NotRun, 1, 1, nil},
		{"truncated, then run", []responder{respondBroken, respondRun}, work.Run, 2, 0, func(g *gomega.WithT, op *caller.Op) {
			g.Expect(op.Cut).To(gomega.Equal(1))
			g.Expect(op.Bad).To(gomega.BeEmpty())
		}},
		{"silent, then run", []responder{respondLate, respondRun}, work.Run, 2, 0, func(g *gomega.WithT, op *caller.Op) {
			g.Expect(op.TimedOut).To(gomega.Equal(1))
			g.Expect(op.Cut).To(gomega.BeZero())
		}},
		{"without outcome, then run", []responder{respondWithoutOutcome, respondRun}, work.Run, 2, 0, func(g *gomega.WithT, op *caller.Op) {
			g.Expect(op.Unlabelled).To(gomega.Equal(1))
		}},
		{"response of another request", []responder{respondForeign}, work.Run, 1, 0, func(g *gomega.WithT, op *caller.Op) {
			g.Expect(op.Bad).To(gomega.ContainSubstring("another request"))
		}},
		{"shortened response", []responder{respondShortened}, work.Run, 1, 0, func(g *gomega.WithT, op *caller.Op) {
			g.Expect(op.Bad).To(gomega.ContainSubstring("cut after 100"))
		}},
		// The second attempt cancels the operation.
		{"unknown until cancelled", []responder{respondUnknown}, work.Unknown, 0, 0, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			e := &fakeEntry{responders: c.steps}
			server := httptest.NewServer(e)
			defer server.Close()
			x := caller.New(caller.Config{Plan: plan(strings.TrimPrefix(server.URL, "http://")), Zone: "z"})
			deadline := testTimeout
			if strings.HasPrefix(c.name, "silent") {
				deadline = time.Second
			}
			call := &caller.Call{Service: "s", Kind: work.Order, Nonce: "n", Key: "k", Body: []byte("b"), Size: 200, Deadline: deadline}
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			if c.attempts == 0 {
				e.responders = append(e.responders, func(w http.ResponseWriter, own []byte) {
					cancel()
					respondUnknown(w, own)
				})
			}
			op := x.Operate(ctx, call, false)
			g.Expect(op.Outcome).To(gomega.Equal(c.outcome))
			g.Expect(op.NotRun).To(gomega.HaveLen(c.notRun))
			if c.attempts > 0 {
				g.Expect(e.keys).To(gomega.HaveLen(c.attempts))
			}
			for _, key := range e.keys {
				g.Expect(key).To(gomega.Equal("k"))
			}
			if c.check != nil {
				c.check(g, op)
			}
		})
	}
}

func TestLoadIsBoundedAndCounted(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	e := &fakeEntry{}
	e.responders = []responder{func(w http.ResponseWriter, own []byte) {
		respondRun(w, own)
		if e.minKeyedOrUnkeyed() >= minRequests {
			cancel()
		}
	}}
	server := httptest.NewServer(e)
	defer server.Close()
	x := caller.New(caller.Config{
		Plan: plan(strings.TrimPrefix(server.URL, "http://")), Zone: "z", Seed: 3,
		Loads: []caller.Load{
			{Service: "a", Kind: work.Lookup, Rate: 500, MaxInFlight: 50, AnswerSize: 200, Deadline: testTimeout},
			{Service: "b", Kind: work.Order, Rate: 100, MaxInFlight: 50, BodyMin: 10, BodyMax: 20, AnswerSize: 200, Deadline: testTimeout, OwnKeys: 0.5},
		},
	})
	x.Run(ctx)
	totals := x.Stats().Totals()
	g.Expect(totals).To(gomega.HaveLen(2))
	for _, total := range totals {
		g.Expect(total.Run).To(gomega.BeNumerically(">", 0))
		g.Expect(total.Run).To(gomega.Equal(total.Sent))
		g.Expect(total.Bad).To(gomega.BeZero())
		g.Expect(total.P50).To(gomega.BeNumerically(">", 0))
	}
	g.Expect(x.Ops()).To(gomega.HaveLen(int(totals[1].Run)))
	issued := 0
	for _, op := range x.Ops() {
		if op.Key == "issued" {
			issued++
		}
	}
	g.Expect(issued).To(gomega.And(gomega.BeNumerically(">", 0), gomega.BeNumerically("<", len(x.Ops()))))
}

func TestStandardLoadsUseTheirShareOfSlots(t *testing.T) {
	g := gomega.NewWithT(t)
	f, err := firm.Load("../../../deploy/wijesekera")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	p := &firm.Plan{Topology: f.Topology, Presets: f.Presets, World: f.World}
	shares := caller.Shares{work.Lookup: 0.5, work.Order: 0.25}
	busy := map[string]float64{}
	for _, zone := range firm.Zones(&p.Topology) {
		for _, l := range caller.StandardLoads(p, p.Preset("ordinary"), zone, shares) {
			busy[l.Service] += l.Rate * caller.MeanTime(p.World.ServiceTimeOf(l.Service), l.Kind).Seconds()
			g.Expect(l.Deadline).To(gomega.BeNumerically(">=", 2*time.Second))
		}
	}
	g.Expect(busy["patterns"]).To(gomega.BeNumerically("~", 0.5*16*6, 0.01))
	g.Expect(busy["ledger"]).To(gomega.BeNumerically("~", 0.25*12*3, 0.01))
	g.Expect(busy).NotTo(gomega.HaveKey("artwork"))
}
