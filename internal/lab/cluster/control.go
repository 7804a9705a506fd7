package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"sycamoreledge.example/internal/lab/firm"
	"sycamoreledge.example/internal/lab/link"
	"sycamoreledge.example/internal/lab/upstream"
	"sycamoreledge.example/internal/platform"
)

// maxErrorBytes is how much of an error answer is quoted.
const maxErrorBytes = 300

// call exchanges JSON with a control interface; in and out may be nil.
func (c *Cluster) call(ctx context.Context, method, url string, in, out any) error {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return Error.Wrap(err)
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return Error.Wrap(err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Error.Wrap(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
		return Error.New("%s %s: status %d: %s", method, url, resp.StatusCode, text)
	}
	if out == nil {
		return nil
	}
	return Error.Wrap(json.NewDecoder(resp.Body).Decode(out))
}

// SetUpstream replaces the faults of an upstream.
func (c *Cluster) SetUpstream(ctx context.Context, name string, f upstream.Fault) error {
	return c.call(ctx, http.MethodPost, c.upstreamURL(name), f, nil)
}

// RestartUpstream closes the connections of an upstream and makes it cold.
func (c *Cluster) RestartUpstream(ctx context.Context, name string) error {
	return c.call(ctx, http.MethodPost, c.upstreamURL(name)+"/restart", nil, nil)
}

// upstreamURL is the control address of one upstream.
func (c *Cluster) upstreamURL(name string) string {
	for _, service := range c.Plan.Topology.Services {
		for _, pool := range service.Pools {
			for _, u := range pool.Upstreams {
				if u.Name == name {
					return "http://" + c.Plan.UpstreamAdmin[pool.Zone] + "/lab/upstreams/" + name
				}
			}
		}
	}
	panic("cluster: no upstream " + name)
}

// Counts returns the totals of all upstreams.
func (c *Cluster) Counts(ctx context.Context) ([]upstream.Counts, error) {
	var all []upstream.Counts
	for _, zone := range firm.Zones(&c.Plan.Topology) {
		var counts []upstream.Counts
		if err := c.call(ctx, http.MethodGet, "http://"+c.Plan.UpstreamAdmin[zone]+"/lab/counts", nil, &counts); err != nil {
			return nil, err
		}
		all = append(all, counts...)
	}
	return all, nil
}

// Ledger returns what all upstreams did.
func (c *Cluster) Ledger(ctx context.Context) (upstream.Ledger, error) {
	var all upstream.Ledger
	for _, zone := range firm.Zones(&c.Plan.Topology) {
		var l upstream.Ledger
		if err := c.call(ctx, http.MethodGet, "http://"+c.Plan.UpstreamAdmin[zone]+"/lab/ledger", nil, &l); err != nil {
			return all, err
		}
		all.Upstreams = append(all.Upstreams, l.Upstreams...)
		all.Records = append(all.Records, l.Records...)
	}
	return all, nil
}

// SetInstances replaces the platform's list: all entries and upstreams are
// live but for those that leave.
func (c *Cluster) SetInstances(ctx context.Context, leaving ...string) error {
	left := map[string]bool{}
	for _, name := range leaving {
		left[name] = true
	}
	var list []platform.Instance
	add := func(name string) {
		state := platform.InstanceLive
		if left[name] {
			state = platform.InstanceLeaving
		}
		list = append(list, platform.Instance{Name: name, State: state})
	}
	for _, e := range c.Plan.Entries {
		add(e.Name)
	}
	for _, service := range c.Plan.Topology.Services {
		for _, pool := range service.Pools {
			for _, u := range pool.Upstreams {
				add(u.Name)
			}
		}
	}
	return c.call(ctx, http.MethodPut, "http://"+c.Plan.Platform+"/lab/instances", list, nil)
}

// Cut changes the cuts of links.
func (c *Cluster) Cut(ctx context.Context, change link.Change) error {
	return c.call(ctx, http.MethodPost, "http://"+c.Plan.LinkAdmin+"/lab/links", change, nil)
}

// Links returns what passed between the zones.
func (c *Cluster) Links(ctx context.Context) ([]link.Status, error) {
	var all []link.Status
	return all, c.call(ctx, http.MethodGet, "http://"+c.Plan.LinkAdmin+"/lab/links", nil, &all)
}

// Knobs are the faults of the platform to change, by their names in JSON.
type Knobs map[string]any

// SetPlatform changes faults of the platform; the others keep their values.
func (c *Cluster) SetPlatform(ctx context.Context, k Knobs) error {
	return c.call(ctx, http.MethodPost, "http://"+c.Plan.Platform+"/lab/faults", k, nil)
}
