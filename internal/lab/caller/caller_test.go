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
	// patience ends only tests that hang.
	patience = 30 * time.Second
	// enough requests of each kind end the run of a load.
	enough = 20
)

// entry is a fake entry that answers its n-th request by steps[n] and all
// further ones by the last step.
type entry struct {
	mu    sync.Mutex
	steps []step
	keys  []string
}

// step writes one answer; own is the true one.
type step func(w http.ResponseWriter, own []byte)

func run(w http.ResponseWriter, own []byte) {
	w.Header().Set("Outcome", "run")
	_, _ = w.Write(own)
}

func refuse(reason work.Reason) step {
	return func(w http.ResponseWriter, _ []byte) {
		w.Header().Set("Outcome", "not-run")
		w.Header().Set("Outcome-Reason", string(reason))
		w.Header().Set("Retry-After-Ms", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func uncertain(w http.ResponseWriter, _ []byte) {
	w.Header().Set("Outcome", "unknown")
	w.WriteHeader(http.StatusGatewayTimeout)
}

func foreign(w http.ResponseWriter, _ []byte) {
	run(w, answer.Body("other", answer.EmptyDigest, 200))
}

// shortened looks whole, but is not.
func shortened(w http.ResponseWriter, own []byte) { run(w, own[:len(own)/2]) }

func broken(w http.ResponseWriter, own []byte) {
	w.Header().Set("Content-Length", fmt.Sprint(len(own)))
	run(w, own[:len(own)/2])
	panic(http.ErrAbortHandler)
}

// silent gives no answer until long after the caller's deadline.
func silent(http.ResponseWriter, []byte) { <-time.After(3 * time.Second) }

func unlabelled(w http.ResponseWriter, own []byte) { _, _ = w.Write(own) }

func (e *entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
	n := min(len(e.keys), len(e.steps)-1)
	e.keys = append(e.keys, r.Header.Get("Idempotency-Key"))
	e.mu.Unlock()
	e.steps[n](w, answer.Body(path.Base(r.URL.Path), answer.Digest(body), 200))
}

// least returns how many requests with a key, or without one, have come,
// whichever are fewer.
func (e *entry) least() int {
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

// plan declares one entry at the address.
func plan(address string) *firm.Plan {
	inst := settings.Instance{Name: "e", Callers: address}
	return &firm.Plan{
		Topology: settings.Topology{Regions: []settings.Region{{Name: "r", Zones: []settings.Zone{{Name: "z"}}}}},
		Entries:  []firm.Entry{{Instance: inst, Zone: "z"}},
	}
}

func TestAnOperationKeepsItsKeyUntilItsFateIsKnown(t *testing.T) {
	cases := []struct {
		name     string
		steps    []step
		outcome  work.Outcome
		attempts int
		notRun   int
		check    func(*gomega.WithT, *caller.Op)
	}{
		{"run", []step{run}, work.Run, 1, 0, nil},
		{"refused, then run", []step{refuse(work.ReasonQueueFull), run}, work.Run, 2, 1, nil},
		{"unknown, then run", []step{uncertain, run}, work.Run, 2, 0, nil},
		{"refused for good", []step{refuse(work.ReasonKeyExpired)}, work.NotRun, 1, 1, nil},
		{"broken, then run", []step{broken, run}, work.Run, 2, 0, func(g *gomega.WithT, op *caller.Op) {
			g.Expect(op.Cut).To(gomega.Equal(1))
			g.Expect(op.Bad).To(gomega.BeEmpty())
		}},
		{"silent, then run", []step{silent, run}, work.Run, 2, 0, func(g *gomega.WithT, op *caller.Op) {
			g.Expect(op.TimedOut).To(gomega.Equal(1))
			g.Expect(op.Cut).To(gomega.BeZero())
		}},
		{"without outcome, then run", []step{unlabelled, run}, work.Run, 2, 0, func(g *gomega.WithT, op *caller.Op) {
			g.Expect(op.Unlabelled).To(gomega.Equal(1))
		}},
		{"another's answer", []step{foreign}, work.Run, 1, 0, func(g *gomega.WithT, op *caller.Op) {
			g.Expect(op.Bad).To(gomega.ContainSubstring("another request"))
		}},
		{"shortened answer", []step{shortened}, work.Run, 1, 0, func(g *gomega.WithT, op *caller.Op) {
			g.Expect(op.Bad).To(gomega.ContainSubstring("cut after 100"))
		}},
		// The caller gives up during the second attempt.
		{"unknown for ever", []step{uncertain}, work.Unknown, 0, 0, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			e := &entry{steps: c.steps}
			server := httptest.NewServer(e)
			defer server.Close()
			x := caller.New(caller.Config{Plan: plan(strings.TrimPrefix(server.URL, "http://")), Zone: "z"})
			deadline := patience
			if strings.HasPrefix(c.name, "silent") {
				deadline = time.Second
			}
			call := &caller.Call{Service: "s", Kind: work.Order, Nonce: "n", Key: "k", Body: []byte("b"), Size: 200, Deadline: deadline}
			ctx, cancel := context.WithTimeout(t.Context(), patience)
			defer cancel()
			if c.attempts == 0 {
				e.steps = append(e.steps, func(w http.ResponseWriter, own []byte) {
					cancel()
					uncertain(w, own)
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

func TestTheLoadIsBoundedAndCounted(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	e := &entry{}
	e.steps = []step{func(w http.ResponseWriter, own []byte) {
		run(w, own)
		if e.least() >= enough {
			cancel()
		}
	}}
	server := httptest.NewServer(e)
	defer server.Close()
	x := caller.New(caller.Config{
		Plan: plan(strings.TrimPrefix(server.URL, "http://")), Zone: "z", Seed: 3,
		Loads: []caller.Load{
			{Service: "a", Kind: work.Lookup, Rate: 500, MaxInFlight: 50, AnswerSize: 200, Deadline: patience},
			{Service: "b", Kind: work.Order, Rate: 100, MaxInFlight: 50, BodyMin: 10, BodyMax: 20, AnswerSize: 200, Deadline: patience, OwnKeys: 0.5},
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

func TestStandardLoadsUseTheirShareOfTheSlots(t *testing.T) {
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
