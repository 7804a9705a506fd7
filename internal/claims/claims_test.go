package claims_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"github.com/zeebo/errs"

	"sycamoreledge.example/internal/claims"
	"sycamoreledge.example/internal/control"
	"sycamoreledge.example/internal/platform"
)

func identity(name string) control.Identity { return control.Identity{Instance: name, Incarnation: 1} }

func TestFirstClaimWins(t *testing.T) {
	g := gomega.NewWithT(t)
	memory := platform.NewMemory()
	a := claims.New(memory, identity("a"), claims.Config{})
	b := claims.New(memory, identity("b"), claims.Config{})
	first, err := a.Claim(t.Context(), "orders", "k")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(first.Won).To(gomega.BeTrue())
	for _, c := range []*claims.Claimer{a, b} {
		later, err := c.Claim(t.Context(), "orders", "k")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(later).To(gomega.Equal(claims.Claim{Holder: identity("a"), Expires: first.Expires}))
	}
	other, err := b.Claim(t.Context(), "order", "sk")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(other.Won).To(gomega.BeTrue(), "the boundary between service and key must matter")
}

func TestClaimsUnderFaults(t *testing.T) {
	cases := []struct {
		name   string
		faults platform.Faults
		class  *errs.Class
		// held is set when the claim is stored on the platform, even if Claim failed.
		held bool
	}{
		{"one response lost", platform.Faults{LoseAnswers: 1}, nil, true},
		{"one call lost", platform.Faults{LoseCalls: 1}, nil, true},
		{"throttled", platform.Faults{Throttle: 3}, nil, true},
		{"stale reads", platform.Faults{Stale: true}, nil, true},
		{"slow", platform.Faults{Latency: 400 * time.Millisecond}, nil, true},
		{"down", platform.Faults{Down: true}, &claims.Unreachable, false},
		{"slower than the timeout", platform.Faults{Latency: time.Hour}, &claims.Unreachable, false},
		{"throttled beyond the timeout", platform.Faults{Throttle: 1e6}, &claims.Unreachable, false},
		{"all responses lost and reads stale", platform.Faults{LoseAnswers: 1e6, Stale: true}, &claims.Unreachable, true},
		{"all calls lost", platform.Faults{LoseCalls: 1e6}, &claims.Unreachable, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				memory := platform.NewMemory()
				a := claims.New(memory, identity("a"), claims.Config{})
				b := claims.New(memory, identity("b"), claims.Config{})
				memory.SetFaults(c.faults)
				got, err := a.Claim(t.Context(), "orders", "k")
				if c.class != nil {
					g.Expect(c.class.Has(err)).To(gomega.BeTrue(), "%v", err)
					g.Expect(got.Won).To(gomega.BeFalse())
				} else {
					g.Expect(err).NotTo(gomega.HaveOccurred())
					g.Expect(got.Won).To(gomega.BeTrue())
				}
				memory.SetFaults(platform.Faults{})
				time.Sleep(time.Second) // fake time: until unreachableBackoff has passed
				other, err := b.Claim(t.Context(), "orders", "k")
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(other.Won).To(gomega.Equal(!c.held))
				again, err := a.Claim(t.Context(), "orders", "k")
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(again.Won).To(gomega.Equal(c.held && c.class != nil), "a claim that failed but was stored is won by the next call")
				last, err := a.Claim(t.Context(), "orders", "k")
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(last.Won).To(gomega.BeFalse())
			})
		})
	}
}

// TestExactlyOneClaimWins has claimers race for the same keys while the platform
// loses calls and responses and calls time out. Each call is retried until it
// succeeds.
func TestExactlyOneClaimWins(t *testing.T) {
	for seed := range uint64(50) {
		synctest.Test(t, func(t *testing.T) { raceClaims(t, seed) })
	}
}

const (
	claimerCount = 4
	keyCount     = 12
)

