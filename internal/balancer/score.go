package balancer

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"pollenspindle.example/pollenspindle/internal/platformstate"
	"pollenspindle.example/pollenspindle/internal/routes"
)

// score returns the score of a server for a request; the lowest is chosen.
func (b *Balancer) score(now time.Time, r Request, s *platformstate.Server, load float64) float64 {
	if r.SpreadKey != 0 {
		return spreadScore(r, s, load+b.recentFailures(now, s.ID)*failureCost+b.avoidPenalty(now, r, s.ID)+max(0, b.paceCost(now, r, s)))
	}
	score := b.rng.Float64()*scoreNoise + b.recentFailures(now, s.ID)*failureCost + b.avoidPenalty(now, r, s.ID)
	slowness := 1.0
	if own, ok := b.own[s.ID]; ok {
		slowness = own.slowness.now(now)
	}
	if r.Service.Engine != nil {
		score += b.prefillSeconds(now, s.ID) + load*memoryCost + max(0, load-highMemoryShare)*highMemoryCost + b.paceCost(now, r, s) + b.handoverPenalty(now, r, s)
	} else {
		score += load * slowness
	}
	score += (slowness - 1) * slowServerCost
	if s.Zone != r.Zone {
		score += crossZoneCost
	}
	return score
}

// prefillSeconds returns the expected time in seconds until an engine has finished the prefill of
// the prompts sent to it.
//
// The engine with the most free memory is often a new one, which would get every prompt; its
// prefill queue is known from the prompts sent to it.
func (b *Balancer) prefillSeconds(now time.Time, id string) float64 {
	own, ok := b.own[id]
	if !ok {
		return 0
	}
	return max(0, own.prefillUntil.Sub(now).Seconds())
}

const (
	// crossZoneWeight is the weight of a server in another zone when a KV cache has to be copied to
	// it: the copy takes twice as long.
	crossZoneWeight = 0.1
	// minFreeShare allows choosing a nearly full server if there is no other.
	minFreeShare = 0.01
)

// spreadScore chooses a server for a key, weighted by free capacity (weighted rendezvous hashing).
//
// Instances that migrate the generations of a leaving engine don't see each other's choices, and
// must not all choose the freest engine.
func spreadScore(r Request, s *platformstate.Server, load float64) float64 {
	weight := max(minFreeShare, 1-load)
	if s.Zone != r.Zone {
		weight *= crossZoneWeight
	}
	hash := xxhash.Sum64String(s.ID) ^ r.SpreadKey
	hash ^= hash >> 31
	hash *= 0x9e3779b97f4a7c15
	hash ^= hash >> 29
	u := (float64(hash>>11) + 0.5) / (1 << 53)
	return -math.Log(u) / weight
}

func requestLimit(r Request) float64 {
	if r.Force && r.Service.Engine != nil {
		return maxForcedMemoryShare
	}
	return serviceLimit(r.Service)
}

func serviceLimit(s *routes.Service) float64 {
	if s.Engine != nil {
		return maxMemoryShare
	}
	return maxQueueFactor
}

// ownLimitSpread is how many times its even share of a server's requests one instance may have.
const ownLimitSpread = 4

// ownLimit returns the number of requests that this instance may have on a server. It holds the sum
// of all instances to ownLimitSpread times what the server takes, and one for each instance, also
// where they don't know each other's requests: a server crashes if those that wait exceed its memory.
func ownLimit(r Request, s *platformstate.Server) int {
	all := serviceLimit(r.Service) * float64(max(1, s.Slots))
	return max(1, int(math.Ceil(ownLimitSpread*all/float64(max(1, r.Instances)))))
}

// ownRunning returns the number of requests of this instance on a server.
func (b *Balancer) ownRunning(id string) int {
	if own, ok := b.own[id]; ok {
		return own.running
	}
	return 0
}

// utilization returns how full a server would be with the request; 1 is full.
func (b *Balancer) utilization(now time.Time, r Request, s *platformstate.Server) float64 {
	var running, tokens int
	if own, ok := b.own[s.ID]; ok {
		running, tokens = own.running, own.tokens
	}
	var others Load
	if b.othersLoad != nil {
		others = b.othersLoad(now, s.ID)
	}
	running += others.Running + 1
	tokens += others.Tokens + r.Tokens
	slots := float64(max(1, s.Slots))
	e := r.Service.Engine
	if e == nil {
		return float64(running) / slots
	}
	memory := float64(tokens) / float64(max(1, e.MemoryTokens))
	batch := float64(running) / slots
	if batch > 1 {
		return max(memory, batch)
	}
	return max(memory, batch*slotWeight)
}
