package traffic_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/work"
)

// timedResponse is a response with its latency.
type timedResponse struct {
	id      string
	resp    *work.Response
	latency time.Duration
	endedAt time.Duration // after the start of the replay
}

// replayOverload replays arrivals with the given zones drained, and returns all
// responses.
func replayOverload(t *testing.T, s *scenario, kind work.Kind, all []arrival, drained ...string) (answers []timedResponse, f *fleet) {
	synctest.Test(t, func(t *testing.T) {
		f = newFleetWithSizes(kind, s.sizes, s.slots, s.seed)
		f.preset.Services[0].HedgeQuantile = 0.95
		f.preset.Services[0].HedgeBudget = 0.03
		f.serviceTimeOf = func(id string, attempt int) time.Duration {
			var n int
			_, _ = fmt.Sscanf(id, "%x", &n)
			return drawServiceTime(s.seed, n, attempt)
		}
		for _, zone := range drained {
			f.drained[zone] = true
		}
		ctx, cancel := context.WithCancel(t.Context())
		f.start(ctx)
		start := time.Now()
		results := make(chan timedResponse, len(all))
		for _, a := range all {
			<-time.After(a.at - time.Since(start))
			req := f.request(time.Second)
			go func() {
				sent := time.Now()
				resp := f.routers[fmt.Sprintf("i%d", a.zone+1)].Serve(t.Context(), req)
				results <- timedResponse{req.ID, resp, time.Since(sent), time.Since(start)}
			}()
		}
		for range all {
			answers = append(answers, <-results)
		}
		cancel()
		synctest.Wait()
	})
	return answers, f
}

func TestOverloadOfAllRegions(t *testing.T) {
	for _, kind := range []work.Kind{work.Lookup, work.Order} {
		t.Run(string(kind), func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := &scenario{sizes: lanternStatusSizes(), slots: 5, load: 1.5, count: 9000, seed: 1}
			all := s.arrivals()
			answers, f := replayOverload(t, s, kind, all)
			// Only the steady state counts: after the queues have filled and
			// before arrivals stop.
			from, to := all[len(all)/10].at, all[len(all)-1].at
			run, unknown, lateRefusals, steady := 0, 0, 0, 0
			for _, a := range answers {
				switch a.resp.Outcome {
				case work.Run:
					run++
					if a.endedAt >= from && a.endedAt < to {
						steady++
					}
				case work.Unknown:
					unknown++
				default:
					g.Expect(f.runCounts[a.id]).To(gomega.BeZero(), a.resp.Explain)
					if a.latency > 50*time.Millisecond {
						lateRefusals++
					}
				}
			}
			slots := 0
			for _, n := range s.sizes {
				slots += n * s.slots
			}
			mean := meanServiceTime.Seconds() * (1 + (stragglerFactor-1)/float64(stragglerEvery))
			capacity := float64(slots) / mean * (to - from).Seconds()
			t.Logf("seed %d: %d run (%.2f of capacity), %d unknown, %d of %d refused after 50 ms",
				s.seed, run, float64(steady)/capacity, unknown, lateRefusals, len(answers)-run-unknown)
			g.Expect(float64(steady) / capacity).To(gomega.BeNumerically(">=", 0.9))
			g.Expect(unknown).To(gomega.BeNumerically("<=", s.count/1000))
			g.Expect(lateRefusals).To(gomega.BeNumerically("<=", (len(answers)-run)/100))
			for _, b := range f.backends {
				g.Expect(b.maxRunning).To(gomega.BeNumerically("<=", s.slots))
			}
		})
	}
}

// Requests that still arrive in a drained zone must be served by the neighbouring
// zone as long as the region has enough slots.
func TestDrainedZoneIsServedByNeighbour(t *testing.T) {
	for load, maxRefused := range map[float64]int{0.35: 0, 0.5: 40} {
		g := gomega.NewWithT(t)
		s := &scenario{sizes: []int{2, 2, 2, 2}, slots: 3, load: load, count: 4000, seed: 1}
		answers, f := replayOverload(t, s, work.Order, s.arrivals(), "z1")
		refused := 0
		for _, a := range answers {
			g.Expect(a.resp.Outcome).NotTo(gomega.Equal(work.Unknown))
			if a.resp.Outcome == work.NotRun {
				refused++
				g.Expect(f.runCounts[a.id]).To(gomega.BeZero())
			}
		}
		t.Logf("seed %d, load %.2f of all slots: %d of %d refused", s.seed, load, refused, s.count)
		g.Expect(refused).To(gomega.BeNumerically("<=", maxRefused))
		g.Expect(f.runsIn("z1")).To(gomega.BeZero())
	}
}
