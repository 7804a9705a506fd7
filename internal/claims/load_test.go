package claims_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/claims"
	"sycamoreledge.example/internal/platform"
)

// The load of an ordinary day: a fifth of the orders and uploads of a firm
// bring keys of their own, in eight instances of which three stand in the
// platform's region.
const (
	claimRate   = 70.0 // per second
	claimFor    = 10 * time.Second
	nearLatency = 4 * time.Millisecond
	farLatency  = 74 * time.Millisecond
	near, all   = 3, 8
	loadSeed    = 5
)

// distant is a platform that is some way off.
type distant struct {
	platform.Client
	latency time.Duration
}

func (d distant) Get(ctx context.Context, key string) (platform.Object, error) {
	time.Sleep(d.latency / 2)
	defer time.Sleep(d.latency / 2)
	return d.Client.Get(ctx, key)
}

func (d distant) Put(ctx context.Context, key string, value []byte, version int64) (platform.Object, error) {
	time.Sleep(d.latency / 2)
	defer time.Sleep(d.latency / 2)
	return d.Client.Put(ctx, key, value, version)
}

// claimLoad claims keys at the load of an ordinary day in fake time.
func claimLoad(t *testing.T, config claims.Config) (took []time.Duration, failed int, writes float64) {
	memory := platform.NewMemory()
	var claimers []*claims.Claimer
	for i := range all {
		d := distant{memory, farLatency}
		if i < near {
			d.latency = nearLatency
		}
		claimers = append(claimers, claims.New(d, identity(fmt.Sprint(i)), config))
	}
	random := rand.New(rand.NewPCG(loadSeed, 0))
	var mu sync.Mutex
	var calls sync.WaitGroup
	start := time.Now()
	for n := 0; time.Since(start) < claimFor; n++ {
		time.Sleep(time.Duration(random.ExpFloat64() / claimRate * float64(time.Second)))
		c := claimers[random.IntN(all)]
		calls.Go(func() {
			begin := time.Now()
			claim, err := c.Claim(t.Context(), "orders", fmt.Sprint(n))
			mu.Lock()
			defer mu.Unlock()
			if err != nil || !claim.Won {
				failed++
				return
			}
			took = append(took, time.Since(begin))
		})
	}
	calls.Wait()
	slices.Sort(took)
	return took, failed, float64(memory.Counts().Writes) / float64(len(took)+failed)
}

func TestNoClaimFailsOnAnOrdinaryDay(t *testing.T) {
	for _, batch := range []int{0, 1} {
		for _, shards := range []int{0, 16} {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				took, failed, writes := claimLoad(t, claims.Config{Shards: shards, MaxBatch: batch})
				n := len(took)
				t.Logf("seed %d, shards %d, batch %d: %d won, %d failed, p50 %s, p99 %s, %.2f writes for each",
					loadSeed, shards, batch, n, failed, took[n/2], took[n*99/100], writes)
				if shards == 0 {
					g.Expect(failed).To(gomega.BeZero())
				}
			})
		}
	}
}
