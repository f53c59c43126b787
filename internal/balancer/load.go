package balancer

import (
	"time"

	"pollenspindle.example/pollenspindle/internal/observed"
)

// Load is what was put on one backend server.
type Load struct {
	Running int `json:"running"`
	Tokens  int `json:"tokens"`
}

// Plus returns the sum of two loads.
func (l Load) Plus(m Load) Load {
	return Load{Running: l.Running + m.Running, Tokens: l.Tokens + m.Tokens}
}

// Place is the load of one request on one server.
type Place struct {
	Server observed.Server
	Tokens int
	// Prompt is how many tokens the server reads before it begins.
	Prompt int
}

type server struct {
	running, tokens int
	failures        float64
	failedAt        time.Time
	// coldSince and coldSent count what was sent in the present second.
	coldSince time.Time
	coldSent  int
	used      time.Time
	// readUntil is when the prompts sent so far will have been read.
	readUntil time.Time
}

// Changed has an entry after this instance's load on the servers has changed.
func (b *Balancer) Changed() <-chan struct{} { return b.changed }

func (b *Balancer) signal() {
	select {
	case b.changed <- struct{}{}:
	default:
	}
}

// count puts the load of a request on its server.
func (b *Balancer) count(now time.Time, p Place) {
	b.signal()
	own := b.server(now, p.Server.ID)
	own.running++
	own.tokens += p.Tokens
	if now.After(own.readUntil) {
		own.readUntil = now
	}
	own.readUntil = own.readUntil.Add(readTime(p.Prompt))
	if now.Before(p.Server.ColdUntil) {
		b.countCold(now, own)
	}
}

// readTime is how long an engine reads a prompt.
func readTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / readRate * float64(time.Second))
}

func (b *Balancer) server(now time.Time, id string) *server {
	own, ok := b.own[id]
	if !ok {
		own = &server{}
		b.own[id] = own
		b.forget(now)
	}
	own.used = now
	return own
}

// keepUnused is for how long a server that got nothing is remembered.
const keepUnused = time.Minute

func (b *Balancer) forget(now time.Time) {
	for id, s := range b.own {
		if s.running == 0 && !s.used.IsZero() && now.Sub(s.used) > keepUnused {
			delete(b.own, id)
		}
	}
}

// Reserve counts load on a server that was chosen elsewhere.
func (b *Balancer) Reserve(now time.Time, p Place) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.count(now, p)
}

// Done takes the load of a request off its server.
func (b *Balancer) Done(p Place) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.signal()
	if own, ok := b.own[p.Server.ID]; ok {
		own.running--
		own.tokens -= p.Tokens
	}
}

// ReadWait returns how long an engine is expected to read the prompts that it was
// sent.
func (b *Balancer) ReadWait(now time.Time, id string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Duration(b.wait(now, id) * float64(time.Second))
}

// ReleasePrompt takes back the reading time of a request that isn't sent.
func (b *Balancer) ReleasePrompt(p Place) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if own, ok := b.own[p.Server.ID]; ok {
		own.readUntil = own.readUntil.Add(-readTime(p.Prompt))
	}
}

// On returns what this instance has put on one server.
func (b *Balancer) On(id string) Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	own, ok := b.own[id]
	if !ok {
		return Load{}
	}
	return Load{Running: own.running, Tokens: own.tokens}
}

// Load returns what this instance has put on the servers.
func (b *Balancer) Load() map[string]Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[string]Load{}
	for id, s := range b.own {
		if s.running > 0 {
			out[id] = Load{Running: s.running, Tokens: s.tokens}
		}
	}
	return out
}
