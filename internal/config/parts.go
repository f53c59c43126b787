package config

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"github.com/ansel1/merry/v2"

	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

// The kinds of parts. A part is one declaration of the configuration. Its name is the kind, a dot
// and the name of what it declares; the single deployment part is named by its kind alone.
const (
	partDeployment = "deployment"
	partZone       = "zone"
	partService    = "service"
	partModel      = "model"
	partServer     = "server"
	partWorkspace  = "workspace"
)

// deployment is the value of the deployment part.
type deployment struct {
	Deployment string               `json:"deployment"`
	Limits     pollenspindle.Limits `json:"limits"`
}

// parts holds the JSON of each part by its name.
type parts map[string]json.RawMessage

// split encodes cfg as parts. The JSON is canonical: equal declarations give equal bytes.
func split(cfg pollenspindle.Config) (parts, error) {
	p := parts{}
	errs := []error{p.set(partDeployment, deployment{Deployment: cfg.Deployment, Limits: cfg.Limits})}
	for _, v := range cfg.Zones {
		errs = append(errs, p.set(partZone+"."+v.Name, v))
	}
	for _, v := range cfg.Services {
		errs = append(errs, p.set(partService+"."+v.Name, v))
	}
	for _, v := range cfg.Models {
		errs = append(errs, p.set(partModel+"."+v.Name, v))
	}
	for _, v := range cfg.Servers {
		errs = append(errs, p.set(partServer+"."+v.Name, v))
	}
	for _, v := range cfg.Workspaces {
		errs = append(errs, p.set(partWorkspace+"."+v.Name, v))
	}
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return p, nil
}

func (p parts) set(name string, value any) error {
	if _, ok := p[name]; ok {
		return merry.Wrap(ErrInvalid, merry.AppendMessagef("%s is declared twice", name))
	}
	encoded, err := json.Marshal(value)
	if err != nil {
		return merry.Wrap(ErrInvalid, merry.WithCause(err))
	}
	p[name] = encoded
	return nil
}

// join builds a configuration from its parts, in order of their names. It ignores parts of unknown
// kinds, which a newer version of the program may have declared.
func join(p parts) (pollenspindle.Config, error) {
	var cfg pollenspindle.Config
	for _, name := range slices.Sorted(maps.Keys(p)) {
		if err := addPart(&cfg, name, p[name]); err != nil {
			return cfg, merry.Wrap(ErrInvalid, merry.AppendMessage(name), merry.WithCause(err))
		}
	}
	return cfg, nil
}

func addPart(cfg *pollenspindle.Config, name string, value json.RawMessage) error {
	kind, _, _ := strings.Cut(name, ".")
	switch kind {
	case partDeployment:
		var v deployment
		err := json.Unmarshal(value, &v)
		cfg.Deployment, cfg.Limits = v.Deployment, v.Limits
		return err
	case partZone:
		var v pollenspindle.Zone
		err := json.Unmarshal(value, &v)
		cfg.Zones = append(cfg.Zones, v)
		return err
	case partService:
		var v pollenspindle.Service
		err := json.Unmarshal(value, &v)
		cfg.Services = append(cfg.Services, v)
		return err
	case partModel:
		var v pollenspindle.Model
		err := json.Unmarshal(value, &v)
		cfg.Models = append(cfg.Models, v)
		return err
	case partServer:
		var v pollenspindle.Server
		err := json.Unmarshal(value, &v)
		cfg.Servers = append(cfg.Servers, v)
		return err
	case partWorkspace:
		var v pollenspindle.Workspace
		err := json.Unmarshal(value, &v)
		cfg.Workspaces = append(cfg.Workspaces, v)
		return err
	}
	return nil
}

// diff returns the changes from old to updated: the parts to put and the sorted names of the parts
// to remove.
func diff(old, updated parts) (puts parts, removed []string) {
	puts = parts{}
	for name, value := range updated {
		if !bytes.Equal(old[name], value) {
			puts[name] = value
		}
	}
	for name := range old {
		if _, ok := updated[name]; !ok {
			removed = append(removed, name)
		}
	}
	slices.Sort(removed)
	return puts, removed
}

// PartChange is one difference between two configurations.
type PartChange struct {
	// Name is the kind and name of the declaration, as in "zone.kigali-a".
	Name   string
	Action PartAction
}

// PartAction is the effect of a change on a part.
type PartAction string

// The actions.
const (
	PartAdded   PartAction = "added"
	PartChanged PartAction = "changed"
	PartRemoved PartAction = "removed"
)

// Diff returns the changes from old to updated, in order of name.
func Diff(old, updated pollenspindle.Config) ([]PartChange, error) {
	before, err := split(old)
	if err != nil {
		return nil, err
	}
	after, err := split(updated)
	if err != nil {
		return nil, err
	}
	puts, removed := diff(before, after)
	var changes []PartChange
	for name := range puts {
		action := PartAdded
		if _, ok := before[name]; ok {
			action = PartChanged
		}
		changes = append(changes, PartChange{Name: name, Action: action})
	}
	for _, name := range removed {
		changes = append(changes, PartChange{Name: name, Action: PartRemoved})
	}
	slices.SortFunc(changes, func(a, b PartChange) int { return strings.Compare(a.Name, b.Name) })
	return changes, nil
}
