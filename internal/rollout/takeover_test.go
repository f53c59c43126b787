package rollout_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/rollout"
)

// platform is the platform's rollout object. Writes are conditional on its revision.
type platform struct {
	revision int
	state    rollout.Stage
}

// modelState is a state of the bounded model check: two instances that may both act as
// coordinator.
type modelState struct {
	// stage is each instance's stage, revision the revision that its writes are conditional on.
	stage    [2]rollout.Stage
	revision [2]int
	// drained is set when an instance has no requests left on the old version.
	drained [2]bool
	// reported and reportedDrained are the stage in each instance's last report to the other, and
	// whether it was promoting and drained then.
	reported        [2]rollout.Stage
	reportedDrained [2]bool
	up              [2]bool
	plat            platform
}

// steps returns all possible next states: decisions, reports in any order, crashes with a
// restart from nothing, refreshes and writes.
func (w modelState) steps() map[string]modelState {
	out := map[string]modelState{}
	for i := range 2 {
		j := 1 - i
		if !w.up[i] {
			n := w
			n.up[i], n.stage[i], n.revision[i], n.drained[i] = true, rollout.StageNone, w.plat.revision, true
			n.reported[j], n.reportedDrained[j] = rollout.StageNone, false
			if w.plat.state.Ended() {
				n.stage[i] = w.plat.state
			}
			out[fmt.Sprintf("start %d", i)] = n
			continue
		}
		if w.stage[i] == rollout.StageNone && (!w.up[j] || w.stage[j] == rollout.StageNone) {
			n := w
			n.stage[i], n.drained[i] = rollout.StageCanary, false
			out[fmt.Sprintf("no stage known to %d", i)] = n
		}
		if w.stage[i] == rollout.StageCanary {
			for _, verdict := range []rollout.Stage{rollout.StagePromoting, rollout.StageRollingBack} {
				n := w
				n.stage[i] = verdict
				out[fmt.Sprintf("decide %d %v", i, verdict)] = n
			}
		}
		if w.stage[i] == rollout.StagePromoting && !w.drained[i] {
			n := w
			n.drained[i] = true
			out[fmt.Sprintf("drained %d", i)] = n
		}
		if w.up[j] {
			n := w
			n.reported[i], n.reportedDrained[i] = w.stage[i], w.stage[i] == rollout.StagePromoting && w.drained[i]
			n.stage[j] = w.stage[j].Later(w.stage[i])
			// The answer holds the receiver's stage.
			n.stage[i] = w.stage[i].Later(n.stage[j])
			for k := range 2 {
				n.drained[k] = n.drained[k] && n.stage[k] != rollout.StageCanary
			}
			out[fmt.Sprintf("report %d", i)] = n
		}
		n := w
		n.revision[i] = w.plat.revision
		if w.plat.state.Ended() {
			n.stage[i] = w.stage[i].Later(w.plat.state)
		}
		out[fmt.Sprintf("refresh %d", i)] = n
		if target, ok := w.wantsWrite(i); ok && w.revision[i] == w.plat.revision {
			n := w
			n.plat = platform{w.plat.revision + 1, target}
			out[fmt.Sprintf("write %d %v", i, target)] = n
		}
		n = w
		n.up[i], n.stage[i], n.drained[i] = false, rollout.StageNone, false
		out[fmt.Sprintf("crash %d", i)] = n
	}
	return out
}

// wantsWrite returns what an instance would write as the coordinator.
func (w modelState) wantsWrite(i int) (rollout.Stage, bool) {
	j := 1 - i
	switch {
	case w.plat.state.Ended() || w.stage[i].Ended():
		return 0, false
	case w.stage[i] == rollout.StageRollingBack:
		return rollout.StageRolledBack, true
	case w.stage[i] == rollout.StagePromoting && w.drained[i] && (!w.up[j] || w.reported[j] == rollout.StagePromoting && w.reportedDrained[j]):
		return rollout.StageCompleted, true
	}
	return 0, false
}

// Guards against two final stages, and against completion while an instance still sends to
// the old version. Checks every order of messages, crashes and takeovers of two instances
// up to a depth.
func TestTakeoverInEveryOrder(t *testing.T) {
	const depth = 12
	begin := modelState{
		stage: [2]rollout.Stage{rollout.StageCanary, rollout.StageCanary}, up: [2]bool{true, true}, plat: platform{1, rollout.StageCanary},
	}
	seen := map[modelState]string{begin: ""}
	layer := []modelState{begin}
	completed, rolledBack := 0, 0
	for range depth {
		var next []modelState
		for _, w := range layer {
			for name, n := range w.steps() {
				if w.plat.state.Ended() {
					require.Equal(t, w.plat.state, n.plat.state, "a second final stage after%s, %s", seen[w], name)
				}
				if n.plat.state == rollout.StageCompleted && !w.plat.state.Ended() {
					completed++
					for i := range 2 {
						usesOld := n.up[i] && (n.stage[i] == rollout.StageCanary || n.stage[i] == rollout.StagePromoting && !n.drained[i])
						require.False(t, usesOld, "completed while instance %d uses the old version, after%s, %s", i, seen[w], name)
					}
				}
				if n.plat.state == rollout.StageRolledBack && !w.plat.state.Ended() {
					rolledBack++
				}
				if _, ok := seen[n]; !ok {
					seen[n] = seen[w] + ", " + name
					next = append(next, n)
				}
			}
		}
		layer = next
	}
	t.Logf("%d states, %d completions, %d rollbacks", len(seen), completed, rolledBack)
	require.Positive(t, completed)
	require.Positive(t, rolledBack)
}

