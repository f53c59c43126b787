// Package balancer chooses the backend server for a request. It holds no sockets and starts no
// goroutines; the present time is an argument.
//
// Each instance knows its own requests at once and those of the others some hundred milliseconds
// late. The balancer prevents that an engine's memory fills while others have capacity, that a cold
// server gets more requests than it can take, that requests keep going to a failing server, and
// that all instances send to the server with the lowest load in the same report.
//
// # Usage
//
//	b := balancer.New(balancer.ColdLimits{ColdOverage: 1.5, ColdSlack: 5}, rng, nil)
//	choice := b.Pick(now, balancer.Request{...}, candidates)
//	if picked, ok := choice.(balancer.Picked); ok {
//		defer b.Release(picked.Placement)
//	}
package balancer

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"pollenspindle.example/pollenspindle/internal/pace"
	"pollenspindle.example/pollenspindle/internal/platformstate"
	"pollenspindle.example/pollenspindle/internal/pushback"
	"pollenspindle.example/pollenspindle/internal/routes"
)

const (
	// crossZoneCost is the cost of another availability zone, as a share of a server's capacity. It
	// keeps traffic within a zone while the zone's servers are about as free as others, but not if
	// callers would have to wait.
	crossZoneCost = 0.12
	// scoreNoise spreads instances that see the same loads: about one request of a dozen on a
	// server.
	scoreNoise = 0.04
	// slotWeight is the weight of a full batch relative to full memory: a full batch makes tokens
	// slower, full memory causes preemption.
	slotWeight = 0.5
	// failureCost is the cost of a recent failure, which halves every failureHalfLife. A server
	// that fails twice within a second gets requests only if all others are full; after some
	// seconds it is tried again.
	failureCost     = 0.8
	failureHalfLife = 1500 * time.Millisecond
	maxFailures     = 4.0
	// maxMemoryShare is the limit on an engine's expected memory demand, as a share of its memory.
	// Outputs are shorter than expected about as often as longer, so slightly more than the full
	// memory seldom causes preemption.
	maxMemoryShare = 1.1
	// maxForcedMemoryShare is the same limit for requests that may queue.
	maxForcedMemoryShare = 1.6
	// maxQueueFactor limits the requests on a plain server, as a multiple of its slots. At the
	// usual service time, requests queued beyond it would be late.
	maxQueueFactor = 3.0
	// prefillRate is the number of prompt tokens that an engine processes per second between the
	// decode steps of its running generations: for prompts of 3,000 tokens, an engine without other
	// prompts returns the first token after 0.4 s.
	prefillRate = 7000.0
	// memoryCost is the cost of used memory relative to a second of waiting: each further
	// generation slows the others by some hundredths. Above highMemoryShare, where outputs longer
	// than expected preempt others, highMemoryCost is added.
	memoryCost      = 0.3
	highMemoryShare = 0.8
	highMemoryCost  = 4.0
)

// ColdLimits limits the request rate of cold servers.
type ColdLimits struct {
	// ColdOverage multiplies the rate that a cold server declares; ColdSlack, in requests per
	// second, is added to it.
	ColdOverage float64
	ColdSlack   float64
}

// Request is a request to be placed.
type Request struct {
	Service *routes.Service
	// Zone is the availability zone of the caller's data.
	Zone string
	// Tokens is the expected memory demand, PromptTokens the part of it that needs prefill.
	Tokens       int
	PromptTokens int
	// Excluded holds the IDs of servers that must not be chosen.
	Excluded map[string]bool
	// Instances is the number of instances that share the limits of cold servers.
	Instances int
	// CompareAll compares all servers, however many there are.
	CompareAll bool
	// Force permits full servers up to a higher limit, where the request queues.
	Force bool
	// Retryable requests may be sent again, and so may be sent to servers that have failed.
	Retryable bool
	// ExpectedEvents is the expected number of events of the output, Target the time in which the
	// first event is wanted; 0 if unknown. Both are used only with [Balancer.SetPace].
	ExpectedEvents int
	Target         time.Duration
	// SpreadKey, if not 0, spreads requests by this key over all servers with capacity, instead of
	// choosing the freest.
	SpreadKey uint64
	// MemoryLimit is the limit on an engine's expected memory demand for [Balancer.FreeServers], as a
	// share of its memory; 0 for the usual one.
	MemoryLimit float64
	// HandoverTokens is the number of tokens to copy if the engine leaves; 0 if the generation is
	// expected to end before.
	HandoverTokens int
}

