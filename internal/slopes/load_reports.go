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

// loadReportSeries measures the size of full and of incremental load reports.
func loadReportSeries(ctx context.Context) ([]Series, error) {
	full := Series{Name: "one full load report", Unit: "bytes both ways", SizeName: "running requests", DesignSize: runningPerServer}
	incremental := Series{Name: "one incremental load report, one request ended and one started", Unit: "bytes both ways", SizeName: "running requests", DesignSize: runningPerServer}
	for _, n := range runningSizes {
		for _, s := range []struct {
			series *Series
			tagged bool
		}{{&full, false}, {&incremental, true}} {
			b, err := loadReportBytes(ctx, n, s.tagged)
			if err != nil {
				return nil, err
			}
			s.series.Points = append(s.series.Points, Point{float64(n), b})
		}
	}
	return []Series{full, incremental}, nil
}

// loadReportAt returns the load report of an engine that runs n requests. In each round one
// request ends and one starts, and all others produce some tokens.
func loadReportAt(round, n int) engine.LoadReport {
	report := engine.LoadReport{
		Incarnation: "engine-0001-5f2c", MeasuredMillisAgo: 180, State: engine.LoadWarm, MemoryTokens: 160000,
		UsedTokens: 9120 + 100*round, CachedTokens: 2000 + round, TokenIntervalMillis: 31.25 + float64(round)/64, Preemptions: 3,
		AcceptedTotal: int64(812345 + round), FinishedTotal: int64(790123 + round), RefusedTotal: 4,
	}
	for k := round; k < round+n; k++ {
		report.Running = append(report.Running, engine.RunningSequence{
			ID: fmt.Sprintf("gen-0b0e5f5e-8f0e-4d8c-a2f7-%012d", k), PromptTokens: 300, OutputTokens: 1000 + 20*(round+n-k),
		})
	}
	return report
}

// loadReportBytes returns the bytes of one load report with n requests, from an engine that
// sends incremental reports (tagged) or full ones. The first report, which is always full,
// isn't counted.
func loadReportBytes(ctx context.Context, n int, tagged bool) (float64, error) {
	var requests atomic.Int64
	s, counter := serveCounted(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		i := int(requests.Add(1))
		report := loadReportAt(i, n)
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
		previous := loadReportAt(i-1, n)
		previous.Tag = "5f2c1b3a-1." + strconv.Itoa(i-1)
		_ = json.NewEncoder(w).Encode(standin.DiffLoadReports(previous, report))
	}))
	defer s.Close()
	c := engine.NewClient(engine.Options{})
	defer c.Close()
	const calls = 50
	for i := range calls + 1 {
		if i == 1 {
			counter.total.Store(0)
		}
		if _, err := c.Load(ctx, strings.TrimPrefix(s.URL, "http://")); err != nil {
			return 0, merry.Wrap(ErrMeasure, merry.WithCause(err))
		}
	}
	return float64(counter.total.Load()) / calls, nil
}
