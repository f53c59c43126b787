package rollout_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/rollout"
)

// platform is the platform's object of a roll-out, written under a condition.
type platform struct {
	revision int
	state    rollout.Stage
}

// world is a state of the bounded search: two instances that may both think that
// they decide, and what is on its way.
type world struct {
	// stage is that of each instance, knows the revision that it writes under.
	stage [2]rollout.Stage
	knows [2]int
	// ready says that an instance has nothing left on the old version.
	ready [2]bool
	// heard is the stage in which each instance's last report reached the other.
	heard [2]rollout.Stage
	clear [2]bool
	up    [2]bool
	plat  platform
}

// steps returns all worlds that may follow: verdicts, reports in any order, crashes
// with a start from nothing, refreshes and writes.
func (w world) steps() map[string]world {
	out := map[string]world{}
	for i := range 2 {
		j := 1 - i
		if !w.up[i] {
			n := w
			n.up[i], n.stage[i], n.knows[i], n.ready[i] = true, rollout.StageNone, w.plat.revision, true
			n.heard[j], n.clear[j] = rollout.StageNone, false
			if w.plat.state.Ended() {
				n.stage[i] = w.plat.state
			}
			out[fmt.Sprintf("start %d", i)] = n
			continue
		}
		if w.stage[i] == rollout.StageNone && (!w.up[j] || w.stage[j] == rollout.StageNone) {
			n := w
			n.stage[i], n.ready[i] = rollout.StageCanary, false
			out[fmt.Sprintf("nobody tells %d", i)] = n
		}
		if w.stage[i] == rollout.StageCanary {
			for _, verdict := range []rollout.Stage{rollout.StageShift, rollout.StageBack} {
				n := w
				n.stage[i] = verdict
				out[fmt.Sprintf("verdict %d %v", i, verdict)] = n
			}
		}
		if w.stage[i] == rollout.StageShift && !w.ready[i] {
			n := w
			n.ready[i] = true
			out[fmt.Sprintf("moved %d", i)] = n
		}
		if w.up[j] {
			n := w
			n.heard[i], n.clear[i] = w.stage[i], w.stage[i] == rollout.StageShift && w.ready[i]
			n.stage[j] = w.stage[j].Later(w.stage[i])
			// The answer tells the stage of the one that was told.
			n.stage[i] = w.stage[i].Later(n.stage[j])
			for k := range 2 {
				n.ready[k] = n.ready[k] && n.stage[k] != rollout.StageCanary
			}
			out[fmt.Sprintf("report %d", i)] = n
		}
		n := w
		n.knows[i] = w.plat.revision
		if w.plat.state.Ended() {
			n.stage[i] = w.stage[i].Later(w.plat.state)
		}
		out[fmt.Sprintf("refresh %d", i)] = n
		if target, ok := w.wants(i); ok && w.knows[i] == w.plat.revision {
			n := w
			n.plat = platform{w.plat.revision + 1, target}
			out[fmt.Sprintf("write %d %v", i, target)] = n
		}
		n = w
		n.up[i], n.stage[i], n.ready[i] = false, rollout.StageNone, false
		out[fmt.Sprintf("crash %d", i)] = n
	}
	return out
}

// wants returns what an instance would write that decides.
func (w world) wants(i int) (rollout.Stage, bool) {
	j := 1 - i
	switch {
	case w.plat.state.Ended() || w.stage[i].Ended():
		return 0, false
	case w.stage[i] == rollout.StageBack:
		return rollout.StageRolledBack, true
	case w.stage[i] == rollout.StageShift && w.ready[i] && (!w.up[j] || w.heard[j] == rollout.StageShift && w.clear[j]):
		return rollout.StageCompleted, true
	}
	return 0, false
}

