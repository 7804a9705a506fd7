package measure

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"sycamoreledge.example/internal/lab/firm"
	"sycamoreledge.example/internal/lab/upstream"
	"sycamoreledge.example/internal/work"
)

const (
	// overheadCalls are made one after the other on each way.
	overheadCalls = 150
	// overheadSize is the size of their answers in bytes.
	overheadSize = 2 << 10
)

// Overhead is the median time beside the work itself.
type Overhead struct {
	Direct time.Duration `json:"direct"`
	// Entry is through the entry that owns the pool, Forward through another
	// entry of the same zone.
	Entry   time.Duration `json:"entry"`
	Forward time.Duration `json:"forward"`
}

// overhead makes calls directly and through the entries of a zone with two.
func (s *system) overhead(ctx context.Context) (*Overhead, error) {
	p := s.trial.Plan
	service, pool := lookupPool(p)
	direct, err := median(ctx, "http://"+pool.Upstreams[0].Address+"/items/")
	if err != nil {
		return nil, err
	}
	var through []time.Duration
	for _, e := range p.Entries {
		if e.Zone != pool.Zone {
			continue
		}
		d, err := median(ctx, "http://"+e.Callers+"/v1/services/"+service+"/items/")
		if err != nil {
			return nil, err
		}
		through = append(through, d)
	}
	sorted(through)
	return &Overhead{Direct: direct, Entry: through[0], Forward: through[len(through)-1]}, nil
}

// pool is a service's upstreams in one zone.
type pool struct {
	Zone      string
	Upstreams []upstreamAddress
}

// upstreamAddress is where an upstream listens.
type upstreamAddress struct{ Address string }

// lookupPool returns the first pool of the lookups.
func lookupPool(p *firm.Plan) (string, pool) {
	for _, s := range p.Topology.Services {
		if s.Kind != work.Lookup {
			continue
		}
		first := pool{Zone: s.Pools[0].Zone}
		for _, u := range s.Pools[0].Upstreams {
			first.Upstreams = append(first.Upstreams, upstreamAddress{u.Address})
		}
		return s.Name, first
	}
	panic("measure: the firm has no lookups")
}

// median returns that of the times beside the work.
func median(ctx context.Context, prefix string) (time.Duration, error) {
	var all []time.Duration
	for i := range overheadCalls {
		d, err := beside(ctx, fmt.Sprintf("%soverhead-%d?size=%d", prefix, i, overheadSize))
		if err != nil {
			return 0, err
		}
		all = append(all, d)
	}
	return quantile(sorted(all), 0.5), nil
}

// beside makes one call and returns its time without that of the work.
func beside(ctx context.Context, url string) (time.Duration, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, Error.Wrap(err)
	}
	begin := time.Now()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, Error.Wrap(err)
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, Error.Wrap(err)
	}
	elapsed := time.Since(begin)
	worked, err := strconv.ParseInt(resp.Header.Get(upstream.HeaderWorkTime), 10, 64)
	if err != nil {
		return 0, Error.New("%s: status %d without the time of the work", url, resp.StatusCode)
	}
	return elapsed - time.Duration(worked)*time.Microsecond, nil
}
