package migration

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Date(2026, 1, 1, 8, 0, 0, 0, time.UTC)

func TestNext(t *testing.T) {
	tests := map[string]struct {
		after time.Duration
		p     Progress
		want  Step
	}{
		"first copy":                              {p: Progress{Remaining: time.Second}, want: Copy{}},
		"unknown remaining time":                  {p: Progress{Remaining: -1}, want: Copy{}},
		"about to end":                            {p: Progress{Remaining: minRemaining / 2}, want: Stay{}},
		"link is free":                            {p: Progress{Copies: 2, LastCopyTime: fastCopyTime}, want: Cutover{}},
		"others use the link":                     {p: Progress{Copies: 1, LastCopyTime: time.Second}, want: Copy{}},
		"cutover deadline reached":                {after: cutoverDeadline, p: Progress{Copies: 1, LastCopyTime: time.Second}, want: Cutover{}},
		"no engine has capacity":                  {p: Progress{Refusals: maxTargets, Remaining: -1}, want: Stay{}},
		"about to end, but copied":                {p: Progress{Copies: 1, LastCopyTime: fastCopyTime, Remaining: 0}, want: Cutover{}},
		"cutover deadline reached without a copy": {after: cutoverDeadline, p: Progress{Remaining: -1}, want: Copy{}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			tt.p.NoticedAt = start
			require.Equal(t, tt.want, Next(start.Add(tt.after), tt.p))
		})
	}
}

// Guards against paused streams when five generations of one engine are copied over one link,
// 200 ms each, by instances that don't see each other's copies: no stream may pause for more than
// 180 ms, and all must have moved within 1.5 s, when the engine exits.
func TestGenerationsShareALink(t *testing.T) {
	const copyTime, rest, gone = 200 * time.Millisecond, 5 * time.Millisecond, 1500 * time.Millisecond
	type generation struct {
		p           Progress
		doneAt      time.Duration
		requestedAt time.Duration
		cutOver     bool
	}
	all := make([]generation, 5)
	link := time.Duration(0)
	requestCopy := func(g *generation, at time.Duration) {
		g.requestedAt = at
		duration := rest
		if g.p.Copies == 0 {
			duration = copyTime
		}
		link = max(link, at) + duration
		g.doneAt = link
	}
	for i := range all {
		all[i].p = Progress{NoticedAt: start, Remaining: -1}
		requestCopy(&all[i], 0)
	}
	for at := time.Duration(0); at < gone; at += time.Millisecond {
		for i := range all {
			g := &all[i]
			if at < g.doneAt || g.doneAt == 0 {
				continue
			}
			if g.cutOver {
				require.LessOrEqual(t, g.doneAt-g.requestedAt, 180*time.Millisecond)
				g.doneAt = 0
				continue
			}
			g.p.Copies++
			g.p.LastCopyTime = g.doneAt - g.requestedAt
			_, g.cutOver = Next(start.Add(at), g.p).(Cutover)
			requestCopy(g, at)
		}
	}
	for _, g := range all {
		require.True(t, g.cutOver)
		require.Zero(t, g.doneAt)
	}
}
