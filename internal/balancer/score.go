package balancer

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"pollenspindle.example/pollenspindle/internal/observed"
	"pollenspindle.example/pollenspindle/internal/routes"
)

// score is what a server weighs for a request; the least is chosen.
func (b *Balancer) score(now time.Time, r Request, s *observed.Server, load float64) float64 {
	if r.Spread != 0 {
		return spread(r, s, load+b.failures(now, s.ID)*failureCost+b.avoided(now, r, s.ID))
	}
	score := b.rng.Float64()*noise + b.failures(now, s.ID)*failureCost + b.avoided(now, r, s.ID)
	if r.Service.Engine != nil {
		score += b.wait(now, s.ID) + load*memoryCost + max(0, load-scarce)*scarceCost
	} else {
		score += load
	}
	if s.Zone != r.Zone {
		score += zoneCost
	}
	return score
}

// wait returns how many seconds an engine is expected to read the prompts that
// it was sent before.
//
// The freest engine by memory is often a new one, which would get every prompt;
// how long it reads is known from what it was sent.
func (b *Balancer) wait(now time.Time, id string) float64 {
	own, ok := b.own[id]
	if !ok {
		return 0
	}
	return max(0, own.readUntil.Sub(now).Seconds())
}

const (
	// farRoom is what a server in another zone counts for where memory is to
	// be copied to it: the copy takes twice as long.
	farRoom = 0.1
	// leastRoom lets a nearly full server be chosen when there is no other.
	leastRoom = 0.01
)

// spread draws a server for a key, with the free room of each as its weight
// (weighted rendezvous hashing).
//
// Generations of a leaving engine are moved by instances that don't see each
// other's choices, and must not all choose the freest engine.
func spread(r Request, s *observed.Server, load float64) float64 {
	room := max(leastRoom, 1-load)
	if s.Zone != r.Zone {
		room *= farRoom
	}
	hash := xxhash.Sum64String(s.ID) ^ r.Spread
	hash ^= hash >> 31
	hash *= 0x9e3779b97f4a7c15
	hash ^= hash >> 29
	u := (float64(hash>>11) + 0.5) / (1 << 53)
	return -math.Log(u) / room
}

func limitFor(r Request) float64 {
	if r.Anyway && r.Service.Engine != nil {
		return waitingMemory
	}
	return limit(r.Service)
}

func limit(s *routes.Service) float64 {
	if s.Engine != nil {
		return fullMemory
	}
	return fullQueue
}

// load returns how full a server would be with the request, 1 for full.
func (b *Balancer) load(now time.Time, r Request, s *observed.Server) float64 {
	var running, tokens int
	if own, ok := b.own[s.ID]; ok {
		running, tokens = own.running, own.tokens
	}
	var others Load
	if b.others != nil {
		others = b.others(now, s.ID)
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
