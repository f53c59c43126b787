package balancer

import (
	"time"

	"pollenspindle.example/pollenspindle/internal/migration"
	"pollenspindle.example/pollenspindle/internal/platformstate"
)

const (
	// handoverShare is the share of an engine's notice that its generations may take to be copied
	// without a cost; handoverCost is the cost of each further length of the notice.
	handoverShare = 0.9
	handoverCost  = 2.0
)

// SetHandover sets a function that returns for how long engines of a service run after their notice.
// Engines whose generations couldn't be copied within that time then get a worse score, so that load
// spreads before an engine holds more than it can hand over.
func (b *Balancer) SetHandover(notice func(now time.Time, service string) time.Duration) {
	b.handoverNotice = notice
}

// handoverPenalty returns the cost of the link time that an engine would need beyond its notice to
// hand over its generations and the request.
func (b *Balancer) handoverPenalty(now time.Time, r Request, s *platformstate.Server) float64 {
	if b.handoverNotice == nil || r.HandoverTokens <= 0 {
		return 0
	}
	load := Load{HandoverCount: 1, HandoverTokens: r.HandoverTokens}
	if own, ok := b.own[s.ID]; ok {
		load = load.Plus(Load{HandoverCount: own.handoverCount, HandoverTokens: own.handoverTokens})
	}
	if b.othersLoad != nil {
		load = load.Plus(b.othersLoad(now, s.ID))
	}
	notice := b.handoverNotice(now, r.Service.Name)
	if notice <= 0 {
		return 0
	}
	e := *r.Service.Engine
	one := migration.TransferTime(e, 0, false)
	needed := time.Duration(max(0, load.HandoverCount))*one + migration.TransferTime(e, max(0, load.HandoverTokens), false) - one
	return handoverCost * max(0, needed.Seconds()/notice.Seconds()-handoverShare)
}

// addHandover adds the generation of a placement, n times.
func (s *serverState) addHandover(p Placement, n int) {
	if p.HandoverTokens > 0 {
		s.handoverCount += n
		s.handoverTokens += n * p.HandoverTokens
	}
}

// freeLimit returns the limit on an engine's expected memory demand for [Balancer.FreeServers].
func freeLimit(r Request) float64 {
	if r.MemoryLimit > 0 && r.Service.Engine != nil {
		return r.MemoryLimit
	}
	return serviceLimit(r.Service)
}
