package router

import (
	"time"

	"pollenspindle.example/pollenspindle/internal/peer/peerv1"
	"pollenspindle.example/pollenspindle/internal/permit"
)

// brokenServerBackoff is how long no permits are requested for a backend server
// after a connection to it broke. It is many times the latency of a message to
// the owner, which then grants nothing itself until the next load report.
const brokenServerBackoff = 200 * time.Millisecond

// ReportBroken implements [permit.Acquirer]. A permit without an ID belongs to a
// request that another instance started; that instance reports to the owner.
func (r *Router) ReportBroken(now time.Time, p permit.Permit) {
	r.recordBroken(now, p.Server)
	if p.ID == "" {
		return
	}
	r.enqueueRelease(release{owner: p.Owner, at: now, urgent: true, released: &peerv1.Released{
		Server: p.Server, PermitId: p.ID, Ending: string(permit.ConnectionBroken),
	}})
}

// recordBroken records when a connection to server broke, and deletes records
// that are older than any valid permit.
func (r *Router) recordBroken(now time.Time, server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, at := range r.broken {
		if now.Sub(at) > r.opts.PermitLifetime+brokenServerBackoff {
			delete(r.broken, name)
		}
	}
	r.broken[server] = now
}

// MaySend implements [permit.Acquirer]. It is called immediately before the first
// byte is sent: since the permit was granted, the process may have been paused, or the
// server may have restarted or asked for a pause.
//
// Without it, requests granted just before an engine crashed and restarted would
// all arrive at the cold engine.
func (r *Router) MaySend(now time.Time, p permit.Permit) bool {
	if !p.Valid(now) || !r.opts.Members.NewWorkAllowed(now) || r.pauses.Remaining(now, p.Server) > 0 {
		return false
	}
	requestedAt := p.ExpiresAt.Add(-r.opts.PermitLifetime)
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.broken[p.Server].After(requestedAt)
}

// brokenRecently reports whether a connection to server broke within brokenServerBackoff.
func (r *Router) brokenRecently(now time.Time, server string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, ok := r.broken[server]
	return ok && now.Sub(at) < brokenServerBackoff
}
