package entry_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/entry"
	"sycamoreledge.example/internal/lab/caller"
	"sycamoreledge.example/internal/lab/firm"
	"sycamoreledge.example/internal/lab/link"
	"sycamoreledge.example/internal/lab/platformsim"
	"sycamoreledge.example/internal/lab/upstream"
	"sycamoreledge.example/internal/work"
)

const (
	testSeed = 1
	// patience bounds the waits for real sockets.
	patience = 60 * time.Second
	// callTimeout is the deadline of the callers' requests.
	callTimeout = 30 * time.Second
)

// world is a firm with all its instances in this process, on real sockets.
type world struct {
	t       *testing.T
	plan    *firm.Plan
	zones   map[string]*upstream.Zone
	cancels map[string]context.CancelFunc
	ended   map[string]chan error
}

func newWorld(t *testing.T) *world {
	t.Helper()
	f, err := firm.Load("../../deploy/lantern-mount")
	if err != nil {
		t.Fatal(err)
	}
	f.Settings.Control.MaxAge = time.Second
	f.Settings.Log.Level = "error"
	plan, err := firm.Generate(t.TempDir(), f)
	if err != nil {
		t.Fatal(err)
	}
	w := &world{t: t, plan: plan, zones: map[string]*upstream.Zone{}, cancels: map[string]context.CancelFunc{}, ended: map[string]chan error{}}
	w.startStandIns()
	for _, e := range plan.Entries {
		w.start(e)
	}
	for _, e := range plan.Entries {
		w.awaitReady(e)
	}
	return w
}

func (w *world) startStandIns() {
	ln, err := net.Listen("tcp", w.plan.Platform)
	if err != nil {
		w.t.Fatal(err)
	}
	store := platformsim.New(platformsim.Config{})
	go store.Serve(ln) //nolint:errcheck // ends with the test
	w.t.Cleanup(func() { store.Close() })
	links, err := link.New(link.ConfigOf(w.plan))
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { links.Close() }) //nolint:errcheck // the test is over
	ctx, cancel := context.WithCancel(context.Background())
	var zones sync.WaitGroup
	w.t.Cleanup(func() {
		cancel()
		zones.Wait()
	})
	for _, name := range firm.Zones(&w.plan.Topology) {
		zone := upstream.NewZone(w.plan, name, testSeed)
		w.zones[name] = zone
		zones.Go(func() { zone.Run(ctx, w.plan.UpstreamAdmin[name]) }) //nolint:errcheck // ends with the test
	}
}

// start runs an entry instance until the test or stop ends it.
func (w *world) start(e firm.Entry) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- entry.Run(ctx, e.Settings) }()
	w.cancels[e.Name] = cancel
	w.ended[e.Name] = ended
	w.t.Cleanup(cancel)
}

// stop ends an entry instance as planned and waits for it.
func (w *world) stop(name string) {
	w.cancels[name]()
	gomega.NewWithT(w.t).Eventually(w.ended[name], patience).Should(gomega.Receive(gomega.BeNil()))
}

func (w *world) awaitReady(e firm.Entry) {
	w.t.Helper()
	gomega.NewWithT(w.t).Eventually(func() (int, error) {
		resp, err := http.Get("http://" + e.Callers + "/readyz")
		if err != nil {
			return 0, err
		}
		resp.Body.Close()
		return resp.StatusCode, nil
	}, patience, 50*time.Millisecond).Should(gomega.Equal(http.StatusOK), e.Name)
}

// send sends a call until it has run or the patience ends; at the start pools
// may have no owner yet.
func (w *world) send(c *caller.Client, address string, call *caller.Call) caller.Result {
	w.t.Helper()
	var last caller.Result
	gomega.NewWithT(w.t).Eventually(func() work.Outcome {
		last = c.Send(context.Background(), address, call)
		return last.Outcome
	}, patience, 50*time.Millisecond).ShouldNot(gomega.Equal(work.NotRun), fmt.Sprint(last))
	return last
}

// effects counts how often the upstreams ran a key.
func (w *world) effects(key string) int {
	n := 0
	for _, zone := range w.zones {
		for _, r := range zone.Ledger().Records {
			if r.Key == key && r.Effect() {
				n++
			}
		}
	}
	return n
}

// serviceOf returns the name of the first service of a kind.
func (w *world) serviceOf(kind work.Kind) string {
	for _, s := range w.plan.Topology.Services {
		if s.Kind == kind {
			return s.Name
		}
	}
	w.t.Fatalf("no service of kind %s", kind)
	return ""
}

