// Package routing holds the operator's configuration in the form that instances
// use: the routes of requests to services, and their limits.
package routing

import (
	"slices"
	"strings"
	"time"

	"sycamoreledge.example/internal/work"
)

// Table is one version of the configuration. It is immutable.
type Table struct {
	// Version is the operator's name of this version, used in logs.
	Version string
	// Revision orders versions. It is the revision of the platform's object.
	Revision     int64
	Limits       Limits
	Services     map[string]Service
	routesByHost map[string][]*Route
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout bounds the time to receive a request header, IdleTimeout the
	// time between two requests on a connection.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Service is a group of interchangeable upstreams.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the number of connections that one upstream accepts in total.
	MaxConnections int
	// ColdFor is how long an upstream is cold after its start. ColdRate is the
	// number of requests per second that it can serve while it is cold.
	ColdFor  time.Duration
	ColdRate float64
}

// Share is the weight of a service in the traffic split of a route.
type Share struct {
	Service string
	Weight  float64
}

// Route defines how requests with one host and path prefix are handled.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   work.Kind
	// Target is the target latency of a response. Timeout bounds one request of a
	// caller, including all attempts at upstreams.
	Target  time.Duration
	Timeout time.Duration
	// MaxAttempts bounds the number of attempts that may reach an upstream.
	MaxAttempts int
	// Priority ranks routes; 0 is the highest.
	Priority int
	// Sticky enables affinity of objects to upstreams, which respond faster for an
	// object that they served recently.
	Sticky bool
	// Regions are the regions in which requests may be served. Empty means all.
	Regions []string
	// Shares is the traffic split. At least one weight is above 0.
	Shares []Share
}

// Key identifies the route across versions of the configuration.
func (r *Route) Key() string { return r.Host + r.Prefix }

// AllowsRegion reports whether requests may be served in the region.
func (r *Route) AllowsRegion(region string) bool {
	return len(r.Regions) == 0 || slices.Contains(r.Regions, region)
}

// NewTable returns a table with services indexed by name and routes by host.
func NewTable(version string, limits Limits, services []Service, routes []Route) *Table {
	t := &Table{
		Version: version, Limits: limits,
		Services:     make(map[string]Service, len(services)),
		routesByHost: make(map[string][]*Route),
	}
	for _, s := range services {
		t.Services[s.Name] = s
	}
	for i := range routes {
		r := &routes[i]
		t.routesByHost[r.Host] = append(t.routesByHost[r.Host], r)
	}
	return t
}

// Match returns the host's route with the longest matching path prefix, or nil. The
// path is the one that the caller sent, not decoded; its query is ignored.
func (t *Table) Match(host, path string) *Route {
	if i := strings.IndexByte(path, '?'); i >= 0 {
		path = path[:i]
	}
	var longest *Route
	for _, r := range t.routesByHost[canonicalHost(host)] {
		if strings.HasPrefix(path, r.Prefix) && (longest == nil || len(r.Prefix) > len(longest.Prefix)) {
			longest = r
		}
	}
	return longest
}

// canonicalHost returns the host name in lower case, without a port or a trailing
// dot.
func canonicalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.Contains(host[i:], "]") {
		host = host[:i]
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}
