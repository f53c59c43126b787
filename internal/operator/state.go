package operator

import (
	"slices"

	"github.com/ansel1/merry/v2"

	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

// stateEdit is one of [zoneEdit] and [serverEdit].
type stateEdit interface{ isStateEdit() }

// zoneEdit sets the state of an availability zone.
type zoneEdit struct {
	name  string
	state pollenspindle.ZoneState
}

// serverEdit sets the state of a backend server.
type serverEdit struct {
	name  string
	state pollenspindle.ServerState
}

func (zoneEdit) isStateEdit()   {}
func (serverEdit) isStateEdit() {}

// applyEdit returns a copy of cfg with the state set. cfg itself is not modified, since requests
// are served with it concurrently.
func applyEdit(cfg pollenspindle.Config, edit stateEdit) (pollenspindle.Config, error) {
	switch e := edit.(type) {
	case zoneEdit:
		i := slices.IndexFunc(cfg.Zones, func(z pollenspindle.Zone) bool { return z.Name == e.name })
		if i < 0 {
			return cfg, merry.Appendf(ErrNotFound, "availability zone %q", e.name)
		}
		cfg.Zones = slices.Clone(cfg.Zones)
		cfg.Zones[i].State = e.state
	case serverEdit:
		i := slices.IndexFunc(cfg.Servers, func(s pollenspindle.Server) bool { return s.Name == e.name })
		if i < 0 {
			return cfg, merry.Appendf(ErrNotFound, "backend server %q", e.name)
		}
		cfg.Servers = slices.Clone(cfg.Servers)
		cfg.Servers[i].State = e.state
	}
	return cfg, nil
}

// defaultSummary returns the summary of edit for the history if the operator gave none.
func defaultSummary(edit stateEdit) string {
	switch e := edit.(type) {
	case zoneEdit:
		return "set zone " + e.name + " to " + string(e.state)
	case serverEdit:
		return "set server " + e.name + " to " + string(e.state)
	}
	return ""
}
