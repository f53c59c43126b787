// Package balancer chooses the backend server for a request. It holds no
// sockets and starts no goroutines; the present time is an argument.
//
// It is for instances that each see their own requests at once and those of the
// others some hundred milliseconds late. The harms it prevents: an engine whose
// memory fills while others stand free, a cold server that gets more than it
// bears, requests that go on to a server that fails them, and a herd of
// instances on the server that looked best in the same report.
//
// # Usage
//
//	b := balancer.New(balancer.Bounds{ColdOverage: 1.5, ColdSlack: 5}, rng)
//	choice := b.Pick(now, balancer.Request{...}, candidates)
//	if picked, ok := choice.(balancer.Picked); ok {
//		defer b.Done(picked.Place)
//	}
package balancer

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"pollenspindle.example/pollenspindle/internal/observed"
	"pollenspindle.example/pollenspindle/internal/routes"
)

const (
	// zoneCost is what another availability zone weighs, as a share of a
	// server. It keeps bytes in a zone while its servers are about as free as
	// others, and gives way before a caller would wait.
	zoneCost = 0.12
	// noise spreads instances that see the same loads: about one request of a
	// dozen on a server.
	noise = 0.04
	// slotWeight is what a full batch weighs beside full memory: it makes
	// tokens slower, while full memory preempts.
	slotWeight = 0.5
	// failureCost is what a recent failure weighs, and failureHalf the time in
	// which it counts half. A server that fails twice in a second gets
	// requests only when all others are full; after some seconds it is tried.
	failureCost = 0.8
	failureHalf = 1500 * time.Millisecond
	maxFailures = 4.0
	// fullMemory is up to what share of its memory an engine takes requests,
	// by what they are expected to need. Outputs end early about as often as
	// late, so that a little more than all of it seldom preempts.
	fullMemory = 1.1
	// waitingMemory is the same where requests may wait.
	waitingMemory = 1.6
	// fullQueue is how many times its slots a plain server takes: beyond, what
	// waits there would be late at its usual service time.
	fullQueue = 3.0
	// readRate is how many tokens of prompts an engine reads in a second
	// between the steps of its running generations: first tokens of prompts of
	// 3,000 tokens came after 0.4 s on engines with nothing to read before.
	readRate = 7000.0
	// memoryCost is what memory in use weighs beside a second of waiting: more
	// generations at once make each some hundredths slower. Above scarce, where
	// outputs longer than expected preempt others, scarceCost is added.
	memoryCost = 0.3
	scarce     = 0.8
	scarceCost = 4.0
)

// Bounds are the deployment's limits on cold servers.
type Bounds struct {
	// ColdOverage multiplies what a cold server declares to bear, ColdSlack is
	// added, in requests a second.
	ColdOverage float64
	ColdSlack   float64
}

// Request is what is to be placed.
type Request struct {
	Service *routes.Service
	// Zone is where the bytes come from.
	Zone string
	// Tokens is the memory that the request is expected to need, Prompt how
	// much of it is to be read first.
	Tokens int
	Prompt int
	// Excluded are servers by id that aren't to be chosen.
	Excluded map[string]bool
	// Instances is how many instances share the limits of cold servers.
	Instances int
	// Whole has all servers compared, however many there are.
	Whole bool
	// Anyway has servers chosen that are full, up to a bound: the request waits.
	Anyway bool
	// Repeatable requests may be sent again, and try servers that have failed.
	Repeatable bool
	// Spread, if not 0, spreads requests over all servers with room, by this
	// key, in place of choosing the freest.
	Spread uint64
}

// Choice is [Picked], [Full] or [None].
type Choice interface{ choice() }

// Picked is the chosen server; its load is counted until [Balancer.Done].
type Picked struct {
	Place Place
	// Score is what the choice came to, for logs: 0 is free, 1 full.
	Score float64
}

// Full means that servers are there, and all have as much as they bear.
type Full struct{}

// None means that no server is there to be used.
type None struct{}

func (Picked) choice() {}
func (Full) choice()   {}
func (None) choice()   {}

