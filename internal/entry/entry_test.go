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
	// waitTimeout bounds waits for events on real sockets.
	waitTimeout = 60 * time.Second
	callTimeout = 30 * time.Second
)

// testFleet runs all instances and simulators of a fleet in this process, on real
// sockets.
type testFleet struct {
	t         *testing.T
	plan      *firm.Plan
	zones     map[string]*upstream.Zone
	cancels   map[string]context.CancelFunc
	runErrors map[string]chan error
}

func newTestFleet(t *testing.T) *testFleet {
	t.Helper()
	settings, err := firm.Load("../../deploy/lantern-mount")
	if err != nil {
		t.Fatal(err)
	}
	settings.Settings.Control.MaxAge = time.Second
	settings.Settings.Log.Level = "error"
	plan, err := firm.Generate(t.TempDir(), settings)
	if err != nil {
		t.Fatal(err)
	}
	fleet := &testFleet{t: t, plan: plan, zones: map[string]*upstream.Zone{}, cancels: map[string]context.CancelFunc{}, runErrors: map[string]chan error{}}
	fleet.startSimulators()
	for _, e := range plan.Entries {
		fleet.start(e)
	}
	for _, e := range plan.Entries {
		fleet.awaitReady(e)
	}
	return fleet
}

func (fleet *testFleet) startSimulators() {
	ln, err := net.Listen("tcp", fleet.plan.Platform)
	if err != nil {
		fleet.t.Fatal(err)
	}
	store := platformsim.New(platformsim.Config{})
	go store.Serve(ln)                        //nolint:errcheck // ends with the test
	fleet.t.Cleanup(func() { store.Close() }) //nolint:errcheck // the test is over
	linkSim, err := link.New(link.ConfigOf(fleet.plan))
	if err != nil {
		fleet.t.Fatal(err)
	}
	fleet.t.Cleanup(func() { linkSim.Close() }) //nolint:errcheck // the test is over
	ctx, cancel := context.WithCancel(context.Background())
	var zones sync.WaitGroup
	fleet.t.Cleanup(func() {
		cancel()
		zones.Wait()
	})
	for _, name := range firm.Zones(&fleet.plan.Topology) {
		zone := upstream.NewZone(fleet.plan, name, testSeed)
		fleet.zones[name] = zone
		zones.Go(func() { zone.Run(ctx, fleet.plan.UpstreamAdmin[name]) }) //nolint:errcheck // ends with the test
	}
}

// start runs an entry instance until the test or stop ends it.
func (fleet *testFleet) start(e firm.Entry) {
	ctx, cancel := context.WithCancel(context.Background())
	runError := make(chan error, 1)
	go func() { runError <- entry.Run(ctx, e.Settings) }()
	fleet.cancels[e.Name] = cancel
	fleet.runErrors[e.Name] = runError
	fleet.t.Cleanup(cancel)
}

// stop shuts down an entry instance gracefully and waits until it has exited.
func (fleet *testFleet) stop(name string) {
	fleet.cancels[name]()
	gomega.NewWithT(fleet.t).Eventually(fleet.runErrors[name], waitTimeout).Should(gomega.Receive(gomega.BeNil()))
}

func (fleet *testFleet) awaitReady(e firm.Entry) {
	fleet.t.Helper()
	gomega.NewWithT(fleet.t).Eventually(func() (int, error) {
		resp, err := http.Get("http://" + e.Callers + "/readyz")
		if err != nil {
			return 0, err
		}
		resp.Body.Close()
		return resp.StatusCode, nil
	}, waitTimeout, 50*time.Millisecond).Should(gomega.Equal(http.StatusOK), e.Name)
}

// sendUntilRun repeats a call while its outcome is not-run, for at most waitTimeout.
// Pools may have no owner yet right after startup.
func (fleet *testFleet) sendUntilRun(c *caller.Client, address string, call *caller.Call) caller.Result {
	fleet.t.Helper()
	var last caller.Result
	gomega.NewWithT(fleet.t).Eventually(func() work.Outcome {
		last = c.Send(context.Background(), address, call)
		return last.Outcome
	}, waitTimeout, 50*time.Millisecond).ShouldNot(gomega.Equal(work.NotRun), fmt.Sprint(last))
	return last
}

// countEffects returns how often the upstreams executed requests with a key.
func (fleet *testFleet) countEffects(key string) int {
	n := 0
	for _, zone := range fleet.zones {
		for _, r := range zone.Ledger().Records {
			if r.Key == key && r.Effect() {
				n++
			}
		}
	}
	return n
}

// serviceOf returns the name of the first service of a kind.
func (fleet *testFleet) serviceOf(kind work.Kind) string {
	for _, s := range fleet.plan.Topology.Services {
		if s.Kind == kind {
			return s.Name
		}
	}
	fleet.t.Fatalf("no service of kind %s", kind)
	return ""
}

