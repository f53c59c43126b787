package slopes

import (
	"context"
	"encoding/json"
	"fmt"

	"pollenspindle.example/pollenspindle/internal/balancer"
	"pollenspindle.example/pollenspindle/internal/pace"
	"pollenspindle.example/pollenspindle/internal/planner"
)

// streamSizes are numbers of generations that one instance relays.
var streamSizes = []int{1, 3, 10, 30}

// streamsPerEngine is the number of streams of one instance on one engine at the larger sizes;
// instances are as many as engines, and engines run a few generations each.
const streamsPerEngine = 2

// plannerReportSeries measures the body of an instance's load report to a planner, without and with
// what the parts for heavy load add.
func plannerReportSeries(context.Context, Options) ([]Series, error) {
	size := func(extended bool) func(n int) float64 {
		return func(n int) float64 {
			body, _ := json.Marshal(plannerReport(n, extended))
			return float64(len(body))
		}
	}
	return []Series{
		measureSeries("load report to a planner", "bytes", "streams of the instance", 10, streamSizes, size(false)),
		measureSeries("load report to a planner, with pace, sequences and handover", "bytes", "streams of the instance", 10, streamSizes, size(true)),
	}, nil
}

func plannerReport(streams int, extended bool) planner.Report {
	r := planner.Report{Instance: "entry-0001", Started: 1_800_000_000_000, Sequence: 4711, Loads: map[string]balancer.Load{}}
	for i := range streams {
		engine := fmt.Sprintf("i-%010x", i/streamsPerEngine)
		load := r.Loads[engine].Plus(balancer.Load{Running: 1, Tokens: 3827})
		if extended {
			load = load.Plus(balancer.Load{HandoverCount: 1, HandoverTokens: 3079})
		}
		r.Loads[engine] = load
		if !extended {
			continue
		}
		if r.Paces == nil {
			r.Paces, r.Sequences = map[string]pace.Sample{}, map[string][][]int{}
			r.Keys = []planner.LengthKey{{Service: "llm/draft", Model: "hint9", Workspace: "workspace-001"}, {Service: "llm/check", Model: "hint3", Workspace: "workspace-001"}}
		}
		r.Paces[engine] = pace.Sample{Born: 1_800_000_000_000, IntervalMicros: 28_500, Windows: 40, AgeMillis: 350}
		r.Sequences[engine] = append(r.Sequences[engine], []int{3079, 412, 1768, i % 2})
	}
	return r
}
