package observed

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"pollenspindle.example/pollenspindle/internal/dialect"
	"pollenspindle.example/pollenspindle/internal/rollout"
)

// releases is what is known of the software versions of the servers.
type releases struct {
	// followed is set where roll-outs are ordered at all.
	followed bool
	// rollouts are by service.
	rollouts map[string]dialect.Rollout
	// accepted are the versions, by service, that get requests without a roll-out,
	// held those that were listed since then and that a roll-out may be under way
	// for which isn't known yet.
	accepted map[string]map[string]bool
	held     map[string]map[string]time.Time
	// rejected are versions that were rolled back, or whose order was withdrawn.
	rejected map[string]map[string]bool
}

func newReleases() releases {
	return releases{
		rollouts: map[string]dialect.Rollout{}, accepted: map[string]map[string]bool{},
		held: map[string]map[string]time.Time{}, rejected: map[string]map[string]bool{},
	}
}

// FollowRollouts has versions of servers that appear wait until it is known that
// no roll-out to them is ordered.
func (s *State) FollowRollouts() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releases.followed = true
}

// Rollouts returns the roll-outs with their stages, in order of their names.
func (s *State) Rollouts() []dialect.Rollout {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listRollouts()
}

func (s *State) listRollouts() []dialect.Rollout {
	out := slices.Collect(maps.Values(s.releases.rollouts))
	slices.SortFunc(out, func(a, b dialect.Rollout) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// ReplaceRollouts takes over all roll-outs as of a version.
func (s *State) ReplaceRollouts(now time.Time, version int64, list []dialect.Rollout) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replaceRollouts(now, version, list)
}

func (s *State) replaceRollouts(now time.Time, version int64, list []dialect.Rollout) bool {
	if version < s.versions[Rollouts] {
		return false
	}
	s.versions[Rollouts] = version
	s.confirm(now, Rollouts)
	before := s.releases.rollouts
	s.releases.rollouts = map[string]dialect.Rollout{}
	for _, r := range list {
		r.Stage = rollout.StageCanary.Later(r.ReportedStage)
		if known, ok := before[r.Service]; ok && known.ID == r.ID {
			r.Stage = known.Stage.Later(r.Stage)
		}
		delete(s.releases.rejected[r.Service], r.TargetVersion)
		s.releases.rollouts[r.Service] = r
	}
	for service, known := range before {
		if r, ok := s.releases.rollouts[service]; (!ok || r.TargetVersion != known.TargetVersion) && known.Stage != rollout.StageCompleted {
			mark(s.releases.rejected, service, known.TargetVersion)
		}
		s.touchService(service)
	}
	for service := range s.releases.rollouts {
		s.retire(service)
		s.touchService(service)
	}
	s.alter(Rollouts, rolloutsMark(s.releases.rollouts))
	s.publish()
	return true
}

// SetStage takes over a later stage of a roll-out and reports whether it is one.
func (s *State) SetStage(id string, stage rollout.Stage) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.setStage(id, stage)
}

func (s *State) setStage(id string, stage rollout.Stage) bool {
	for service, r := range s.releases.rollouts {
		later := r.Stage.Later(stage)
		if r.ID != id || later == r.Stage {
			continue
		}
		r.Stage = later
		s.releases.rollouts[service] = r
		s.retire(service)
		s.touchService(service)
		s.publish()
		return true
	}
	return false
}

// retire marks the servers that end with a completed roll-out. Others of any
// version may follow later, without an order.
func (s *State) retire(service string) {
	r := s.releases.rollouts[service]
	if r.Stage != rollout.StageCompleted {
		return
	}
	for id, e := range s.servers {
		if e.Service == service && e.Version != r.TargetVersion && !e.retired {
			e.retired = true
			s.servers[id] = e
		}
	}
}

