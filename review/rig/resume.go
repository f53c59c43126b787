//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	engines         = 12
	streamEvents    = 60
	streamInterval  = 28 * time.Millisecond
	streamsEach     = 40
	loseShare       = 0.05
	losingEngines   = 6
	losingTime      = 4 * time.Second
	maxOverlap      = 400 * time.Millisecond
	resumeRunLength = 24 * time.Second
)

// resumeCase streams on a route whose streams may be resumed, while some engines lose answers.
func resumeCase(trouble bool, record func(format string, args ...any)) (broken bool, err error) {
	d, err := newDeployment()
	if err != nil {
		return false, err
	}
	defer d.stop()
	l := &ledger{}
	var all []*modelEngine
	for i := range engines {
		e, err := newModelEngine(d, l, fmt.Sprintf("i-%d", i+1), zones[i%len(zones)], streamEvents, streamInterval)
		if err != nil {
			return false, err
		}
		all = append(all, e)
	}
	if err := d.start(3); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	begin := time.Now()
	lose := func(after time.Duration, share float64) {
		time.AfterFunc(after, func() {
			for _, e := range all[:losingEngines] {
				e.setLoses(share)
			}
		})
	}
	if trouble {
		for _, at := range []time.Duration{4 * time.Second, 14 * time.Second} {
			lose(at, loseShare)
			lose(at+losingTime, 0)
		}
	}
	var next atomic.Int64
	var whole, cut atomic.Int64
	var streaming sync.WaitGroup
	for n := 0; time.Since(begin) < resumeRunLength; n++ {
		in := d.instances[n%len(d.instances)]
		streaming.Go(func() {
			id := requestID(next.Add(1))
			if status, got := streamOnce(in, "/verdict/"+id, id, "{}"); status == http.StatusOK && got == streamEvents {
				whole.Add(1)
			} else {
				cut.Add(1)
			}
		})
		time.Sleep(time.Second / streamsEach)
	}
	streaming.Wait()
	time.Sleep(2 * time.Second)
	record("streams whole %d, cut or refused %d", whole.Load(), cut.Load())
	l.mu.Lock()
	defer l.mu.Unlock()
	byID := map[string][]*run{}
	lost := 0
	for _, g := range l.runs {
		byID[g.id] = append(byID[g.id], g)
		if g.lost {
			lost++
		}
	}
	record("runs %d, answers lost %d", len(l.runs), lost)
	twice := 0
	for id, runs := range byID {
		for _, later := range runs {
			for _, earlier := range runs {
				if later.after == 0 || earlier.engine == later.engine || !earlier.begin.Before(later.begin) {
					continue
				}
				overlap := earlier.end.Sub(later.begin)
				record("request %s: ran on %s until %.3f, went on after event %d on %s at %.3f", id, earlier.engine, earlier.end.Sub(begin).Seconds(), later.after, later.engine, later.begin.Sub(begin).Seconds())
				if overlap > maxOverlap {
					twice++
				}
			}
		}
	}
	record("requests that went on at another server while the one before worked on them for over %s: %d", maxOverlap, twice)
	return twice > 0, nil
}

// streamOnce requests a stream, and returns the status and the number of events; 0 if it broke off.
func streamOnce(in *instance, path, id, body string) (status, events int) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+in.caller+path, strings.NewReader(body))
	if err != nil {
		return 0, 0
	}
	req.Host = host
	for name, value := range map[string]string{
		wire.Fields.RequestID: id, wire.Fields.Key: key, wire.Fields.DeadlineMillis: "20000", wire.Fields.Model: "m", wire.Fields.TokenCounts: "100,240",
		wire.Fields.Prefix: "5c1e07a2:60," + id + ":40",
	} {
		req.Header.Set(name, value)
	}
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return 0, 0
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "id: ") {
			events++
		}
	}
	if lines.Err() != nil {
		return resp.StatusCode, 0
	}
	return resp.StatusCode, events
}
