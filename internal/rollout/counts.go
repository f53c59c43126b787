package rollout

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// windowCount is the number of windowCount that a rollout's duration is divided into. Windows
	// show a version that turns bad after some time.
	windowCount = 6
	// bucketBase is the ratio between the bounds of adjacent histogram buckets.
	bucketBase = 1.2
)

// Metric names what a sample measures.
type Metric string

// The metrics: the answer to a request (for a stream its first event), and the gap between
// two events of a stream.
const (
	MetricAnswer   Metric = "answer"
	MetricEventGap Metric = "pace"
)

// Sample is one answer, or one gap between events of a stream.
type Sample struct {
	Route  string
	Server string
	Track  Track
	Metric Metric
	// Failed answers have no latency.
	Failed  bool
	Latency time.Duration
	// ColdStart is set while the server has just started: it is slow then, whatever its
	// version.
	ColdStart bool
}

// Cell counts the samples of one route, track and metric in one window. Those of the
// canary are also split by server, so that one broken server isn't mistaken for a bad
// version.
type Cell struct {
	Window int    `json:"window"`
	Route  string `json:"route"`
	Track  Track  `json:"track"`
	Server string `json:"server,omitempty"`
	Metric Metric `json:"aspect"`
	Count  int    `json:"number"`
	Failed int    `json:"failed"`
	// Histogram holds the number of answers by latency bucket.
	Histogram map[int]int `json:"times,omitempty"`
}

type cellKey struct {
	window int
	route  string
	track  Track
	server string
	metric Metric
}

// Counts aggregates samples.
type Counts struct{ cells map[cellKey]*Cell }

// NewCounts returns empty counts.
func NewCounts() *Counts { return &Counts{cells: map[cellKey]*Cell{}} }

// Record counts a sample in a window.
func (c *Counts) Record(window int, s Sample) {
	key := cellKey{window: window, route: s.Route, track: s.Track, metric: s.Metric}
	if s.Track == Canary {
		key.server = s.Server
	}
	cell := c.cell(key)
	cell.Count++
	switch {
	case s.Failed:
		cell.Failed++
	case !s.ColdStart:
		cell.Histogram[bucket(s.Latency)]++
	}
}

func (c *Counts) cell(key cellKey) *Cell {
	cell, ok := c.cells[key]
	if !ok {
		cell = &Cell{Window: key.window, Route: key.route, Track: key.track, Server: key.server, Metric: key.metric, Histogram: map[int]int{}}
		c.cells[key] = cell
	}
	return cell
}

// Add adds the cells of another instance.
func (c *Counts) Add(cells []Cell) {
	for i := range cells {
		from := &cells[i]
		to := c.cell(cellKey{from.Window, from.Route, from.Track, from.Server, from.Metric})
		to.Count += from.Count
		to.Failed += from.Failed
		for b, n := range from.Histogram {
			to.Histogram[b] += n
		}
	}
}

// Cells returns copies of all cells in a fixed order.
func (c *Counts) Cells() []Cell {
	out := make([]Cell, 0, len(c.cells))
	for _, cell := range c.cells {
		copied := *cell
		copied.Histogram = maps.Clone(cell.Histogram)
		out = append(out, copied)
	}
	slices.SortFunc(out, func(a, b Cell) int {
		return cmp.Or(cmp.Compare(a.Window, b.Window), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Track, b.Track),
			cmp.Compare(a.Server, b.Server), cmp.Compare(a.Metric, b.Metric))
	})
	return out
}

// Total returns the number of a track's answers and how many of them failed.
func (c *Counts) Total(track Track) (number, failed int) {
	for key, cell := range c.cells {
		if key.track == track && key.metric == MetricAnswer {
			number += cell.Count
			failed += cell.Failed
		}
	}
	return number, failed
}

// byServer returns the number of answers of each server of the new version.
func (c *Counts) byServer() map[string]int {
	out := map[string]int{}
	for key, cell := range c.cells {
		if key.track == Canary && key.metric == MetricAnswer {
			out[key.server] += cell.Count
		}
	}
	return out
}

// bucket returns the histogram bucket of a latency.
func bucket(d time.Duration) int {
	millis := max(float64(d)/float64(time.Millisecond), 0.1)
	return int(math.Floor(math.Log(millis) / math.Log(bucketBase)))
}

// window returns the window that a rollout of this age is in.
func window(age, duration time.Duration) int {
	if duration <= 0 {
		return 0
	}
	return min(windowCount-1, max(0, int(windowCount*age/duration)))
}
