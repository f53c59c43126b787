//go:build review

package main

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// requestDeadline is how long a client waits.
const requestDeadline = 3 * time.Second

// counts holds what became of the requests of one second of a run.
type counts struct{ sent, served, refused, failed, lost int }

// load sends requests at an even rate over kept connections.
type load struct {
	name, address, path, method string
	bodyBytes                   int
	perSecond                   int
	// after is how long after its start the load begins.
	after time.Duration
	next  *atomic.Int64

	mu      sync.Mutex
	seconds []counts
	started time.Time
	// refusal is the body of the first refusal.
	refusal string
}

func (l *load) run(ctx context.Context, workers int) {
	l.started = time.Now()
	ticks := make(chan struct{}, l.perSecond)
	go func() {
		defer close(ticks)
		for n := 0; ctx.Err() == nil; n++ {
			due := l.started.Add(l.after + time.Duration(float64(n)/float64(l.perSecond)*float64(time.Second)))
			time.Sleep(time.Until(due))
			select {
			case ticks <- struct{}{}:
			case <-ctx.Done():
			}
		}
	}()
	transport := &http.Transport{MaxIdleConnsPerHost: workers, IdleConnTimeout: 5 * time.Second}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	var sending sync.WaitGroup
	for range workers {
		sending.Go(func() {
			for range ticks {
				l.send(client)
			}
		})
	}
	sending.Wait()
}

func (l *load) send(client *http.Client) {
	second := int(time.Since(l.started).Seconds())
	id := requestID(l.next.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), requestDeadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, l.method, "http://"+l.address+l.path+id, strings.NewReader(strings.Repeat("x", l.bodyBytes)))
	if err != nil {
		return
	}
	req.Host = host
	req.Header.Set(wire.Fields.RequestID, id)
	req.Header.Set(wire.Fields.Key, key)
	req.Header.Set(wire.Fields.DeadlineMillis, "3000")
	status, body := 0, []byte(nil)
	resp, err := client.Do(req)
	if err == nil {
		status = resp.StatusCode
		body, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.seconds) <= second {
		l.seconds = append(l.seconds, counts{})
	}
	c := &l.seconds[second]
	c.sent++
	switch {
	case err != nil:
		c.lost++
	case status < http.StatusMultipleChoices:
		c.served++
	case status == http.StatusServiceUnavailable:
		c.refused++
		if l.refusal == "" {
			l.refusal = string(body)
		}
	default:
		c.failed++
	}
}

func (c *counts) add(o counts) {
	c.sent, c.served, c.refused, c.failed, c.lost = c.sent+o.sent, c.served+o.served, c.refused+o.refused, c.failed+o.failed, c.lost+o.lost
}

func (c *counts) servedShare() float64 { return float64(c.served) / float64(max(1, c.sent)) }

// sum returns the counts of the seconds that include reports.
func (l *load) sum(include func(second int) bool) counts {
	var sum counts
	for second, c := range l.seconds {
		if include(second) {
			sum.add(c)
		}
	}
	return sum
}

// record writes the counts of each fifth second.
func (l *load) record(record func(format string, args ...any)) {
	for second, c := range l.seconds {
		if second%5 == 0 && c.sent > 0 {
			record("%s, second %d: sent %d, answered 2xx %d, 503 %d, other %d, none %d", l.name, second, c.sent, c.served, c.refused, c.failed, c.lost)
		}
	}
	record("%s, first refusal: %s", l.name, l.refusal)
}
