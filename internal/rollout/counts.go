package rollout

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// windows is into how many parts the time of a roll-out is divided: a version
	// may turn bad after some time.
	windows = 6
	// bucketBase is the ratio of one bucket of a histogram to the one before.
	bucketBase = 1.2
)

// Aspect is what a latency is of.
type Aspect string

// The aspects of an answer: the time to it or to its first event, and the time
// between two events of a stream.
const (
	Answer Aspect = "answer"
	Pace   Aspect = "pace"
)

// Sample is one answer, or one stretch of a stream.
type Sample struct {
	Route  string
	Server string
	Track  Track
	Aspect Aspect
	// Failed answers have no time.
	Failed bool
	Took   time.Duration
	// Warming is set while the server has just started: it is slow whatever its
	// version.
	Warming bool
}

// Cell counts the samples of one route on one track. Those of the canary are by
// server, so that one broken server isn't taken for a bad version.
type Cell struct {
	Window int    `json:"window"`
	Route  string `json:"route"`
	Track  Track  `json:"track"`
	Server string `json:"server,omitempty"`
	Aspect Aspect `json:"aspect"`
	Number int    `json:"number"`
	Failed int    `json:"failed"`
	// Times has the number of answers by bucket of their time.
	Times map[int]int `json:"times,omitempty"`
}

type cellKey struct {
	window int
	route  string
	track  Track
	server string
	aspect Aspect
}

// Counts adds up samples.
type Counts struct{ cells map[cellKey]*Cell }

// NewCounts returns counts of nothing.
func NewCounts() *Counts { return &Counts{cells: map[cellKey]*Cell{}} }

// Note counts a sample in a window.
func (c *Counts) Note(window int, s Sample) {
	key := cellKey{window: window, route: s.Route, track: s.Track, aspect: s.Aspect}
	if s.Track == Canary {
		key.server = s.Server
	}
	cell := c.cell(key)
	cell.Number++
	switch {
	case s.Failed:
		cell.Failed++
	case !s.Warming:
		cell.Times[bucket(s.Took)]++
	}
}

func (c *Counts) cell(key cellKey) *Cell {
	cell, ok := c.cells[key]
	if !ok {
		cell = &Cell{Window: key.window, Route: key.route, Track: key.track, Server: key.server, Aspect: key.aspect, Times: map[int]int{}}
		c.cells[key] = cell
	}
	return cell
}

// Add adds cells of another instance.
func (c *Counts) Add(cells []Cell) {
	for i := range cells {
		from := &cells[i]
		to := c.cell(cellKey{from.Window, from.Route, from.Track, from.Server, from.Aspect})
		to.Number += from.Number
		to.Failed += from.Failed
		for b, n := range from.Times {
			to.Times[b] += n
		}
	}
}

// Cells returns all cells, in a fixed order.
func (c *Counts) Cells() []Cell {
	out := make([]Cell, 0, len(c.cells))
	for _, cell := range c.cells {
		copied := *cell
		copied.Times = maps.Clone(cell.Times)
		out = append(out, copied)
	}
	slices.SortFunc(out, func(a, b Cell) int {
		return cmp.Or(cmp.Compare(a.Window, b.Window), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Track, b.Track),
			cmp.Compare(a.Server, b.Server), cmp.Compare(a.Aspect, b.Aspect))
	})
	return out
}

// Total returns the answers of a track and how many of them failed.
func (c *Counts) Total(track Track) (number, failed int) {
	for key, cell := range c.cells {
		if key.track == track && key.aspect == Answer {
			number += cell.Number
			failed += cell.Failed
		}
	}
	return number, failed
}

// bucket returns the bucket of a time.
func bucket(d time.Duration) int {
	millis := max(float64(d)/float64(time.Millisecond), 0.1)
	return int(math.Floor(math.Log(millis) / math.Log(bucketBase)))
}

// window returns the window of a roll-out's age.
func window(age, duration time.Duration) int {
	if duration <= 0 {
		return 0
	}
	return min(windows-1, max(0, int(windows*age/duration)))
}
