package observed

import (
	"maps"
	"slices"
	"time"

	"pollenspindle.example/pollenspindle/internal/dialect"
)

// maxLog is how many changes of servers are kept for instances that lag behind;
// one that has missed more is told all servers.
const maxLog = 512

// Change is the new entry of a server, or its end.
type Change struct {
	ID     string          `json:"id"`
	Server *dialect.Server `json:"server,omitempty"`
}

type logged struct {
	version int64
	change  Change
}

// gap is a step between two versions of which only the outcome is known: an entry
// that came and went in between isn't in the log.
type gap struct{ from, to int64 }

func (s *State) noteGap(from, to int64) {
	if from >= to {
		return
	}
	s.gaps = append(s.gaps, gap{from, to})
	if len(s.gaps) > maxLog {
		s.logFrom = max(s.logFrom, s.gaps[0].to)
		s.gaps = slices.Clone(s.gaps[1:])
	}
}

// ChangeServers takes over all changes that lead from one version to another. It
// reports false when what is known is older than from: changes were missed.
func (s *State) ChangeServers(now time.Time, from, at int64, changes []Change) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changeServers(now, from, from, at, changes)
}

// changeServers takes over changes that lead to a version from another one, or
// from any that isn't below least.
func (s *State) changeServers(now time.Time, from, least, at int64, changes []Change) bool {
	known := s.versions[Servers]
	if at <= known {
		return true
	}
	if known != from && known < max(from, least) {
		return false
	}
	s.noteGap(known, least)
	for _, c := range changes {
		s.apply(now, at, c)
	}
	s.versions[Servers] = at
	if len(changes) > 0 {
		s.publish()
	}
	return true
}

// ReplaceServers takes over a whole list as of version.
func (s *State) ReplaceServers(now time.Time, version int64, list []dialect.Server) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replaceServers(now, version, list)
}

func (s *State) replaceServers(now time.Time, version int64, list []dialect.Server) bool {
	if version < s.versions[Servers] {
		return false
	}
	first := s.versions[Servers] == 0
	s.confirm(now, Servers)
	if first {
		s.seeFirst(list)
	}
	listed := make(map[string]bool, len(list))
	for i := range list {
		listed[list[i].ID] = true
		s.apply(now, version, Change{ID: list[i].ID, Server: &list[i]})
	}
	for _, id := range slices.Sorted(maps.Keys(s.servers)) {
		if !listed[id] {
			s.apply(now, version, Change{ID: id})
		}
	}
	if first {
		// What was removed before isn't known.
		s.log, s.logFrom = nil, version
	} else {
		s.noteGap(s.versions[Servers], version)
	}
	s.versions[Servers] = version
	for service := range s.releases.rollouts {
		if first {
			s.retire(service)
			s.touchService(service)
		}
	}
	s.publish()
	return true
}

// apply takes over one change and logs it where it says something new.
func (s *State) apply(now time.Time, version int64, c Change) {
	known, ok := s.servers[c.ID]
	if c.Server == nil {
		if !ok || !known.missingSince.IsZero() {
			return
		}
		s.remove(now, known)
	} else {
		same := ok && known.missingSince.IsZero() && known.listed == *c.Server
		if same && known.Leaving == c.Server.Leaving && c.Server.ColdRemaining == 0 {
			return
		}
		e := entry{Server: Server{Server: *c.Server, ColdUntil: now.Add(c.Server.ColdRemaining), Since: now}, listed: *c.Server}
		s.see(now, &e)
		s.put(e)
		if same {
			return
		}
	}
	s.log = append(s.log, logged{version, c})
	if len(s.log) > maxLog {
		drop := len(s.log) - maxLog/2
		s.logFrom = s.log[drop-1].version
		s.log = slices.Clone(s.log[drop:])
	}
}

// remove takes an entry out, or notes that it is missing where it may return.
func (s *State) remove(now time.Time, known entry) {
	if now.Before(s.returning) && !known.Leaving {
		known.missingSince = now
		s.put(known)
		return
	}
	s.drop(known.ID)
}

// since returns the changes after a version, or false where they aren't known.
// Least is the other version from which on they are all that is needed.
func (s *State) since(now time.Time, version int64) (changes []Change, least int64, ok bool) {
	if version < s.logFrom {
		return nil, 0, false
	}
	least = version
	for _, g := range s.gaps {
		if g.from < version && version < g.to {
			return nil, 0, false
		}
		if g.to > version {
			least = max(least, g.to)
		}
	}
	last := map[string]int{}
	for i, l := range s.log {
		if l.version > version {
			last[l.change.ID] = i
		}
	}
	changes = make([]Change, 0, len(last))
	for _, i := range slices.Sorted(maps.Values(last)) {
		changes = append(changes, s.advertised(now, s.log[i].change))
	}
	return changes, least, true
}

// advertised is a change as others are told it: with what is left of the time in which
// the server is cold.
func (s *State) advertised(now time.Time, c Change) Change {
	if c.Server == nil {
		return c
	}
	server := *c.Server
	server.ColdRemaining = max(0, s.servers[c.ID].ColdUntil.Sub(now))
	return Change{ID: c.ID, Server: &server}
}

// all returns the servers that are there, as others are told them.
func (s *State) all(now time.Time) []dialect.Server {
	out := make([]dialect.Server, 0, len(s.servers))
	for _, id := range slices.Sorted(maps.Keys(s.servers)) {
		if known := s.servers[id]; known.missingSince.IsZero() {
			server := known.listed
			server.ColdRemaining = max(0, known.ColdUntil.Sub(now))
			out = append(out, server)
		}
	}
	return out
}
