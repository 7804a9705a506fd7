package peer_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"testing"

	"sycamoreledge.example/internal/peer"
	"sycamoreledge.example/internal/work"
)

func newBenchNode(b *testing.B) peer.Transport {
	b.Helper()
	f := makeQUICFixture(b)
	// The nodes use the bare sockets without lossySocket, so that quic-go
	// sees the concrete type of the sockets.
	for _, name := range []string{"b", "a"} {
		config := f.config(name, 1, handler{serve: echo})
		config.Socket = f.sockets[name].PacketConn
		f.startWith(config)
	}
	return f.nodes["a"]
}

func echoOnce(a peer.Transport, body []byte, buffer []byte) error {
	resp := a.Do(context.Background(), "b", peer.RolePool, lookupRequest(bytes.NewReader(body), int64(len(body))))
	if resp.Outcome != work.Run {
		return fmt.Errorf("outcome %v, reason %s", resp.Outcome, resp.Reason)
	}
	defer resp.Body.Close()
	if _, err := io.ReadFull(resp.Body, buffer); err != nil {
		return err
	}
	if _, err := resp.Body.Read(make([]byte, 1)); err != io.EOF {
		return fmt.Errorf("response body continues after the expected length: %w", err)
	}
	return nil
}

// BenchmarkEcho measures the latency of sequential requests.
func BenchmarkEcho(b *testing.B) {
	for _, size := range []int{300, 64 << 10} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			a := newBenchNode(b)
			body, sink := make([]byte, size), make([]byte, size)
			b.ReportAllocs()
			b.SetBytes(int64(size))
			for b.Loop() {
				if err := echoOnce(a, body, sink); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkThroughput measures concurrent requests on one connection.
func BenchmarkThroughput(b *testing.B) {
	for _, size := range []int{300, 64 << 10} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			a := newBenchNode(b)
			body := make([]byte, size)
			b.SetParallelism(16)
			b.SetBytes(int64(size))
			b.RunParallel(func(pb *testing.PB) {
				sink := make([]byte, size)
				for pb.Next() {
					if err := echoOnce(a, body, sink); err != nil {
						b.Error(err)
						return
					}
				}
			})
		})
	}
}
