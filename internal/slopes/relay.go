package slopes

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"pollenspindle.example/pollenspindle/internal/objectapi"
)

const (
	relayEngines = 4
	// streamWarmUp is the time for the streams to start before they are measured.
	streamWarmUp     = 2 * time.Second
	relayMeasureTime = 4 * time.Second
	// tokensPerInstance is the number of tokens that one instance relays per second at the
	// design size: 450,000 divided by 350 instances.
	tokensPerInstance = 1286
)

var streamCounts = []int{2, 4, 8, 16}

// relaySeries measures one entry instance as a real process while it relays streams of four
// engine stand-ins on the same machine.
func relaySeries(ctx context.Context, opts Options) ([]Series, error) {
	cpu := Series{Name: "one instance relays streams", Unit: "% of a core", SizeName: "tokens/s", DesignSize: tokensPerInstance}
	rss := Series{Name: "one instance relays streams, resident memory", Unit: "MB", SizeName: "streams", DesignSize: 56}
	d, err := newDeployment(opts.Binaries)
	if err != nil {
		return nil, err
	}
	defer d.stop()
	if err := d.startRelayInstance(ctx); err != nil {
		return nil, err
	}
	for _, n := range streamCounts {
		rate, used, err := d.measureRelay(ctx, n)
		if err != nil {
			return nil, err
		}
		cpu.Points = append(cpu.Points, Point{rate, used[0]})
		rss.Points = append(rss.Points, Point{float64(n), used[1]})
	}
	return []Series{cpu, rss}, nil
}

// startRelayInstance starts one instance and engines that all run all models.
func (d *deployment) startRelayInstance(ctx context.Context) error {
	cfg := fleetConfig(relayEngines, 1)
	addresses, err := freeAddresses(ctx, relayEngines)
	if err != nil {
		return err
	}
	for i, address := range addresses {
		s := &cfg.Servers[i]
		s.Address, s.ColdLimit, s.Models = address, 32, nil
		for m := range designModels {
			s.Models = append(s.Models, modelName(m))
		}
		err := d.startProcess(ctx, "standin", "engine", "--address", address, "--name", s.Name,
			"--cold-limit", "32", "--memory-tokens", "160000")
		if err != nil {
			return err
		}
	}
	if err := d.startInstances(ctx, 1, cfg); err != nil {
		return err
	}
	return objectapi.Sleep(ctx, processSettleTime)
}

// measureRelay keeps n streams open and returns the tokens per second and the usage of the
// instance.
func (d *deployment) measureRelay(ctx context.Context, n int) (rate float64, used []float64, err error) {
	ctx, cancel := context.WithCancel(ctx)
	var streams sync.WaitGroup
	defer streams.Wait()
	defer cancel()
	var tokens atomic.Int64
	for i := range n {
		streams.Go(func() {
			for ctx.Err() == nil {
				if err := readStream(ctx, d.callerAddresses[0], i, &tokens); err != nil {
					// Refused or interrupted: retry after a pause.
					_ = objectapi.Sleep(ctx, 100*time.Millisecond)
				}
			}
		})
	}
	if err := objectapi.Sleep(ctx, streamWarmUp); err != nil {
		return 0, nil, merry.Wrap(err)
	}
	before, start := tokens.Load(), time.Now()
	used, err = d.measureUsage(ctx, relayMeasureTime)
	rate = float64(tokens.Load()-before) / time.Since(start).Seconds()
	if err == nil && rate == 0 {
		err = merry.Wrap(ErrMeasure, merry.AppendMessage("no tokens received"))
	}
	return rate, used, err
}

// readStream starts one generation and counts its events.
func readStream(ctx context.Context, address string, i int, tokens *atomic.Int64) error {
	body := fmt.Sprintf(`{"model":%q,"prompt":"briefing %d for the field","max_tokens":400,"stream":true}`, modelName(i), i)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/completions", bytes.NewBufferString(body))
	if err != nil {
		return merry.Wrap(err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer token-0")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return merry.Wrap(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return merry.Wrap(ErrMeasure, merry.AppendMessagef("status %d", resp.StatusCode))
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "data:") {
			tokens.Add(1)
		}
	}
	return lines.Err()
}