// track says whether a server gets requests, and whether it gets those of a canary.
func (s *State) track(e *entry) (stable, canary bool) {
	if e.retired || s.releases.rejected[e.Service][e.Version] {
		return false, false
	}
	r, ok := s.releases.rollouts[e.Service]
	isNew := e.Version == r.TargetVersion
	switch {
	case ok && isNew:
		return r.Stage.Serves(true), r.Stage == rollout.StageCanary
	case ok && !r.Stage.Ended():
		return r.Stage.Serves(false), false
	}
	_, held := s.releases.held[e.Service][e.Version]
	return !held, false
}

// Vacated reports whether what runs on a server is to leave it.
func (s *State) Vacated(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.servers[id]
	return ok && s.vacated(&e)
}

func (s *State) vacated(e *entry) bool {
	if e.retired || s.releases.rejected[e.Service][e.Version] {
		return true
	}
	r, ok := s.releases.rollouts[e.Service]
	if !ok || e.Version != r.TargetVersion && r.Stage.Ended() {
		return false
	}
	return r.Stage.Vacates(e.Version == r.TargetVersion)
}

// VacatedOf returns the servers of a service that are to be left.
func (s *State) VacatedOf(service string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for id, e := range s.servers {
		if e.Service == service && s.vacated(&e) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// OfVersion counts the servers of a service that could take requests: those of a
// version, and those of others.
func (s *State) OfVersion(service, version string) (of, others int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.servers {
		switch {
		case e.Service != service || e.Leaving || s.zones[e.Zone] || e.retired || s.releases.rejected[service][e.Version]:
		case e.Version == version:
			of++
		default:
			others++
		}
	}
	return of, others
}

// see notes the version of a server that is listed.
func (s *State) see(now time.Time, e *entry) {
	k := &s.releases
	if !k.followed || k.accepted[e.Service][e.Version] {
		return
	}
	if r, ok := k.rollouts[e.Service]; ok && r.TargetVersion == e.Version {
		mark(k.accepted, e.Service, e.Version)
		return
	}
	if k.held[e.Service] == nil {
		k.held[e.Service] = map[string]time.Time{}
	}
	if _, ok := k.held[e.Service][e.Version]; !ok {
		k.held[e.Service][e.Version] = now
	}
}

// seeFirst accepts the versions in the first list: an order comes before its
// servers, and roll-outs have to be known before anything is sent.
func (s *State) seeFirst(list []dialect.Server) {
	for i := range list {
		mark(s.releases.accepted, list[i].Service, list[i].Version)
	}
}

// settle accepts versions that were held when roll-outs were read that began at a
// time.
func (s *State) settle(at time.Time) {
	changed := false
	for service, of := range s.releases.held {
		for version, since := range of {
			if at.Before(since) {
				continue
			}
			delete(of, version)
			mark(s.releases.accepted, service, version)
			s.touchService(service)
			changed = true
		}
	}
	if changed {
		s.publish()
	}
}

// HeldSince returns since when versions wait for roll-outs to be read; zero where
// none does.
func (s *State) HeldSince() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	var first time.Time
	for _, of := range s.releases.held {
		for _, since := range of {
			if first.IsZero() || since.Before(first) {
				first = since
			}
		}
	}
	return first
}

func (s *State) touchService(service string) {
	for id, e := range s.servers {
		if e.Service == service {
			s.touchServer(service, id)
		}
	}
}

func mark(of map[string]map[string]bool, service, version string) {
	if of[service] == nil {
		of[service] = map[string]bool{}
	}
	of[service][version] = true
}

// rolloutsMark tells what the platform holds apart; stages that it wasn't told are
// no part of it.
func rolloutsMark(rollouts map[string]dialect.Rollout) uint64 {
	var lines []string
	for _, r := range rollouts {
		lines = append(lines, r.ID+"\n"+strconv.FormatInt(r.Revision, 10))
	}
	slices.Sort(lines)
	return xxhash.Sum64String(strings.Join(lines, "\n"))
}
