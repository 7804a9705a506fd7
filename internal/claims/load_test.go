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

// Ordinary load: a fifth of the orders and uploads of a firm carry keys chosen by
// the caller. Three of the eight instances are in the platform's region.
const (
	claimRate                     = 70.0 // per second
	loadDuration                  = 10 * time.Second
	nearLatency                   = 4 * time.Millisecond
	farLatency                    = 74 * time.Millisecond
	nearInstances, totalInstances = 3, 8
	loadSeed                      = 5
)

// remotePlatform adds network latency to the calls to a platform.
type remotePlatform struct {
	platform.Client
	latency time.Duration
}

func (d remotePlatform) Get(ctx context.Context, key string) (platform.Object, error) {
	time.Sleep(d.latency / 2)
	defer time.Sleep(d.latency / 2)
	return d.Client.Get(ctx, key)
}

func (d remotePlatform) Put(ctx context.Context, key string, value []byte, version int64) (platform.Object, error) {
	time.Sleep(d.latency / 2)
	defer time.Sleep(d.latency / 2)
	return d.Client.Put(ctx, key, value, version)
}

// runClaimLoad claims keys at the ordinary load in fake time.
func runClaimLoad(t *testing.T, config claims.Config) (latencies []time.Duration, failed int, writes float64) {
	memory := platform.NewMemory()
	var claimers []*claims.Claimer
	for i := range totalInstances {
		d := remotePlatform{memory, farLatency}
		if i < nearInstances {
			d.latency = nearLatency
		}
		claimers = append(claimers, claims.New(d, identity(fmt.Sprint(i)), config))
	}
	random := rand.New(rand.NewPCG(loadSeed, 0))
	var mu sync.Mutex
	var calls sync.WaitGroup
	start := time.Now()
	for n := 0; time.Since(start) < loadDuration; n++ {
		time.Sleep(time.Duration(random.ExpFloat64() / claimRate * float64(time.Second)))
		c := claimers[random.IntN(totalInstances)]
		calls.Go(func() {
			begin := time.Now()
			claim, err := c.Claim(t.Context(), "orders", fmt.Sprint(n))
			mu.Lock()
			defer mu.Unlock()
			if err != nil || !claim.Won {
				failed++
				return
			}
			latencies = append(latencies, time.Since(begin))
		})
	}
	calls.Wait()
	slices.Sort(latencies)
	return latencies, failed, float64(memory.Counts().Writes) / float64(len(latencies)+failed)
}

func TestNoClaimFailsAtOrdinaryLoad(t *testing.T) {
	for _, batch := range []int{0, 1} {
		for _, shards := range []int{0, 16} {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				latencies, failed, writes := runClaimLoad(t, claims.Config{Shards: shards, MaxBatch: batch})
				n := len(latencies)
				t.Logf("seed %d, shards %d, batch %d: %d won, %d failed, p50 %s, p99 %s, %.2f writes for each",
					loadSeed, shards, batch, n, failed, latencies[n/2], latencies[n*99/100], writes)
				if shards == 0 {
					g.Expect(failed).To(gomega.BeZero())
				}
			})
		}
	}
}
