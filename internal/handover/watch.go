package handover

import (
	"sync"
	"time"
)

const (
	// maxWatched limits the engines that are watched, watchTTL how long.
	maxWatched = 512
	watchTTL   = 30 * time.Second
)

// engineKey is one incarnation of an engine.
type engineKey struct {
	id   string
	born int64
}

type watched struct {
	since time.Time
	// exited says that the exit was observed.
	exited bool
}

// Watch observes on one instance which engines leave, since when, and when they exit. It is safe for
// concurrent use.
type Watch struct {
	mu      sync.Mutex
	engines map[engineKey]watched
	// notices holds the last observations, sequence the number of the last one.
	notices  []stamped
	sequence uint64
}

type stamped struct {
	Notice
	at time.Time
}

// NewWatch returns a Watch that knows no engine.
func NewWatch() *Watch { return &Watch{engines: map[engineKey]watched{}} }

// Leaving records that an incarnation of an engine is leaving. The first call counts.
func (w *Watch) Leaving(now time.Time, id string, born int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	k := engineKey{id, born}
	if _, ok := w.engines[k]; ok {
		return
	}
	for k, e := range w.engines {
		if now.Sub(e.since) > watchTTL {
			delete(w.engines, k)
		}
	}
	if len(w.engines) < maxWatched {
		w.engines[k] = watched{since: now}
	}
}

// Since returns how long an incarnation of an engine has been known to leave; false if it isn't.
func (w *Watch) Since(now time.Time, id string, born int64) (time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e, ok := w.engines[engineKey{id, born}]
	return max(0, now.Sub(e.since)), ok
}

// Broke records that a stream broke on an engine, and returns the time since the engine's notice if
// this is the first sign of the exit of a leaving engine.
func (w *Watch) Broke(now time.Time, service, id string, born int64) (time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	k := engineKey{id, born}
	e, ok := w.engines[k]
	notice := now.Sub(e.since)
	if !ok || e.exited || notice < 0 || notice > watchTTL {
		return 0, false
	}
	e.exited = true
	w.engines[k] = e
	w.sequence++
	w.notices = append(w.notices, stamped{Notice{Service: service, Millis: notice.Milliseconds()}, now})
	w.notices = w.notices[max(0, len(w.notices)-MaxNoticesSent):]
	return notice, true
}

// After returns the observations after the one with the given number, at most [MaxNoticesSent] and
// of the last minute, and the number of the last one.
func (w *Watch) After(now time.Time, sequence uint64) ([]Notice, uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []Notice
	first := w.sequence - uint64(len(w.notices)) + 1
	for i, n := range w.notices {
		if first+uint64(i) > sequence && now.Sub(n.at) <= noticeTTL {
			out = append(out, n.Notice)
		}
	}
	return out, w.sequence
}
