package pushback

import (
	"maps"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// brittleTTL is how long a server counts as brittle after the last response that said so.
	brittleTTL = 15 * time.Second
	// minRejectionPause and maxRejectionPause bound the time for which a brittle server that has
	// rejected a request gets no other of this instance.
	minRejectionPause = time.Second
	maxRejectionPause = 5 * time.Second
	// maxBrittleness is the number of rejections a second from which on a server counts as sound.
	maxBrittleness = 1 << 20
)

// ParseBrittleness returns how many requests a brittle server can reject in a second for want of room
// without crashing; 0 for a server that isn't brittle. It reports false for an invalid value.
func ParseBrittleness(value string) (int, bool) {
	value = strings.TrimSpace(value)
	if value == "" {
		return 0, true
	}
	n, err := strconv.ParseFloat(value, 64)
	if err != nil || !(n >= 0) {
		return 0, false
	}
	if n >= maxBrittleness {
		return 0, true
	}
	return max(1, int(n)), true
}

// Brittle holds the servers that crash if they have to reject many requests in a second, such as when
// a burst of callers reaches all instances. It is safe for concurrent use.
type Brittle struct {
	mu      sync.Mutex
	servers map[string]brittleState
}

type brittleState struct {
	rejections int
	seenAt     time.Time
}

// NewBrittle returns a Brittle without servers.
func NewBrittle() *Brittle { return &Brittle{servers: map[string]brittleState{}} }

// Observe records the brittleness that a server states in a response, 0 for none, and reports whether
// it changed.
func (b *Brittle) Observe(now time.Time, server string, rejections int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	before := b.rejections(now, server)
	if rejections == 0 {
		delete(b.servers, server)
		return before != 0
	}
	if before == 0 {
		maps.DeleteFunc(b.servers, func(_ string, st brittleState) bool { return now.Sub(st.seenAt) >= brittleTTL })
	}
	b.servers[server] = brittleState{rejections: rejections, seenAt: now}
	return before != rejections
}

// Rejections returns how many requests a server can reject in a second without crashing; 0 for a
// server that isn't brittle.
func (b *Brittle) Rejections(now time.Time, server string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rejections(now, server)
}

func (b *Brittle) rejections(now time.Time, server string) int {
	st, ok := b.servers[server]
	if !ok || now.Sub(st.seenAt) >= brittleTTL {
		return 0
	}
	return st.rejections
}

// RejectionPause returns for how long a server that has rejected a request gets none of this instance:
// so long that one rejection by each instance in that time is what the server bears. It is 0 for a
// server that isn't brittle.
func (b *Brittle) RejectionPause(now time.Time, server string, instances int) time.Duration {
	n := b.Rejections(now, server)
	if n == 0 {
		return 0
	}
	pause := time.Duration(float64(time.Second) * float64(instances) / float64(n))
	return min(maxRejectionPause, max(minRejectionPause, pause))
}

// BrittleShare returns how many requests one instance may have at a time on a brittle server with a
// number of slots. Together they exceed the slots by no more than the server may reject, except if
// there are more instances than that: last is set for an instance that would get none on any server
// of the service, and gets one on this.
func BrittleShare(share Share, slots, rejections int, last bool) int {
	slots = max(1, slots)
	switch {
	case share.Instances <= slots:
		return slots / max(1, share.Instances)
	case share.Rank < slots+rejections, last:
		return 1
	}
	return 0
}
