package observed

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// put takes over an entry, drop takes one out. What requests are placed on
// follows with publish.
func (s *State) put(e entry) {
	mark := s.marks[Servers] + e.mark()
	if known, ok := s.servers[e.ID]; ok {
		mark -= known.mark()
		if known.StartedAtMillis == e.StartedAtMillis && known.Version == e.Version {
			e.retired, e.Since = known.retired, known.Since
		}
		s.touchServer(known.Service, e.ID)
	}
	s.servers[e.ID] = e
	s.alter(Servers, mark)
	s.touchServer(e.Service, e.ID)
}

func (s *State) drop(id string) {
	e, ok := s.servers[id]
	if !ok {
		return
	}
	delete(s.servers, id)
	s.alter(Servers, s.marks[Servers]-e.mark())
	s.touchServer(e.Service, id)
}

func (s *State) touchServer(service, id string) {
	if s.touched[service] == nil {
		s.touched[service] = map[string]bool{}
	}
	s.touched[service][id] = true
}

// touchAll has all lists made anew: other zones are taken out.
func (s *State) touchAll() {
	for id, e := range s.servers {
		s.touchServer(e.Service, id)
	}
}

// mark is the entry's part of the mark of all servers, which is their sum.
func (e *entry) mark() uint64 {
	if !e.missingSince.IsZero() {
		return 0
	}
	return xxhash.Sum64String(e.ID + "\n" + e.Address + "\n" + e.Zone + "\n" + strconv.FormatBool(e.listed.Leaving) + "\n" + e.Version)
}

// publish makes the lists that requests are placed on, those of services without
// a change excepted: of thousands of servers some change each second.
func (s *State) publish() {
	offered, canaries := maps.Clone(*s.offered.Load()), maps.Clone(*s.canaries.Load())
	for service, ids := range s.touched {
		offered[service] = s.relist(service, offered[service], ids, false)
		canaries[service] = s.relist(service, canaries[service], ids, true)
	}
	clear(s.touched)
	s.offered.Store(&offered)
	s.canaries.Store(&canaries)
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// relist returns a service's list, or that of its canaries, with the entries of
// some ids as they are now.
func (s *State) relist(service string, list []Server, ids map[string]bool, canaries bool) []Server {
	var fresh []Server
	for id := range ids {
		e, ok := s.servers[id]
		if !ok || e.Service != service || e.Leaving || s.zones[e.Zone] {
			continue
		}
		stable, canary := s.track(&e)
		if canaries && canary || !canaries && stable {
			fresh = append(fresh, e.Server)
		}
	}
	slices.SortFunc(fresh, byID)
	out := make([]Server, 0, len(list)+len(fresh))
	for i := range list {
		if ids[list[i].ID] {
			continue
		}
		for len(fresh) > 0 && byID(fresh[0], list[i]) < 0 {
			out, fresh = append(out, fresh[0]), fresh[1:]
		}
		out = append(out, list[i])
	}
	return append(out, fresh...)
}

func byID(a, b Server) int { return strings.Compare(a.ID, b.ID) }
