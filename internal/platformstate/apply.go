package platformstate

import (
	"context"
	"slices"
	"strings"
	"time"

	"pollenspindle.example/pollenspindle/internal/dialect"
	"pollenspindle.example/pollenspindle/internal/objectapi"
)

// resourceList is a list of a resource as of a version; replace applies it, and reports false if it
// says nothing of the state.
type resourceList struct {
	version int64
	replace func(now time.Time) bool
}

// listAll returns a function that lists all objects of a kind.
func (f *Follower) listAll(resource Resource, kind string, replace func(now time.Time, version int64, objects []objectapi.Object)) func(context.Context) (resourceList, error) {
	return func(ctx context.Context) (resourceList, error) {
		version, objects, err := f.opts.Objects.List(ctx, kind)
		return resourceList{version, func(now time.Time) bool {
			replace(now, version, objects)
			known, _ := f.opts.State.Version(resource)
			return resource == Configuration || version >= known
		}}, err
	}
}

func (f *Follower) replaceConfiguration(now time.Time, _ int64, objects []objectapi.Object) {
	for _, o := range objects {
		f.applyConfigurationObject(now, o)
	}
}

func (f *Follower) applyConfiguration(now time.Time, _, _ int64, events []objectapi.Event) {
	for _, e := range events {
		if e.Type == objectapi.EventPut {
			f.applyConfigurationObject(now, e.Object)
		}
	}
}

func (f *Follower) applyConfigurationObject(now time.Time, o objectapi.Object) {
	if o.Name != f.opts.Dialect.Kinds.ConfigurationName {
		return
	}
	f.ApplyRawConfiguration(now, o.Value, "platform")
}

// ApplyRawConfiguration applies a serialized configuration, from the platform or from another instance.
func (f *Follower) ApplyRawConfiguration(now time.Time, value []byte, source string) {
	if f.opts.State.ConfirmConfiguration(now, value) {
		return
	}
	cfg, err := f.opts.Dialect.DecodeConfiguration(value)
	if err != nil {
		if f.invalidConfigurations.add(source, 0) {
			f.opts.Log.Error().Err(err).Str("source", source).Msg("invalid configuration, the previous one stays in force")
		}
		return
	}
	f.invalidConfigurations.remove(source)
	if f.opts.State.Configure(now, cfg, value) {
		f.opts.Log.Info().Int64("version", cfg.Version).Str("source", source).Int("routes", len(cfg.Routes)).Msg("configuration in force")
	}
}

// listServers lists the servers, of which there may be thousands: it decodes page by page, and only
// the entries whose revision differs from that in the last list.
func (f *Follower) listServers(ctx context.Context) (resourceList, error) {
	var list []dialect.Server
	f.mu.Lock()
	before := f.revisions
	f.mu.Unlock()
	revisions := make(map[string]int64, len(before))
	invalid := map[string]bool{}
	version, err := f.opts.Objects.ListPages(ctx, f.opts.Dialect.Kinds.Servers, func(page []objectapi.Object) {
		list = slices.Grow(list, len(page))
		for _, o := range page {
			s, ok := f.unchanged(before, o)
			if !ok {
				s, ok = f.server(o)
			}
			if ok {
				list = append(list, s)
				revisions[strings.Clone(o.Name)] = o.Version
			} else {
				invalid[strings.Clone(o.Name)] = true
			}
		}
	})
	if err == nil {
		f.invalidServers.retain(version, invalid)
	}
	f.mu.Lock()
	f.revisions = revisions
	f.mu.Unlock()
	return resourceList{version, func(now time.Time) bool { return f.opts.State.ReplaceServers(now, version, list) }}, err
}

// unchanged returns the entry of a server that has the same revision as before.
func (f *Follower) unchanged(before map[string]int64, o objectapi.Object) (dialect.Server, bool) {
	if revision, ok := before[o.Name]; !ok || revision != o.Version || o.Version == 0 {
		return dialect.Server{}, false
	}
	return f.opts.State.Listed(o.Name)
}

// applyServers applies changes of servers. An invalid entry replaces the previous one:
// another writer may have written it.
func (f *Follower) applyServers(now time.Time, from, to int64, events []objectapi.Event) {
	changes := make([]Change, 0, len(events))
	for _, e := range events {
		c := Change{ID: e.Object.Name}
		if e.Type == objectapi.EventPut {
			if s, ok := f.server(e.Object); ok {
				c.Server = &s
			}
		} else {
			f.invalidServers.remove(e.Object.Name)
		}
		line := f.opts.Log.Info().Str("server", c.ID).Int64("version", to).Bool("listed", c.Server != nil)
		if c.Server != nil {
			line = line.Str("zone", c.Server.Zone).Bool("leaving", c.Server.Leaving)
		}
		line.Msg("backend server")
		changes = append(changes, c)
	}
	f.opts.State.ChangeServers(now, from, to, changes)
}

func (f *Follower) server(o objectapi.Object) (dialect.Server, bool) {
	s, err := f.opts.Dialect.DecodeServer(o.Name, o.Value)
	if err != nil {
		if f.invalidServers.add(o.Name, o.Version) {
			f.opts.Log.Warn().Str("server", o.Name).Err(err).Msg("invalid entry of a backend server")
		}
		return s, false
	}
	f.invalidServers.remove(o.Name)
	return s, true
}

func (f *Follower) replaceRollouts(now time.Time, version int64, objects []objectapi.Object) {
	list := make([]dialect.Rollout, 0, len(objects))
	invalid := map[string]bool{}
	for _, o := range objects {
		r, err := f.opts.Dialect.DecodeRollout(o)
		if err != nil {
			invalid[o.Name] = true
			if f.invalidRollouts.add(o.Name, o.Version) {
				f.opts.Log.Warn().Str("rollout", o.Name).Err(err).Msg("invalid rollout")
			}
			continue
		}
		list = append(list, r)
	}
	f.invalidRollouts.retain(version, invalid)
	before := f.opts.State.ContentHash(Rollouts)
	if !f.opts.State.ReplaceRollouts(now, version, list) || f.opts.State.ContentHash(Rollouts) == before {
		return
	}
	for _, r := range f.opts.State.Rollouts() {
		f.opts.Log.Info().Str("service", r.Service).Str("to", r.TargetVersion).Dur("duration", r.Duration).Int64("revision", r.Revision).
			Stringer("stage", r.Stage).Msg("rollout requested")
	}
}

func (f *Follower) replaceZones(now time.Time, version int64, objects []objectapi.Object) {
	zones := make([]string, 0, len(objects))
	for _, o := range objects {
		zones = append(zones, o.Name)
	}
	if f.opts.State.ReplaceZones(now, version, zones) && len(zones) > 0 {
		f.opts.Log.Info().Strs("zones", zones).Msg("availability zones taken out")
	}
}
