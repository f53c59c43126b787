package platformstate

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"pollenspindle.example/pollenspindle/internal/dialect"
)

// Listing is the newest list of a resource, by whichever instance.
type Listing struct {
	// Version is the listed version: that of the configuration, or else the platform's
	// revision. ContentHash tells contents apart.
	Version     int64
	ContentHash uint64
	At          time.Time
}

// ResourceState describes an instance's state of one resource to others.
type ResourceState struct {
	Version     int64  `json:"version"`
	ContentHash uint64 `json:"mark"`
	// ListedVersion, ListedHash and ListedAge describe the newest list; the age is in
	// milliseconds, negative if there is none.
	ListedVersion int64  `json:"readVersion"`
	ListedHash    uint64 `json:"readMark"`
	ListedAge     int64  `json:"readAge"`
	// ConfirmedAge is the time in milliseconds since the resource was confirmed as current;
	// negative if it never was.
	ConfirmedAge int64 `json:"heardAge"`
	// AnsweringAge is for how many milliseconds the platform is known to answer, AfterSilence whether it
	// was silent before for so long that entries of servers may have expired, and LastAnswerAge the
	// time in milliseconds since it last answered the sender itself. The latter isn't passed on: it
	// would be taken for more recent by the delay of each message. All are sent with the servers; an
	// age of 0 means unknown.
	AnsweringAge  int64 `json:"answeringAge,omitempty"`
	LastAnswerAge int64 `json:"lastAnswerAge,omitempty"`
	AfterSilence  bool  `json:"afterSilence,omitempty"`
}

// Versions is an instance's state of all resources.
type Versions [resourceCount]ResourceState

// Update brings another instance up to date.
type Update struct {
	Versions Versions `json:"versions"`
	// Changes are the server changes that lead from version From, or any version from MinFrom
	// on, to the version in Versions.
	From    int64    `json:"from"`
	MinFrom int64    `json:"least"`
	Changes []Change `json:"changes,omitempty"`
	// Servers holds all servers if Snapshot is set, instead of changes.
	Snapshot bool             `json:"whole,omitempty"`
	Servers  []dialect.Server `json:"servers,omitempty"`
	// Zones holds the drained zones.
	Zones []string `json:"zones,omitempty"`
	// Rollouts holds all rollouts with their stages.
	Rollouts []dialect.Rollout `json:"rollouts,omitempty"`
}

// Versions returns this instance's state of all resources.
func (s *State) Versions(now time.Time) Versions {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.currentVersions(now)
}

func (s *State) currentVersions(now time.Time) Versions {
	var v Versions
	for res := range v {
		r := s.listings[res]
		v[res] = ResourceState{Version: s.versions[res], ContentHash: s.hashes[res], ListedVersion: r.Version, ListedHash: r.ContentHash, ListedAge: -1, ConfirmedAge: -1}
		if !r.At.IsZero() {
			v[res].ListedAge = now.Sub(r.At).Milliseconds()
		}
		if !s.confirmed[res].IsZero() {
			v[res].ConfirmedAge = now.Sub(s.confirmed[res]).Milliseconds()
		}
	}
	if !s.answered.last.IsZero() {
		v[Servers].AnsweringAge = max(1, now.Sub(s.answered.since).Milliseconds())
		_, v[Servers].AfterSilence = s.answered.silenceEnded()
	}
	if !s.lastAnswer.IsZero() {
		v[Servers].LastAnswerAge = max(1, now.Sub(s.lastAnswer).Milliseconds())
	}
	return v
}

// Behind reports whether another instance has a newer state of a resource.
func (s *State) Behind(v Versions) bool { return s.BehindExcept(v, -1) }

// BehindExcept reports whether another instance has a newer state of a resource other than
// the excepted one.
func (s *State) BehindExcept(v Versions, except Resource) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for res := range v {
		if Resource(res) != except && v[res].Version > s.versions[res] && v[res].ContentHash != s.hashes[res] {
			return true
		}
	}
	return false
}

// maxInlineServers is the number of servers up to which an update holds all of them if it doesn't know
// the changes.
const maxInlineServers = 100

// UpdateFor returns the update for an instance that has these versions, see [State.UpdateSince].
func (s *State) UpdateFor(now time.Time, has Versions) (u Update, complete bool) {
	return s.UpdateSince(now, has[Servers].Version)
}

// UpdateSince returns the update since a version of the servers. It doesn't hold the
// configuration: that is large, and fetched by the instances that lack it.
//
// If the changes aren't known, the update holds all servers, or none if there are many: then it isn't
// complete, and an instance that lacks them finds that changes are missing. So its size doesn't grow
// with the servers.
func (s *State) UpdateSince(now time.Time, servers int64) (u Update, complete bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u = Update{Versions: s.currentVersions(now), From: servers, Zones: slices.Sorted(maps.Keys(s.zones)), Rollouts: s.listRollouts()}
	changes, minFrom, ok := s.changesSince(now, servers)
	switch {
	case ok && servers > 0:
		u.Changes, u.MinFrom = changes, minFrom
		return u, true
	case len(s.servers) > maxInlineServers:
		u.From = s.versions[Servers]
		u.MinFrom = u.From
		return u, false
	}
	u.Snapshot = true
	for _, known := range s.listedServers() {
		u.Servers = append(u.Servers, known.Outgoing(now))
	}
	return u, true
}

