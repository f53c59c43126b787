package loadgen

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"pollenspindle.example/pollenspindle/internal/loadgen/caller"
	"pollenspindle.example/pollenspindle/internal/loadgen/measure"
	"pollenspindle.example/pollenspindle/internal/standin/engine"
	"pollenspindle.example/pollenspindle/internal/standin/service"
)

const (
	ledgerPath    = "/control/ledger"
	ledgerTimeout = 20 * time.Second
)

// ledgers are those of all stand-ins at one time.
type ledgers struct {
	engines measure.EngineReport
	// starts holds when each generation was accepted, by place of its engine
	// in the options.
	starts   map[int][]time.Time
	services []service.Ledger
}

// readLedgers reads those that answer; a stand-in that was killed in the run
// has taken its ledger with it.
func readLedgers(ctx context.Context, opts Options) (ledgers, error) {
	all := ledgers{starts: map[int][]time.Time{}}
	for i, address := range opts.Engines {
		var l engine.Ledger
		if err := getJSON(ctx, address, ledgerPath, &l); err != nil {
			continue
		}
		addEngine(&all.engines, l)
		for _, g := range l.Generations {
			all.starts[i] = append(all.starts[i], time.UnixMilli(g.AcceptedUnixMillis))
		}
	}
	for _, address := range opts.Services {
		var l service.Ledger
		if err := getJSON(ctx, address, ledgerPath, &l); err != nil {
			return ledgers{}, merry.Prependf(err, "ledger of service %s", address)
		}
		all.services = append(all.services, l)
	}
	return all, nil
}

func getJSON(ctx context.Context, address, path string, v any) error {
	ctx, cancel := context.WithTimeout(ctx, ledgerTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return merry.Wrap(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return merry.Wrap(err)
	}
	defer resp.Body.Close()
	return merry.Wrap(json.NewDecoder(resp.Body).Decode(v))
}

func addEngine(sum *measure.EngineReport, l engine.Ledger) {
	sum.Read++
	for _, g := range l.Generations {
		sum.Generations++
		sum.Preemptions += int64(g.Preemptions)
		sum.StallMillis += g.StallMillis
		switch g.Status {
		case engine.StatusFinished, engine.StatusRunning:
			continue
		case engine.StatusCancelled, engine.StatusAbandoned:
			sum.Cancelled++
		case engine.StatusLost:
			sum.Lost++
		}
		sum.WastedTokens += int64(g.OutputTokens)
	}
}

// compare fills in what the ledgers show of the run between two readings.
func compare(report *measure.Report, before, after ledgers, told map[string]caller.Told) {
	if after.engines.Read > 0 {
		e, b := after.engines, before.engines
		report.Engines = &measure.EngineReport{
			Read: e.Read, Generations: e.Generations - b.Generations,
			Preemptions: e.Preemptions - b.Preemptions, StallMillis: e.StallMillis - b.StallMillis,
			WastedTokens: e.WastedTokens - b.WastedTokens,
			Lost:         e.Lost - b.Lost, Cancelled: e.Cancelled - b.Cancelled,
		}
	}
	if len(after.services) > 0 {
		report.Effects = compareEffects(after.services, told)
	}
}

// compareEffects counts how often each key took effect, over all services.
func compareEffects(services []service.Ledger, told map[string]caller.Told) *measure.EffectReport {
	report := &measure.EffectReport{}
	effects := map[string]int{}
	for _, l := range services {
		for _, e := range l.Effects {
			effects[e.IdempotencyKey]++
		}
	}
	for key, what := range told {
		n := effects[key]
		report.Effects += int64(n)
		switch {
		case n > 1:
			report.Doubled++
		case n == 1 && what == caller.ToldNotRun:
			report.FalseNotRun++
		case n == 0 && what == caller.ToldDone:
			report.Missing++
		}
	}
	return report
}

// startsByZone counts, for each second since start, what the engines of each
// availability zone accepted.
func startsByZone(start time.Time, zones []string, starts map[int][]time.Time) map[string][]int64 {
	counts := map[string][]int64{}
	for engine, zone := range zones {
		for _, at := range starts[engine] {
			if at.Before(start) {
				continue
			}
			second := int(at.Sub(start) / time.Second)
			for len(counts[zone]) <= second {
				counts[zone] = append(counts[zone], 0)
			}
			counts[zone][second]++
		}
	}
	return counts
}
