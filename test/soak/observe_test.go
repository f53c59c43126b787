package soak_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pollenspindle.example/pollenspindle/test/system"
)

// watchVersions asks each instance for the version of the configuration that
// it has in force, until ctx ends. It never falls. An instance that has just
// started has none yet, and takes no work then.
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
			assert.GreaterOrEqual(t, version, highest[in.ID], "version of %s fell", in.ID)
			highest[in.ID] = version
			seen++
		}
		pause(ctx, 5*pollEach)
	}
	t.Logf("versions looked at %d times, highest %v", seen, highest)
}

// arrivals returns when the requests of a server arrived.
func (f *injector) arrivals(t *testing.T, server string) []time.Time {
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
