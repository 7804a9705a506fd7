package claims_test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"sycamoreledge.example/internal/claims"
	"sycamoreledge.example/internal/platform"
)

// routing describes how claims are distributed over instances.
type routing struct {
	name      string
	instances int
	// ownerPerShard sends all keys of a shard to the same instance.
	ownerPerShard bool
}

// BenchmarkClaim measures claims of new keys on a platform with a latency of 4 ms:
// the platform writes and reads per claim, and the time per claim.
//
//	go test -run '^$' -bench Claim -benchtime 2000x ./internal/claims
func BenchmarkClaim(b *testing.B) {
	routings := []routing{{"one", 1, false}, {"eight", 8, false}, {"eight-by-shard", 8, true}}
	for _, r := range routings {
		for _, concurrency := range []int{8, 64, 256} {
			for _, maxBatch := range []int{0, 1} {
				name := fmt.Sprintf("instances=%s/concurrency=%d/maxbatch=%d", r.name, concurrency, maxBatch)
				b.Run(name, func(b *testing.B) { benchmarkClaim(b, r, concurrency, maxBatch) })
			}
		}
	}
}

func benchmarkClaim(b *testing.B, r routing, concurrency, maxBatch int) {
	const latency = 4 * time.Millisecond
	memory := platform.NewMemory()
	memory.SetFaults(platform.Faults{Latency: latency})
	var claimers []*claims.Claimer
	for i := range r.instances {
		config := claims.Config{MaxBatch: maxBatch, Timeout: time.Minute}
		claimers = append(claimers, claims.New(memory, identity(fmt.Sprint(i)), config))
	}
	var next, totalLatency atomic.Int64
	var workers sync.WaitGroup
	b.ResetTimer()
	for w := range concurrency {
		workers.Go(func() {
			for n := next.Add(1); n <= int64(b.N); n = next.Add(1) {
				key := fmt.Sprint(n)
				claimer := claimers[w%r.instances]
				if r.ownerPerShard {
					claimer = claimers[claimer.Shard("orders", key)%r.instances]
				}
				start := time.Now()
				claim, err := claimer.Claim(b.Context(), "orders", key)
				if err != nil || !claim.Won {
					b.Errorf("key %d: %v, %v", n, claim, err)
				}
				totalLatency.Add(int64(time.Since(start)))
			}
		})
	}
	workers.Wait()
	b.StopTimer()
	counts := memory.Counts()
	b.ReportMetric(float64(counts.Writes)/float64(b.N), "writes/claim")
	b.ReportMetric(float64(counts.Reads)/float64(b.N), "reads/claim")
	b.ReportMetric(float64(totalLatency.Load())/float64(b.N)/1e6, "ms/claim")
}