// TestWholePath serves requests of all kinds from callers to upstreams through
// all instances, runs orders once, and keeps their outcomes over a planned stop.
func TestWholePath(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(t)
	c := caller.NewClient(func(string) time.Duration { return 0 })
	defer c.Close()

	for i, e := range w.plan.Entries {
		for _, kind := range []work.Kind{work.Lookup, work.Order, work.Upload} {
			call := &caller.Call{
				Service: w.serviceOf(kind), Kind: kind, Size: 300, Deadline: callTimeout,
				Nonce: fmt.Sprintf("%s-%d", kind, i),
			}
			if kind != work.Lookup {
				call.Body = []byte(strings.Repeat("x", 1000))
				call.Key = w.newKey(c, e.Callers, call.Service)
			}
			got := w.send(c, e.Callers, call)
			g.Expect(got.Outcome).To(gomega.Equal(work.Run), "%s through %s: %+v", kind, e.Name, got)
			g.Expect(got.Bad).NotTo(gomega.HaveOccurred())
			if call.Key != "" {
				g.Expect(w.effects(call.Key)).To(gomega.Equal(1))
			}
		}
	}

	home, other := w.plan.Entries[0], w.plan.Entries[len(w.plan.Entries)-1]
	for name, key := range map[string]string{
		"issued key":       w.newKey(c, home.Callers, w.serviceOf(work.Order)),
		"caller's own key": "own-key-1",
	} {
		call := &caller.Call{
			Service: w.serviceOf(work.Order), Kind: work.Order, Size: 300, Deadline: callTimeout,
			Nonce: name, Key: key, Body: []byte("one order"),
		}
		var both sync.WaitGroup
		results := make([]caller.Result, 2)
		for i, address := range []string{home.Callers, other.Callers} {
			both.Go(func() { results[i] = c.Send(context.Background(), address, call) })
		}
		both.Wait()
		for _, r := range results {
			g.Expect(r.Outcome).To(gomega.Equal(work.Run), "%s: %+v", name, r)
		}
		g.Expect(w.effects(key)).To(gomega.Equal(1), name)
	}

	key := w.newKey(c, home.Callers, w.serviceOf(work.Order))
	call := &caller.Call{
		Service: w.serviceOf(work.Order), Kind: work.Order, Size: 300, Deadline: callTimeout,
		Nonce: "before-stop", Key: key, Body: []byte("one order"),
	}
	g.Expect(w.send(c, home.Callers, call).Outcome).To(gomega.Equal(work.Run))
	w.stop(home.Name)
	again := c.Send(context.Background(), other.Callers, call)
	g.Expect(again.Outcome).To(gomega.Equal(work.Run), "%+v", again)
	g.Expect(w.effects(key)).To(gomega.Equal(1))
}

func (w *world) newKey(c *caller.Client, address, service string) string {
	w.t.Helper()
	key, err := c.NewKey(context.Background(), address, service)
	if err != nil {
		w.t.Fatal(err)
	}
	return key
}

// TestStartFailures is the table of starts that must fail with an error.
func TestStartFailures(t *testing.T) {
	f, err := firm.Load("../../deploy/lantern-mount")
	if err != nil {
		t.Fatal(err)
	}
	for name, breakRun := range map[string]func(t *testing.T, p *firm.Plan){
		"settings missing": func(t *testing.T, p *firm.Plan) { remove(t, p.Entries[0].Settings) },
		"settings wrong": func(t *testing.T, p *firm.Plan) {
			write(t, p.Entries[0].Settings, "instance: [\n")
		},
		"certificate missing": func(t *testing.T, p *firm.Plan) {
			remove(t, filepath.Join(p.Dir, "tls", p.Entries[0].Name+".pem"))
		},
		"key of another instance": func(t *testing.T, p *firm.Plan) {
			data, err := os.ReadFile(filepath.Join(p.Dir, "tls", p.Entries[1].Name+".key"))
			if err != nil {
				t.Fatal(err)
			}
			write(t, filepath.Join(p.Dir, "tls", p.Entries[0].Name+".key"), string(data))
		},
		"port of callers taken":   func(t *testing.T, p *firm.Plan) { occupy(t, "tcp", p.Entries[0].Callers) },
		"port of operators taken": func(t *testing.T, p *firm.Plan) { occupy(t, "tcp", p.Entries[0].Operators) },
		"port of peers taken":     func(t *testing.T, p *firm.Plan) { occupy(t, "udp", p.Entries[0].Peers) },
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			plan, err := firm.Generate(t.TempDir(), f)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			breakRun(t, plan)
			ended := make(chan error, 1)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go func() { ended <- entry.Run(ctx, plan.Entries[0].Settings) }()
			g.Eventually(ended, patience).Should(gomega.Receive(gomega.HaveOccurred()))
		})
	}
}

func remove(t *testing.T, path string) {
	t.Helper()
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
}

func write(t *testing.T, path, content string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
}

func occupy(t *testing.T, network, address string) {
	t.Helper()
	if network == "udp" {
		conn, err := net.ListenPacket(network, address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() }) //nolint:errcheck // the test is over
		return
	}
	ln, err := net.Listen(network, address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() }) //nolint:errcheck // the test is over
}
