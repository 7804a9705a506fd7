package report

import (
	"image/color"
	"path/filepath"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"sycamoreledge.example/internal/lab/measure"
	"sycamoreledge.example/internal/lab/trace"
	"sycamoreledge.example/internal/work"
)

// Sizes of the plots.
const (
	width    = 8 * vg.Inch
	height   = 4 * vg.Inch
	barWidth = 9 // points
)

// systems are drawn in this order, each in its colour.
var systems = []struct {
	name  measure.System
	color color.Color
}{
	{measure.Baseline, color.RGBA{R: 190, G: 90, B: 60, A: 255}},
	{measure.Steer, color.RGBA{R: 40, G: 90, B: 160, A: 255}},
	{measure.Ideal, color.RGBA{R: 150, G: 150, B: 150, A: 255}},
}

// bars is one plot: a group of bars for each label, a bar for each system.
type bars struct {
	title  string
	labels []string
	// value returns the latency at a label, 0 when there is none.
	value func(s measure.System, label int) time.Duration
}

// plots draws the plots of a firm.
func plots(dir string, r *measure.Result) error {
	if err := lookups(r).save(filepath.Join(dir, r.Firm+"-p99.png")); err != nil {
		return err
	}
	return ordinary(r).save(filepath.Join(dir, r.Firm+"-ordinary.png"))
}

// lookups compares the 99th percentile of lookups in all phases.
func lookups(r *measure.Result) bars {
	type place struct{ trace, phase string }
	var places []place
	at := map[place]int{}
	values := map[measure.System]map[int]time.Duration{}
	b := bars{title: r.Firm + ": p99 of lookups"}
	for _, x := range r.Rows {
		if x.Kind != work.Lookup {
			continue
		}
		p := place{x.Trace, x.Phase}
		if _, ok := at[p]; !ok {
			at[p] = len(places)
			places = append(places, p)
			b.labels = append(b.labels, x.Trace+"\n"+x.Phase)
		}
		if values[x.System] == nil {
			values[x.System] = map[int]time.Duration{}
		}
		values[x.System][at[p]] = x.P99
	}
	b.value = func(s measure.System, label int) time.Duration { return values[s][label] }
	return b
}

// ordinary compares the latency of an ordinary day by kind and quantile.
func ordinary(r *measure.Result) bars {
	kinds := []work.Kind{work.Lookup, work.Order, work.Upload}
	quantiles := []string{"p50", "p99", "p99.9"}
	b := bars{title: r.Firm + ": latency of an ordinary day"}
	for _, k := range kinds {
		for _, q := range quantiles {
			b.labels = append(b.labels, string(k)+"\n"+q)
		}
	}
	b.value = func(s measure.System, label int) time.Duration {
		for _, x := range r.Rows {
			if x.System != s || x.Trace != trace.Ordinary || x.Kind != kinds[label/len(quantiles)] {
				continue
			}
			return []time.Duration{x.P50, x.P99, x.P999}[label%len(quantiles)]
		}
		return 0
	}
	return b
}

// save draws the plot into a PNG file.
func (b bars) save(path string) error {
	p := plot.New()
	p.Title.Text = b.title
	p.Y.Label.Text = "ms"
	p.Y.Min = 0
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	for i, s := range systems {
		values := make(plotter.Values, len(b.labels))
		for label := range b.labels {
			values[label] = float64(b.value(s.name, label)) / float64(time.Millisecond)
		}
		chart, err := plotter.NewBarChart(values, vg.Points(barWidth))
		if err != nil {
			return Error.Wrap(err)
		}
		chart.LineStyle.Width = 0
		chart.Color = s.color
		chart.Offset = vg.Points(barWidth * float64(i-1))
		p.Add(chart)
		p.Legend.Add(string(s.name), chart)
	}
	p.NominalX(b.labels...)
	return Error.Wrap(p.Save(width, height, path))
}
