// Package cluster runs a firm on one machine as separate processes: the
// stand-ins of platform, links and upstreams, and the entry instances. It
// kills, freezes and restarts single ones.
package cluster

import (
	"context"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"sycamoreledge.example/internal/lab/firm"
)

// Error is the class of errors of this package.
var Error = errs.Class("cluster")

// Times of starting and stopping.
const (
	readyTimeout  = 30 * time.Second
	readyInterval = 50 * time.Millisecond
	entryGrace    = 20 * time.Second
	standInGrace  = 3 * time.Second
)

// Names of the stand-ins' processes.
const (
	platformName = "platform"
	linksName    = "links"
)

// Options says what to run.
type Options struct {
	// Bin is the directory of the built programs.
	Bin  string
	Plan *firm.Plan
	Seed uint64
	// WithoutPlatform starts the entries before there is a platform.
	WithoutPlatform bool
	// Baseline runs the plain proxy in place of the entries.
	Baseline bool
}

// Cluster is a running firm.
type Cluster struct {
	Plan  *firm.Plan
	bin   string
	http  *http.Client
	order []string
	procs map[string]*Process
}

// Start runs the stand-ins, then the entries, and returns when all are ready.
// After an error nothing is left running.
func Start(ctx context.Context, o Options) (*Cluster, error) {
	c, err := build(o)
	if err != nil {
		return nil, err
	}
	if err := c.startAll(ctx, o); err != nil {
		c.Kill()
		return nil, err
	}
	return c, nil
}

// build lists the processes without starting any.
func build(o Options) (*Cluster, error) {
	logs := filepath.Join(o.Plan.Dir, "logs")
	if err := os.MkdirAll(logs, 0o700); err != nil {
		return nil, Error.Wrap(err)
	}
	lab := filepath.Join(o.Bin, "lab")
	c := &Cluster{Plan: o.Plan, bin: o.Bin, http: &http.Client{Timeout: 5 * time.Second}, procs: map[string]*Process{}}
	c.add(logs, platformName, lab, "platform", "--run", o.Plan.Dir)
	c.add(logs, linksName, lab, "links", "--run", o.Plan.Dir)
	seed := strconv.FormatUint(o.Seed, 10)
	for _, zone := range firm.Zones(&o.Plan.Topology) {
		c.add(logs, upstreamsName(zone), lab, "upstreams", "--run", o.Plan.Dir, "--zone", zone, "--seed", seed)
	}
	for _, e := range o.Plan.Entries {
		if o.Baseline {
			c.add(logs, e.Name, lab, "baseline", "--run", o.Plan.Dir, "--entry", e.Name)
			continue
		}
		c.add(logs, e.Name, filepath.Join(o.Bin, "sycamoreledge"), "entry", "--settings", e.Settings)
	}
	return c, nil
}

// upstreamsName is the name of the process with the upstreams of a zone.
func upstreamsName(zone string) string { return "upstreams-" + zone }

// add describes one process.
func (c *Cluster) add(logs, name string, argv ...string) {
	c.order = append(c.order, name)
	c.procs[name] = newProcess(logs, name, argv...)
}

// startAll starts every process and waits for each kind to be ready.
func (c *Cluster) startAll(ctx context.Context, o Options) error {
	for _, name := range c.order {
		if name == platformName && o.WithoutPlatform {
			continue
		}
		if c.Plan.Entry(name) != nil {
			continue
		}
		if err := c.procs[name].Start(); err != nil {
			return err
		}
	}
	for name, url := range c.standIns() {
		if name == platformName && o.WithoutPlatform {
			continue
		}
		if err := c.await(ctx, name, url); err != nil {
			return err
		}
	}
	if !o.WithoutPlatform {
		if err := c.SetInstances(ctx); err != nil {
			return err
		}
	}
	for _, e := range c.Plan.Entries {
		if err := c.procs[e.Name].Start(); err != nil {
			return err
		}
	}
	for _, e := range c.Plan.Entries {
		if err := c.Ready(ctx, e.Name); err != nil {
			return err
		}
	}
	return nil
}

// standIns returns the stand-ins with the URL that answers once they run.
func (c *Cluster) standIns() map[string]string {
	urls := map[string]string{
		platformName: "http://" + c.Plan.Platform + "/lab/stats",
		linksName:    "http://" + c.Plan.LinkAdmin + "/lab/links",
	}
	for zone, admin := range c.Plan.UpstreamAdmin {
		urls[upstreamsName(zone)] = "http://" + admin + "/lab/counts"
	}
	return urls
}

// Process returns the process of an entry or a stand-in. Unknown names are a
// mistake of the program.
func (c *Cluster) Process(name string) *Process {
	p := c.procs[name]
	if p == nil {
		panic("cluster: no process " + name)
	}
	return p
}

// StartPlatform starts the platform that Options.WithoutPlatform left out.
func (c *Cluster) StartPlatform(ctx context.Context) error {
	if err := c.procs[platformName].Start(); err != nil {
		return err
	}
	if err := c.await(ctx, platformName, c.standIns()[platformName]); err != nil {
		return err
	}
	return c.SetInstances(ctx)
}

// Ready waits until an entry takes requests.
func (c *Cluster) Ready(ctx context.Context, entry string) error {
	return c.await(ctx, entry, "http://"+c.Plan.Entry(entry).Callers+"/readyz")
}

// await polls a URL until it answers 200 or the process ends.
func (c *Cluster) await(ctx context.Context, name, url string) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	tick := time.NewTicker(readyInterval)
	defer tick.Stop()
	for {
		if c.answers(ctx, url) {
			return nil
		}
		if !c.procs[name].Running() {
			return Error.New("%s ended: %v; see %s", name, c.procs[name].Wait(ctx), c.procs[name].logs)
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return Error.New("%s is not ready: %w; see %s", name, ctx.Err(), c.procs[name].logs)
		}
	}
}

// answers reports whether a GET brings status 200.
func (c *Cluster) answers(ctx context.Context, url string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Stop asks the entries to stop, then the stand-ins. It returns the first
// unclean end.
func (c *Cluster) Stop() error {
	var entries, others []*Process
	for _, name := range c.order {
		if c.Plan.Entry(name) != nil {
			entries = append(entries, c.procs[name])
		} else {
			others = append(others, c.procs[name])
		}
	}
	return errs.Combine(endAll(entries, entryGrace), endAll(others, standInGrace))
}

// Kill ends everything at once.
func (c *Cluster) Kill() {
	for _, p := range c.procs {
		if p.Running() {
			_ = p.Kill()
		}
	}
}

// endAll stops processes side by side.
func endAll(procs []*Process, grace time.Duration) error {
	failed := make([]error, len(procs))
	var all sync.WaitGroup
	for i, p := range procs {
		all.Go(func() { failed[i] = p.end(grace) })
	}
	all.Wait()
	return errs.Combine(failed...)
}
