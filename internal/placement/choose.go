package placement

import (
	"math/rand/v2"
	"slices"
	"time"

	"pollenspindle.example/pollenspindle/internal/permit"
	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

const (
	// maxAffine is the number of candidates taken from the position of the prefix on the ring,
	// maxRandom the number taken from random positions. Two affine candidates let a hot prefix
	// spread over two caches; random ones find capacity when all servers around the prefix's
	// position are full. Together they limit the messages of a request.
	maxAffine = 2
	maxRandom = 2
	// MaxCandidates limits the servers that a request is offered to.
	MaxCandidates = maxAffine + maxRandom
	// viewTTL is how long a load reported by a server's owner is used. Loads change within a few
	// token intervals, so it is only a hint.
	viewTTL = 2 * time.Second
	// fullPermille is the load from which a server is offered work only after the others.
	fullPermille = 1000
	// affinityBonus is how much more load, in permille, an affine server may have than a random one
	// and still go first. A cached prefix saves the prefill, about a fifth of a typical request.
	affinityBonus = 250
	// crossZonePenalty ranks a server of another zone behind one of the own zone at about the same
	// load. It is small because the zones differ by a millisecond only.
	crossZonePenalty = 30
	// avoidPenalty ranks servers last whose zone had a failed attempt of the request.
	avoidPenalty = 4 * fullPermille
)

// View is the state of a server as its owner reported it in responses.
type View struct {
	// LoadPermille is the used share of the server's limit.
	LoadPermille int
	// ObservedAt is the time of the response.
	ObservedAt time.Time
	// RetryAt is when a server that refused a request may be asked again.
	RetryAt time.Time
}

// Views holds the view of each server by name.
type Views map[string]View

// Query is the part of a request that placement considers.
type Query struct {
	// Hash is the position of the request's prefix on the ring.
	Hash uint64
	// Zone is the availability zone of the requesting instance.
	Zone    string
	Request *permit.Request
	// Accepts reports whether the configuration lets a server accept new work.
	Accepts func(*pollenspindle.Server) bool
}

type candidate struct {
	server *pollenspindle.Server
	score  int
}

// Choose returns the servers to offer a request to, best first, at most [MaxCandidates]. It is
// empty if no server may take the request.
func Choose(now time.Time, r *Ring, a Query, views Views, rng *rand.Rand) []*pollenspindle.Server {
	var found [MaxCandidates]candidate
	n := 0
	collect := func(limit, bonus int) func(*pollenspindle.Server) bool {
		return func(s *pollenspindle.Server) bool {
			if n >= limit {
				return false
			}
			if !a.admits(s) || contains(found[:n], s) {
				return true
			}
			found[n] = candidate{server: s, score: a.score(now, s, views) - bonus}
			n++
			return n < limit
		}
	}
	r.Walk(a.Hash, collect(maxAffine, affinityBonus))
	if r.Len() > maxAffine {
		// Each random candidate is found by its own walk from a random position, so that two of
		// them aren't neighbors on the ring.
		for i := range maxRandom {
			r.Walk(rng.Uint64(), collect(min(maxAffine+i+1, MaxCandidates), 0))
		}
	}
	slices.SortStableFunc(found[:n], func(x, y candidate) int { return x.score - y.score })
	servers := make([]*pollenspindle.Server, n)
	for i := range servers {
		servers[i] = found[i].server
	}
	return servers
}

func contains(found []candidate, s *pollenspindle.Server) bool {
	return slices.ContainsFunc(found, func(c candidate) bool { return c.server == s })
}

func (a *Query) admits(s *pollenspindle.Server) bool {
	return a.Accepts(s) && !slices.Contains(a.Request.ExcludeServers, s.Name)
}

// score returns the score of a server, in permille of load; lower is better.
func (a *Query) score(now time.Time, s *pollenspindle.Server, views Views) int {
	score := 0
	if v, ok := views[s.Name]; ok && now.Sub(v.ObservedAt) < viewTTL {
		score = v.LoadPermille
		if now.Before(v.RetryAt) {
			score += fullPermille
		}
	}
	if s.Zone != a.Zone {
		score += crossZonePenalty
	}
	if slices.Contains(a.Request.AvoidZones, s.Zone) {
		score += avoidPenalty
	}
	return score
}
