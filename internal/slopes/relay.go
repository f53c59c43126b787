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
	// warmUp lets the streams of a level start before it is measured.
	warmUp   = 2 * time.Second
	relayFor = 4 * time.Second
	// tokensEach is what one instance relays in a second at the size designed
	// for: 450,000 over 350.
	tokensEach = 1286
)

var streamCounts = []int{2, 4, 8, 16}

// relay measures one entry instance as a real process, while it relays streams
// of four stand-in engines on the same machine.
func relay(ctx context.Context, opts Options) ([]Series, error) {
	cpu := Series{What: "one instance relays streams", Unit: "% of a core", Over: "tokens/s", Size: tokensEach}
	rss := Series{What: "one instance relays streams, resident memory", Unit: "MB", Over: "streams", Size: 56}
	d, err := newDeployment(opts.Binaries)
	if err != nil {
		return nil, err
	}
	defer d.stop()
	if err := d.startRelay(ctx); err != nil {
		return nil, err
	}
	for _, n := range streamCounts {
		rate, used, err := d.relayLevel(ctx, n)
		if err != nil {
			return nil, err
		}
		cpu.Points = append(cpu.Points, Point{rate, used[0]})
		rss.Points = append(rss.Points, Point{float64(n), used[1]})
	}
	return []Series{cpu, rss}, nil
}

// startRelay starts one instance before engines that all run all models.
func (d *deployment) startRelay(ctx context.Context) error {
	cfg := fleet(relayEngines, 1)
	free, err := addresses(ctx, relayEngines)
	if err != nil {
		return err
	}
	for i, address := range free {
		s := &cfg.Servers[i]
		s.Address, s.ColdLimit, s.Models = address, 32, nil
		for m := range fullModels {
			s.Models = append(s.Models, modelName(m))
		}
		err := d.run(ctx, "standin", "engine", "--address", address, "--name", s.Name,
			"--cold-limit", "32", "--memory-tokens", "160000")
		if err != nil {
			return err
		}
	}
	if err := d.start(ctx, 1, cfg); err != nil {
		return err
	}
	return objectapi.Sleep(ctx, processSettle)
}

// relayLevel keeps n streams open and returns tokens a second and what the
// instance used.
func (d *deployment) relayLevel(ctx context.Context, n int) (rate float64, used []float64, err error) {
	ctx, cancel := context.WithCancel(ctx)
	var streams sync.WaitGroup
	defer streams.Wait()
	defer cancel()
	var tokens atomic.Int64
	for i := range n {
		streams.Go(func() {
			for ctx.Err() == nil {
				if err := stream(ctx, d.callers[0], i, &tokens); err != nil {
					// Refused or cut off: not at once again.
					_ = objectapi.Sleep(ctx, 100*time.Millisecond)
				}
			}
		})
	}
	if err := objectapi.Sleep(ctx, warmUp); err != nil {
		return 0, nil, merry.Wrap(err)
	}
	before, start := tokens.Load(), time.Now()
	used, err = d.measure(ctx, relayFor)
	rate = float64(tokens.Load()-before) / time.Since(start).Seconds()
	if err == nil && rate == 0 {
		err = merry.Wrap(ErrMeasure, merry.AppendMessage("no tokens came"))
	}
	return rate, used, err
}

// stream asks for one generation and counts its events.
func stream(ctx context.Context, address string, i int, tokens *atomic.Int64) error {
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