// Guards against two verdicts, and against completing while an instance still sends
// to the old version, in every order of messages, crashes and takeovers of two
// instances up to a depth.
func TestHandOverInEveryOrder(t *testing.T) {
	const depth = 12
	begin := world{
		stage: [2]rollout.Stage{rollout.StageCanary, rollout.StageCanary}, up: [2]bool{true, true}, plat: platform{1, rollout.StageCanary},
	}
	seen := map[world]string{begin: ""}
	layer := []world{begin}
	completed, rolledBack := 0, 0
	for range depth {
		var next []world
		for _, w := range layer {
			for name, n := range w.steps() {
				if w.plat.state.Ended() {
					require.Equal(t, w.plat.state, n.plat.state, "a second verdict after%s, %s", seen[w], name)
				}
				if n.plat.state == rollout.StageCompleted && !w.plat.state.Ended() {
					completed++
					for i := range 2 {
						atOld := n.up[i] && (n.stage[i] == rollout.StageCanary || n.stage[i] == rollout.StageShift && !n.ready[i])
						require.False(t, atOld, "completed while instance %d uses the old version, after%s, %s", i, seen[w], name)
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
	t.Logf("%d states, %d completions, %d roll-backs", len(seen), completed, rolledBack)
	require.Positive(t, completed)
	require.Positive(t, rolledBack)
}

func TestStagesOnlyGoForward(t *testing.T) {
	tests := map[string]struct{ from, to, want rollout.Stage }{
		"a bad verdict goes before a good one": {rollout.StageShift, rollout.StageBack, rollout.StageBack},
		"a good one doesn't follow a bad one":  {rollout.StageBack, rollout.StageShift, rollout.StageBack},
		"the platform's verdict holds":         {rollout.StageBack, rollout.StageCompleted, rollout.StageCompleted},
		"the first end holds":                  {rollout.StageCompleted, rollout.StageRolledBack, rollout.StageCompleted},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { require.Equal(t, tt.want, tt.from.Later(tt.to)) })
	}
}

func controllerAt(stage rollout.Stage, now time.Time) *rollout.Controller {
	c := rollout.NewController(now, rollout.Order{ID: "o", Service: "desk", To: "v2", Duration: 12 * time.Second}, rollout.Limits{Share: 0.1, Slack: 50})
	c.Advance(stage)
	return c
}

// Guards against completing on reports from before a pause of this instance.
func TestCompleteNeedsFreshReports(t *testing.T) {
	now := time.Unix(1000, 0)
	view := rollout.View{Live: []string{"a", "b"}, Old: 2, New: 2}
	report := func(c *rollout.Controller, by string, stage rollout.Stage, left int, sequence int64) {
		c.Take(now, rollout.Report{Order: "o", By: by, Started: 1, Sequence: sequence, Stage: stage, Left: left})
	}
	tests := map[string]struct {
		before func(c *rollout.Controller)
		after  time.Duration
		want   rollout.Action
	}{
		"all have left": {
			before: func(c *rollout.Controller) {
				report(c, "a", rollout.StageShift, 0, 1)
				report(c, "b", rollout.StageShift, 0, 1)
			},
			want: rollout.Write{Stage: rollout.StageCompleted, Reason: "told by another instance"},
		},
		"one was not heard": {
			before: func(c *rollout.Controller) { report(c, "a", rollout.StageShift, 0, 1) },
			want:   rollout.Wait{Why: "no report of b"},
		},
		"one has requests left": {
			before: func(c *rollout.Controller) {
				report(c, "a", rollout.StageShift, 0, 1)
				report(c, "b", rollout.StageShift, 3, 1)
			},
			want: rollout.Wait{Why: "3 requests left on the old version at b"},
		},
		"one still has the canary": {
			before: func(c *rollout.Controller) {
				report(c, "a", rollout.StageShift, 0, 1)
				report(c, "b", rollout.StageCanary, 0, 1)
			},
			want: rollout.Wait{Why: "b hasn't heard of the shift"},
		},
		"an older report comes late": {
			before: func(c *rollout.Controller) {
				report(c, "a", rollout.StageShift, 0, 1)
				report(c, "b", rollout.StageShift, 2, 2)
				report(c, "b", rollout.StageShift, 0, 1)
			},
			want: rollout.Wait{Why: "2 requests left on the old version at b"},
		},
		"reports are old": {
			before: func(c *rollout.Controller) {
				report(c, "a", rollout.StageShift, 0, 1)
				report(c, "b", rollout.StageShift, 0, 1)
			},
			after: 4 * time.Second, want: rollout.Wait{Why: "no report of a"},
		},
		"it was suspended": {
			before: func(c *rollout.Controller) {
				report(c, "a", rollout.StageShift, 0, 1)
				report(c, "b", rollout.StageShift, 0, 1)
				c.Forget()
			},
			want: rollout.Wait{Why: "no report of a"},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := controllerAt(rollout.StageShift, now)
			tt.before(c)
			require.Equal(t, tt.want, c.Step(now.Add(tt.after), view))
		})
	}
}

// Guards against a canary that goes on at an instance that nobody answers.
func TestCanaryNeedsALease(t *testing.T) {
	now := time.Unix(1000, 0)
	p := rollout.NewParticipant(now, rollout.Order{ID: "o", Duration: 12 * time.Second})
	require.Equal(t, rollout.Stable, p.Track(now, 0))
	p.Hold(now, rollout.Lease{Order: "another", Stage: rollout.StageShift, Share: 0.08})
	require.Equal(t, rollout.StageCanary, p.Stage())
	p.Hold(now, rollout.Lease{Order: "o", Stage: rollout.StageCanary, Share: 0.08})
	require.Equal(t, rollout.Canary, p.Track(now.Add(time.Second), 0.07))
	require.Equal(t, rollout.Stable, p.Track(now.Add(time.Second), 0.09))
	require.Equal(t, rollout.Stable, p.Track(now.Add(3*time.Second), 0))
}
