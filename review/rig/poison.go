//go:build review

package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	poisonLength = 26 * time.Second
	// The request that crashes engines comes poisonCopies times, one each poisonPause.
	poisonCopies, poisonPause = 5, 600 * time.Millisecond
	poisonBody                = `{"draft":"1"}`
	plainStreams              = 8
	contactTime               = 3 * time.Second
	// poisonLimit is the number of crashes after which such a request may reach servers maxLateSends times
	// more, later than contactTime.
	poisonLimit, maxLateSends = 3, 3
)

// poisonCase sends a request that crashes engines in the middle of their answers, beside others.
func poisonCase(trouble bool, record func(format string, args ...any)) (broken bool, err error) {
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
	since := func(t time.Time) float64 { return t.Sub(begin).Seconds() }
	var next atomic.Int64
	var whole, other atomic.Int64
	var sending sync.WaitGroup
	path := "/verdict/7"
	if trouble {
		path = "/verdict/" + poisonPath
	}
	sending.Go(func() {
		for n := range poisonCopies {
			time.Sleep(poisonPause)
			in := d.instances[n%len(d.instances)]
			sending.Go(func() {
				sent := time.Now()
				status, events := streamOnce(in, path, requestID(next.Add(1)), poisonBody)
				record("request %d sent at %.3f to %s: status %d, %d events, ended at %.3f", n, since(sent), in.name, status, events, since(time.Now()))
			})
		}
	})
	for n := 0; time.Since(begin) < poisonLength; n++ {
		in, route := d.instances[n%len(d.instances)], []string{"/verdict/", "/briefing/"}[n/2%2]
		sending.Go(func() {
			id := requestID(next.Add(1))
			status, events := streamOnce(in, route+id, id, "{}")
			if status == http.StatusOK && events == streamEvents {
				whole.Add(1)
				return
			}
			other.Add(1)
			record("stream %s%s of another caller: status %d, not whole", route, id, status)
		})
		time.Sleep(time.Second / plainStreams)
	}
	sending.Wait()
	record("streams of other callers: whole %d, cut or refused %d", whole.Load(), other.Load())
	var crashes []time.Time
	for _, e := range all {
		e.mu.Lock()
		crashes = append(crashes, e.crashes...)
		e.mu.Unlock()
	}
	slices.SortFunc(crashes, time.Time.Compare)
	for i, at := range crashes {
		record("crash %d at %.3f", i+1, since(at))
	}
	if len(crashes) < poisonLimit {
		return false, nil
	}
	known := crashes[poisonLimit-1].Add(contactTime)
	late, attempts := 0, map[string]bool{}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, g := range l.runs {
		if !strings.Contains(g.path, poisonPath) {
			continue
		}
		record("request %s reached %s at %.3f, after event %d", g.id, g.engine, since(g.begin), g.after)
		if g.begin.After(known) {
			late++
			attempts[g.id] = true
		}
	}
	record("reached engines later than %s after the third crash: %d times, in %d attempts of callers", contactTime, late, len(attempts))
	return late > maxLateSends && len(attempts) > maxLateSends, nil
}
