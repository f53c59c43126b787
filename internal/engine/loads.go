package engine

import (
	"context"
	"encoding/json"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
)

// loadCacheTTL is how long the last report of an engine is kept as the base of incremental reports.
// It is many poll periods; a server that got another owner is dropped after it.
const loadCacheTTL = time.Minute

// loadCache holds, by address, the last load report of each engine that sends incremental reports.
// A report has about 90 bytes for each running request, most of which are still there in the next
// one. Full reports twice a second would use more than half of all bytes that an instance may spend
// on control traffic.
type loadCache struct {
	mu        sync.Mutex
	loads     map[string]cachedLoad
	lastSweep time.Time
}

type cachedLoad struct {
	report LoadReport
	at     time.Time
}

func (l *loadCache) get(address string) LoadReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.loads[address].report
}

// put stores a report that has a tag and so can be the base of an incremental one; other reports
// are dropped.
func (l *loadCache) put(now time.Time, address string, r LoadReport) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.loads == nil {
		l.loads = map[string]cachedLoad{}
	}
	if r.Tag == "" {
		delete(l.loads, address)
	} else {
		l.loads[address] = cachedLoad{report: r, at: now}
	}
	if now.Sub(l.lastSweep) < loadCacheTTL {
		return
	}
	l.lastSweep = now
	for address, last := range l.loads {
		if now.Sub(last.at) >= loadCacheTTL {
			delete(l.loads, address)
		}
	}
}

// loadResponse is a full load report or, if After is set, an update of the report with that tag. In
// an update, missing fields are unchanged, Ended holds the indexes in the base's Running of the
// generations that ended, Outputs the output tokens of the others in order, and Running the new
// generations.
type loadResponse struct {
	LoadReport
	After   string `json:"after"`
	Ended   []int  `json:"ended"`
	Outputs []int  `json:"outputs"`
}

// Load reads the load report of an engine. If the last report had a tag, an update of it is
// requested; an engine that doesn't support updates, or no longer has that report, sends a full
// report.
func (c *Client) Load(ctx context.Context, address string) (LoadReport, error) {
	base := c.loadCache.get(address)
	path := "/v1/load"
	if base.Tag != "" {
		path += "?after=" + url.QueryEscape(base.Tag)
	}
	var body json.RawMessage
	err := c.getJSON(ctx, address, path, c.loadMeter, &body)
	if err != nil {
		return LoadReport{}, err
	}
	var report LoadReport
	c.loadMeter.Run(func() { report, err = decodeLoad(base, body) })
	if err != nil {
		c.loadCache.put(time.Now(), address, LoadReport{})
		return LoadReport{}, merry.Wrap(ErrInvalidResponse, merry.WithCause(err))
	}
	c.loadCache.put(time.Now(), address, report)
	return report, nil
}

func decodeLoad(base LoadReport, body []byte) (LoadReport, error) {
	response := loadResponse{LoadReport: base}
	response.Running = nil
	if err := json.Unmarshal(body, &response); err != nil {
		return LoadReport{}, err
	}
	if response.After == "" {
		if base.Tag == "" {
			return response.LoadReport, nil
		}
		// Fields missing from a full report must not keep their previous values.
		var full LoadReport
		err := json.Unmarshal(body, &full)
		return full, err
	}
	return response.applyTo(base)
}

// applyTo applies an update to its base report.
func (a *loadResponse) applyTo(base LoadReport) (LoadReport, error) {
	if a.After != base.Tag || base.Tag == "" {
		return LoadReport{}, merry.New("update of another report")
	}
	running := make([]RunningSequence, 0, len(base.Running)+len(a.Running))
	ended := 0
	for i, s := range base.Running {
		if slices.Contains(a.Ended, i) {
			ended++
			continue
		}
		running = append(running, s)
	}
	if ended != len(a.Ended) || len(a.Outputs) != len(running) {
		return LoadReport{}, merry.New("update doesn't match the previous report")
	}
	for i, n := range a.Outputs {
		running[i].OutputTokens = n
	}
	report := a.LoadReport
	running = append(running, a.Running...)
	report.Running = running
	return report, nil
}