// Choice is [Picked], [Full] or [None].
type Choice interface{ choice() }

// Picked holds the chosen server; its load is counted until [Balancer.Release].
type Picked struct {
	Placement Placement
	// Score is the score of the choice, for logs: 0 is free, 1 is full.
	Score float64
}

// Full means that servers are available, but all are at their limit.
type Full struct{}

// Limited means that servers are available, but their own limits admit no request now.
type Limited struct{}

// Paused means that servers are available, but all want no request from this instance until then.
type Paused struct{ Until time.Time }

// None means that no server is available.
type None struct{}

func (Picked) choice()  {}
func (Full) choice()    {}
func (Limited) choice() {}
func (Paused) choice()  {}
func (None) choice()    {}

// Balancer places the requests of one instance. It is safe for concurrent use.
type Balancer struct {
	coldLimits ColdLimits
	mu         sync.Mutex
	rng        *rand.Rand
	own        map[string]*serverState
	// othersLoad, if set, returns the load of other instances on a server.
	othersLoad func(now time.Time, id string) Load
	// externalFailures, if set, returns failures that were counted elsewhere.
	externalFailures func(now time.Time, id string) float64
	// shouldAvoid, if set, reports whether a server should be avoided.
	shouldAvoid func(now time.Time, id string, repeatable bool) bool
	// limits, if set, holds the limits that servers have named.
	limits *pushback.Limits
	// share, if set, returns the place of this instance among those that share a server's limits.
	share func(now time.Time, server string) pushback.Share
	// pauses, if set, holds until when servers want no request from this instance.
	pauses *pushback.Pauses
	// brittle, if set, holds the servers that crash if they reject many requests.
	brittle *pushback.Brittle
	// pace, if set, returns the pace of an engine relative to others.
	pace func(now time.Time, server *platformstate.Server) pace.Relative
	// handoverNotice, if set, returns for how long engines run after their notice.
	handoverNotice func(now time.Time, service string) time.Duration
	// changed signals a change of the own load. Its buffer holds one signal: a slow reader reads
	// the latest load in any case.
	changed chan struct{}
}

// New returns a balancer. othersLoad returns the load of other instances on a server; nil means
// that it isn't known.
func New(limits ColdLimits, rng *rand.Rand, othersLoad func(now time.Time, id string) Load) *Balancer {
	return &Balancer{coldLimits: limits, rng: rng, own: map[string]*serverState{}, othersLoad: othersLoad, changed: make(chan struct{}, 1)}
}

// Pick chooses a server and counts the load on it.
func (b *Balancer) Pick(now time.Time, r Request, servers []*platformstate.Server) Choice {
	b.mu.Lock()
	defer b.mu.Unlock()
	last := b.lastBrittle(now, r, servers)
	choice := b.pick(now, r, b.sample(r, servers), last)
	if _, ok := choice.(Picked); !ok && len(servers) > compareAllLimit {
		choice = b.pick(now, r, servers, last)
	}
	if picked, ok := choice.(Picked); ok {
		b.addLoad(now, picked.Placement)
	}
	return choice
}

const (
	// compareAllLimit is the number of servers up to which all are compared. From longer lists,
	// sameZoneSample servers are sampled in the caller's zone and otherZoneSample elsewhere.
	//
	// Instances that know only their own load would otherwise choose alike; the freest server of a
	// small random sample is nearly as free as the freest of all.
	compareAllLimit = 16
	sameZoneSample  = 3
	otherZoneSample = 1
)