func TestStagesOnlyGoForward(t *testing.T) {
	tests := map[string]struct{ from, to, want rollout.Stage }{
		"rolling back overrides promoting":        {rollout.StagePromoting, rollout.StageRollingBack, rollout.StageRollingBack},
		"promoting doesn't override rolling back": {rollout.StageRollingBack, rollout.StagePromoting, rollout.StageRollingBack},
		"the platform's final stage applies":      {rollout.StageRollingBack, rollout.StageCompleted, rollout.StageCompleted},
		"the first final stage stays":             {rollout.StageCompleted, rollout.StageRolledBack, rollout.StageCompleted},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { require.Equal(t, tt.want, tt.from.Later(tt.to)) })
	}
}

func controllerAt(stage rollout.Stage, now time.Time) *rollout.Controller {
	c := rollout.NewController(now, rollout.Spec{ID: "o", Service: "desk", To: "v2", Duration: 12 * time.Second}, rollout.Limits{Share: 0.1, Slack: 50})
	c.Advance(stage)
	return c
}

// Guards against completing on reports from before this instance was suspended.
func TestCompleteNeedsFreshReports(t *testing.T) {
	now := time.Unix(1000, 0)
	view := rollout.View{Live: []string{"a", "b"}, OldServers: 2, NewServers: 2}
	report := func(c *rollout.Controller, instance string, stage rollout.Stage, remaining int, sequence int64) {
		c.Apply(now, rollout.Report{RolloutID: "o", Instance: instance, Incarnation: 1, Sequence: sequence, Stage: stage, Remaining: remaining})
	}
	tests := map[string]struct {
		before func(c *rollout.Controller)
		after  time.Duration
		want   rollout.Action
	}{
		"all drained": {
			before: func(c *rollout.Controller) {
				report(c, "a", rollout.StagePromoting, 0, 1)
				report(c, "b", rollout.StagePromoting, 0, 1)
			},
			want: rollout.Write{Stage: rollout.StageCompleted, Reason: "decided by another instance"},
		},
		"no report from one": {
			before: func(c *rollout.Controller) { report(c, "a", rollout.StagePromoting, 0, 1) },
			want:   rollout.Wait{Reason: "no recent report from b"},
		},
		"one has requests remaining": {
			before: func(c *rollout.Controller) {
				report(c, "a", rollout.StagePromoting, 0, 1)
				report(c, "b", rollout.StagePromoting, 3, 1)
			},
			want: rollout.Wait{Reason: "3 requests remaining on the old version at b"},
		},
		"one still in the canary": {
			before: func(c *rollout.Controller) {
				report(c, "a", rollout.StagePromoting, 0, 1)
				report(c, "b", rollout.StageCanary, 0, 1)
			},
			want: rollout.Wait{Reason: "b hasn't applied the promotion"},
		},
		"older report arrives late": {
			before: func(c *rollout.Controller) {
				report(c, "a", rollout.StagePromoting, 0, 1)
				report(c, "b", rollout.StagePromoting, 2, 2)
				report(c, "b", rollout.StagePromoting, 0, 1)
			},
			want: rollout.Wait{Reason: "2 requests remaining on the old version at b"},
		},
		"outdated reports": {
			before: func(c *rollout.Controller) {
				report(c, "a", rollout.StagePromoting, 0, 1)
				report(c, "b", rollout.StagePromoting, 0, 1)
			},
			after: 4 * time.Second, want: rollout.Wait{Reason: "no recent report from a"},
		},
		"instance was suspended": {
			before: func(c *rollout.Controller) {
				report(c, "a", rollout.StagePromoting, 0, 1)
				report(c, "b", rollout.StagePromoting, 0, 1)
				c.ExpireReports()
			},
			want: rollout.Wait{Reason: "no recent report from a"},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := controllerAt(rollout.StagePromoting, now)
			tt.before(c)
			require.Equal(t, tt.want, c.Step(now.Add(tt.after), view))
		})
	}
}

// Guards against a canary that continues at an instance that the coordinator doesn't
// answer.
func TestCanaryNeedsALease(t *testing.T) {
	now := time.Unix(1000, 0)
	p := rollout.NewParticipant(now, rollout.Spec{ID: "o", Duration: 12 * time.Second})
	require.Equal(t, rollout.Stable, p.Track(now, 0))
	p.ApplyLease(now, rollout.Lease{RolloutID: "another", Stage: rollout.StagePromoting, Share: 0.08})
	require.Equal(t, rollout.StageCanary, p.Stage())
	p.ApplyLease(now, rollout.Lease{RolloutID: "o", Stage: rollout.StageCanary, Share: 0.08})
	require.Equal(t, rollout.Canary, p.Track(now.Add(time.Second), 0.07))
	require.Equal(t, rollout.Stable, p.Track(now.Add(time.Second), 0.09))
	require.Equal(t, rollout.Stable, p.Track(now.Add(3*time.Second), 0))
}
