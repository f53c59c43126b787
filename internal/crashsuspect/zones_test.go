package crashsuspect_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/crashsuspect"
)

// Guards against treating all requests of a lost zone as crash suspects, since its
// servers crash within seconds. Their entries aren't sent to other instances, but a
// poison request is still detected, also when it crashed several servers of the zone.
func TestLostZoneMakesNoSuspects(t *testing.T) {
	const poison = 1
	lose := func(table *crashsuspect.Table, servers, apart int) {
		for s := range servers {
			for r := range 10 {
				table.RecordCrash(at(s*apart), crashsuspect.CrashName("a", fmt.Sprint("s", s), "1"), uint64(1000+10*s+r))
			}
		}
	}
	crash := func(table *crashsuspect.Table, second int, zone, server string) {
		table.RecordCrash(at(second), crashsuspect.CrashName(zone, server, "1"), poison)
	}
	tests := map[string]struct {
		events    func(t *crashsuspect.Table)
		neighbour crashsuspect.Verdict
		poison    crashsuspect.Verdict
		entries   int
	}{
		"three servers of a zone together": {
			events:    func(t *crashsuspect.Table) { lose(t, 3, 0) },
			neighbour: crashsuspect.Suspected, poison: crashsuspect.Clear, entries: 30,
		},
		"all servers of a zone": {
			events:    func(t *crashsuspect.Table) { lose(t, 222, 0) },
			neighbour: crashsuspect.Clear, poison: crashsuspect.Clear,
		},
		"servers of a zone one after another": {
			events:    func(t *crashsuspect.Table) { lose(t, 10, 60) },
			neighbour: crashsuspect.Suspected, poison: crashsuspect.Clear, entries: 100,
		},
		"learned from another instance": {
			events: func(t *crashsuspect.Table) {
				other := crashsuspect.NewTable(crashsuspect.DefaultParams)
				lose(other, 3, 0)
				t.Merge(at(1), other.Newest(at(1), 100))
				t.RecordCrash(at(0), crashsuspect.CrashName("a", "mine", "1"), 5000)
			},
			neighbour: crashsuspect.Clear, poison: crashsuspect.Clear,
		},
		"one poison request crashes all": {
			events: func(t *crashsuspect.Table) {
				lose(t, 4, 0)
				for s := range 4 {
					crash(t, 0, "a", fmt.Sprint("s", s))
				}
			},
			neighbour: crashsuspect.Clear, poison: crashsuspect.Refused, entries: 1,
		},
		"poison request in another zone before": {
			events: func(t *crashsuspect.Table) {
				crash(t, 0, "b", "x")
				lose(t, 222, 0)
				crash(t, 0, "a", "s5")
			},
			neighbour: crashsuspect.Clear, poison: crashsuspect.Refused, entries: 1,
		},
		"poison request in another zone after": {
			events: func(t *crashsuspect.Table) {
				lose(t, 222, 0)
				crash(t, 0, "a", "s5")
				crash(t, 30, "b", "x")
			},
			neighbour: crashsuspect.Clear, poison: crashsuspect.Refused, entries: 1,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			table := crashsuspect.NewTable(crashsuspect.DefaultParams)
			tt.events(table)
			now := at(700)
			require.Equal(t, tt.neighbour, table.Check(now, 1000))
			require.Equal(t, tt.poison, table.Check(now, poison))
			require.Len(t, table.Newest(now, 1000), tt.entries)
		})
	}
}
