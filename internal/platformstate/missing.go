package platformstate

import (
	"time"

	"github.com/rs/zerolog"
)

// RecordAnswer records an answer of the platform to this instance that was given at a time or later and
// is read now: a process that was paused reads it late.
func (s *State) RecordAnswer(at, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.answered
	s.answered.record(at, now, s.failedAt.After(before.last))
	s.lastAnswer, s.failedAt = later(s.lastAnswer, at), time.Time{}
	s.logSilence(before)
}

// logSilence logs a silence of the platform that wasn't known before.
func (s *State) logSilence(before answered) {
	ended, ok := s.answered.silenceEnded()
	known, was := before.silenceEnded()
	if ok && (!was || ended.Sub(known) > s.answered.limits.failed) {
		s.log.Info().Time("from", s.answered.silentFrom).Time("to", ended).Msg("platform was silent, entries may have expired")
	}
	if was && !ok {
		s.log.Info().Time("from", before.silentFrom).Time("to", known).Msg("platform was not silent, by another instance")
	}
}

// isMissing reports whether the platform doesn't list the entry any more.
func (e *entry) isMissing() bool { return !e.missingUntil.IsZero() }

// remove removes an entry, or marks it missing while it may reappear.
func (s *State) remove(now time.Time, known entry) {
	until, ok := s.reappearLimit(now, &known)
	if !ok {
		s.drop(known.ID)
		return
	}
	known.missingUntil = until
	s.put(known)
	s.newlyMissing = append(s.newlyMissing, known.ID)
}

// reappearLimit returns until when an entry that is removed now may reappear: it may have expired
// while the platform was silent. An entry that has appeared since then was removed.
func (s *State) reappearLimit(now time.Time, known *entry) (time.Time, bool) {
	ended, ok := s.answered.silenceEnded()
	until := ended.Add(reappearTime)
	return until, ok && now.Before(until) && known.appearedAt.Before(ended) && !known.Leaving
}

func (e *entry) missingCount() int {
	if e.isMissing() {
		return 1
	}
	return 0
}

// Sweep removes entries whose time to reappear has ended.
func (s *State) Sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.missing == 0 {
		return
	}
	var dropped []string
	for id, e := range s.servers {
		if e.isMissing() && !now.Before(s.missingLimit(&e)) {
			s.drop(id)
			dropped = append(dropped, id)
		}
	}
	if len(dropped) == 0 {
		return
	}
	s.publish()
	logServers(s.log.Info(), dropped).Msg("missing backend servers dropped")
}

// missingLimit returns when the time of a missing entry ends. It is earlier than at first if the
// silence of the platform ended earlier than this instance believed, and zero if there was none.
func (s *State) missingLimit(e *entry) time.Time {
	ended, ok := s.answered.silenceEnded()
	if !ok {
		return time.Time{}
	}
	if limit := ended.Add(reappearTime); limit.Before(e.missingUntil) {
		return limit
	}
	return e.missingUntil
}

// maxLoggedIDs limits the servers that a log line names: an outage may concern thousands.
const maxLoggedIDs = 8

func logServers(line *zerolog.Event, ids []string) *zerolog.Event {
	return line.Int("count", len(ids)).Strs("servers", ids[:min(len(ids), maxLoggedIDs)])
}
