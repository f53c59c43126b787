package operatorapi

import (
	"encoding/json"
	"iter"
	"maps"
	"slices"

	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

// object is a named object of a configuration: its fields as JSON.
type object map[string]json.RawMessage

// Changes returns the differences between two configurations, sorted by path. Objects are matched
// by name, so their order makes no difference.
func Changes(before, after pollenspindle.Config) []FieldChange {
	oldObjects, newObjects := splitObjects(before), splitObjects(after)
	changes := []FieldChange{}
	for _, path := range sortedUnion(maps.Keys(oldObjects), maps.Keys(newObjects)) {
		oldObject, inOld := oldObjects[path]
		newObject, inNew := newObjects[path]
		switch {
		case !inOld:
			changes = append(changes, FieldChange{Path: path, After: encodeObject(newObject)})
		case !inNew:
			changes = append(changes, FieldChange{Path: path, Before: encodeObject(oldObject)})
		default:
			changes = append(changes, fieldChanges(path, oldObject, newObject)...)
		}
	}
	return changes
}

func fieldChanges(path string, oldObject, newObject object) []FieldChange {
	var changes []FieldChange
	for _, name := range sortedUnion(maps.Keys(oldObject), maps.Keys(newObject)) {
		before, after := string(oldObject[name]), string(newObject[name])
		if before != after {
			changes = append(changes, FieldChange{Path: path + "/" + name, Before: before, After: after})
		}
	}
	return changes
}

// splitObjects returns the named objects of a configuration by path.
func splitObjects(c pollenspindle.Config) map[string]object {
	objects := map[string]object{"deployment": {"name": encodeJSON(c.Deployment)}, "limits": toObject(c.Limits)}
	for _, zone := range c.Zones {
		objects["zones/"+zone.Name] = toObject(zone)
	}
	for _, service := range c.Services {
		objects["services/"+service.Name] = toObject(service)
	}
	for _, model := range c.Models {
		objects["models/"+model.Name] = toObject(model)
	}
	for _, server := range c.Servers {
		objects["servers/"+server.Name] = toObject(server)
	}
	for _, workspace := range c.Workspaces {
		objects["workspaces/"+workspace.Name] = toObject(workspace)
	}
	return objects
}

// encodeJSON marshals a struct or string of the configuration, which can't fail.
func encodeJSON(v any) json.RawMessage {
	data, _ := json.Marshal(v)
	return data
}

func toObject(v any) object {
	var o object
	_ = json.Unmarshal(encodeJSON(v), &o)
	return o
}

func encodeObject(o object) string { return string(encodeJSON(o)) }

// sortedUnion returns the names of both sequences, sorted and without duplicates.
func sortedUnion(a, b iter.Seq[string]) []string {
	names := slices.AppendSeq(slices.Collect(a), b)
	slices.Sort(names)
	return slices.Compact(names)
}
