// Package accepted implements [operator.Config]: it reads and changes the accepted configuration in
// the platform, and reads the instance's own copy while the platform is down.
//
// # Usage
//
//	cfg := &accepted.Config{Store: store, Objects: objects, Fleet: peers}
//	s, err := operator.New(operator.Options{Config: cfg, ...})
package accepted

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"pollenspindle.example/pollenspindle/internal/config"
	"pollenspindle.example/pollenspindle/internal/objectapi"
	"pollenspindle.example/pollenspindle/internal/operator"
	"pollenspindle.example/pollenspindle/internal/operatorapi"
)

// readTimeout limits reading the configuration from the platform; after it the instance's own copy
// is returned instead. It is well below the operator API's timeout for a call, so that operators
// get a response while the platform is down.
const readTimeout = 3 * time.Second

// Fleet queries the configuration versions of the entry instances.
type Fleet interface {
	// ConfigVersions returns the last known version of each live instance, including this one. It
	// first queries the instances that aren't known to have minVersion.
	ConfigVersions(ctx context.Context, minVersion int64) ([]int64, error)
}

// Config implements [operator.Config].
type Config struct {
	Store   *config.Store
	Objects *objectapi.Client
	Fleet   Fleet
}

var _ operator.Config = (*Config)(nil)

// Current returns the newest accepted configuration. It reads it from the platform: a change based
// on this instance's copy, which is updated a moment later, would be rejected as a conflict with
// the operator's own last change.
func (c *Config) Current(ctx context.Context) (operatorapi.Configuration, error) {
	limited, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	local := c.Store.Snapshot()
	newest, err := config.Load(limited, c.Objects)
	if err != nil {
		if local.Version == 0 {
			return operatorapi.Configuration{}, translateError(err)
		}
		newest = local
	}
	// The platform's response may be older than this instance's copy.
	if newest.Version < local.Version {
		newest = local
	}
	return operatorapi.Configuration{Version: newest.Version, Config: newest.Config}, nil
}

// Apply implements [operator.Config].
func (c *Config) Apply(ctx context.Context, now time.Time, change operator.Change) (int64, error) {
	version, err := config.Apply(ctx, c.Objects, config.Change{
		Config: change.Config, BaseVersion: change.BaseVersion,
		Author: change.Author, Summary: change.Summary, At: now,
	})
	return version, translateError(err)
}

// History returns the newest changes that the platform still stores.
func (c *Config) History(ctx context.Context, limit int) ([]operatorapi.Change, error) {
	entries, err := config.History(ctx, c.Objects, limit)
	if err != nil {
		return nil, translateError(err)
	}
	return changes(entries), nil
}

// InForce counts the live instances with at least version.
func (c *Config) InForce(ctx context.Context, version int64) (inForce, total int, err error) {
	versions, err := c.Fleet.ConfigVersions(ctx, version)
	if err != nil {
		return 0, 0, merry.Appendf(operator.ErrUnavailable, "instances: %s", err.Error())
	}
	for _, v := range versions {
		if v >= version {
			inForce++
		}
	}
	return inForce, len(versions), nil
}

func changes(entries []config.Entry) []operatorapi.Change {
	list := make([]operatorapi.Change, 0, len(entries))
	for _, e := range entries {
		list = append(list, operatorapi.Change{
			Version: e.Version, Author: e.Author, Summary: e.Summary, At: e.At, Changed: changedPaths(e.Changed),
		})
	}
	return list
}

// translateError translates errors of package config to those of package operator.
func translateError(err error) error {
	var conflict *config.ConflictError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &conflict):
		return &operator.ConflictError{
			Base: conflict.BaseVersion, Current: conflict.CurrentVersion, Changes: changes(conflict.Since),
		}
	case errors.Is(err, config.ErrAcceptanceUnknown):
		return merry.Append(operator.ErrUnknownOutcome, "the platform's response was lost")
	case errors.Is(err, config.ErrNotAccepted), errors.Is(err, config.ErrUnreadable):
		return merry.Append(operator.ErrUnavailable, "the platform does not respond")
	default:
		return merry.Prepend(err, "accepted configuration")
	}
}

// changedPaths converts the names of parts to the paths used in lists of changes: zone.kigali-a
// becomes zones/kigali-a.
func changedPaths(parts []string) []string {
	out := make([]string, 0, len(parts))
	for _, part := range parts {
		if kind, name, ok := strings.Cut(part, "."); ok {
			part = kind + "s/" + name
		}
		out = append(out, part)
	}
	return out
}
