package owner

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	recentSamples = 7
	// meanWeight is the EWMA weight of a new duration.
	meanWeight = 0.05

	histogramMin       = 10                // microseconds
	histogramMax       = 600 * 1000 * 1000 // microseconds
	histogramDigits    = 2                 // significant figures
	histogramSamples   = 2000              // durations per histogram
	minQuantileSamples = 50                // least number of durations for a quantile
	tailPercent        = 99.5              // covers stragglers
	highPercent        = 95.0
	histogramUnit      = time.Microsecond // of the recorded values
)

// durationEstimate estimates the duration of requests from recent responses. The
// zero value is ready to use.
type durationEstimate struct {
	recent       [recentSamples]time.Duration
	count        int
	average      float64 // nanoseconds
	current      *hdrhistogram.Histogram
	previous     *hdrhistogram.Histogram
	median       time.Duration // median of recent
	highCached   time.Duration // highPercent quantile
	tailCached   time.Duration // tailPercent quantile
	hedgeCached  time.Duration // hedgePercent quantile
	hedgePercent float64       // percent
	hedgeCount   int           // count when hedgeCached was computed
}

// add records a duration.
func (e *durationEstimate) add(d time.Duration) {
	e.recent[e.count%recentSamples] = d
	e.count++
	if e.count == 1 {
		e.average = float64(d)
	}
	weight := max(meanWeight, 1/float64(e.count))
	e.average += weight * (float64(d) - e.average)
	e.median = e.recentMedian()
	e.record(d)
}

// record adds the duration to the current histogram. When that is full, it becomes
// the previous histogram, and the former previous one is discarded.
func (e *durationEstimate) record(d time.Duration) {
	if e.current == nil {
		e.current = hdrhistogram.New(histogramMin, histogramMax, histogramDigits)
	}
	if e.current.TotalCount() >= histogramSamples {
		e.current, e.previous = e.previous, e.current
		if e.current == nil {
			e.current = hdrhistogram.New(histogramMin, histogramMax, histogramDigits)
		}
		e.current.Reset()
	}
	value := min(max(int64(d/histogramUnit), histogramMin), histogramMax)
	// RecordValue fails only for a value out of bounds, and value is clamped to
	// them.
	_ = e.current.RecordValue(value)
	if e.count%minQuantileSamples == 0 {
		e.highCached = e.quantile(highPercent)
		e.tailCached = e.quantile(tailPercent)
	}
}

// quantile returns the quantile in percent, or 0 if there are too few durations.
func (e *durationEstimate) quantile(percent float64) time.Duration {
	h := e.current
	if h == nil {
		return 0
	}
	if h.TotalCount() < minQuantileSamples*4 && e.previous != nil {
		h = e.previous
	}
	if h.TotalCount() < minQuantileSamples {
		return 0
	}
	return time.Duration(h.ValueAtQuantile(percent)) * histogramUnit
}

// hedgeDelay returns the quantile after which a hedged request starts, or 0 if
// there are too few durations. The value is cached, and recomputed after
// minQuantileSamples more durations.
func (e *durationEstimate) hedgeDelay(percent float64) time.Duration {
	if e.hedgePercent != percent || e.count-e.hedgeCount >= minQuantileSamples {
		e.hedgeCached, e.hedgePercent, e.hedgeCount = e.quantile(percent), percent, e.count
	}
	return e.hedgeCached
}

// typical returns the median of the last recentSamples durations: a few stragglers
// don't change it, while a slow-down of the upstream shows after a few responses.
func (e *durationEstimate) typical() time.Duration { return e.median }

func (e *durationEstimate) recentMedian() time.Duration {
	n := min(e.count, recentSamples)
	sorted := e.recent
	slices.Sort(sorted[:n])
	return sorted[n/2]
}

// mean returns the EWMA of the durations.
func (e *durationEstimate) mean() time.Duration { return time.Duration(e.average) }

// high returns the highPercent quantile, but at least the typical duration.
func (e *durationEstimate) high() time.Duration { return max(e.highCached, e.typical()) }

// tail returns a duration that few requests exceed, stragglers included: the
// tailPercent quantile, but at least the value of high.
func (e *durationEstimate) tail() time.Duration { return max(e.tailCached, e.high()) }

// attemptBudget limits extra attempts (retries or hedges) to a fraction of the
// dispatches.
type attemptBudget struct{ tokens float64 }

// maxBudgetTokens is the capacity of an attemptBudget, and so the largest burst of
// extra attempts.
const maxBudgetTokens = 5

// earn adds a fraction of a token for one dispatch.
func (b *attemptBudget) earn(fraction float64) { b.tokens = min(b.tokens+fraction, maxBudgetTokens) }

// spend takes one token, and reports whether there was one.
func (b *attemptBudget) spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
