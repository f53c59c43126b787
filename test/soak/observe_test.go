package soak_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pollenspindle.example/pollenspindle/test/system"
)

// watchVersions polls each instance for its configuration version in force until ctx ends. The
// version must never decrease. An instance that has just started has none yet and accepts no
// requests in that state.
func watchVersions(ctx context.Context, t *testing.T, s *system.System) {
	highest := map[string]int64{}
	seen := 0
	for ctx.Err() == nil {
		for _, in := range s.Instances {
			asking, cancel := context.WithTimeout(ctx, time.Second)
			version := s.ConfigVersion(asking, t, in)
			cancel()
			if version == 0 {
				continue
			}
			assert.GreaterOrEqual(t, version, highest[in.ID], "version of %s decreased", in.ID)
			highest[in.ID] = version
			seen++
		}
		sleep(ctx, 5*pollInterval)
	}
	t.Logf("%d versions observed, highest %v", seen, highest)
}

// arrivalTimes returns when the requests of a server arrived.
func (f *injector) arrivalTimes(t *testing.T, server string) []time.Time {
	t.Helper()
	for _, each := range f.s.Config.Servers {
		if each.Name == server && len(each.Models) == 0 {
			return f.s.ServiceLedger(t, server).StartTimes
		}
	}
	var out []time.Time
	for _, g := range f.s.EngineLedger(t, server).Generations {
		out = append(out, g.ArrivedAt)
	}
	return out
}