// TestAllKindsThroughAllInstances sends requests of every kind through every
// instance to the upstreams. It checks that orders are executed exactly once, also
// if sent to two instances concurrently, and that their outcomes survive a graceful
// shutdown of the instance that ran them.
func TestAllKindsThroughAllInstances(t *testing.T) {
	g := gomega.NewWithT(t)
	fleet := newTestFleet(t)
	c := caller.NewClient(func(string) time.Duration { return 0 })
	defer c.Close()

	for i, e := range fleet.plan.Entries {
		for _, kind := range []work.Kind{work.Lookup, work.Order, work.Upload} {
			call := &caller.Call{
				Service: fleet.serviceOf(kind), Kind: kind, Size: 300, Deadline: callTimeout,
				Nonce: fmt.Sprintf("%s-%d", kind, i),
			}
			if kind != work.Lookup {
				call.Body = []byte(strings.Repeat("x", 1000))
				call.Key = fleet.newKey(c, e.Callers, call.Service)
			}
			got := fleet.sendUntilRun(c, e.Callers, call)
			g.Expect(got.Outcome).To(gomega.Equal(work.Run), "%s through %s: %+v", kind, e.Name, got)
			g.Expect(got.Bad).NotTo(gomega.HaveOccurred())
			if call.Key != "" {
				g.Expect(fleet.countEffects(call.Key)).To(gomega.Equal(1))
			}
		}
	}

	home, other := fleet.plan.Entries[0], fleet.plan.Entries[len(fleet.plan.Entries)-1]
	for name, key := range map[string]string{
		"issued key":       fleet.newKey(c, home.Callers, fleet.serviceOf(work.Order)),
		"caller's own key": "own-key-1",
	} {
		call := &caller.Call{
			Service: fleet.serviceOf(work.Order), Kind: work.Order, Size: 300, Deadline: callTimeout,
			Nonce: name, Key: key, Body: []byte("one order"),
		}
		var wg sync.WaitGroup
		results := make([]caller.Result, 2)
		for i, address := range []string{home.Callers, other.Callers} {
			wg.Go(func() { results[i] = c.Send(context.Background(), address, call) })
		}
		wg.Wait()
		for _, r := range results {
			g.Expect(r.Outcome).To(gomega.Equal(work.Run), "%s: %+v", name, r)
		}
		g.Expect(fleet.countEffects(key)).To(gomega.Equal(1), name)
	}

	key := fleet.newKey(c, home.Callers, fleet.serviceOf(work.Order))
	call := &caller.Call{
		Service: fleet.serviceOf(work.Order), Kind: work.Order, Size: 300, Deadline: callTimeout,
		Nonce: "before-stop", Key: key, Body: []byte("one order"),
	}
	g.Expect(fleet.sendUntilRun(c, home.Callers, call).Outcome).To(gomega.Equal(work.Run))
	fleet.stop(home.Name)
	replayed := c.Send(context.Background(), other.Callers, call)
	g.Expect(replayed.Outcome).To(gomega.Equal(work.Run), "%+v", replayed)
	g.Expect(fleet.countEffects(key)).To(gomega.Equal(1))
}

func (fleet *testFleet) newKey(c *caller.Client, address, service string) string {
	fleet.t.Helper()
	key, err := c.NewKey(context.Background(), address, service)
	if err != nil {
		fleet.t.Fatal(err)
	}
	return key
}

// TestStartFailures checks that Run returns an error if a file is missing or invalid
// or a port is in use.
func TestStartFailures(t *testing.T) {
	settings, err := firm.Load("../../deploy/lantern-mount")
	if err != nil {
		t.Fatal(err)
	}
	for name, prepare := range map[string]func(t *testing.T, p *firm.Plan){
		"settings missing": func(t *testing.T, p *firm.Plan) { removeFile(t, p.Entries[0].Settings) },
		"settings malformed": func(t *testing.T, p *firm.Plan) {
			writeFile(t, p.Entries[0].Settings, "instance: [\n")
		},
		"certificate missing": func(t *testing.T, p *firm.Plan) {
			removeFile(t, filepath.Join(p.Dir, "tls", p.Entries[0].Name+".pem"))
		},
		"key of another instance": func(t *testing.T, p *firm.Plan) {
			data, err := os.ReadFile(filepath.Join(p.Dir, "tls", p.Entries[1].Name+".key"))
			if err != nil {
				t.Fatal(err)
			}
			writeFile(t, filepath.Join(p.Dir, "tls", p.Entries[0].Name+".key"), string(data))
		},
		"port of callers taken":   func(t *testing.T, p *firm.Plan) { occupyPort(t, "tcp", p.Entries[0].Callers) },
		"port of operators taken": func(t *testing.T, p *firm.Plan) { occupyPort(t, "tcp", p.Entries[0].Operators) },
		"port of peers taken":     func(t *testing.T, p *firm.Plan) { occupyPort(t, "udp", p.Entries[0].Peers) },
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			plan, err := firm.Generate(t.TempDir(), settings)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			prepare(t, plan)
			runError := make(chan error, 1)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go func() { runError <- entry.Run(ctx, plan.Entries[0].Settings) }()
			g.Eventually(runError, waitTimeout).Should(gomega.Receive(gomega.HaveOccurred()))
		})
	}
}

func removeFile(t *testing.T, path string) {
	t.Helper()
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
}

func writeFile(t *testing.T, path, content string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
}

func occupyPort(t *testing.T, network, address string) {
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