// Snapshot returns the update for an instance that knows nothing, and apart from it the servers, which
// may be thousands.
func (s *State) Snapshot(now time.Time) (Update, []ListedServer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := Update{Versions: s.currentVersions(now), Snapshot: true, Zones: slices.Sorted(maps.Keys(s.zones)), Rollouts: s.listRollouts()}
	return u, s.listedServers()
}

// Apply applies an update and reports whether changes before it are missing.
func (s *State) Apply(now time.Time, u *Update) (missing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordAnswersTo(now, &u.Versions)
	at := u.Versions[Servers].Version
	switch {
	case u.Snapshot && at > s.versions[Servers]:
		s.replaceServers(now, at, u.Servers)
	case !u.Snapshot:
		missing = !s.changeServers(now, u.From, u.MinFrom, at, u.Changes)
	}
	if v := u.Versions[Zones].Version; v > s.versions[Zones] {
		s.setZones(v, u.Zones)
	}
	if v := u.Versions[Rollouts].Version; v > s.versions[Rollouts] {
		s.replaceRollouts(now, v, u.Rollouts)
	}
	for i := range u.Rollouts {
		s.setStage(u.Rollouts[i].ID, u.Rollouts[i].Stage)
	}
	s.mergeVersions(now, &u.Versions)
	// Equal contents need no changes, whatever their versions.
	return missing && s.versions[Servers] < at
}

// MergeVersions applies the versions of another instance. If its contents are the same,
// its lists count like own ones.
func (s *State) MergeVersions(now time.Time, v Versions) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordAnswersTo(now, &v)
	s.mergeVersions(now, &v)
}

// heardTTL is how long after a message of another instance this one counts as hearing others.
const heardTTL = 2 * time.Second

// HeardOthers reports whether another instance has recently sent its versions.
func (s *State) HeardOthers(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.heardAt.IsZero() && now.Sub(s.heardAt) < heardTTL
}

// recordAnswersTo records when the platform answered the other instance and those that it knows.
func (s *State) recordAnswersTo(now time.Time, v *Versions) {
	s.heardAt = now
	r := &v[Servers]
	if r.AnsweringAge <= 0 {
		return
	}
	before := s.answered
	since := millisAgo(now, r.AnsweringAge)
	last := since
	if r.LastAnswerAge > 0 {
		last = later(since, millisAgo(now, r.LastAnswerAge))
	}
	s.answered.merge(since, last, r.AfterSilence)
	s.logSilence(before)
}

func (s *State) mergeVersions(now time.Time, v *Versions) {
	for i := range v {
		res, other := Resource(i), &v[i]
		if other.Version == 0 {
			continue
		}
		if other.ContentHash == s.hashes[res] && other.Version > s.versions[res] && res != Configuration {
			if res == Servers {
				s.addMissingRange(s.versions[res], other.Version)
			}
			s.versions[res] = other.Version
		}
		if other.ContentHash == s.hashes[res] && other.ConfirmedAge >= 0 && res == Servers {
			s.confirm(millisAgo(now, other.ConfirmedAge), res)
		}
		if other.ListedAge < 0 {
			continue
		}
		r := Listing{Version: other.ListedVersion, ContentHash: other.ListedHash, At: millisAgo(now, other.ListedAge)}
		switch {
		case s.versions[res] > r.Version, s.hashes[res] == r.ContentHash:
			s.recordListing(res, r)
		case r.At.After(s.listings[res].At) && s.divergedSince[res].IsZero():
			s.divergedSince[res] = now
		}
	}
}

func millisAgo(now time.Time, millis int64) time.Time {
	return now.Add(-time.Duration(millis) * time.Millisecond)
}

// LastListing returns the newest list that matched the state of this instance.
func (s *State) LastListing(res Resource) Listing {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listings[res]
}

// ContentHash returns the hash of a resource's contents.
func (s *State) ContentHash(res Resource) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hashes[res]
}

// RecordListing records that a list started at a time matched the state.
func (s *State) RecordListing(at time.Time, res Resource) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordListing(res, Listing{Version: s.versions[res], ContentHash: s.hashes[res], At: at})
}

func (s *State) recordListing(res Resource, r Listing) {
	s.divergedSince[res] = time.Time{}
	if r.At.After(s.listings[res].At) {
		s.listings[res] = r
	}
	if res != Servers {
		s.confirm(r.At, res)
	}
	if res == Rollouts {
		s.acceptHeldVersions(r.At)
	}
}

// setHash sets the content hash after a change.
func (s *State) setHash(res Resource, hash uint64) {
	if s.hashes[res] != hash {
		s.hashes[res], s.divergedSince[res] = hash, time.Time{}
	}
}

// DivergedSince returns since when another instance is known to have listed different
// contents, or the zero time.
func (s *State) DivergedSince(res Resource) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.divergedSince[res]
}

// MarkDiverged records that the platform's rollouts differ from those known here.
func (s *State) MarkDiverged(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.divergedSince[Rollouts].IsZero() {
		s.divergedSince[Rollouts] = now
	}
}

func zonesHash(zones map[string]bool) uint64 {
	return xxhash.Sum64String(strings.Join(slices.Sorted(maps.Keys(zones)), "\n"))
}
