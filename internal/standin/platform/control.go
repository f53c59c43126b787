package platform

import (
	"encoding/json"
	"maps"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// faults is the body of PUT /control/faults.
type faults struct {
	// Down makes every call fail with status 503.
	Down bool `json:"down"`
	// DelayMillis is the delay before a call takes effect.
	DelayMillis int `json:"delayMillis"`
	// LoseAnswers is the number of writes that take effect but get no response.
	LoseAnswers int `json:"loseAnswers"`
	// AnswersBeforeLoss is the number of writes that still get a response before that.
	AnswersBeforeLoss int `json:"spareAnswers"`
	// FreezeList stops the instance list from changing.
	FreezeList bool `json:"freezeList"`
}

// Stats is the response body of GET /control/stats.
type Stats struct {
	// Calls counts the calls, refused ones included, by method and kind, such as
	// "GET config" and "WATCH config".
	Calls map[string]int64 `json:"calls"`
	// Refused counts the calls that got 503.
	Refused int64 `json:"refused"`
	// MaxCallsPerSecond is the highest number of calls received within one second.
	MaxCallsPerSecond int64 `json:"mostPerSecond"`
	// WaitingWatches is the number of long polls that are open.
	WaitingWatches int64 `json:"waitingWatches"`
}

// control limits and counts calls and holds the active faults.
type control struct {
	readLimiter, writeLimiter *rate.Limiter
	waitingWatches            atomic.Int64

	mu                sync.Mutex
	faults            faults
	calls             map[string]int64
	refused           int64
	currentSecond     int64
	callsInSecond     int64
	maxCallsPerSecond int64
}

func newControl(opts Options) *control {
	return &control{
		readLimiter:  newLimiter(opts.ReadsPerSecond),
		writeLimiter: newLimiter(opts.WritesPerSecond),
		calls:        map[string]int64{},
	}
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// admit counts a call and reports whether to serve it.
func (c *control) admit(r *http.Request, now time.Time) bool {
	name, limiter := r.Method+" "+r.PathValue("kind"), c.readLimiter
	switch {
	case r.Method != http.MethodGet:
		limiter = c.writeLimiter
	case r.URL.Path == "/instances":
		name = "GET instances"
	case len(r.URL.Path) > 7 && r.URL.Path[:7] == "/watch/":
		name = "WATCH " + r.PathValue("kind")
	}
	allowed := limiter.AllowN(now, 1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls[name]++
	if second := now.Unix(); second != c.currentSecond {
		c.currentSecond, c.callsInSecond = second, 0
	}
	c.callsInSecond++
	c.maxCallsPerSecond = max(c.maxCallsPerSecond, c.callsInSecond)
	if !allowed || c.faults.Down {
		c.refused++
		return false
	}
	return true
}

func (c *control) delay() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(c.faults.DelayMillis) * time.Millisecond
}

// shouldLoseAnswer reports whether to drop the response of the current write.
func (c *control) shouldLoseAnswer() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.faults.LoseAnswers <= 0 {
		return false
	}
	if c.faults.AnswersBeforeLoss > 0 {
		c.faults.AnswersBeforeLoss--
		return false
	}
	c.faults.LoseAnswers--
	return true
}

func (c *control) setFaults(f faults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = f
}

func (c *control) stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Stats{
		Calls:             maps.Clone(c.calls),
		Refused:           c.refused,
		MaxCallsPerSecond: c.maxCallsPerSecond,
		WaitingWatches:    c.waitingWatches.Load(),
	}
}

// instances is the list of instances. A change becomes visible after lag.
type instances struct {
	lag time.Duration

	mu      sync.Mutex
	frozen  bool
	served  json.RawMessage
	pending []pendingList
}

type pendingList struct {
	visibleAt time.Time
	value     json.RawMessage
}

func newInstances(lag time.Duration) *instances {
	return &instances{lag: lag, served: json.RawMessage(`{"instances":[]}`)}
}

func (l *instances) set(now time.Time, value json.RawMessage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = append(l.pending, pendingList{visibleAt: now.Add(l.lag), value: value})
}

func (l *instances) freeze(frozen bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.frozen = frozen
}

func (l *instances) get(now time.Time) json.RawMessage {
	l.mu.Lock()
	defer l.mu.Unlock()
	for !l.frozen && len(l.pending) > 0 && !now.Before(l.pending[0].visibleAt) {
		l.served = l.pending[0].value
		l.pending = l.pending[1:]
	}
	return l.served
}

func (h *Handler) listInstances(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, h.instances.get(time.Now()))
}

func (h *Handler) putInstances(w http.ResponseWriter, r *http.Request) {
	var value json.RawMessage
	if !readControl(w, r, &value) {
		return
	}
	h.instances.set(time.Now(), value)
	writeJSON(w, http.StatusOK, struct{}{})
}

func (h *Handler) putFaults(w http.ResponseWriter, r *http.Request) {
	var f faults
	if !readControl(w, r, &f) {
		return
	}
	// Applies the changes that are due before a freeze takes effect.
	h.instances.get(time.Now())
	h.control.setFaults(f)
	h.instances.freeze(f.FreezeList)
	writeJSON(w, http.StatusOK, f)
}

func (h *Handler) putCompact(w http.ResponseWriter, _ *http.Request) {
	h.store.compact()
	writeJSON(w, http.StatusOK, struct{}{})
}

func (h *Handler) getStats(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, h.control.stats())
}

func readControl(w http.ResponseWriter, r *http.Request, v any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxValueBytes)).Decode(v)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, struct{}{})
		return false
	}
	return true
}
