package observed

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/dialect"
	"pollenspindle.example/pollenspindle/internal/rollout"
)

func versioned(id, version string) dialect.Server {
	return dialect.Server{ID: id, Service: "desk", Address: id + ":1", Zone: "a", Version: version}
}

func idsOf(servers []Server) []string {
	out := []string{}
	for i := range servers {
		out = append(out, servers[i].ID)
	}
	return out
}

// twoVersions knows an old and a new server, and an order for the new one.
func twoVersions(t *testing.T) *State {
	s := NewState()
	s.FollowRollouts()
	require.True(t, s.ReplaceServers(start, 10, []dialect.Server{versioned("old", "v1")}))
	require.True(t, s.ReplaceRollouts(start, 11, []dialect.Rollout{{ID: "o", Name: "desk", Service: "desk", TargetVersion: "v2"}}))
	require.True(t, s.ChangeServers(start, 10, 12, []Change{{ID: "new", Server: new(versioned("new", "v2"))}}))
	return s
}

func TestStageDecidesWhichServersAreOffered(t *testing.T) {
	tests := map[rollout.Stage]struct{ offered, canaries, vacated []string }{
		rollout.StageCanary:     {[]string{"old"}, []string{"new"}, nil},
		rollout.StageShift:      {[]string{"new"}, []string{}, []string{"old"}},
		rollout.StageBack:       {[]string{"old"}, []string{}, []string{"new"}},
		rollout.StageCompleted:  {[]string{"new"}, []string{}, []string{"old"}},
		rollout.StageRolledBack: {[]string{"old"}, []string{}, []string{"new"}},
	}
	for stage, tt := range tests {
		t.Run(stage.String(), func(t *testing.T) {
			s := twoVersions(t)
			s.SetStage("o", stage)
			require.Equal(t, tt.offered, idsOf(s.Servers("desk")))
			require.Equal(t, tt.canaries, idsOf(s.Canaries("desk")))
			require.Equal(t, tt.vacated, s.VacatedOf("desk"))
		})
	}
}

// Guards against requests to a version whose order hasn't been heard of yet.
func TestNewVersionWaitsForRolloutsToBeRead(t *testing.T) {
	s := NewState()
	s.FollowRollouts()
	s.ReplaceServers(start, 10, []dialect.Server{versioned("old", "v1")})
	s.ReplaceRollouts(start, 10, nil)
	s.ChangeServers(start.Add(time.Second), 10, 12, []Change{{ID: "new", Server: new(versioned("new", "v2"))}})
	require.Equal(t, []string{"old"}, idsOf(s.Servers("desk")))
	require.Equal(t, start.Add(time.Second), s.HeldSince())

	s.Read(start.Add(900*time.Millisecond), Rollouts)
	require.Equal(t, []string{"old"}, idsOf(s.Servers("desk")), "read before the version appeared")
	s.Read(start.Add(1100*time.Millisecond), Rollouts)
	require.Equal(t, []string{"new", "old"}, idsOf(s.Servers("desk")))
	require.True(t, s.HeldSince().IsZero())
}

func TestOrderThatChanges(t *testing.T) {
	tests := map[string]struct {
		stage rollout.Stage
		next  []dialect.Rollout
		want  []string
	}{
		"withdrawn while it ran":       {rollout.StageCanary, nil, []string{"old"}},
		"withdrawn in the shift":       {rollout.StageShift, nil, []string{"old"}},
		"withdrawn after its end":      {rollout.StageCompleted, nil, []string{"new"}},
		"another version ordered":      {rollout.StageCanary, []dialect.Rollout{{ID: "p", Name: "desk", Service: "desk", TargetVersion: "v3"}}, []string{"old"}},
		"the same ordered once more":   {rollout.StageRolledBack, []dialect.Rollout{{ID: "p", Name: "desk", Service: "desk", TargetVersion: "v2"}}, []string{"old"}},
		"its end is told by platform":  {rollout.StageShift, []dialect.Rollout{{ID: "o", Name: "desk", Service: "desk", TargetVersion: "v2", ReportedStage: rollout.StageCompleted}}, []string{"new"}},
		"an older state is told again": {rollout.StageBack, []dialect.Rollout{{ID: "o", Name: "desk", Service: "desk", TargetVersion: "v2", ReportedStage: rollout.StageCanary}}, []string{"old"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := twoVersions(t)
			s.SetStage("o", tt.stage)
			s.ReplaceRollouts(start, 20, tt.next)
			require.Equal(t, tt.want, idsOf(s.Servers("desk")))
		})
	}
}

// Guards against servers that a later release starts, without an order, being left
// out after a roll-out was completed.
func TestReleaseAfterACompletedRollout(t *testing.T) {
	s := twoVersions(t)
	s.SetStage("o", rollout.StageCompleted)
	s.ChangeServers(start, 12, 13, []Change{{ID: "later", Server: new(versioned("later", "v3"))}})
	s.Read(start.Add(time.Second), Rollouts)
	require.Equal(t, []string{"later", "new"}, idsOf(s.Servers("desk")))
}

// Guards against an instance that hears of a roll-out from others alone.
func TestRolloutsAreToldWithTheirStage(t *testing.T) {
	s, other := twoVersions(t), NewState()
	other.FollowRollouts()
	s.SetStage("o", rollout.StageShift)
	u := s.UpdateFor(start, other.Versions(start))
	other.Apply(start, &u)
	require.Equal(t, []string{"new"}, idsOf(other.Servers("desk")))
	s.SetStage("o", rollout.StageBack)
	u = s.UpdateFor(start, other.Versions(start))
	other.Apply(start, &u)
	require.Equal(t, []string{"old"}, idsOf(other.Servers("desk")))
}
