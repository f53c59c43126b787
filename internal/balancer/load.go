package balancer

import (
	"time"

	"pollenspindle.example/pollenspindle/internal/platformstate"
)

// Load is the load on one backend server.
type Load struct {
	Running int `json:"running"`
	Tokens  int `json:"tokens"`
	// HandoverCount is the number of generations that have to be copied if the engine leaves,
	// HandoverTokens the sum of the tokens to copy.
	HandoverCount  int `json:"handovers,omitempty"`
	HandoverTokens int `json:"handoverTokens,omitempty"`
}

// Plus returns the sum of two loads.
func (l Load) Plus(m Load) Load {
	return Load{
		Running: l.Running + m.Running, Tokens: l.Tokens + m.Tokens,
		HandoverCount: l.HandoverCount + m.HandoverCount, HandoverTokens: l.HandoverTokens + m.HandoverTokens,
	}
}

// Placement is the load of one request on one server.
type Placement struct {
	Server platformstate.Server
	Tokens int
	// PromptTokens is the number of tokens that need prefill.
	PromptTokens int
	// prefillRatio multiplies the prefill time; 0 means that it isn't determined yet.
	prefillRatio float64
	// HandoverTokens is the number of tokens to copy if the engine leaves; 0 if the generation is
	// expected to end before.
	HandoverTokens int
}

type serverState struct {
	running, tokens int
	// handoverCount and handoverTokens are those of [Load].
	handoverCount, handoverTokens int
	failures                      float64
	failedAt                      time.Time
	// coldWindowStart and coldCount count the requests of the current window.
	coldWindowStart time.Time
	coldCount       int
	lastUsed        time.Time
	// prefillUntil is the expected end of the prefill of all prompts sent so far.
	prefillUntil time.Time
	slowness     averageSlowness
}

// Changed returns a channel that signals changes of this instance's load on the servers.
func (b *Balancer) Changed() <-chan struct{} { return b.changed }

func (b *Balancer) signal() {
	select {
	case b.changed <- struct{}{}:
	default:
	}
}

// addLoad adds the load of a request to its server.
func (b *Balancer) addLoad(now time.Time, p Placement) {
	b.signal()
	own := b.state(now, p.Server.ID)
	own.running++
	own.tokens += p.Tokens
	own.addHandover(p, 1)
	if now.After(own.prefillUntil) {
		own.prefillUntil = now
	}
	if p.prefillRatio == 0 {
		p.prefillRatio = b.prefillRatio(now, &p.Server)
	}
	own.prefillUntil = own.prefillUntil.Add(p.prefillTime())
	if now.Before(p.Server.ColdUntil) {
		b.countCold(now, own)
	}
	b.countLimited(now, p.Server.ID)
}

// prefillTime returns the time that an engine takes for the prefill of a prompt.
func prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / prefillRate * float64(time.Second))
}

func (b *Balancer) state(now time.Time, id string) *serverState {
	own, ok := b.own[id]
	if !ok {
		own = &serverState{}
		b.own[id] = own
		b.removeUnused(now)
	}
	own.lastUsed = now
	return own
}

// unusedTTL is how long the state of an unused server is kept.
const unusedTTL = time.Minute

func (b *Balancer) removeUnused(now time.Time) {
	for id, s := range b.own {
		if s.running == 0 && !s.lastUsed.IsZero() && now.Sub(s.lastUsed) > unusedTTL {
			delete(b.own, id)
		}
	}
}

// Reserve counts load on a server that was chosen elsewhere.
func (b *Balancer) Reserve(now time.Time, p Placement) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addLoad(now, p)
}

// Release removes the load of a request from its server.
func (b *Balancer) Release(p Placement) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.signal()
	if own, ok := b.own[p.Server.ID]; ok {
		own.running--
		own.tokens -= p.Tokens
		own.addHandover(p, -1)
	}
}

// Adjust changes the number of tokens that a placement counts on its server, and returns the placement
// as it is counted then. A placement on a server without running requests of this instance is returned
// unchanged: its load was released. The change isn't signaled, since nothing waits for it: a planner
// learns of it with the next report, within a second.
func (b *Balancer) Adjust(p Placement, tokens int) Placement {
	b.mu.Lock()
	defer b.mu.Unlock()
	own, ok := b.own[p.Server.ID]
	if !ok || own.running == 0 || tokens < 0 {
		return p
	}
	own.tokens += tokens - p.Tokens
	p.Tokens = tokens
	return p
}

// PrefillWait returns how long an engine is expected to take for the prefill of the prompts sent to
// it.
func (b *Balancer) PrefillWait(now time.Time, id string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Duration(b.prefillSeconds(now, id) * float64(time.Second))
}

// CancelPrefill subtracts the prefill time of a request that isn't sent.
func (b *Balancer) CancelPrefill(p Placement) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if own, ok := b.own[p.Server.ID]; ok {
		own.prefillUntil = own.prefillUntil.Add(-p.prefillTime())
	}
}

// LoadOn returns the load of this instance on one server.
func (b *Balancer) LoadOn(id string) Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	own, ok := b.own[id]
	if !ok {
		return Load{}
	}
	return own.load()
}

// Loads returns the load of this instance on all servers that it uses.
func (b *Balancer) Loads() map[string]Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[string]Load{}
	for id, s := range b.own {
		if s.running > 0 {
			out[id] = s.load()
		}
	}
	return out
}

func (s *serverState) load() Load {
	return Load{Running: s.running, Tokens: s.tokens, HandoverCount: s.handoverCount, HandoverTokens: s.handoverTokens}
}
