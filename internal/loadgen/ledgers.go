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

// ledgers holds the contents of the ledgers of all stand-ins at one time.
type ledgers struct {
	engineTotals measure.EngineReport
	// startTimes holds when each generation was accepted, by the index of its engine in
	// Options.Engines.
	startTimes map[int][]time.Time
	services   []service.Ledger
}

// readLedgers reads the ledgers of all stand-ins. Engines that don't respond are skipped: the
// ledger of a stand-in that was killed during the run is lost.
func readLedgers(ctx context.Context, opts Options) (ledgers, error) {
	result := ledgers{startTimes: map[int][]time.Time{}}
	for i, address := range opts.Engines {
		var l engine.Ledger
		if err := getJSON(ctx, address, ledgerPath, &l); err != nil {
			continue
		}
		addEngineLedger(&result.engineTotals, l)
		for _, g := range l.Generations {
			result.startTimes[i] = append(result.startTimes[i], time.UnixMilli(g.AcceptedUnixMillis))
		}
	}
	for _, address := range opts.Services {
		var l service.Ledger
		if err := getJSON(ctx, address, ledgerPath, &l); err != nil {
			return ledgers{}, merry.Prependf(err, "ledger of service %s", address)
		}
		result.services = append(result.services, l)
	}
	return result, nil
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

func addEngineLedger(totals *measure.EngineReport, l engine.Ledger) {
	totals.LedgersRead++
	for _, g := range l.Generations {
		totals.Generations++
		totals.Preemptions += int64(g.Preemptions)
		totals.StallMillis += g.StallMillis
		switch g.Status {
		case engine.StatusFinished, engine.StatusRunning:
			continue
		case engine.StatusCancelled, engine.StatusAbandoned:
			totals.Cancelled++
		case engine.StatusLost:
			totals.Lost++
		}
		totals.WastedTokens += int64(g.OutputTokens)
	}
}

// fillFromLedgers adds the difference between two ledger readings to the report.
func fillFromLedgers(report *measure.Report, before, after ledgers, reported map[string]caller.ReportedOutcome) {
	if after.engineTotals.LedgersRead > 0 {
		current, previous := after.engineTotals, before.engineTotals
		report.Engines = &measure.EngineReport{
			LedgersRead: current.LedgersRead, Generations: current.Generations - previous.Generations,
			Preemptions: current.Preemptions - previous.Preemptions, StallMillis: current.StallMillis - previous.StallMillis,
			WastedTokens: current.WastedTokens - previous.WastedTokens,
			Lost:         current.Lost - previous.Lost, Cancelled: current.Cancelled - previous.Cancelled,
		}
	}
	if len(after.services) > 0 {
		report.Effects = compareEffects(after.services, reported)
	}
}

// compareEffects counts how often each idempotency key took effect, over all services, and
// compares that with the reported outcomes.
func compareEffects(services []service.Ledger, reported map[string]caller.ReportedOutcome) *measure.EffectReport {
	report := &measure.EffectReport{}
	effects := map[string]int{}
	for _, l := range services {
		for _, e := range l.Effects {
			effects[e.IdempotencyKey]++
		}
	}
	for key, outcome := range reported {
		count := effects[key]
		report.Effects += int64(count)
		switch {
		case count > 1:
			report.Duplicated++
		case count == 1 && outcome == caller.ReportedNotRun:
			report.FalseNotRun++
		case count == 0 && outcome == caller.ReportedDone:
			report.Missing++
		}
	}
	return report
}

// countStartsByZone counts the generations accepted by the engines of each availability zone,
// per second since start.
func countStartsByZone(start time.Time, zones []string, startTimes map[int][]time.Time) map[string][]int64 {
	counts := map[string][]int64{}
	for engine, zone := range zones {
		for _, startTime := range startTimes[engine] {
			if startTime.Before(start) {
				continue
			}
			second := int(startTime.Sub(start) / time.Second)
			for len(counts[zone]) <= second {
				counts[zone] = append(counts[zone], 0)
			}
			counts[zone][second]++
		}
	}
	return counts
}
