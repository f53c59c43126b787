package platformstate

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

// releases is the state of the servers' software versions.
type releases struct {
	// enabled is set if the deployment has rollouts.
	enabled bool
	// rollouts holds the rollouts by service.
	rollouts map[string]dialect.Rollout
	// accepted holds the versions, by service, that get requests without a rollout; held those
	// that were listed since and may belong to a rollout that isn't known yet.
	accepted map[string]map[string]bool
	held     map[string]map[string]time.Time
	// rejected holds the versions that were rolled back, or whose rollout was withdrawn.
	rejected map[string]map[string]bool
}

func newReleases() releases {
	return releases{
		rollouts: map[string]dialect.Rollout{}, accepted: map[string]map[string]bool{},
		held: map[string]map[string]time.Time{}, rejected: map[string]map[string]bool{},
	}
}

// EnableRollouts holds back new versions of servers until it is known that there is no
// rollout to them.
func (s *State) EnableRollouts() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releases.enabled = true
}

// Rollouts returns the rollouts with their stages, in order of their names.
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

// ReplaceRollouts replaces all rollouts as of a version, and reports whether it isn't
// older.
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
	if maps.Equal(before, s.releases.rollouts) {
		return true
	}
	for service, known := range before {
		if r, ok := s.releases.rollouts[service]; (!ok || r.TargetVersion != known.TargetVersion) && known.Stage != rollout.StageCompleted {
			addVersion(s.releases.rejected, service, known.TargetVersion)
		}
		s.touchService(service)
	}
	for service := range s.releases.rollouts {
		s.retire(service)
		s.touchService(service)
	}
	s.setHash(Rollouts, rolloutsHash(s.releases.rollouts))
	s.publish()
	return true
}

// SetStage applies a stage of a rollout and reports whether its stage changed.
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

// retire marks the servers that shut down after a completed rollout. Servers of any
// version that start later aren't marked: they need no rollout.
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

// track reports whether a server gets requests, and whether it gets those of a canary.
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

// Draining reports whether the requests on a server must leave it.
func (s *State) Draining(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.servers[id]
	return ok && s.draining(&e)
}

func (s *State) draining(e *entry) bool {
	if e.retired || s.releases.rejected[e.Service][e.Version] {
		return true
	}
	r, ok := s.releases.rollouts[e.Service]
	if !ok || e.Version != r.TargetVersion && r.Stage.Ended() {
		return false
	}
	return r.Stage.Drains(e.Version == r.TargetVersion)
}

// DrainingServers returns the servers of a service that requests must leave.
func (s *State) DrainingServers(service string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for id, e := range s.servers {
		if e.Service == service && s.draining(&e) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// CountByVersion counts the servers of a service that could accept requests: those of a
// version, and those of others.
func (s *State) CountByVersion(service, version string) (of, others int) {
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

// recordVersion records the version of a listed server.
func (s *State) recordVersion(now time.Time, e *entry) {
	k := &s.releases
	if !k.enabled || k.accepted[e.Service][e.Version] {
		return
	}
	if r, ok := k.rollouts[e.Service]; ok && r.TargetVersion == e.Version {
		addVersion(k.accepted, e.Service, e.Version)
		return
	}
	if k.held[e.Service] == nil {
		k.held[e.Service] = map[string]time.Time{}
	}
	if _, ok := k.held[e.Service][e.Version]; !ok {
		k.held[e.Service][e.Version] = now
	}
}

// acceptInitialVersions accepts the versions in the first list: a rollout is requested
// before its servers start, and rollouts must be known before any request is sent.
func (s *State) acceptInitialVersions(list []dialect.Server) {
	for i := range list {
		addVersion(s.releases.accepted, list[i].Service, list[i].Version)
	}
}

// acceptHeldVersions accepts versions that were held when a list of the rollouts started
// at the given time.
func (s *State) acceptHeldVersions(at time.Time) {
	changed := false
	for service, of := range s.releases.held {
		for version, since := range of {
			if at.Before(since) {
				continue
			}
			delete(of, version)
			addVersion(s.releases.accepted, service, version)
			s.touchService(service)
			changed = true
		}
	}
	if changed {
		s.publish()
	}
}

// HeldSince returns since when versions have been held until the rollouts are listed, or
// the zero time.
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

func addVersion(of map[string]map[string]bool, service, version string) {
	if of[service] == nil {
		of[service] = map[string]bool{}
	}
	of[service][version] = true
}

// rolloutsHash hashes the platform's rollouts, without the stages decided on since.
func rolloutsHash(rollouts map[string]dialect.Rollout) uint64 {
	var lines []string
	for _, r := range rollouts {
		lines = append(lines, r.ID+"\n"+strconv.FormatInt(r.Revision, 10))
	}
	slices.Sort(lines)
	return xxhash.Sum64String(strings.Join(lines, "\n"))
}