func raceClaims(t *testing.T, seed uint64) {
	g := gomega.NewWithT(t)
	memory := platform.NewMemory()
	random := rand.New(rand.NewPCG(seed, 0))
	var mu sync.Mutex
	wins := make(map[string]int)
	holders := make(map[string]map[control.Identity]bool)
	stop := make(chan struct{})
	go injectFaults(memory, rand.New(rand.NewPCG(seed, 1)), stop)
	var racing sync.WaitGroup
	for i := range claimerCount {
		claimer := claims.New(memory, identity(fmt.Sprint(i)), claims.Config{Shards: 2, Timeout: 300 * time.Millisecond})
		for k := range keyCount {
			key := fmt.Sprint(k)
			timeout := time.Duration(1+random.IntN(60)) * time.Millisecond
			racing.Go(func() {
				claim := claimUntilSuccess(t.Context(), claimer, key, timeout)
				mu.Lock()
				defer mu.Unlock()
				if claim.Won {
					wins[key]++
				}
				if holders[key] == nil {
					holders[key] = make(map[control.Identity]bool)
				}
				holders[key][claim.Holder] = true
			})
		}
	}
	racing.Wait()
	close(stop)
	for k := range keyCount {
		key := fmt.Sprint(k)
		g.Expect(wins[key]).To(gomega.Equal(1), "seed %d, key %s", seed, key)
		g.Expect(holders[key]).To(gomega.HaveLen(1), "seed %d, key %s", seed, key)
	}
}

// claimUntilSuccess retries a claim with a growing timeout until it succeeds.
func claimUntilSuccess(ctx context.Context, c *claims.Claimer, key string, timeout time.Duration) claims.Claim {
	for {
		call, cancel := context.WithTimeout(ctx, timeout)
		claim, err := c.Claim(call, "orders", key)
		cancel()
		if err == nil {
			return claim
		}
		timeout += 10 * time.Millisecond
		_ = platform.Pause(ctx, timeout)
	}
}

// injectFaults sets random platform faults at random intervals until stop is closed.
func injectFaults(memory *platform.Memory, random *rand.Rand, stop chan struct{}) {
	for {
		memory.SetFaults(platform.Faults{
			LoseAnswers: random.IntN(4),
			LoseCalls:   random.IntN(3),
			Throttle:    random.IntN(3),
			Stale:       random.IntN(6) == 0,
			Down:        random.IntN(8) == 0,
			Latency:     time.Duration(random.IntN(20)) * time.Millisecond,
		})
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(1+random.IntN(80)) * time.Millisecond):
		}
	}
}

func TestAbandonedClaimIsWonByTheNextCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		memory := platform.NewMemory()
		memory.SetFaults(platform.Faults{Latency: 100 * time.Millisecond})
		a := claims.New(memory, identity("a"), claims.Config{})
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		_, err := a.Claim(ctx, "orders", "k")
		g.Expect(claims.Unreachable.Has(err)).To(gomega.BeTrue(), "%v", err)
		second, err := a.Claim(t.Context(), "orders", "k")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(second.Won).To(gomega.BeTrue())
		third, err := a.Claim(t.Context(), "orders", "k")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(third.Won).To(gomega.BeFalse())
	})
}

func TestOneConcurrentCallOfAnInstanceWins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		memory := platform.NewMemory()
		memory.SetFaults(platform.Faults{Latency: time.Millisecond, LoseAnswers: 1})
		a := claims.New(memory, identity("a"), claims.Config{})
		const calls = 20
		results := make(chan claims.Claim, calls)
		var waiting sync.WaitGroup
		for range calls {
			waiting.Go(func() {
				claim, err := a.Claim(t.Context(), "orders", "k")
				if err != nil {
					t.Error(err)
				}
				results <- claim
			})
		}
		waiting.Wait()
		close(results)
		won := 0
		for claim := range results {
			g.Expect(claim.Holder).To(gomega.Equal(identity("a")))
			if claim.Won {
				won++
			}
		}
		g.Expect(won).To(gomega.Equal(1))
	})
}

func TestClaimsExpireAfterLifetimeAndClockSkew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		memory := platform.NewMemory()
		a := claims.New(memory, identity("a"), claims.Config{Lifetime: time.Hour})
		b := claims.New(memory, identity("b"), claims.Config{Lifetime: time.Hour})
		first, err := a.Claim(t.Context(), "orders", "k")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(first.Expires).To(gomega.BeTemporally("~", time.Now().Add(time.Hour), time.Second))
		time.Sleep(time.Hour + 59*time.Second) // fake time
		early, err := b.Claim(t.Context(), "orders", "k")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(early.Won).To(gomega.BeFalse())
		time.Sleep(2 * time.Second)
		late, err := b.Claim(t.Context(), "orders", "k")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(late.Won).To(gomega.BeTrue())
	})
}

func TestFullShardRefusesUntilClaimsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		memory := platform.NewMemory()
		long := identity(strings.Repeat("x", 100_000))
		c := claims.New(memory, long, claims.Config{Shards: 1, Lifetime: time.Minute})
		for i := range 10 {
			_, err := c.Claim(t.Context(), "orders", fmt.Sprint(i))
			g.Expect(err).NotTo(gomega.HaveOccurred())
		}
		_, err := c.Claim(t.Context(), "orders", "one more")
		g.Expect(claims.Full.Has(err)).To(gomega.BeTrue(), "%v", err)
		time.Sleep(3 * time.Minute) // fake time
		claim, err := c.Claim(t.Context(), "orders", "one more")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(claim.Won).To(gomega.BeTrue())
	})
}

func TestCorruptShardIsNotOverwritten(t *testing.T) {
	for _, value := range []string{"", "x", "\xa1\x01\x07", "\xa2\x01\x01\x02\xa1\x41k\x84\x61a\x01\x01\x01"} {
		g := gomega.NewWithT(t)
		memory := platform.NewMemory()
		_, err := memory.Put(t.Context(), "claims/0", []byte(value), 0)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = claims.New(memory, identity("a"), claims.Config{Shards: 1}).Claim(t.Context(), "orders", "k")
		g.Expect(claims.Corrupt.Has(err)).To(gomega.BeTrue(), "%q gives %v", value, err)
	}
}

func TestOutageFailsFast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		memory := platform.NewMemory()
		memory.SetFaults(platform.Faults{Latency: time.Hour})
		c := claims.New(memory, identity("a"), claims.Config{Shards: 1})
		_, err := c.Claim(t.Context(), "orders", "first")
		g.Expect(claims.Unreachable.Has(err)).To(gomega.BeTrue(), "%v", err)
		for range 3 {
			probing := make(chan error, 1)
			time.Sleep(time.Second) // fake time
			go func() {
				_, err := c.Claim(t.Context(), "orders", "probe")
				probing <- err
			}()
			synctest.Wait()
			start := time.Now()
			_, err := c.Claim(t.Context(), "orders", "other")
			g.Expect(claims.Unreachable.Has(err)).To(gomega.BeTrue(), "%v", err)
			g.Expect(time.Since(start)).To(gomega.BeZero())
			g.Expect(<-probing).To(gomega.HaveOccurred())
		}
		memory.SetFaults(platform.Faults{})
		time.Sleep(time.Second)
		claim, err := c.Claim(t.Context(), "orders", "first")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(claim.Won).To(gomega.BeTrue())
	})
}

func TestPendingClaimsAreBatched(t *testing.T) {
	const keys = 64
	for _, c := range []struct{ maxBatch, least, most int }{
		// The first write contains the claims queued by then: some or all of them.
		{maxBatch: 0, least: 1, most: 2},
		{maxBatch: 1, least: keys, most: keys},
	} {
		synctest.Test(t, func(t *testing.T) {
			g := gomega.NewWithT(t)
			memory := platform.NewMemory()
			memory.SetFaults(platform.Faults{Latency: 5 * time.Millisecond})
			claimer := claims.New(memory, identity("a"), claims.Config{Shards: 1, MaxBatch: c.maxBatch, Timeout: time.Minute})
			var waiting sync.WaitGroup
			for i := range keys {
				waiting.Go(func() {
					claim, err := claimer.Claim(t.Context(), "orders", fmt.Sprint(i))
					if err != nil || !claim.Won {
						t.Errorf("key %d: %v, %v", i, claim, err)
					}
				})
			}
			waiting.Wait()
			g.Expect(memory.Counts().Writes).To(gomega.And(
				gomega.BeNumerically(">=", c.least), gomega.BeNumerically("<=", c.most)))
		})
	}
}
