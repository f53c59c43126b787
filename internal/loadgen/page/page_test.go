package page

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/loadgen/measure"
)

func TestWriteComparesRuns(t *testing.T) {
	series := []measure.Second{
		{Completed: 2, DurationMillis: 3000, StallMillis: 600, P99GapMillis: 30},
		{Second: 1, Completed: 1, DurationMillis: 3000, P99GapMillis: 90, Preemptions: 3},
		{Second: 2},
		{Second: 3, Completed: 8, DurationMillis: 8000},
	}
	reports := []measure.Report{
		{Label: "predicted", PerSecond: series, Marks: map[string]float64{"zone leaves": 1}, Starts: map[string][]int64{"a": {1, 2, 3, 4}}},
		{Label: "roundRobin", PerSecond: series[:1]},
	}
	dir := filepath.Join(t.TempDir(), "new", "page")
	require.NoError(t, Write(dir, "Runs", reports))
	text, err := os.ReadFile(filepath.Join(dir, pageFileName))
	require.NoError(t, err)
	require.Contains(t, string(text), "- 1 s: zone leaves\n")
	charts := buildCharts(reports)
	require.Len(t, charts, 6)
	for _, c := range charts {
		require.Contains(t, string(text), "("+c.name+plotExtension+")")
		require.FileExists(t, filepath.Join(dir, c.name+plotExtension))
	}

	byName := map[string][]float64{}
	for _, c := range charts {
		byName[strings.SplitN(c.name, "-", 2)[0]] = c.lines[0].values
	}
	require.InDeltaSlice(t, []float64{0.2, 0}, byName["stall"], 1e-9)
	require.InDeltaSlice(t, []float64{1, 0}, byName["preemptions"], 1e-9)
	require.InDeltaSlice(t, []float64{90, 0}, byName["between"], 1e-9)
	require.InDeltaSlice(t, []float64{1, 8}, byName["completed"], 1e-9)
	require.InDeltaSlice(t, []float64{2, 1}, byName["delay"], 1e-9)
	require.InDeltaSlice(t, []float64{2, 4}, byName["starts"], 1e-9)
}
