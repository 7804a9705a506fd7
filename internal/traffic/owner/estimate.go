package owner

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	recentAnswers = 7
	// meanWeight is the weight of a new duration in the mean.
	meanWeight = 0.05

	histogramMin    = 10                // microseconds
	histogramMax    = 600 * 1000 * 1000 // microseconds
	histogramDigits = 2                 // significant figures
	histogramWindow = 2000              // durations until the older half is dropped
	minQuantileData = 50                // durations needed for a quantile
	longQuantile    = 99.5              // percent
	highQuantile    = 95.0              // percent
	histogramUnit   = time.Microsecond  // of the recorded values
)

// estimate follows the durations of recent answers. The zero value is ready.
type estimate struct {
	recent  [recentAnswers]time.Duration
	count   int
	average float64 // nanoseconds
	young   *hdrhistogram.Histogram
	old     *hdrhistogram.Histogram
	median  time.Duration // of recent
	cached  time.Duration // the high quantile
	longest time.Duration // the long quantile
	hedge   time.Duration // the quantile asked for last
	asked   float64       // percent
	askedAt int           // count at that time
}

// add records a duration.
func (e *estimate) add(d time.Duration) {
	e.recent[e.count%recentAnswers] = d
	e.count++
	if e.count == 1 {
		e.average = float64(d)
	}
	weight := max(meanWeight, 1/float64(e.count))
	e.average += weight * (float64(d) - e.average)
	e.median = e.recentMedian()
	e.record(d)
}

// record keeps the duration in one of two histograms, the older of which is
// dropped when the younger one is full.
func (e *estimate) record(d time.Duration) {
	if e.young == nil {
		e.young = hdrhistogram.New(histogramMin, histogramMax, histogramDigits)
	}
	if e.young.TotalCount() >= histogramWindow {
		e.young, e.old = e.old, e.young
		if e.young == nil {
			e.young = hdrhistogram.New(histogramMin, histogramMax, histogramDigits)
		}
		e.young.Reset()
	}
	value := min(max(int64(d/histogramUnit), histogramMin), histogramMax)
	// The value is within the bounds, so that it is always recorded.
	_ = e.young.RecordValue(value)
	if e.count%minQuantileData == 0 {
		e.cached = e.quantile(highQuantile)
		e.longest = e.quantile(longQuantile)
	}
}

// quantile returns a quantile in percent, or 0 while too little is known.
func (e *estimate) quantile(percent float64) time.Duration {
	h := e.young
	if h == nil {
		return 0
	}
	if h.TotalCount() < minQuantileData*4 && e.old != nil {
		h = e.old
	}
	if h.TotalCount() < minQuantileData {
		return 0
	}
	return time.Duration(h.ValueAtQuantile(percent)) * histogramUnit
}

// delay returns the quantile after which a hedge starts, or 0 while too little
// is known. It is computed anew after some more durations.
func (e *estimate) delay(percent float64) time.Duration {
	if e.asked != percent || e.count-e.askedAt >= minQuantileData {
		e.hedge, e.asked, e.askedAt = e.quantile(percent), percent, e.count
	}
	return e.hedge
}

// typical is the median of the last few durations: a few stragglers don't move
// it, while a slow-down moves it after a handful of answers.
func (e *estimate) typical() time.Duration { return e.median }

func (e *estimate) recentMedian() time.Duration {
	n := min(e.count, recentAnswers)
	sorted := e.recent
	slices.Sort(sorted[:n])
	return sorted[n/2]
}

// mean is the weighted mean duration.
func (e *estimate) mean() time.Duration { return time.Duration(e.average) }

// high is a high quantile, or the typical duration while too little is known.
func (e *estimate) high() time.Duration { return max(e.cached, e.typical()) }

// long is the duration that few requests exceed, stragglers included.
func (e *estimate) long() time.Duration { return max(e.longest, e.high()) }

// budget permits extra attempts as a fraction of the dispatches.
type budget struct{ tokens float64 }

// budgetBurst is the largest number of extra attempts in a row.
const budgetBurst = 5

// earn adds the fraction for one dispatch.
func (b *budget) earn(fraction float64) { b.tokens = min(b.tokens+fraction, budgetBurst) }

// spend takes one extra attempt, if there is one.
func (b *budget) spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
