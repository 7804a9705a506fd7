package main

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"
)

// client is a stand-in for a caller: it asks the directory where to connect, keeps one channel open for
// many requests, and waits for each answer for its time budget.
type client struct {
	site *site
	name string
	zone zoneOf
	// start is how long the client waits before its first request, pause how long after each.
	start time.Duration
	pause time.Duration
	// steady makes all pauses the same; otherwise they vary around the mean.
	steady bool
	next   func(c *client) *request
	budget time.Duration
	// chunked sends bodies in chunks rather than with a length.
	chunked bool

	addresses []string
	expires   time.Time
	conn      net.Conn
	reader    *bufio.Reader
	address   string
	used      bool
	count     int
}

const channelTimeout = time.Second

// run sends requests until the context ends.
func (c *client) run(ctx context.Context) {
	defer c.close()
	select {
	case <-ctx.Done():
	case <-time.After(c.start):
	}
	for ctx.Err() == nil {
		if c.connect() {
			c.exchange()
		}
		pause := c.pause
		if !c.steady {
			pause = c.pause/2 + rand.N(c.pause)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// connect opens a channel if there is none. Channels to addresses that the directory no longer names
// are not used any more.
func (c *client) connect() bool {
	if time.Now().After(c.expires) {
		if found, ttl := c.site.resolve(c.zone); len(found) > 0 {
			c.addresses, c.expires = found, time.Now().Add(ttl)
		}
	}
	if c.conn != nil && !slices.Contains(c.addresses, c.address) {
		c.close()
	}
	if c.conn != nil {
		return true
	}
	if len(c.addresses) == 0 {
		return false
	}
	c.address = c.addresses[rand.IntN(len(c.addresses))]
	conn, err := dial(c.address)
	if err != nil {
		c.addresses = slices.DeleteFunc(slices.Clone(c.addresses), func(a string) bool { return a == c.address })
		if len(c.addresses) == 0 {
			c.expires = time.Time{}
		}
		return false
	}
	c.conn, c.reader, c.used = conn, bufio.NewReader(conn), false
	return true
}

// exchange sends one request and reads its answer.
func (c *client) exchange() {
	c.count++
	r := c.next(c)
	r.machine, r.keptChannel, r.deadline = c.site.machineAt(c.address), c.used, c.budget
	l := c.site.ledger
	l.add(r)
	deadline := time.Now().Add(c.budget)
	_ = c.conn.SetDeadline(deadline)
	sent := make(chan error, 1)
	go func(conn net.Conn) { sent <- c.send(conn, r) }(c.conn)
	status, signature, body, keep, err := c.read(r)
	if err != nil {
		c.close()
	}
	if sendErr := <-sent; sendErr == nil {
		l.sentAll(r)
	} else {
		keep = false
	}
	switch {
	case err == nil:
		l.finish(r, status, signature, body, endAnswered)
	case errors.Is(err, os.ErrDeadlineExceeded):
		l.finish(r, status, signature, body, "time budget reached")
	default:
		l.finish(r, status, signature, body, "channel ended: "+err.Error())
	}
	if err == nil && !keep {
		c.close()
	}
	c.used = true
}

func (c *client) send(conn net.Conn, r *request) error {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nCookie: Affinity-Key=%d\r\nRequest-Deadline: %d\r\n",
		r.method, r.path, hostname, r.id, c.count%20, c.budget.Milliseconds())
	if r.size == 0 {
		return writeAll(conn, head+"\r\n")
	}
	piece := pattern(r.id)
	if !c.chunked {
		if err := writeAll(conn, head+"Content-Length: "+strconv.FormatInt(r.size, 10)+"\r\n\r\n"); err != nil {
			return err
		}
	} else if err := writeAll(conn, head+"Transfer-Encoding: chunked\r\n\r\n"); err != nil {
		return err
	}
	for left := r.size; left > 0; {
		n := min(left, int64(len(piece)))
		text := string(piece[:n])
		if c.chunked {
			text = fmt.Sprintf("%x\r\n%s\r\n", n, text)
		}
		if err := writeAll(conn, text); err != nil {
			return err
		}
		left -= n
	}
	if c.chunked {
		return writeAll(conn, "0\r\n\r\n")
	}
	return nil
}

func writeAll(conn net.Conn, text string) error {
	_, err := io.WriteString(conn, text)
	return err
}

const pieceBytes = 64 << 10

// pattern is the piece of which the body of a request is made.
func pattern(id string) []byte {
	return []byte(strings.Repeat((id + "-----------------")[:16], pieceBytes/16))
}

// bodySum is the checksum of the body of a request.
func bodySum(id string, size int64) string {
	sum, piece := sha256.New(), pattern(id)
	for left := size; left > 0; {
		n := min(left, int64(len(piece)))
		sum.Write(piece[:n])
		left -= n
	}
	return fmt.Sprintf("%x", sum.Sum(nil))
}

func (c *client) read(r *request) (status int, signature, body string, keep bool, err error) {
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: r.method})
	if err != nil {
		return 0, "", "", false, err
	}
	text, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	return resp.StatusCode, resp.Header.Get("Response-Signature"), string(text), !resp.Close, err
}

// resolve asks up to three nodes of the directory, the nearest first.
func (s *site) resolve(z zoneOf) ([]string, time.Duration) {
	nodes := slices.Clone(s.machines)
	rank := func(m *machine) int {
		switch {
		case m.zone == z:
			return 0
		case m.zone.region == z.region:
			return 1
		}
		return 2
	}
	slices.SortStableFunc(nodes, func(a, b *machine) int { return rank(a) - rank(b) })
	for _, m := range nodes[:min(len(nodes), 3)] {
		httpClient := &http.Client{Timeout: channelTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
		resp, err := httpClient.Get(fmt.Sprintf("http://%s/-/resolve?name=%s&region=%s&zone=%s", m.directory, hostname, z.region, z.name))
		if err != nil {
			continue
		}
		var answer struct {
			Addrs []string `json:"addrs"`
			TTL   float64  `json:"ttlS"`
		}
		err = json.NewDecoder(resp.Body).Decode(&answer)
		_ = resp.Body.Close()
		if err == nil && len(answer.Addrs) > 0 {
			return answer.Addrs, time.Duration(min(answer.TTL, 5) * float64(time.Second))
		}
	}
	return nil, 0
}

func dial(address string) (net.Conn, error) { return net.DialTimeout("tcp", address, channelTimeout) }
