package page

import (
	"cmp"
	"maps"
	"slices"

	"github.com/ansel1/merry/v2"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"pollenspindle.example/pollenspindle/internal/loadgen/measure"
)

const (
	width  = 8 * vg.Inch
	height = 2.6 * vg.Inch
	// bucketSeconds is how many seconds are summarized by one point; single seconds of a
	// heavy-tailed load would hide the trend.
	bucketSeconds = 3
	// legendHeadroom scales the y axis to leave space for the legend above the lines.
	legendHeadroom = 1.35
)

// line is one curve, with one value per bucket.
type line struct {
	name   string
	values []float64
}

// chart is one plot over the time of a run.
type chart struct {
	name, title, unit string
	lines             []line
}

// buildCharts returns the charts that compare the runs and, for each run with marks and start
// counts, a chart of the generations started in each availability zone.
func buildCharts(reports []measure.Report) []chart {
	perSecond := func(name, title, unit string, value func([]measure.Second) float64) chart {
		c := chart{name: name, title: title, unit: unit}
		for _, r := range reports {
			c.lines = append(c.lines, line{r.Label, bucketValues(r.PerSecond, value)})
		}
		return c
	}
	all := []chart{
		perSecond("stall", "Stall time", "stalled seconds / s", func(s []measure.Second) float64 {
			return mean(s, func(x measure.Second) float64 { return x.StallMillis / 1000 })
		}),
		perSecond("preemptions", "Preemptions", "preemptions / s", func(s []measure.Second) float64 {
			return mean(s, func(x measure.Second) float64 { return float64(x.Preemptions) })
		}),
		perSecond("between", "Time between tokens, 99th percentile", "ms", func(s []measure.Second) float64 {
			return maxOf(s, func(x measure.Second) float64 { return x.P99GapMillis })
		}),
		perSecond("completed", "Generations completed", "completed / s", func(s []measure.Second) float64 {
			return mean(s, func(x measure.Second) float64 { return float64(x.Completed) })
		}),
		perSecond("delay", "Mean duration of completed generations", "s", meanDuration),
	}
	for _, r := range reports {
		if len(r.Marks) > 0 && len(r.Starts) > 0 {
			all = append(all, startsChart(r))
		}
	}
	return all
}

func startsChart(r measure.Report) chart {
	c := chart{name: "starts-" + r.Label, title: "Generations started in each availability zone, " + r.Label, unit: "started / s"}
	for _, zone := range slices.Sorted(maps.Keys(r.Starts)) {
		values := []float64{}
		for part := range slices.Chunk(r.Starts[zone], bucketSeconds) {
			sum := int64(0)
			for _, n := range part {
				sum += n
			}
			values = append(values, float64(sum)/float64(len(part)))
		}
		c.lines = append(c.lines, line{zone, values})
	}
	return c
}

func bucketValues(series []measure.Second, value func([]measure.Second) float64) []float64 {
	var values []float64
	for part := range slices.Chunk(series, bucketSeconds) {
		values = append(values, value(part))
	}
	return values
}

func mean(s []measure.Second, value func(measure.Second) float64) float64 {
	sum := 0.0
	for _, x := range s {
		sum += value(x)
	}
	return sum / float64(len(s))
}

func maxOf(s []measure.Second, value func(measure.Second) float64) float64 {
	result := 0.0
	for _, x := range s {
		result = max(result, value(x))
	}
	return result
}

func meanDuration(s []measure.Second) float64 {
	millis, completed := 0.0, int64(0)
	for _, x := range s {
		millis += x.DurationMillis
		completed += x.Completed
	}
	if completed == 0 {
		return 0
	}
	return millis / 1000 / float64(completed)
}

// mark is an event during a run, drawn as a vertical line.
type mark struct {
	name   string
	second float64
}

func sortedMarks(reports []measure.Report) []mark {
	var all []mark
	for _, r := range reports {
		for name, second := range r.Marks {
			if m := (mark{name, second}); !slices.Contains(all, m) {
				all = append(all, m)
			}
		}
	}
	slices.SortFunc(all, func(x, y mark) int { return cmp.Compare(x.second, y.second) })
	return all
}

// draw writes the plot to a file, with a vertical line for each mark.
func (c chart) draw(file string, marks []mark) error {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "seconds since the start of the run", c.unit
	p.Legend.Top = true
	p.Legend.TextStyle.Font.Size = vg.Points(8)
	p.Y.Min = 0
	for i, l := range c.lines {
		xy := make(plotter.XYs, len(l.values))
		for j, v := range l.values {
			xy[j].X, xy[j].Y = float64(j*bucketSeconds), v
		}
		if err := addLine(p, l.name, xy, i); err != nil {
			return err
		}
	}
	p.Y.Max = max(p.Y.Max*legendHeadroom, 1)
	for i, m := range marks {
		xy := plotter.XYs{{X: m.second, Y: 0}, {X: m.second, Y: p.Y.Max}}
		if err := addLine(p, m.name, xy, len(c.lines)+i); err != nil {
			return err
		}
	}
	if err := p.Save(width, height, file); err != nil {
		return merry.Wrap(ErrWrite, merry.WithCause(err))
	}
	return nil
}

func addLine(p *plot.Plot, name string, xy plotter.XYs, i int) error {
	l, err := plotter.NewLine(xy)
	if err != nil {
		return merry.Wrap(ErrWrite, merry.WithCause(err))
	}
	l.Color, l.Dashes = plotutil.Color(i), plotutil.Dashes(i/len(plotutil.DefaultColors))
	p.Add(l)
	p.Legend.Add(name, l)
	return nil
}
