package caller

import (
	"context"
	"sync"
	"time"
)

// directory answers which entries to use for a service. Like any client it
// keeps an answer until its max-age, also when that answer has become wrong.
type directory struct {
	client *Client
	ip     string
	known  []string
	mu     sync.Mutex
	byName map[string]*listing
}

// listing is a cached answer for one service.
type listing struct {
	mu      sync.Mutex
	entries []string
	expires time.Time
}

// newDirectory returns an empty directory that starts with the known entries.
func newDirectory(client *Client, ip string, known []string) *directory {
	return &directory{client: client, ip: ip, known: known, byName: map[string]*listing{}}
}

// entries returns the ranked entries for the service, never none.
func (d *directory) entries(ctx context.Context, service string) []string {
	l := d.listing(service)
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Now().Before(l.expires) {
		return l.entries
	}
	for _, address := range unique(l.entries, d.known) {
		list, age, err := d.client.Entries(ctx, address, service, d.ip)
		if err != nil || len(list) == 0 {
			continue
		}
		l.entries, l.expires = list, time.Now().Add(age)
		return list
	}
	return unique(l.entries, d.known)
}

// forget drops the answer for a service after none of its entries answered.
func (d *directory) forget(service string) {
	l := d.listing(service)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expires = time.Time{}
}

// listing returns the cached answer of a service.
func (d *directory) listing(service string) *listing {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.byName[service]
	if l == nil {
		l = &listing{}
		d.byName[service] = l
	}
	return l
}

// unique joins two lists without repetitions.
func unique(a, b []string) []string {
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
