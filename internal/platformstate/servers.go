package platformstate

import (
	"maps"
	"slices"
	"strings"
	"time"

	"pollenspindle.example/pollenspindle/internal/dialect"
)

const (
	// minLog is the number of server changes that are kept for instances that lag behind, and
	// logShare how many as a share of all servers: one that lacks more gets a snapshot.
	minLog   = 512
	logShare = 0.25
)

func (s *State) maxLog() int { return max(minLog, int(logShare*float64(len(s.servers)))) }

// Change is the new entry of a server, or its removal if Server is nil.
type Change struct {
	ID     string          `json:"id"`
	Server *dialect.Server `json:"server,omitempty"`
}

// loggedChange says that a server changed with a version; what it is now is in the state.
type loggedChange struct {
	version int64
	id      string
}

// missingRange is a range of versions within which not all changes are logged: an entry
// that was added and removed in between isn't in the log.
type missingRange struct{ from, to int64 }

func (s *State) addMissingRange(from, to int64) {
	if from >= to {
		return
	}
	s.missingRanges = append(s.missingRanges, missingRange{from, to})
	if len(s.missingRanges) > minLog {
		s.logFrom = max(s.logFrom, s.missingRanges[0].to)
		s.missingRanges = slices.Clone(s.missingRanges[1:])
	}
}

// ChangeServers applies all changes that lead from one version to another. It reports
// false if the known version is older than from, so that changes are missing.
func (s *State) ChangeServers(now time.Time, from, at int64, changes []Change) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changeServers(now, from, from, at, changes)
}

// changeServers applies changes that lead to a version from the version from, or from any
// that isn't below minFrom.
func (s *State) changeServers(now time.Time, from, minFrom, at int64, changes []Change) bool {
	known := s.versions[Servers]
	if at <= known {
		return true
	}
	if known != from && known < max(from, minFrom) {
		return false
	}
	s.addMissingRange(known, minFrom)
	for _, c := range changes {
		s.apply(now, at, c)
	}
	s.versions[Servers] = at
	if len(changes) > 0 {
		s.publish()
	}
	return true
}

// ReplaceServers applies a complete list as of a version, and reports false if it is too old to be
// compared with the state.
func (s *State) ReplaceServers(now time.Time, version int64, list []dialect.Server) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replaceServers(now, version, list)
}

