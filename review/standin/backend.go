package main

import (
	"bufio"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// backend is a stand-in for a sound back end: slots, a short queue, work that takes a while, signed
// answers, and 421 for requests that are meant for another one.
type backend struct {
	id      string
	service string
	zone    string
	address string
	work    time.Duration
	slots   chan struct{}
	queue   int
	mu      sync.Mutex
	waiting int
	ledger  *ledger
	// spoil, unless nil, may write something else in place of an answer. It reports whether the
	// answer is replaced and the channel is to be closed.
	spoil func(conn net.Conn, b *backend, r *http.Request, id string) bool
	// closeAfter makes each so many answers bear Connection: close; 0 means none.
	closeAfter int
	answers    int
	born       int64
	listener   net.Listener
	conns      map[net.Conn]bool
	ended      bool
}

const keepAliveSeconds = 10

func newBackend(ip, id, service, zone string, slots, queue int, work time.Duration, l *ledger) *backend {
	b := &backend{id: id, service: service, zone: zone, work: work, slots: make(chan struct{}, slots), queue: queue, ledger: l, born: time.Now().UnixMilli(), conns: map[net.Conn]bool{}}
	ln := listen(ip)
	b.listener, b.address = ln, ln.Addr().String()
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go b.serve(conn)
		}
	}()
	return b
}

// entry is what the back end says of itself in the store.
func (b *backend) entry(state string) map[string]any {
	return map[string]any{
		"address": b.address, "born": b.born,
		"info":   map[string]any{"service": b.service, "configVersion": "v1", "zone": b.zone, "slots": cap(b.slots)},
		"status": map[string]any{"state": state, "sequence": 1, "coldLeftMs": 0},
	}
}

// exit ends the back end, with its listener and its channels.
func (b *backend) exit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = true
	_ = b.listener.Close()
	for conn := range b.conns {
		_ = conn.Close()
	}
}

func (b *backend) serve(conn net.Conn) {
	b.mu.Lock()
	b.conns[conn] = true
	ended := b.ended
	b.mu.Unlock()
	defer func() {
		_ = conn.Close()
		b.mu.Lock()
		delete(b.conns, conn)
		b.mu.Unlock()
	}()
	if ended {
		return
	}
	reader := bufio.NewReader(conn)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(keepAliveSeconds * time.Second))
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_ = conn.SetReadDeadline(time.Time{})
		if !b.answer(conn, r) {
			return
		}
	}
}

// answer handles one request. It reports whether the channel is kept.
func (b *backend) answer(conn net.Conn, r *http.Request) bool {
	id := r.Header.Get("Request-Id")
	sum := sha256.New()
	size, err := io.Copy(sum, r.Body)
	if err != nil {
		return false
	}
	head := "Request-Id: " + id + "\r\n"
	if b.healthOnly(conn, r) {
		return true
	}
	b.ledger.arrive(id, b)
	if r.Header.Get("Target-Instance") != b.id {
		return write(conn, "HTTP/1.1 421 Misdirected Request\r\n"+head+"Instance-Id: "+b.id+"\r\nContent-Length: 0\r\n\r\n")
	}
	if id == "" {
		return write(conn, "HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	}
	left, err := strconv.Atoi(r.Header.Get("Request-Deadline"))
	if err != nil {
		left = 30_000
	}
	deadline := time.NewTimer(time.Duration(left) * time.Millisecond)
	defer deadline.Stop()
	b.mu.Lock()
	full := b.waiting >= b.queue && len(b.slots) == cap(b.slots)
	if !full {
		b.waiting++
	}
	b.mu.Unlock()
	shed := "HTTP/1.1 503 Service Unavailable\r\n" + head + "Not-Executed: 1\r\n" + b.load() + "Content-Length: 0\r\n\r\n"
	if full {
		return write(conn, shed)
	}
	inTime := true
	select {
	case b.slots <- struct{}{}:
	case <-deadline.C:
		inTime = false
	}
	b.mu.Lock()
	b.waiting--
	b.mu.Unlock()
	if !inTime {
		return write(conn, shed)
	}
	defer func() { <-b.slots }()
	b.ledger.run(id, b, r.Method, r.RequestURI, size, fmt.Sprintf("%x", sum.Sum(nil)))
	select {
	case <-time.After(b.work):
	case <-deadline.C:
		return write(conn, "HTTP/1.1 504 Gateway Timeout\r\n"+head+"Response-Signature: "+signature(id, "")+"\r\nContent-Length: 0\r\n\r\n")
	}
	b.mu.Lock()
	spoil := b.spoil
	b.mu.Unlock()
	if spoil != nil && spoil(conn, b, r, id) {
		return false
	}
	body := answerBody(id)
	b.mu.Lock()
	b.answers++
	ends := b.closeAfter > 0 && b.answers%b.closeAfter == 0
	b.mu.Unlock()
	if ends {
		head += "Connection: close\r\n"
	}
	return write(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\n%sResponse-Signature: %s\r\n%sKeep-Alive: timeout=%d\r\nContent-Length: %d\r\n\r\n%s",
		head, signature(id, body), b.load(), keepAliveSeconds, len(body), body)) && !ends
}

func (b *backend) healthOnly(conn net.Conn, r *http.Request) bool {
	return r.Method == http.MethodGet && r.URL.Path == "/health" &&
		write(conn, "HTTP/1.1 200 OK\r\nInstance-Id: "+b.id+"\r\n"+b.load()+"Content-Length: 0\r\n\r\n")
}

func (b *backend) load() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return fmt.Sprintf("Server-Load: %d,%d,%d\r\n", len(b.slots), b.waiting, cap(b.slots))
}

func answerBody(id string) string { return "done " + id }

func signature(id, body string) string {
	return fmt.Sprintf("%x", sha256.Sum256([]byte(id+"/"+body)))[:16]
}

func write(conn net.Conn, text string) bool {
	_, err := io.WriteString(conn, text)
	return err == nil
}
