package peer_test

import (
	"fmt"
	"net"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"sycamoreledge.example/internal/control"
	"sycamoreledge.example/internal/peer"
)

// ipUDPHeaderBytes is the size of the IPv4 and UDP headers of a packet.
const ipUDPHeaderBytes = 28

// countingSocket counts the packets sent and their bytes, headers included.
type countingSocket struct {
	net.PacketConn
	packets, bytes atomic.Int64
}

// WriteTo implements net.PacketConn.
func (s *countingSocket) WriteTo(p []byte, to net.Addr) (int, error) {
	s.packets.Add(1)
	s.bytes.Add(int64(len(p)) + ipUDPHeaderBytes)
	return s.PacketConn.WriteTo(p, to)
}

// BenchmarkConnectionCost reports the packets and bytes per second that one side of
// an open connection sends, idle and with heartbeats in both directions.
func BenchmarkConnectionCost(b *testing.B) {
	const heartbeatInterval, window = 300 * time.Millisecond, 3 * time.Second
	for name, interval := range map[string]time.Duration{"idle": 0, "heartbeats": heartbeatInterval} {
		b.Run(name, func(b *testing.B) {
			f := makeQUICFixture(b)
			socket := &countingSocket{PacketConn: f.sockets["a"].PacketConn}
			arrived := make(chan struct{}, 100)
			recordArrival := handler{control: func(control.Message) { arrived <- struct{}{} }}
			f.startWith(f.config("b", 1, recordArrival))
			config := f.config("a", 1, recordArrival)
			config.Socket = socket
			a := f.startWith(config)
			a.SendControl("b", heartbeat("a", 1))
			<-arrived
			for b.Loop() {
				packets, bytes := socket.packets.Load(), socket.bytes.Load()
				exchangeHeartbeats(f, interval, window, arrived)
				b.ReportMetric(float64(socket.packets.Load()-packets)/window.Seconds(), "packets/s")
				b.ReportMetric(float64(socket.bytes.Load()-bytes)/window.Seconds(), "B/s")
			}
		})
	}
}

// exchangeHeartbeats sends heartbeats in both directions at the interval, or none
// if it is 0, and returns after the window.
func exchangeHeartbeats(f *quicFixture, interval, window time.Duration, arrived <-chan struct{}) {
	deadline := time.NewTimer(window)
	var ticks <-chan time.Time
	if interval > 0 {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		ticks = ticker.C
	}
	for {
		select {
		case <-ticks:
			f.nodes["a"].SendControl("b", heartbeat("a", 1))
			f.nodes["b"].SendControl("a", heartbeat("b", 1))
		case <-arrived:
		case <-deadline.C:
			return
		}
	}
}

// BenchmarkConnectionMemory reports the heap size of one connection, for both sides
// together.
func BenchmarkConnectionMemory(b *testing.B) {
	const peers = 40
	f := makeQUICFixture(b)
	arrived := make(chan struct{}, peers)
	recordArrival := handler{control: func(control.Message) { arrived <- struct{}{} }}
	for i := range peers {
		name := fmt.Sprint("peer-", i)
		socket, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		f.addresses[name] = socket.LocalAddr().String()
		f.sockets[name] = &lossySocket{PacketConn: socket, fixture: f}
	}
	nodes := make([]*peer.Node, 0, peers)
	for i := range peers {
		config := f.config(fmt.Sprint("peer-", i), 1, recordArrival)
		config.Socket = f.sockets[config.Self].PacketConn
		nodes = append(nodes, f.startWith(config))
	}
	config := f.config("a", 1, recordArrival)
	config.Socket = f.sockets["a"].PacketConn
	a := f.startWith(config)
	for b.Loop() {
		before := heapBytes()
		for _, node := range nodes {
			name := nameOf(f, node)
			a.SendControl(name, heartbeat("a", 1))
		}
		for range nodes {
			<-arrived
		}
		b.ReportMetric(float64(heapBytes()-before)/peers/1024, "KiB/connection")
	}
}

func nameOf(f *quicFixture, node *peer.Node) string {
	for name, other := range f.nodes {
		if other == node {
			return name
		}
	}
	return ""
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
