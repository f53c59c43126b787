package pollenspindle

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strings"

	"pollenspindle.example/pollenspindle/internal/strictjson"
)

// Maximum values in a configuration. They are far above the largest planned
// deployment and catch an extra digit or a wrong unit.
const (
	MaxWeight              = 1000
	maxBodyBytesLimit      = 16 << 20
	maxOutputTokensLimit   = 1 << 20
	maxRetentionSeconds    = 30 * 24 * 60 * 60
	maxTimeoutSeconds      = 3600
	maxQueueSeconds        = 7 * 24 * 60 * 60
	maxTokenIntervalMillis = 60000
	maxContextTokens       = 16 << 20
	maxConcurrentRequests  = 100000
	maxMemoryTokens        = 1 << 30
)

var (
	namePattern   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
	sha256Pattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
	routeMethods  = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}
)

// Validate checks c. It returns nil or an [InvalidError] with all faults.
func (c Config) Validate() error {
	if faults := c.faults(); len(faults) > 0 {
		return &InvalidError{Faults: faults}
	}
	return nil
}

func (c Config) faults() []Fault {
	v := validation{
		zones:    map[string]string{},
		services: map[string]Service{},
		models:   map[string]Model{},
	}
	v.checkName("deployment", c.Deployment)
	v.checkCallerLimits(c.Limits)
	v.checkZones(c.Zones)
	v.checkServices(c.Services)
	v.checkModels(c.Models)
	v.checkServers(c.Servers)
	v.checkWorkspaces(c.Workspaces)
	return v.faults
}

// validation collects faults and the objects declared so far.
type validation struct {
	faults []Fault
	// zones maps the name of each zone to the path of its declaration.
	zones    map[string]string
	services map[string]Service
	models   map[string]Model
}

// add records a fault, up to the same maximum as for faults in text.
func (v *validation) add(path, format string, args ...any) {
	if len(v.faults) == strictjson.MaxFaults {
		return
	}
	v.faults = append(v.faults, Fault{Path: path, Message: fmt.Sprintf(format, args...)})
}

func (v *validation) checkName(path, value string) {
	switch {
	case value == "":
		v.add(path, "is missing")
	case !namePattern.MatchString(value):
		v.add(path, "must be 1 to 63 letters, digits, dots, underscores or hyphens and begin with a letter or digit")
	}
}

// checkUnique records that path uses value, and adds a fault if another path already does.
func (v *validation) checkUnique(taken map[string]string, path, value string) {
	if value == "" {
		return
	}
	if first, ok := taken[value]; ok {
		v.add(path, "%q is taken by %s", value, first)
		return
	}
	taken[value] = path
}

func (v *validation) checkRange(path string, value, minimum, maximum int, unit string) {
	if value < minimum || value > maximum {
		v.add(path, "must be from %d to %d %s", minimum, maximum, unit)
	}
}

func (v *validation) checkOneOf(path, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		v.add(path, "must be one of %s", strings.Join(allowed, ", "))
	}
}

func (v *validation) checkCallerLimits(l Limits) {
	v.checkRange("limits.maxBodyBytes", l.MaxBodyBytes, 0, maxBodyBytesLimit, "bytes")
	v.checkRange("limits.maxOutputTokens", l.MaxOutputTokens, 0, maxOutputTokensLimit, "tokens")
	v.checkRange("limits.claimRetentionSeconds", l.ClaimRetentionSeconds, 0, maxRetentionSeconds, "seconds")
}

func (v *validation) checkZones(zones []Zone) {
	if len(zones) == 0 {
		v.add("zones", "must name at least one availability zone")
	}
	for i, zone := range zones {
		path := fmt.Sprintf("zones[%d]", i)
		v.checkName(path+".name", zone.Name)
		v.checkUnique(v.zones, path+".name", zone.Name)
		v.checkName(path+".region", zone.Region)
		if zone.State != "" {
			v.checkOneOf(path+".state", string(zone.State), string(ZoneInService), string(ZoneTakenOut))
		}
	}
}

func (v *validation) checkModels(models []Model) {
	taken := map[string]string{}
	for i, model := range models {
		path := fmt.Sprintf("models[%d]", i)
		v.checkName(path+".name", model.Name)
		v.checkUnique(taken, path+".name", model.Name)
		v.checkName(path+".version", model.Version)
		v.checkRange(path+".contextTokens", model.ContextTokens, 1, maxContextTokens, "tokens")
		v.models[model.Name] = model
		service, ok := v.services[model.Service]
		switch {
		case !ok:
			v.add(path+".service", "%q is not a declared service", model.Service)
		case service.Kind != ServiceGeneration:
			v.add(path+".service", "%q is not a generation service", model.Service)
		}
	}
}

func (v *validation) checkWorkspaces(workspaces []Workspace) {
	if len(workspaces) == 0 {
		v.add("workspaces", "must name at least one workspace")
	}
	names, sums := map[string]string{}, map[string]string{}
	for i, w := range workspaces {
		path := fmt.Sprintf("workspaces[%d]", i)
		v.checkName(path+".name", w.Name)
		v.checkUnique(names, path+".name", w.Name)
		v.checkTokens(sums, path+".tokenSha256", w.TokenSHA256)
		v.checkRange(path+".weight", w.Weight, 1, MaxWeight, "shares")
		v.checkOneOf(path+".class", string(w.Class), string(ClassInteractive), string(ClassPatient))
		v.checkRange(path+".maxRunning", w.MaxRunning, 0, maxConcurrentRequests, "requests")
		v.checkRange(path+".maxQueued", w.MaxQueued, 0, maxConcurrentRequests, "requests")
	}
}

// checkTokens checks that each token belongs to only one workspace, or a caller could
// read the generations of another workspace.
func (v *validation) checkTokens(taken map[string]string, path string, sums []string) {
	if len(sums) == 0 {
		v.add(path, "must hold at least one SHA-256")
	}
	for i, sum := range sums {
		at := fmt.Sprintf("%s[%d]", path, i)
		if !sha256Pattern.MatchString(sum) {
			v.add(at, "must be a SHA-256 in 64 lower-case hex digits")
			continue
		}
		v.checkUnique(taken, at, sum)
	}
}

func isAddress(value string) bool {
	addr, err := netip.ParseAddrPort(value)
	return err == nil && addr.Port() != 0 && !addr.Addr().IsUnspecified()
}