// Balancer places the requests of one instance. It is safe for concurrent use.
type Balancer struct {
	bounds Bounds
	mu     sync.Mutex
	rng    *rand.Rand
	own    map[string]*server
	// others, if set, returns what other instances have put on a server.
	others func(now time.Time, id string) Load
	// heard, if set, returns failures that were seen elsewhere.
	heard func(now time.Time, id string) float64
	// avoid, if set, reports servers that are to be left alone.
	avoid func(now time.Time, id string, repeatable bool) bool
	// changed has an entry after the own load has changed. It holds one: a reader
	// that is behind looks at the newest load anyway.
	changed chan struct{}
}

// New returns a balancer. Others returns what other instances have put on a server;
// nil means that this is not known.
func New(bounds Bounds, rng *rand.Rand, others func(now time.Time, id string) Load) *Balancer {
	return &Balancer{bounds: bounds, rng: rng, own: map[string]*server{}, others: others, changed: make(chan struct{}, 1)}
}

// Pick chooses among servers and counts the load on the one chosen.
func (b *Balancer) Pick(now time.Time, r Request, servers []observed.Server) Choice {
	b.mu.Lock()
	defer b.mu.Unlock()
	choice := b.pick(now, r, b.sample(r, servers))
	if _, ok := choice.(Picked); !ok && len(servers) > wholeList {
		choice = b.pick(now, r, servers)
	}
	if picked, ok := choice.(Picked); ok {
		b.count(now, picked.Place)
	}
	return choice
}

const (
	// wholeList is up to how many servers all are compared. sampleNear and
	// sampleFar are how many are drawn from longer lists, in the caller's zone
	// and elsewhere.
	//
	// Instances that know only their own load would otherwise choose alike; the
	// freest of a few drawn at random is nearly as free.
	wholeList  = 16
	sampleNear = 3
	sampleFar  = 1
)

// sample draws a few servers from a long list.
func (b *Balancer) sample(r Request, servers []observed.Server) []observed.Server {
	if len(servers) <= wholeList || r.Whole || r.Spread != 0 {
		return servers
	}
	out := make([]observed.Server, 0, sampleNear+sampleFar)
	near, far := sampleNear, sampleFar
	for _, i := range b.rng.Perm(len(servers)) {
		s := servers[i]
		left := &far
		if s.Zone == r.Zone {
			left = &near
		}
		if *left == 0 || r.Excluded[s.ID] {
			continue
		}
		*left--
		out = append(out, s)
	}
	return out
}

// pick chooses among servers.
func (b *Balancer) pick(now time.Time, r Request, servers []observed.Server) Choice {
	best, bestScore := -1, math.Inf(1)
	usable := 0
	for i := range servers {
		s := &servers[i]
		if r.Excluded[s.ID] || !b.bearsCold(now, r, s) {
			continue
		}
		usable++
		load := b.load(now, r, s)
		if load > limitFor(r) {
			continue
		}
		score := b.score(now, r, s, load)
		if score < bestScore {
			best, bestScore = i, score
		}
	}
	switch {
	case usable == 0:
		return None{}
	case best < 0:
		return Full{}
	}
	return Picked{Place: Place{Server: servers[best], Tokens: r.Tokens, Prompt: r.Prompt}, Score: bestScore}
}

// Free returns the servers that have room for a request, the best first. It
// counts nothing.
func (b *Balancer) Free(now time.Time, r Request, servers []observed.Server) []observed.Server {
	b.mu.Lock()
	defer b.mu.Unlock()
	type scored struct {
		server observed.Server
		score  float64
	}
	var all []scored
	for i := range servers {
		s := &servers[i]
		if r.Excluded[s.ID] || !b.bearsCold(now, r, s) {
			continue
		}
		if load := b.load(now, r, s); load <= limit(r.Service) {
			all = append(all, scored{*s, b.score(now, r, s, load)})
		}
	}
	slices.SortFunc(all, func(x, y scored) int { return cmp.Compare(x.score, y.score) })
	out := make([]observed.Server, len(all))
	for i := range all {
		out[i] = all[i].server
	}
	return out
}
