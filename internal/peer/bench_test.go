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
	// The sockets are used without gates, so that quic-go knows their type.
	for _, name := range []string{"b", "a"} {
		config := f.config(name, 1, handler{serve: echo})
		config.Socket = f.gates[name].PacketConn
		f.startWith(config)
	}
	return f.nodes["a"]
}

func exchangeOnce(a peer.Transport, body []byte, sink []byte) error {
	resp := a.Do(context.Background(), "b", peer.RolePool, lookup(bytes.NewReader(body), int64(len(body))))
	if resp.Outcome != work.Run {
		return fmt.Errorf("outcome %v, reason %s", resp.Outcome, resp.Reason)
	}
	defer resp.Body.Close()
	if _, err := io.ReadFull(resp.Body, sink); err != nil {
		return err
	}
	if _, err := resp.Body.Read(make([]byte, 1)); err != io.EOF {
		return fmt.Errorf("body does not end: %w", err)
	}
	return nil
}

// BenchmarkEcho measures the latency of one request after the other.
func BenchmarkEcho(b *testing.B) {
	for _, size := range []int{300, 64 << 10} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			a := newBenchNode(b)
			body, sink := make([]byte, size), make([]byte, size)
			b.ReportAllocs()
			b.SetBytes(int64(size))
			for b.Loop() {
				if err := exchangeOnce(a, body, sink); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkThroughput measures many requests at once on one connection.
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
					if err := exchangeOnce(a, body, sink); err != nil {
						b.Error(err)
						return
					}
				}
			})
		})
	}
}
