package crashsuspect

import (
	"slices"
	"strings"
	"time"
)

// CrashName returns the name of the crash of one incarnation of a backend server.
func CrashName(zone, server, incarnation string) string {
	return zone + "/" + server + "/" + incarnation
}

// maxCrashesPerZone is the maximum number of crashes remembered per zone: more than
// the number of servers of a zone in the largest supported fleet.
const maxCrashesPerZone = 512

// zones holds the crashes of servers by availability zone, in order of time.
type zones map[string][]serverCrash

type serverCrash struct {
	server string
	at     time.Time
}

// record adds a crash and deletes those older than keep.
func (z zones) record(now time.Time, keep time.Duration, c Crash) {
	zone, server, ok := splitCrashName(c)
	if !ok {
		return
	}
	crashes := z[zone]
	first, _ := slices.BinarySearchFunc(crashes, now.Add(-keep), compareCrashTime)
	crashes = slices.Delete(crashes, 0, max(first, len(crashes)-maxCrashesPerZone+1))
	if !slices.ContainsFunc(crashes, func(e serverCrash) bool { return e.server == server && e.at.Equal(c.At) }) {
		at, _ := slices.BinarySearchFunc(crashes, c.At, compareCrashTime)
		crashes = slices.Insert(crashes, at, serverCrash{server: server, at: c.At})
	}
	z[zone] = crashes
}

// crashedTogether reports whether at least n servers of c's zone, including its own,
// crashed within d of c.
func (z zones) crashedTogether(c Crash, n int, d time.Duration) bool {
	zone, _, ok := splitCrashName(c)
	if !ok {
		return false
	}
	crashes := z[zone]
	first, _ := slices.BinarySearchFunc(crashes, c.At.Add(-d), compareCrashTime)
	var servers []string
	for _, e := range crashes[first:] {
		if e.at.After(c.At.Add(d)) || len(servers) >= n {
			break
		}
		if !slices.Contains(servers, e.server) {
			servers = append(servers, e.server)
		}
	}
	return len(servers) >= n
}

func splitCrashName(c Crash) (zone, server string, ok bool) {
	zone, rest, _ := strings.Cut(c.Name, "/")
	server, _, ok = strings.Cut(rest, "/")
	return zone, server, ok
}

func compareCrashTime(e serverCrash, at time.Time) int { return e.at.Compare(at) }
