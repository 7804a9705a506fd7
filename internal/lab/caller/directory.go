package caller

import (
	"context"
	"sync"
	"time"
)

// entryCache caches the ranked entries of each service. Like any HTTP client it
// keeps a response until its max-age, even if it has become outdated.
type entryCache struct {
	client     *Client
	ip         string
	configured []string
	mu         sync.Mutex
	byName     map[string]*cachedEntries
}

// cachedEntries is the cached response for one service.
type cachedEntries struct {
	mu      sync.Mutex
	entries []string
	expires time.Time
}

// newEntryCache returns an empty cache that queries the configured entries first.
func newEntryCache(client *Client, ip string, known []string) *entryCache {
	return &entryCache{client: client, ip: ip, configured: known, byName: map[string]*cachedEntries{}}
}

// entries returns the ranked entries for the service. If none can be queried, it
// returns the last known and the configured ones.
func (d *entryCache) entries(ctx context.Context, service string) []string {
	l := d.cached(service)
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Now().Before(l.expires) {
		return l.entries
	}
	for _, address := range union(l.entries, d.configured) {
		list, age, err := d.client.Entries(ctx, address, service, d.ip)
		if err != nil || len(list) == 0 {
			continue
		}
		l.entries, l.expires = list, time.Now().Add(age)
		return list
	}
	return union(l.entries, d.configured)
}

// invalidate expires the cached response for a service, after none of its entries
// accepted a connection.
func (d *entryCache) invalidate(service string) {
	l := d.cached(service)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expires = time.Time{}
}

// cached returns the cache slot of a service.
func (d *entryCache) cached(service string) *cachedEntries {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.byName[service]
	if l == nil {
		l = &cachedEntries{}
		d.byName[service] = l
	}
	return l
}

// union concatenates two lists without duplicates.
func union(a, b []string) []string {
	seen := map[string]bool{}
	var out []string
	for _, list := range [][]string{a, b} {
		for _, s := range list {
			if !seen[s] {
				seen[s] = true
				out = append(out, s)
			}
		}
	}
	return out
}
