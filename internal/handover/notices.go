package handover

import (
	"slices"
	"sync"
	"time"
)

const (
	// DefaultNotice is the notice of engines about which nothing is known.
	DefaultNotice = 1500 * time.Millisecond
	// LongestNotice is the longest notice that is assumed, minNotice the shortest.
	LongestNotice = 10 * time.Second
	minNotice     = 500 * time.Millisecond
	// MaxNotice is the longest time from a notice to an exit that is taken as one.
	MaxNotice = time.Minute
	// MaxNoticesSent limits the notices in one report.
	MaxNoticesSent = 16
	// noticeWindow and noticeTTL limit the observations that count; maxServices limits the services.
	noticeWindow = 32
	noticeTTL    = time.Minute
	maxServices  = 64
	// learnedTTL is how long a result is used without new observations.
	learnedTTL = time.Second
	// lowQuantile is the share of the engines that exit earlier than the learned notice.
	lowQuantile = 0.1
)

// Notice is the time from the notice to the exit of one engine.
type Notice struct {
	Service string `json:"service"`
	Millis  int64  `json:"millis"`
}

// Notices learns how long the engines of each service run after their notice. It is safe for
// concurrent use.
type Notices struct {
	mu        sync.Mutex
	byService map[string][]observed
	// learned holds the last results: they are asked for with every score of an engine.
	learned map[string]observed
}

type observed struct {
	notice time.Duration
	at     time.Time
}

// NewNotices returns a Notices without observations.
func NewNotices() *Notices {
	return &Notices{byService: map[string][]observed{}, learned: map[string]observed{}}
}

// Add adds the observations of an instance and returns how many were ignored because they are
// invalid or exceed a limit.
func (n *Notices) Add(now time.Time, notices []Notice) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	ignored := max(0, len(notices)-MaxNoticesSent)
	for _, o := range notices[:len(notices)-ignored] {
		all, known := n.byService[o.Service]
		if o.Service == "" || o.Millis < 0 || o.Millis > MaxNotice.Milliseconds() || (!known && !n.makeRoom(now)) {
			ignored++
			continue
		}
		all = append(all, observed{time.Duration(o.Millis) * time.Millisecond, now})
		n.byService[o.Service] = all[max(0, len(all)-noticeWindow):]
	}
	clear(n.learned)
	return ignored
}

// makeRoom reports whether another service can be stored. It drops services without recent
// observations if there are too many.
func (n *Notices) makeRoom(now time.Time) bool {
	if len(n.byService) < maxServices {
		return true
	}
	for service, all := range n.byService {
		if now.Sub(all[len(all)-1].at) > noticeTTL {
			delete(n.byService, service)
		}
	}
	return len(n.byService) < maxServices
}

// Notice returns the time for which nine in ten engines of a service run after their notice, between
// 0.5 and 10 s.
func (n *Notices) Notice(now time.Time, service string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l, ok := n.learned[service]; ok && now.Sub(l.at) < learnedTTL {
		return l.notice
	}
	notice := n.learn(now, service)
	if len(n.learned) >= 2*maxServices {
		clear(n.learned)
	}
	n.learned[service] = observed{notice, now}
	return notice
}

func (n *Notices) learn(now time.Time, service string) time.Duration {
	var recent []time.Duration
	for _, o := range n.byService[service] {
		if now.Sub(o.at) <= noticeTTL {
			recent = append(recent, o.notice)
		}
	}
	if len(recent) == 0 {
		return DefaultNotice
	}
	slices.Sort(recent)
	return min(LongestNotice, max(minNotice, recent[int(lowQuantile*float64(len(recent)))]))
}
