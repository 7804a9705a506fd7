package baseline

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"sycamoreledge.example/internal/lab/firm"
	"sycamoreledge.example/internal/upstream"
)

// reportInterval is the time between two looks at the reports of an upstream.
const reportInterval = time.Second

// reportTimeout bounds one look.
const reportTimeout = 500 * time.Millisecond

// member is one upstream as its last reports show it.
type member struct {
	target upstream.Target
	live   bool
	full   bool
}

// pool is the list of the upstreams of one service. It is safe for concurrent
// use.
type pool struct {
	mu      sync.Mutex
	members []*member
	next    int
}

// choose returns the next upstream in turn that is live and, where the reports
// are trusted, not reported full. When all live ones are reported full it returns
// the next live one.
func (p *pool) choose(trust bool) (upstream.Target, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var fallback *member
	for range p.members {
		m := p.members[p.next%len(p.members)]
		p.next++
		if !m.live {
			continue
		}
		if !m.full || !trust {
			return m.target, true
		}
		if fallback == nil {
			fallback = m
		}
	}
	if fallback == nil {
		return upstream.Target{}, false
	}
	return fallback.target, true
}

// live returns the number of live upstreams.
func (p *pool) live() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, m := range p.members {
		if m.live {
			n++
		}
	}
	return n
}

// report takes over what an upstream says of itself.
func (p *pool) report(m *member, live, full bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m.live, m.full = live, full
}

// watch looks at the reports of one upstream until ctx ends.
func (p *pool) watch(ctx context.Context, client *http.Client, m *member) {
	tick := time.NewTicker(reportInterval)
	defer tick.Stop()
	for {
		p.look(ctx, client, m)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// look reads the reports once. Who does not answer is not live.
func (p *pool) look(ctx context.Context, client *http.Client, m *member) {
	var health struct {
		State upstream.Health `json:"state"`
	}
	var load struct {
		Busy  int `json:"busy"`
		Slots int `json:"slots"`
	}
	err := read(ctx, client, m.target.Address, "/healthz", &health)
	if err == nil {
		err = read(ctx, client, m.target.Address, "/load", &load)
	}
	live := err == nil && health.State != upstream.Leaving
	p.report(m, live, load.Busy >= load.Slots)
}

// maxReportBytes bounds a report: it has some 50.
const maxReportBytes = 4 << 10

// read fetches a report.
func read(ctx context.Context, client *http.Client, address, path string, v any) error {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return Error.Wrap(err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return Error.Wrap(err)
	}
	defer resp.Body.Close()
	return Error.Wrap(json.NewDecoder(io.LimitReader(resp.Body, maxReportBytes)).Decode(v))
}

// pools returns the upstreams of each service in the region of an entry, or
// those of all others, with the addresses that its zone reaches them at.
func pools(p *firm.Plan, zone string, near bool) map[string]*pool {
	through := map[string]string{}
	for _, f := range p.Forwards {
		if f.From == zone {
			through[f.Target] = f.Listen
		}
	}
	region := firm.RegionOf(&p.Topology, zone)
	all := map[string]*pool{}
	for _, s := range p.Topology.Services {
		list := &pool{}
		for _, declared := range s.Pools {
			if (firm.RegionOf(&p.Topology, declared.Zone) == region) != near {
				continue
			}
			for _, u := range declared.Upstreams {
				address := u.Address
				if forward := through[address]; forward != "" {
					address = forward
				}
				target := upstream.Target{Name: u.Name, Address: address, Slots: connections}
				list.members = append(list.members, &member{target: target, live: true})
			}
		}
		all[s.Name] = list
	}
	return all
}
