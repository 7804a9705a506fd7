package report

import (
	"image/color"
	"path/filepath"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	"sycamoreledge.example/internal/lab/measure"
	"sycamoreledge.example/internal/lab/trace"
	"sycamoreledge.example/internal/work"
)

// Sizes of the plots.
const (
	width   = 8 * vg.Inch
	height  = 4 * vg.Inch
	padding = vg.Length(6)
	radius  = vg.Length(4)
	// offset and margin are parts of the distance of two labels.
	offset = 0.18
	margin = 0.7
	// lowest is the lower end of the axis in ms, head the room above the
	// highest value as a factor.
	lowest = 10
	head   = 4
)

// systems are drawn in this order, each in its colour and shape.
var systems = []struct {
	name  measure.System
	color color.Color
	shape draw.GlyphDrawer
}{
	{measure.Baseline, color.RGBA{R: 190, G: 90, B: 60, A: 255}, draw.TriangleGlyph{}},
	{measure.Steer, color.RGBA{R: 40, G: 90, B: 160, A: 255}, draw.CircleGlyph{}},
	{measure.Ideal, color.RGBA{R: 150, G: 150, B: 150, A: 255}, draw.BoxGlyph{}},
}

// dots is one plot: for each label a dot of each system, on a logarithmic axis.
type dots struct {
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
func lookups(r *measure.Result) dots {
	type place struct{ trace, phase string }
	var places []place
	at := map[place]int{}
	values := map[measure.System]map[int]time.Duration{}
	b := dots{title: r.Firm + ": p99 of lookups"}
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
func ordinary(r *measure.Result) dots {
	kinds := []work.Kind{work.Lookup, work.Order, work.Upload}
	quantiles := []string{"p50", "p99", "p99.9"}
	b := dots{title: r.Firm + ": latency of an ordinary day"}
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
func (b dots) save(path string) error {
	p := plot.New()
	p.Title.Text = b.title
	p.Title.Padding = padding
	p.Y.Label.Text = "ms"
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	for i, s := range systems {
		points := b.points(s.name, float64(i-1)*offset)
		if len(points) == 0 {
			continue
		}
		scatter, err := plotter.NewScatter(points)
		if err != nil {
			return Error.Wrap(err)
		}
		scatter.GlyphStyle = draw.GlyphStyle{Color: s.color, Radius: radius, Shape: s.shape}
		p.Add(scatter)
		p.Legend.Add(string(s.name), scatter)
	}
	p.NominalX(b.labels...)
	p.X.Min, p.X.Max = -margin, float64(len(b.labels)-1)+margin
	// Room for the legend above the highest dot.
	p.Y.Min, p.Y.Max = lowest, max(p.Y.Max, lowest)*head
	return Error.Wrap(p.Save(width, height, path))
}

// points are the latencies of a system in milliseconds, moved sideways.
func (b dots) points(s measure.System, by float64) plotter.XYs {
	var all plotter.XYs
	for label := range b.labels {
		if v := b.value(s, label); v > 0 {
			all = append(all, plotter.XY{X: float64(label) + by, Y: float64(v) / float64(time.Millisecond)})
		}
	}
	return all
}
