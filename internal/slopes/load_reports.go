package slopes

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/ansel1/merry/v2"

	"pollenspindle.example/pollenspindle/internal/engine"
	standin "pollenspindle.example/pollenspindle/internal/standin/engine"
)

// loadReports measures load reports in full and as changes.
func loadReports(ctx context.Context) ([]Series, error) {
	full := Series{What: "one load report in full", Unit: "bytes both ways", Over: "running requests", Size: runningOnEach}
	changes := Series{What: "one load report as changes, one request ended and one started", Unit: "bytes both ways", Over: "running requests", Size: runningOnEach}
	for _, n := range runningSizes {
		for _, s := range []struct {
			series *Series
			tagged bool
		}{{&full, false}, {&changes, true}} {
			b, err := reportBytes(ctx, n, s.tagged)
			if err != nil {
				return nil, err
			}
			s.series.Points = append(s.series.Points, Point{float64(n), b})
		}
	}
	return []Series{full, changes}, nil
}

// loadAt returns the report of an engine that runs n requests, at round i: in
// each round one ends and one starts, and all others get some tokens.
func loadAt(i, n int) engine.LoadReport {
	report := engine.LoadReport{
		Incarnation: "engine-0001-5f2c", MeasuredMillisAgo: 180, State: engine.LoadWarm, MemoryTokens: 160000,
		UsedTokens: 9120 + 100*i, CachedTokens: 2000 + i, TokenIntervalMillis: 31.25 + float64(i)/64, Preemptions: 3,
		AcceptedTotal: int64(812345 + i), FinishedTotal: int64(790123 + i), RefusedTotal: 4,
	}
	for k := i; k < i+n; k++ {
		report.Running = append(report.Running, engine.RunningSequence{
			ID: fmt.Sprintf("gen-0b0e5f5e-8f0e-4d8c-a2f7-%012d", k), PromptTokens: 300, OutputTokens: 1000 + 20*(i+n-k),
		})
	}
	return report
}

// reportBytes returns the bytes of one load report that names n requests, from
// an engine with tags or without; the first, in full, isn't counted.
func reportBytes(ctx context.Context, n int, tagged bool) (float64, error) {
	var round atomic.Int64
	s, count := serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		i := int(round.Add(1))
		report := loadAt(i, n)
		w.Header().Set("Content-Type", "application/json")
		if !tagged {
			_ = json.NewEncoder(w).Encode(report)
			return
		}
		report.Tag = "5f2c1b3a-1." + strconv.Itoa(i)
		if r.URL.Query().Get("after") == "" {
			_ = json.NewEncoder(w).Encode(report)
			return
		}
		before := loadAt(i-1, n)
		before.Tag = "5f2c1b3a-1." + strconv.Itoa(i-1)
		_ = json.NewEncoder(w).Encode(standin.DiffLoadReports(before, report))
	}))
	defer s.Close()
	c := engine.NewClient(engine.Options{})
	defer c.Close()
	const calls = 50
	for i := range calls + 1 {
		if i == 1 {
			count.bytes.Store(0)
		}
		if _, err := c.Load(ctx, strings.TrimPrefix(s.URL, "http://")); err != nil {
			return 0, merry.Wrap(ErrMeasure, merry.WithCause(err))
		}
	}
	return float64(count.bytes.Load()) / calls, nil
}