func (s *State) replaceServers(now time.Time, version int64, list []dialect.Server) bool {
	if version < s.versions[Servers] {
		return s.mergeOlderList(now, version, list)
	}
	first := s.versions[Servers] == 0
	s.confirm(now, Servers)
	if first {
		s.acceptInitialVersions(list)
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
		// Entries removed before the first list are unknown.
		s.changeLog, s.logFrom = nil, version
	} else {
		s.addMissingRange(s.versions[Servers], version)
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

// mergeOlderList applies a list to a state that has changed since the list began, except for the
// servers that have changed since. A list of thousands of servers takes longer than it takes until one
// of them changes, and would otherwise never count.
func (s *State) mergeOlderList(now time.Time, version int64, list []dialect.Server) bool {
	if version < s.logFrom || slices.ContainsFunc(s.missingRanges, func(r missingRange) bool { return r.to > version }) {
		return false
	}
	s.confirm(now, Servers)
	skipped := make(map[string]bool, len(list))
	for _, l := range s.changeLog {
		if l.version > version {
			skipped[l.id] = true
		}
	}
	current := s.versions[Servers]
	for i := range list {
		if id := list[i].ID; !skipped[id] {
			skipped[id] = true
			s.apply(now, current, Change{ID: id, Server: &list[i]})
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.servers)) {
		if !skipped[id] {
			s.apply(now, current, Change{ID: id})
		}
	}
	if len(s.touched) > 0 {
		s.publish()
	}
	return true
}

// apply applies one change and logs it if it changes the listed entry.
func (s *State) apply(now time.Time, version int64, c Change) {
	known, ok := s.servers[c.ID]
	if c.Server == nil {
		if !ok || known.isMissing() {
			return
		}
		s.remove(now, known)
	} else {
		leaving := c.Server.Leaving || s.hasDeparted(c.Server)
		same := ok && !known.isMissing() && known.listed() == *c.Server
		if same && known.Leaving == leaving && c.Server.ColdRemaining == 0 {
			return
		}
		e := s.newEntry(now, c.Server, leaving)
		if ok && known.StartedAtMillis == e.StartedAtMillis && known.Version == e.Version {
			e.retired, e.ListedSince = known.retired, known.ListedSince
			if !known.isMissing() {
				e.appearedAt = known.appearedAt
			}
		}
		s.recordVersion(now, &e)
		s.put(e)
		if same {
			return
		}
	}
	s.changeLog = append(s.changeLog, loggedChange{version, c.ID})
	if limit := s.maxLog(); len(s.changeLog) > limit {
		drop := len(s.changeLog) - limit/2
		s.logFrom = s.changeLog[drop-1].version
		s.changeLog = slices.Clone(s.changeLog[drop:])
	}
}

// newEntry returns the entry of a listed server. It keeps no memory of the message that listed it.
func (s *State) newEntry(now time.Time, listed *dialect.Server, leaving bool) entry {
	server := &Server{Server: *listed, ColdUntil: now.Add(listed.ColdRemaining), ListedSince: now}
	server.ID, server.Address = strings.Clone(listed.ID), strings.Clone(listed.Address)
	server.Service, server.Zone, server.Version = s.name(listed.Service), s.name(listed.Zone), s.name(listed.Version)
	server.Leaving = leaving
	return entry{Server: server, listedLeaving: listed.Leaving, appearedAt: now}
}

// maxNames limits the names that are kept: those of software versions come and go.
const maxNames = 1024

// name returns the shared copy of a name.
func (s *State) name(name string) string {
	if shared, ok := s.names[name]; ok {
		return shared
	}
	if len(s.names) >= maxNames {
		clear(s.names)
	}
	name = strings.Clone(name)
	s.names[name] = name
	return name
}

// listed returns the platform's entry.
func (e *entry) listed() dialect.Server {
	server := e.Server.Server
	server.Leaving = e.listedLeaving
	return server
}

// ListedServer is a server as the platform lists it.
type ListedServer struct {
	server  *Server
	leaving bool
}

// Outgoing returns the platform's entry for other instances, with the remaining time for which the
// server is cold.
func (l ListedServer) Outgoing(now time.Time) dialect.Server {
	out := l.server.Server
	out.Leaving = l.leaving
	out.ColdRemaining = max(0, l.server.ColdUntil.Sub(now))
	return out
}

// changesSince returns the changes after a version, or false if they aren't all known.
// They are also sufficient for any version from minFrom on.
func (s *State) changesSince(now time.Time, version int64) (changes []Change, minFrom int64, ok bool) {
	if version < s.logFrom {
		return nil, 0, false
	}
	minFrom = version
	for _, g := range s.missingRanges {
		if g.from < version && version < g.to {
			return nil, 0, false
		}
		if g.to > version {
			minFrom = max(minFrom, g.to)
		}
	}
	last := map[string]int{}
	for i, l := range s.changeLog {
		if l.version > version {
			last[l.id] = i
		}
	}
	changes = make([]Change, 0, len(last))
	for _, i := range slices.Sorted(maps.Values(last)) {
		changes = append(changes, s.outgoing(now, s.changeLog[i].id))
	}
	return changes, minFrom, true
}

// outgoing returns the change of a server for other instances.
func (s *State) outgoing(now time.Time, id string) Change {
	e, ok := s.servers[id]
	if !ok || e.isMissing() {
		return Change{ID: id}
	}
	server := ListedServer{e.Server, e.listedLeaving}.Outgoing(now)
	return Change{ID: id, Server: &server}
}

// listedServers returns all servers that aren't missing.
func (s *State) listedServers() []ListedServer {
	out := make([]ListedServer, 0, len(s.servers))
	for _, id := range slices.Sorted(maps.Keys(s.servers)) {
		if known := s.servers[id]; !known.isMissing() {
			out = append(out, ListedServer{known.Server, known.listedLeaving})
		}
	}
	return out
}
