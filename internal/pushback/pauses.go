package pushback

import (
	"maps"
	"math"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxPause limits the pause that a server may ask for.
const maxPause = time.Hour

// ParseRetryAfter returns the duration in a Retry-After field in seconds, with or without a
// fraction. Dates aren't supported, since clocks differ.
func ParseRetryAfter(value string) (time.Duration, bool) {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	if err != nil || math.IsNaN(seconds) || seconds <= 0 {
		return 0, false
	}
	return time.Duration(min(seconds, maxPause.Seconds()) * float64(time.Second)), true
}

// Pauses holds until when servers want no request from this instance. It is safe for concurrent use.
type Pauses struct {
	mu    sync.Mutex
	until map[string]time.Time
}

// NewPauses returns a Pauses without entries.
func NewPauses() *Pauses { return &Pauses{until: map[string]time.Time{}} }

// Record records that a server asked for a pause, and reports whether it wasn't pausing already.
func (p *Pauses) Record(now time.Time, server string, pause time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.until[server]
	if until := now.Add(pause); until.After(before) {
		maps.DeleteFunc(p.until, func(_ string, ended time.Time) bool { return !now.Before(ended) })
		p.until[server] = until
	}
	return !now.Before(before)
}

// Remaining returns how long a server still wants no request from this instance; 0 if it takes them.
func (p *Pauses) Remaining(now time.Time, server string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(0, p.until[server].Sub(now))
}

// Paused returns the servers that want no request from this instance.
func (p *Pauses) Paused(now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for server, until := range p.until {
		if now.Before(until) {
			out = append(out, server)
		}
	}
	return out
}
