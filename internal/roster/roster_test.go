package roster_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/roster"
)

var now = time.Unix(5000, 0)

func testInstance(id string) roster.Instance {
	return roster.Instance{ID: id, Incarnation: "1", PeerAddress: id, Region: "r"}
}

func testInstances(ids ...string) []roster.Instance {
	var out []roster.Instance
	for _, id := range ids {
		out = append(out, testInstance(id))
	}
	return out
}

// observerView is what one instance knows. Each letter is an instance; silent maps an
// instance to the observers that miss its responses.
type observerView struct {
	listed     string
	responding string
	silent     map[string]string
	notAdopted bool
}

func (v observerView) observation(t *testing.T) ([]roster.ListedInstance, roster.Observation) {
	t.Helper()
	obs := roster.Observation{
		Responding: map[string]roster.Instance{}, MissedBy: map[string]map[string]time.Time{}, MajorityAdopted: !v.notAdopted,
	}
	for _, id := range v.responding {
		obs.Responding[string(id)] = testInstance(string(id))
	}
	for id, observers := range v.silent {
		obs.MissedBy[id] = map[string]time.Time{}
		for _, o := range observers {
			obs.MissedBy[id][string(o)] = now
		}
	}
	var list []roster.ListedInstance
	for _, id := range v.listed {
		list = append(list, roster.ListedInstance{ID: string(id), PeerAddress: string(id)})
	}
	return list, obs
}

func TestPropose(t *testing.T) {
	tests := map[string]struct {
		current string
		view    observerView
		// want is the next roster; empty if current stays.
		want string
	}{
		"first boot adds listed and responding instances":      {view: observerView{listed: "abc", responding: "ab"}, want: "ab"},
		"new instance is added":                                {current: "ab", view: observerView{listed: "abc", responding: "abc"}, want: "abc"},
		"new instance not yet listed waits":                    {current: "ab", view: observerView{listed: "ab", responding: "abc"}},
		"listed but silent instance is not added":              {current: "ab", view: observerView{listed: "abc", responding: "ab"}},
		"unlisted instance missed by two observers is removed": {current: "abc", view: observerView{listed: "ab", responding: "ab", silent: map[string]string{"c": "ab"}}, want: "ab"},
		"cut link of one observer removes none":                {current: "abcd", view: observerView{responding: "a", silent: map[string]string{"b": "a", "c": "a", "d": "a"}}},
		"silent but listed instance stays":                     {current: "abc", view: observerView{listed: "abc", responding: "ab", silent: map[string]string{"c": "ab"}}},
		"unlisted but responding instance stays":               {current: "abc", view: observerView{listed: "ab", responding: "abc"}},
		"no second change before the first is adopted":         {current: "abc", view: observerView{listed: "abcd", responding: "abcd", notAdopted: true}},
		"majority is dead, so change at once": {
			current: "abc", want: "cx",
			view: observerView{listed: "cx", responding: "cx", notAdopted: true, silent: map[string]string{"a": "cx", "b": "cx"}},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var ids []string
			for _, id := range tt.current {
				ids = append(ids, string(id))
			}
			number := int64(min(1, len(ids)))
			list, obs := tt.view.observation(t)
			next, ok := roster.Propose(now, roster.New(number, roster.Object{Number: number, Instances: testInstances(ids...)}), list, obs)
			got := ""
			for _, in := range next.Instances {
				got += in.ID
			}
			require.Equal(t, tt.want, got)
			require.Equal(t, tt.want != "", ok)
			if ok {
				require.Equal(t, number+1, next.Number)
				require.Len(t, next.Previous, len(ids))
			}
		})
	}
}

func TestRestartedInstanceIsReplaced(t *testing.T) {
	current := roster.New(1, roster.Object{Number: 1, Instances: testInstances("a", "b")})
	restarted := testInstance("b")
	restarted.Incarnation = "2"
	next, ok := roster.Propose(now, current, []roster.ListedInstance{{ID: "a"}, {ID: "b"}}, roster.Observation{
		Responding: map[string]roster.Instance{"a": testInstance("a"), "b": restarted}, MajorityAdopted: true,
	})
	require.True(t, ok)
	require.Equal(t, []roster.Instance{testInstance("a"), restarted}, next.Instances)
}

func largeRoster(n int) *roster.Roster {
	var instances []roster.Instance
	for i := range n {
		in := testInstance(fmt.Sprintf("i%d", i))
		in.Region = fmt.Sprintf("r%d", i%4)
		instances = append(instances, in)
	}
	return roster.New(1, roster.Object{Number: 1, Instances: instances})
}

func TestOwnersAreRegionalBalancedAndStable(t *testing.T) {
	before, after := largeRoster(350), largeRoster(349)
	owned := map[string]int{}
	for i := range 2000 {
		server, region := fmt.Sprintf("s%d", i), fmt.Sprintf("r%d", i%4)
		owner, ok := before.Owner(server, region)
		require.True(t, ok)
		require.Equal(t, region, owner.Region)
		owned[owner.ID]++
		deputy, ok := before.Deputy(server, region)
		require.True(t, ok)
		next, _ := after.Owner(server, region)
		if owner.ID == "i349" {
			// The deputy, to which the server is assigned already, becomes the owner.
			require.Equal(t, deputy.ID, next.ID)
		} else {
			require.Equal(t, owner.ID, next.ID, "server moved needlessly")
		}
	}
	for id, n := range owned {
		require.Less(t, n, 25, id)
	}
	require.Zero(t, testing.AllocsPerRun(10, func() { _, _ = before.Owner("s1", "r1") }))
}

func TestGuardSuspendsAfterPause(t *testing.T) {
	// A process is frozen for two seconds and resumes. It may send no new work until
	// calls made after the pause confirm configuration and roster; a response that
	// was under way during the pause may be outdated.
	var g roster.Guard
	g.Tick(now)
	require.True(t, g.Allowed(now.Add(roster.MaxGap)))
	resumed := now.Add(2 * time.Second)
	require.False(t, g.Allowed(resumed), "before the first tick after the pause")
	require.True(t, g.Tick(resumed))
	g.ConfirmConfig(now.Add(time.Second))
	g.ConfirmRoster(resumed.Add(time.Millisecond))
	require.False(t, g.Allowed(resumed), "configuration was requested before the end of the pause")
	g.ConfirmConfig(resumed.Add(time.Millisecond))
	require.True(t, g.Allowed(resumed))
}

func BenchmarkOwner(b *testing.B) {
	for _, n := range []int{7, 35, 350} {
		r := largeRoster(n)
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_, _ = r.Owner("engine-17", "r1")
			}
		})
	}
}
