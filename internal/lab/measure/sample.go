package measure

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"sycamoreledge.example/internal/lab/cluster"
	"sycamoreledge.example/internal/lab/firm"
	"sycamoreledge.example/internal/lab/upstream"
)

const (
	// sampleInterval is the time between two looks at the upstreams.
	sampleInterval = 250 * time.Millisecond
	// windowSamples make one window of headroom.
	windowSamples = 4
	// drainWatch is how long a drained upstream is watched.
	drainWatch = 6 * time.Second
)

// Free is the free part of the slots of a region.
type Free struct {
	Region string  `json:"region"`
	Mean   float64 `json:"mean"`
	// Worst is the smallest mean of a second.
	Worst float64 `json:"worst"`
}

// headroom collects the free part of the slots of each region.
type headroom struct {
	plan    *firm.Plan
	samples map[string][]float64
}

// watch takes samples until ctx ends.
func (h *headroom) watch(ctx context.Context, c *cluster.Cluster) {
	h.samples = map[string][]float64{}
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		if counts, err := c.Counts(ctx); err == nil {
			h.add(counts)
		}
	}
}

// add takes one sample.
func (h *headroom) add(counts []upstream.Counts) {
	slots, busy := map[string]int{}, map[string]int{}
	for _, c := range counts {
		region := firm.RegionOf(&h.plan.Topology, c.Zone)
		slots[region] += c.Slots
		busy[region] += c.Busy
	}
	for region, n := range slots {
		h.samples[region] = append(h.samples[region], float64(n-busy[region])/float64(max(1, n)))
	}
}

// free summarises the samples in the declared order of the regions.
func (h *headroom) free() []Free {
	var all []Free
	for _, r := range h.plan.Topology.Regions {
		s := h.samples[r.Name]
		f := Free{Region: r.Name, Mean: mean(s), Worst: 1}
		for i := 0; i+windowSamples <= len(s); i++ {
			f.Worst = min(f.Worst, mean(s[i:i+windowSamples]))
		}
		all = append(all, f)
	}
	return all
}

// mean is 0 for no values.
func mean(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

// Attempts counts the dispatches to upstreams by their kind.
type Attempts struct {
	First int64 `json:"first"`
	Retry int64 `json:"retry"`
	Hedge int64 `json:"hedge"`
}

// Extra is the share of retries and hedges in all dispatches.
func (a Attempts) Extra() float64 {
	return float64(a.Retry+a.Hedge) / float64(max(1, a.First+a.Retry+a.Hedge))
}

// since returns what was counted after an earlier reading.
func (a Attempts) since(b Attempts) Attempts {
	return Attempts{a.First - b.First, a.Retry - b.Retry, a.Hedge - b.Hedge}
}

// attempts sums the counters of all entries that answer.
func attempts(ctx context.Context, p *firm.Plan) Attempts {
	var sum Attempts
	for _, e := range p.Entries {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.Callers+"/metrics", nil)
		if err != nil {
			continue
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			continue
		}
		sum.read(resp.Body)
		resp.Body.Close()
	}
	return sum
}

// read adds the counters in the Prometheus text format.
func (a *Attempts) read(r io.Reader) {
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		line := lines.Text()
		if !strings.HasPrefix(line, "attempts_total{") {
			continue
		}
		n, err := strconv.ParseFloat(line[strings.LastIndexByte(line, ' ')+1:], 64)
		if err != nil {
			continue
		}
		switch {
		case strings.Contains(line, `attempt="first"`):
			a.First += int64(n)
		case strings.Contains(line, `attempt="retry"`):
			a.Retry += int64(n)
		case strings.Contains(line, `attempt="hedge"`):
			a.Hedge += int64(n)
		}
	}
}

// usage sums what the entries used so far.
func usage(c *cluster.Cluster) cluster.Usage {
	var sum cluster.Usage
	for _, e := range c.Plan.Entries {
		if u, err := c.Process(e.Name).Usage(); err == nil {
			sum.Processor += u.Processor
			sum.Memory += u.Memory
		}
	}
	return sum
}
