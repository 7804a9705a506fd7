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

// answered is one answer with the time that it took.
type answered struct {
	id   string
	resp *work.Response
	took time.Duration
	at   time.Duration // since the start of the replay
}

// overload replays arrivals of a service at a load beyond what the slots serve.
func overload(t *testing.T, s *scenario, kind work.Kind, all []arrival, drained ...string) (answers []answered, f *fleet) {
	synctest.Test(t, func(t *testing.T) {
		f = newFleetOf(kind, s.sizes, s.slots, s.seed)
		f.preset.Services[0].HedgeQuantile = 0.95
		f.preset.Services[0].HedgeBudget = 0.03
		f.draw = func(id string, again int) time.Duration {
			var n int
			_, _ = fmt.Sscanf(id, "%x", &n)
			return drawService(s.seed, n, again)
		}
		for _, zone := range drained {
			f.drained[zone] = true
		}
		ctx, cancel := context.WithCancel(t.Context())
		f.start(ctx)
		start := time.Now()
		results := make(chan answered, len(all))
		for _, a := range all {
			<-time.After(a.at - time.Since(start))
			req := f.request(time.Second)
			go func() {
				sent := time.Now()
				resp := f.routers[fmt.Sprintf("i%d", a.zone+1)].Serve(t.Context(), req)
				results <- answered{req.ID, resp, time.Since(sent), time.Since(start)}
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
			s := &scenario{sizes: lanternStatus(), slots: 5, load: 1.5, count: 9000, seed: 1}
			all := s.arrivals()
			answers, f := overload(t, s, kind, all)
			// Counted after the queues filled and before arrivals stop.
			from, to := all[len(all)/10].at, all[len(all)-1].at
			run, unknown, late, steady := 0, 0, 0, 0
			for _, a := range answers {
				switch a.resp.Outcome {
				case work.Run:
					run++
					if a.at >= from && a.at < to {
						steady++
					}
				case work.Unknown:
					unknown++
				default:
					g.Expect(f.ran[a.id]).To(gomega.BeZero(), a.resp.Explain)
					if a.took > 50*time.Millisecond {
						late++
					}
				}
			}
			slots := 0
			for _, n := range s.sizes {
				slots += n * s.slots
			}
			mean := meanService.Seconds() * (1 + (stragglerFactor-1)/float64(stragglerEvery))
			capacity := float64(slots) / mean * (to - from).Seconds()
			t.Logf("seed %d: %d run (%.2f of capacity), %d unknown, %d of %d refused after 50 ms",
				s.seed, run, float64(steady)/capacity, unknown, late, len(answers)-run-unknown)
			g.Expect(float64(steady) / capacity).To(gomega.BeNumerically(">=", 0.9))
			g.Expect(unknown).To(gomega.BeNumerically("<=", s.count/1000))
			g.Expect(late).To(gomega.BeNumerically("<=", (len(answers)-run)/100))
			for _, b := range f.backends {
				g.Expect(b.most).To(gomega.BeNumerically("<=", s.slots))
			}
		})
	}
}

// Callers that still use the entry of a drained zone are served by the
// neighbour, as long as the region has the slots.
func TestDrainedZoneIsNotFelt(t *testing.T) {
	for load, most := range map[float64]int{0.35: 0, 0.5: 40} {
		g := gomega.NewWithT(t)
		s := &scenario{sizes: []int{2, 2, 2, 2}, slots: 3, load: load, count: 4000, seed: 1}
		answers, f := overload(t, s, work.Order, s.arrivals(), "z1")
		refused := 0
		for _, a := range answers {
			g.Expect(a.resp.Outcome).NotTo(gomega.Equal(work.Unknown))
			if a.resp.Outcome == work.NotRun {
				refused++
				g.Expect(f.ran[a.id]).To(gomega.BeZero())
			}
		}
		t.Logf("seed %d, load %.2f of all slots: %d of %d refused", s.seed, load, refused, s.count)
		g.Expect(refused).To(gomega.BeNumerically("<=", most))
		g.Expect(f.runsIn("z1")).To(gomega.BeZero())
	}
}