// sample draws a few servers from a long list.
func (b *Balancer) sample(r Request, servers []*platformstate.Server) []*platformstate.Server {
	if len(servers) <= compareAllLimit || r.CompareAll || r.SpreadKey != 0 {
		return servers
	}
	out := make([]*platformstate.Server, 0, sameZoneSample+otherZoneSample)
	sameZone, otherZone := sameZoneSample, otherZoneSample
	at, step := b.rng.IntN(len(servers)), b.coprime(len(servers))
	for range servers {
		at = (at + step) % len(servers)
		s := servers[at]
		if sameZone+otherZone == 0 {
			break
		}
		remaining := &otherZone
		if s.Zone == r.Zone {
			remaining = &sameZone
		}
		if *remaining == 0 || r.Excluded[s.ID] {
			continue
		}
		*remaining--
		out = append(out, s)
	}
	return out
}

// coprime returns a random step that visits all positions of a list of n once.
func (b *Balancer) coprime(n int) int {
	for {
		step := 1 + b.rng.IntN(n)
		x, y := step, n
		for y != 0 {
			x, y = y, x%y
		}
		if x == 1 {
			return step
		}
	}
}

// pick chooses the server with the lowest score. last is the server for an instance without a share of
// any brittle server.
func (b *Balancer) pick(now time.Time, r Request, servers []*platformstate.Server, last string) Choice {
	best, bestScore := -1, math.Inf(1)
	usable, limited, unsuited := 0, 0, 0
	var pausedUntil time.Time
	for i, s := range servers {
		if pause := b.pause(now, s.ID); pause > 0 {
			if until := now.Add(pause); pausedUntil.IsZero() || until.Before(pausedUntil) {
				pausedUntil = until
			}
			continue
		}
		if r.Excluded[s.ID] || !b.admitsCold(now, r, s) {
			unsuited++
			continue
		}
		if !b.admits(now, s.ID) {
			limited++
			continue
		}
		usable++
		load := b.utilization(now, r, s)
		if load > requestLimit(r) || b.ownRunning(s.ID) >= min(ownLimit(r, s), b.brittleLimit(now, r, s, last)) {
			continue
		}
		score := b.score(now, r, s, load)
		if score < bestScore {
			best, bestScore = i, score
		}
	}
	switch {
	case usable == 0 && limited > 0:
		return Limited{}
	case usable == 0 && unsuited == 0 && !pausedUntil.IsZero():
		return Paused{Until: pausedUntil}
	case usable == 0:
		return None{}
	case best < 0:
		return Full{}
	}
	place := Placement{Server: *servers[best], Tokens: r.Tokens, PromptTokens: r.PromptTokens, HandoverTokens: r.HandoverTokens}
	place.prefillRatio = b.prefillRatio(now, &place.Server)
	return Picked{Placement: place, Score: bestScore}
}

// FreeServers returns the servers with capacity for a request, best first. It doesn't count any
// load.
func (b *Balancer) FreeServers(now time.Time, r Request, servers []*platformstate.Server) []*platformstate.Server {
	b.mu.Lock()
	defer b.mu.Unlock()
	type scored struct {
		server *platformstate.Server
		score  float64
	}
	var all []scored
	for _, s := range servers {
		if r.Excluded[s.ID] || !b.admitsCold(now, r, s) {
			continue
		}
		if load := b.utilization(now, r, s); load <= freeLimit(r) {
			all = append(all, scored{s, b.score(now, r, s, load)})
		}
	}
	slices.SortFunc(all, func(x, y scored) int { return cmp.Compare(x.score, y.score) })
	out := make([]*platformstate.Server, len(all))
	for i := range all {
		out[i] = all[i].server
	}
	return out
}
