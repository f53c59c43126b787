// Package slopes measures how the cost of each part of an entry instance grows with the size of
// the deployment: instances, backend servers, workspaces, running requests and changes, varied
// one at a time. A line is fitted to each series, and its value at the design size is printed
// with it. docs/CAPACITY.md is based on these figures.
//
// The measurements run the production code with small fakes of its interfaces, and the platform
// stand-in. No deployment is simulated.
//
// # Usage
//
//	err := slopes.Run(ctx, os.Stdout, slopes.Options{})
package slopes

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/ansel1/merry/v2"
)

// ErrMeasure means that a measurement failed.
var ErrMeasure = merry.Sentinel("measurement failed")

// The design size; see docs/CAPACITY.md.
const (
	designInstances  = 350
	designServers    = 2000
	designWorkspaces = 290
	designQueued     = 10000
	designModels     = 6
)

// Point is the value measured at size N.
type Point struct{ N, Value float64 }

// Series is a cost measured at several sizes.
type Series struct {
	// Name says what is measured in Unit; SizeName says what the size counts.
	Name, Unit, SizeName string
	Points               []Point
	// DesignSize is the size at which the fitted line is evaluated.
	DesignSize float64
}

// Fit returns the least-squares line through the points.
func (s Series) Fit() (slope, base float64) {
	n := float64(len(s.Points))
	var x, y, xx, xy float64
	for _, p := range s.Points {
		x += p.N
		y += p.Value
		xx += p.N * p.N
		xy += p.N * p.Value
	}
	d := n*xx - x*x
	if d == 0 {
		return 0, y / max(1, n)
	}
	slope = (n*xy - x*y) / d
	return slope, (y - slope*x) / n
}

// DesignValue returns the value of the fitted line at DesignSize.
func (s Series) DesignValue() float64 {
	slope, base := s.Fit()
	return base + slope*s.DesignSize
}

// String formats the series with its points and its fitted line.
func (s Series) String() string {
	var points []string
	for _, p := range s.Points {
		points = append(points, fmt.Sprintf("%g: %.4g", p.N, p.Value))
	}
	slope, base := s.Fit()
	return fmt.Sprintf("%s [%s] over %s\n    %s\n    slope %.3g, base %.4g; line at %g: %.4g",
		s.Name, s.Unit, s.SizeName, strings.Join(points, ", "), slope, base, s.DesignSize, s.DesignValue())
}

// Options select what is measured.
type Options struct {
	// Only is the name of the group to measure; empty means all.
	Only string
	// Binaries is the directory of the built programs pollenspindle and standin; without it the
	// groups processes and relay are skipped.
	Binaries string
}

// measurementGroup measures related series.
type measurementGroup struct {
	name    string
	measure func(context.Context, Options) ([]Series, error)
	// needsBinaries is true for a group that starts processes.
	needsBinaries bool
}

var groups = []measurementGroup{
	{"decisions", decisionSeries, false},
	{"configuration", configurationSeries, false},
	{"roster", rosterSeries, false},
	{"messages", messageSeries, false},
	{"plannerReports", plannerReportSeries, false},
	{"owner", ownerSeries, false},
	{"member", memberSeries, false},
	{"processes", processSeries, true},
	{"relay", relaySeries, true},
}

// Run measures and prints all selected groups.
func Run(ctx context.Context, w io.Writer, opts Options) error {
	for _, g := range groups {
		if opts.Only != "" && opts.Only != g.name || g.needsBinaries && opts.Binaries == "" {
			continue
		}
		fmt.Fprintf(w, "== %s\n", g.name)
		series, err := g.measure(ctx, opts)
		if err != nil {
			return merry.Prepend(err, g.name)
		}
		for _, s := range series {
			fmt.Fprintln(w, s)
		}
	}
	return ctx.Err()
}
