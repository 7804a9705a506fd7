package measure

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"sycamoreledge.example/internal/lab/trace"
)

// happening collects what the events of a trace brought.
type happening struct {
	all      sync.WaitGroup
	mu       sync.Mutex
	drains   []Drain
	problems []string
}

// happen carries out the events of a trace at their times. The function that
// it returns waits for their ends.
func (s *system) happen(ctx context.Context, t *trace.Trace, start time.Time) func() ([]Drain, []string) {
	h := &happening{}
	h.all.Go(func() {
		for _, e := range t.Events {
			if !sleepUntil(ctx, start.Add(stretch(e.At, s.pace))) {
				return
			}
			h.one(ctx, s, e)
		}
	})
	return func() ([]Drain, []string) {
		h.all.Wait()
		return h.drains, h.problems
	}
}

// one carries out an event. What lasts goes on beside the next events.
func (h *happening) one(ctx context.Context, s *system, e trace.Event) {
	switch e.Action {
	case trace.Stop:
		h.all.Go(func() { h.note(s.apply(ctx, e)) })
	case trace.DrainUpstream:
		h.note(s.apply(ctx, e))
		h.all.Go(func() { h.note(s.followDrain(ctx, e.Name)) })
	default:
		h.note(s.apply(ctx, e))
	}
}

// note keeps the result of an event.
func (h *happening) note(d *Drain, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if d != nil {
		h.drains = append(h.drains, *d)
	}
	if err != nil {
		h.problems = append(h.problems, fmt.Sprint(err))
	}
}

// sorted sorts the values in place and returns them.
func sorted(values []time.Duration) []time.Duration {
	slices.Sort(values)
	return values
}
