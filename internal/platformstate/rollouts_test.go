package platformstate

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

func idsOf(servers []*Server) []string {
	out := []string{}
	for i := range servers {
		out = append(out, servers[i].ID)
	}
	return out
}

// twoVersions returns a state with an old and a new server, and a rollout to the new
// version.
func twoVersions(t *testing.T) *State {
	s := NewState()
	s.EnableRollouts()
	require.True(t, s.ReplaceServers(start, 10, []dialect.Server{versioned("old", "v1")}))
	require.True(t, s.ReplaceRollouts(start, 11, []dialect.Rollout{{ID: "o", Name: "desk", Service: "desk", TargetVersion: "v2"}}))
	require.True(t, s.ChangeServers(start, 10, 12, []Change{{ID: "new", Server: new(versioned("new", "v2"))}}))
	return s
}

func TestStageDeterminesEligibleServers(t *testing.T) {
	tests := map[rollout.Stage]struct{ eligible, canaries, draining []string }{
		rollout.StageCanary:      {[]string{"old"}, []string{"new"}, nil},
		rollout.StagePromoting:   {[]string{"new"}, []string{}, []string{"old"}},
		rollout.StageRollingBack: {[]string{"old"}, []string{}, []string{"new"}},
		rollout.StageCompleted:   {[]string{"new"}, []string{}, []string{"old"}},
		rollout.StageRolledBack:  {[]string{"old"}, []string{}, []string{"new"}},
	}
	for stage, tt := range tests {
		t.Run(stage.String(), func(t *testing.T) {
			s := twoVersions(t)
			s.SetStage("o", stage)
			require.Equal(t, tt.eligible, idsOf(s.Servers("desk")))
			require.Equal(t, tt.canaries, idsOf(s.Canaries("desk")))
			require.Equal(t, tt.draining, s.DrainingServers("desk"))
		})
	}
}

// Guards against requests to a new version whose rollout isn't known yet.
func TestNewVersionHeldUntilRolloutsListed(t *testing.T) {
	s := NewState()
	s.EnableRollouts()
	s.ReplaceServers(start, 10, []dialect.Server{versioned("old", "v1")})
	s.ReplaceRollouts(start, 10, nil)
	s.ChangeServers(start.Add(time.Second), 10, 12, []Change{{ID: "new", Server: new(versioned("new", "v2"))}})
	require.Equal(t, []string{"old"}, idsOf(s.Servers("desk")))
	require.Equal(t, start.Add(time.Second), s.HeldSince())

	s.RecordListing(start.Add(900*time.Millisecond), Rollouts)
	require.Equal(t, []string{"old"}, idsOf(s.Servers("desk")), "listed before the version appeared")
	s.RecordListing(start.Add(1100*time.Millisecond), Rollouts)
	require.Equal(t, []string{"new", "old"}, idsOf(s.Servers("desk")))
	require.True(t, s.HeldSince().IsZero())
}

func TestRolloutReplacedOrWithdrawn(t *testing.T) {
	tests := map[string]struct {
		stage rollout.Stage
		next  []dialect.Rollout
		want  []string
	}{
		"withdrawn during the canary":    {rollout.StageCanary, nil, []string{"old"}},
		"withdrawn during the promotion": {rollout.StagePromoting, nil, []string{"old"}},
		"withdrawn after completion":     {rollout.StageCompleted, nil, []string{"new"}},
		"replaced by another version":    {rollout.StageCanary, []dialect.Rollout{{ID: "p", Name: "desk", Service: "desk", TargetVersion: "v3"}}, []string{"old"}},
		"same version requested again":   {rollout.StageRolledBack, []dialect.Rollout{{ID: "p", Name: "desk", Service: "desk", TargetVersion: "v2"}}, []string{"old"}},
		"completed on the platform":      {rollout.StagePromoting, []dialect.Rollout{{ID: "o", Name: "desk", Service: "desk", TargetVersion: "v2", ReportedStage: rollout.StageCompleted}}, []string{"new"}},
		"older stage on the platform":    {rollout.StageRollingBack, []dialect.Rollout{{ID: "o", Name: "desk", Service: "desk", TargetVersion: "v2", ReportedStage: rollout.StageCanary}}, []string{"old"}},
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

// Guards against servers of a later version, started without a rollout, getting no
// requests after a completed rollout.
func TestReleaseAfterACompletedRollout(t *testing.T) {
	s := twoVersions(t)
	s.SetStage("o", rollout.StageCompleted)
	s.ChangeServers(start, 12, 13, []Change{{ID: "later", Server: new(versioned("later", "v3"))}})
	s.RecordListing(start.Add(time.Second), Rollouts)
	require.Equal(t, []string{"later", "new"}, idsOf(s.Servers("desk")))
}

// Guards against a wrong stage at an instance that knows a rollout from updates only.
func TestUpdateHoldsRolloutStages(t *testing.T) {
	s, other := twoVersions(t), NewState()
	other.EnableRollouts()
	s.SetStage("o", rollout.StagePromoting)
	u, _ := s.UpdateFor(start, other.Versions(start))
	other.Apply(start, &u)
	require.Equal(t, []string{"new"}, idsOf(other.Servers("desk")))
	s.SetStage("o", rollout.StageRollingBack)
	u, _ = s.UpdateFor(start, other.Versions(start))
	other.Apply(start, &u)
	require.Equal(t, []string{"old"}, idsOf(other.Servers("desk")))
}
