package relay

import (
	"time"

	"pollenspindle.example/pollenspindle/internal/permit"
)

// attach resumes a generation that another handler started and relays the rest of it.
func (s *session) attach(at Attachment) {
	defer s.detach()
	s.job = Job{Streamed: true, Permit: permit.Request{Class: at.Class}}
	s.started = true
	now := time.Now()
	// Callers learn the request ID only once an engine has started the generation, so the
	// generation has run even if resuming it fails.
	a := &attempt{
		acknowledged: true, session: s, request: at.RequestID, address: at.Address, incarnation: at.Incarnation,
		permit:   permit.Permit{Server: at.Server, Address: at.Address},
		progress: progress{lastPosition: at.AfterPosition, lastEventAt: now}, sentAt: now, resumed: true,
	}
	if err := a.open(a.resume()); err != nil {
		s.end(Failed{notSentFailure()})
		return
	}
	res := a.eventLoop()
	if res.failure != nil {
		s.end(Failed{res.failure})
		return
	}
	s.end(Finished{})
}
