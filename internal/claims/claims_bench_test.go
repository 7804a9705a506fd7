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

// layout says how requests reach the instances.
type layout struct {
	name      string
	instances int
	// byShard sends the keys of a shard to one instance.
	byShard bool
}

// BenchmarkClaim measures what a claim of a new key costs with a platform that
// answers in 4 ms: platform writes and reads for each claim, and the time to
// settle one.
//
//	go test -run '^$' -bench Claim -benchtime 2000x ./internal/claims
func BenchmarkClaim(b *testing.B) {
	layouts := []layout{{"one", 1, false}, {"eight", 8, false}, {"eight-by-shard", 8, true}}
	for _, l := range layouts {
		for _, concurrency := range []int{8, 64, 256} {
			for _, maxBatch := range []int{0, 1} {
				name := fmt.Sprintf("instances=%s/concurrency=%d/maxbatch=%d", l.name, concurrency, maxBatch)
				b.Run(name, func(b *testing.B) { benchmarkClaim(b, l, concurrency, maxBatch) })
			}
		}
	}
}

func benchmarkClaim(b *testing.B, l layout, concurrency, maxBatch int) {
	const latency = 4 * time.Millisecond
	memory := platform.NewMemory()
	memory.SetFaults(platform.Faults{Latency: latency})
	var claimers []*claims.Claimer
	for i := range l.instances {
		config := claims.Config{MaxBatch: maxBatch, Timeout: time.Minute}
		claimers = append(claimers, claims.New(memory, identity(fmt.Sprint(i)), config))
	}
	var next, spent atomic.Int64
	var workers sync.WaitGroup
	b.ResetTimer()
	for w := range concurrency {
		workers.Go(func() {
			for n := next.Add(1); n <= int64(b.N); n = next.Add(1) {
				key := fmt.Sprint(n)
				claimer := claimers[w%l.instances]
				if l.byShard {
					claimer = claimers[claimer.Shard("orders", key)%l.instances]
				}
				start := time.Now()
				claim, err := claimer.Claim(b.Context(), "orders", key)
				if err != nil || !claim.Won {
					b.Errorf("key %d: %v, %v", n, claim, err)
				}
				spent.Add(int64(time.Since(start)))
			}
		})
	}
	workers.Wait()
	b.StopTimer()
	counts := memory.Counts()
	b.ReportMetric(float64(counts.Writes)/float64(b.N), "writes/claim")
	b.ReportMetric(float64(counts.Reads)/float64(b.N), "reads/claim")
	b.ReportMetric(float64(spent.Load())/float64(b.N)/1e6, "ms/claim")
}
