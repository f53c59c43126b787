package loadgen

import (
	"context"
	"time"

	"pollenspindle.example/pollenspindle/internal/engine"
	"pollenspindle.example/pollenspindle/internal/loadgen/measure"
	"pollenspindle.example/pollenspindle/internal/loadgen/procstat"
)

// samplePeriod is the time between two samples of the processes' memory.
const samplePeriod = 100 * time.Millisecond

// samplePreemptions reads the engines' load reports every second until ctx ends, then sends the
// number of preemptions in each second. An engine that doesn't respond adds nothing; the
// counter of one that restarted begins at 0 again.
func samplePreemptions(ctx context.Context, engines []string) <-chan []int64 {
	result := make(chan []int64, 1)
	last := make([]int64, len(engines))
	sample := func() int64 {
		var sum int64
		for i, address := range engines {
			var r engine.LoadReport
			if getJSON(ctx, address, "/v1/load", &r) != nil {
				continue
			}
			sum += max(0, r.Preemptions-last[i])
			last[i] = r.Preemptions
		}
		return sum
	}
	go func() {
		ticker := time.NewTicker(time.Second)
		defer ticker.Stop()
		var perSecond []int64
		sample()
		for {
			select {
			case <-ctx.Done():
				result <- perSecond
				return
			case <-ticker.C:
				perSecond = append(perSecond, sample())
			}
		}
	}()
	return result
}

// sampleProcesses samples the processes until ctx ends, then sends the result. Processes that
// exit meanwhile keep their last sample.
func sampleProcesses(ctx context.Context, pids []int, open func() int64) <-chan []measure.ProcessReport {
	result := make(chan []measure.ProcessReport, 1)
	first := make([]procstat.Stat, len(pids))
	reports := make([]measure.ProcessReport, len(pids))
	for i, pid := range pids {
		reports[i].PID = pid
		first[i], _ = procstat.Read(pid)
		reports[i].StartRSSBytes = first[i].RSSBytes
	}
	sample := func() {
		for i, pid := range pids {
			stat, err := procstat.Read(pid)
			if err != nil {
				continue
			}
			reports[i].CPUSeconds = (stat.CPU - first[i].CPU).Seconds()
			if stat.RSSBytes > reports[i].PeakRSSBytes {
				reports[i].PeakRSSBytes, reports[i].OpenAtPeak = stat.RSSBytes, open()
			}
		}
	}
	go func() {
		ticker := time.NewTicker(samplePeriod)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				sample()
				result <- reports
				return
			case <-ticker.C:
				sample()
			}
		}
	}()
	return result
}
