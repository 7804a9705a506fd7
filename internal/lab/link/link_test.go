package link_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/lab/link"
)

const (
	oneWay = 20 * time.Millisecond
	// patience bounds the wait for an echo that must arrive.
	patience = 30 * time.Second
	// freePortTries bounds the search for a port that nobody takes meanwhile.
	freePortTries = 10
)

// echoTCP answers each byte with itself.
func echoTCP(t *testing.T) string {
	return serveTCP(t, func(conn net.Conn) {
		io.Copy(conn, conn) //nolint:errcheck // ends with the connection
	})
}

// serveTCP hands each connection to a function, and closes it behind that.
func serveTCP(t *testing.T, serve func(conn net.Conn)) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				serve(conn)
			}()
		}
	}()
	return ln.Addr().String()
}

// echoUDP answers each datagram with itself.
func echoUDP(t *testing.T) string {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	go func() {
		buf := make([]byte, 2048)
		for {
			n, from, err := conn.ReadFrom(buf)
			if err != nil {
				return
			}
			conn.WriteTo(buf[:n], from) //nolint:errcheck // a test waits for it
		}
	}()
	return conn.LocalAddr().String()
}

// freeAddress returns an address that was free a moment ago.
func freeAddress(t *testing.T, network string) string {
	if network == link.UDP {
		conn, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		return conn.LocalAddr().String()
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

func start(t *testing.T, network, target string, rate float64) (*link.Links, net.Conn) {
	var links *link.Links
	var f link.Forward
	var err error
	for range freePortTries {
		f = link.Forward{From: "a", To: "b", Network: network, Listen: freeAddress(t, network), Target: target}
		links, err = link.New(link.Config{
			Zones:    []link.Zone{{Name: "a", Region: "x"}, {Name: "b", Region: "y"}},
			Forwards: []link.Forward{f},
			Delay:    func(link.Zone, link.Zone) time.Duration { return oneWay },
			Rate:     func(string, string) float64 { return rate },
		})
		if err == nil {
			break
		}
	}
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = links.Close() })
	conn, err := net.Dial(network, f.Listen)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return links, conn
}

// roundTrip returns how long an echo took, or an error after the wait.
func roundTrip(conn net.Conn, wait time.Duration) (time.Duration, error) {
	began := time.Now()
	if _, err := conn.Write([]byte("x")); err != nil {
		return 0, err
	}
	conn.SetReadDeadline(time.Now().Add(wait)) //nolint:errcheck // an open socket takes it
	_, err := conn.Read(make([]byte, 8))
	return time.Since(began), err
}

func TestDelayIsAddedInBothDirections(t *testing.T) {
	for network, target := range map[string]string{link.TCP: echoTCP(t), link.UDP: echoUDP(t)} {
		t.Run(network, func(t *testing.T) {
			g := gomega.NewWithT(t)
			_, conn := start(t, network, target, 0)
			took, err := roundTrip(conn, patience)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(took).To(gomega.BeNumerically(">=", 2*oneWay))
		})
	}
}

func TestCutsHoldOneWay(t *testing.T) {
	for _, direction := range []link.Direction{link.CutBoth, link.CutForward, link.CutBackward} {
		t.Run(string(direction), func(t *testing.T) {
			g := gomega.NewWithT(t)
			links, conn := start(t, link.UDP, echoUDP(t), 0)
			g.Expect(links.Apply(link.Change{A: "a", B: "y", Cut: direction})).To(gomega.Succeed())
			_, err := roundTrip(conn, 5*oneWay)
			g.Expect(err).To(gomega.HaveOccurred())
			g.Expect(links.Apply(link.Change{A: "x", B: "b", Cut: link.CutNone})).To(gomega.Succeed())
			_, err = roundTrip(conn, patience)
			g.Expect(err).NotTo(gomega.HaveOccurred())
		})
	}
}

func TestDatagramsAreCutAlone(t *testing.T) {
	for _, network := range []string{link.TCP, link.UDP} {
		t.Run(network, func(t *testing.T) {
			g := gomega.NewWithT(t)
			target := echoTCP(t)
			if network == link.UDP {
				target = echoUDP(t)
			}
			links, conn := start(t, network, target, 0)
			g.Expect(links.Apply(link.Change{A: "a", B: "b", Cut: link.CutBoth, Network: link.UDP})).To(gomega.Succeed())
			wait := patience
			if network == link.UDP {
				wait = 10 * oneWay
			}
			_, err := roundTrip(conn, wait)
			g.Expect(err == nil).To(gomega.Equal(network == link.TCP))
			g.Expect(links.Apply(link.Change{A: "a", B: "b", Cut: link.CutNone})).To(gomega.Succeed())
			_, err = roundTrip(conn, patience)
			g.Expect(err).NotTo(gomega.HaveOccurred())
		})
	}
}

func TestConnectionsSurviveACut(t *testing.T) {
	g := gomega.NewWithT(t)
	links, conn := start(t, link.TCP, echoTCP(t), 0)
	g.Expect(links.Apply(link.Change{A: "a", B: "b", Cut: link.CutBoth})).To(gomega.Succeed())
	_, err := roundTrip(conn, 5*oneWay)
	g.Expect(err).To(gomega.HaveOccurred())
	g.Expect(links.Apply(link.Change{A: "a", B: "b", Cut: link.CutNone})).To(gomega.Succeed())
	conn.SetReadDeadline(time.Now().Add(patience)) //nolint:errcheck // an open socket takes it
	n, err := conn.Read(make([]byte, 8))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(n).To(gomega.Equal(1))
}

func TestRateBoundsThroughput(t *testing.T) {
	g := gomega.NewWithT(t)
	const rate = 1 << 20 // bytes per second
	const size = 256 << 10
	links, conn := start(t, link.TCP, echoTCP(t), rate)
	began := time.Now()
	go conn.Write(make([]byte, size)) //nolint:errcheck // the echo tells
	_, err := io.ReadFull(conn, make([]byte, size))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(time.Since(began)).To(gomega.BeNumerically(">=", time.Second*size/rate))
	for _, s := range links.Statuses() {
		g.Expect(s.Bytes).To(gomega.BeEquivalentTo(size), s.From)
	}
}

func TestAdminRefusesWhatItDoesNotKnow(t *testing.T) {
	links, _ := start(t, link.TCP, echoTCP(t), 0)
	for name, body := range map[string]any{
		"unknown zone":      link.Change{A: "a", B: "elsewhere", Cut: link.CutBoth},
		"unknown network":   link.Change{A: "a", B: "b", Cut: link.CutBoth, Network: "tcp"},
		"unknown direction": link.Change{A: "a", B: "b", Cut: "sideways"},
		"unknown field":     map[string]string{"link": "a"},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			data, err := json.Marshal(body)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			answer := httptest.NewRecorder()
			links.ServeHTTP(answer, httptest.NewRequest(http.MethodPost, "/lab/links", bytes.NewReader(data)))
			g.Expect(answer.Code).To(gomega.Equal(http.StatusBadRequest))
		})
	}
}
