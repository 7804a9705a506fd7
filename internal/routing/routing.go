// Package routing is the operator's configuration as instances use it: which
// requests go to which service, and under which limits.
package routing

import (
	"slices"
	"strings"
	"time"

	"sycamoreledge.example/internal/work"
)

// Table is one version of the configuration. It is immutable.
type Table struct {
	// Version is the operator's name of this version, for logs.
	Version string
	// Revision orders versions: that of the platform's object.
	Revision int64
	Limits   Limits
	Services map[string]Service
	hosts    map[string][]*Route
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout bounds the time to send a header, IdleTimeout the time
	// between two requests of a connection.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Service is a group of interchangeable upstreams.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is how many connections one upstream takes from all callers.
	MaxConnections int
	// ColdFor is how long an upstream is cold after its start, and ColdRate how
	// many requests a second it bears meanwhile.
	ColdFor  time.Duration
	ColdRate float64
}

// Share is a part of the requests of a route.
type Share struct {
	Service string
	Weight  float64
}

// Route says how requests with one host and path prefix are handled.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   work.Kind
	// Target is the time within which callers want an answer; Timeout ends the
	// wait of one attempt of a caller.
	Target  time.Duration
	Timeout time.Duration
	// MaxAttempts bounds the upstreams to which one request may be sent.
	MaxAttempts int
	// Priority ranks routes; 0 comes first.
	Priority int
	// Sticky says that an upstream that handled an object lately is faster.
	Sticky bool
	// Regions are those in which requests may be served; all when empty.
	Regions []string
	// Shares has at least one entry with a weight above 0.
	Shares []Share
}

// Key identifies the route across versions of the configuration.
func (r *Route) Key() string { return r.Host + r.Prefix }

// Permits reports whether requests may be served in the region.
func (r *Route) Permits(region string) bool {
	return len(r.Regions) == 0 || slices.Contains(r.Regions, region)
}

// NewTable indexes routes by host.
func NewTable(version string, limits Limits, services []Service, routes []Route) *Table {
	t := &Table{
		Version: version, Limits: limits,
		Services: make(map[string]Service, len(services)),
		hosts:    make(map[string][]*Route),
	}
	for _, s := range services {
		t.Services[s.Name] = s
	}
	for i := range routes {
		r := &routes[i]
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
	}
	return t
}

// Match returns the route with the longest prefix of the path among those of
// the host, or nil. The path is the one that the caller sent, not decoded.
func (t *Table) Match(host, path string) *Route {
	if i := strings.IndexByte(path, '?'); i >= 0 {
		path = path[:i]
	}
	var best *Route
	for _, r := range t.hosts[canonicalHost(host)] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// canonicalHost lowers the name and drops the port.
func canonicalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.Contains(host[i:], "]") {
		host = host[:i]
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}
