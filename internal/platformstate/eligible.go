package platformstate

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// put adds or replaces an entry, drop removes one. Requests are placed accordingly after
// the next publish.
func (s *State) put(e entry) {
	hash := s.hashes[Servers] + e.hash()
	if known, ok := s.servers[e.ID]; ok {
		hash -= known.hash()
		s.touchServer(known.Service, e.ID)
		s.missing -= known.missingCount()
	}
	s.missing += e.missingCount()
	s.servers[e.ID] = e
	s.setHash(Servers, hash)
	s.touchServer(e.Service, e.ID)
}

func (s *State) drop(id string) {
	e, ok := s.servers[id]
	if !ok {
		return
	}
	delete(s.servers, id)
	s.missing -= e.missingCount()
	s.setHash(Servers, s.hashes[Servers]-e.hash())
	s.touchServer(e.Service, id)
}

func (s *State) touchServer(service, id string) {
	if s.touched[service] == nil {
		s.touched[service] = map[string]bool{}
	}
	s.touched[service][id] = true
}

// touchAll rebuilds all lists at the next publish, after the drained zones have changed.
func (s *State) touchAll() {
	for id, e := range s.servers {
		s.touchServer(e.Service, id)
	}
}

// hash returns the entry's part of the hash of all servers, which is the sum of the parts.
func (e *entry) hash() uint64 {
	if e.isMissing() {
		return 0
	}
	return xxhash.Sum64String(e.ID + "\n" + e.Address + "\n" + e.Zone + "\n" + strconv.FormatBool(e.listedLeaving) + "\n" + e.Version)
}

// publish rebuilds the lists of servers that may get requests, but only those of services
// with changes: of thousands of servers some change each second.
func (s *State) publish() {
	eligible, canaries := maps.Clone(*s.eligible.Load()), maps.Clone(*s.canaries.Load())
	for service, ids := range s.touched {
		eligible[service] = s.rebuild(service, eligible[service], ids, false)
		canaries[service] = s.rebuild(service, canaries[service], ids, true)
	}
	clear(s.touched)
	if len(s.newlyMissing) > 0 {
		logServers(s.log.Info(), s.newlyMissing).Time("until", s.answered.since.Add(reappearTime)).Msg("backend servers missing, kept for a time")
		s.newlyMissing = nil
	}
	s.eligible.Store(&eligible)
	s.canaries.Store(&canaries)
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// rebuild returns a service's list, or that of its canaries, with the entries of the given
// IDs updated.
func (s *State) rebuild(service string, list []*Server, ids map[string]bool, canaries bool) []*Server {
	var updated []*Server
	for id := range ids {
		e, ok := s.servers[id]
		if !ok || e.Service != service || e.Leaving || s.zones[e.Zone] {
			continue
		}
		stable, canary := s.track(&e)
		if canaries && canary || !canaries && stable {
			updated = append(updated, e.Server)
		}
	}
	slices.SortFunc(updated, byID)
	out := make([]*Server, 0, len(list)+len(updated))
	for i := range list {
		if ids[list[i].ID] {
			continue
		}
		for len(updated) > 0 && byID(updated[0], list[i]) < 0 {
			out, updated = append(out, updated[0]), updated[1:]
		}
		out = append(out, list[i])
	}
	return append(out, updated...)
}

func byID(a, b *Server) int { return strings.Compare(a.ID, b.ID) }
