// Package operatorapi is the protocol between operators and an entry instance: messages, paths and
// a client. Package operator implements the server.
//
// # Usage
//
//	c := operatorapi.NewClient("10.0.0.7:7081", token)
//	current, err := c.Configuration(ctx)
//	accepted, err := c.Apply(ctx, operatorapi.ApplyRequest{...})
package operatorapi

import (
	"time"

	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

// Prefix is the path prefix of every call that needs the operators' token.
const Prefix = "/operator/v1"

// Configuration is the configuration that an instance has in force.
type Configuration struct {
	Version int64                `json:"version"`
	Config  pollenspindle.Config `json:"config"`
}

// ApplyRequest replaces the configuration if BaseVersion is still in force.
type ApplyRequest struct {
	BaseVersion int64                `json:"baseVersion"`
	Author      string               `json:"author"`
	Summary     string               `json:"summary"`
	Config      pollenspindle.Config `json:"config"`
}

// ChangeRequest is the request body of a change of a single availability zone or backend server.
type ChangeRequest struct {
	Author  string `json:"author"`
	Summary string `json:"summary,omitempty"`
}

// ChangeResult is the result of an accepted change.
type ChangeResult struct {
	// Version is the version with the change, or the current version if nothing had to change.
	Version int64 `json:"version"`
	// Changes lists the differences to the previous version.
	Changes []FieldChange `json:"changes"`
}

// FieldChange is a difference between two configurations.
type FieldChange struct {
	// Path contains the kind and name of the object, as in servers/engine-1/state.
	Path string `json:"path"`
	// Before and After are JSON. Before is empty for a new object, After for a deleted one.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// InForce counts the instances that have at least a version in force.
type InForce struct {
	Version int64 `json:"version"`
	InForce int   `json:"inForce"`
	Total   int   `json:"total"`
}

// Change is an entry of the configuration's history.
type Change struct {
	Version int64     `json:"version"`
	Author  string    `json:"author"`
	Summary string    `json:"summary"`
	At      time.Time `json:"at"`
	// Changed lists the paths of the changed objects, as in zones/kigali-a. Some may be missing.
	Changed []string `json:"changed,omitempty"`
}

// History lists changes, newest first.
type History struct {
	Changes []Change `json:"changes"`
}

// Server is a backend server with its status.
type Server struct {
	pollenspindle.Server
	Status ServerStatus `json:"status"`
}

// ServerStatus is a backend server's status as last known to its owner. The zero value means that
// the responding instance has no load report.
type ServerStatus struct {
	// Owner is the entry instance that grants its permits.
	Owner string `json:"owner,omitempty"`
	// Load is cold, warm or leaving.
	Load         string `json:"load,omitempty"`
	Running      int    `json:"running"`
	Queued       int    `json:"queued"`
	Limit        int    `json:"limit"`
	UsedTokens   int    `json:"usedTokens"`
	Preemptions  int    `json:"preemptions"`
	ReportMillis int    `json:"reportMillis"`
}

// Servers lists backend servers in the order of the configuration.
type Servers struct {
	Servers []Server `json:"servers"`
}

// Instance is an entry instance as known to the responding instance.
type Instance struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	// State is live, leaving or silent.
	State         string `json:"state"`
	ConfigVersion int64  `json:"configVersion"`
	Epoch         int64  `json:"epoch"`
}

// Instances lists entry instances.
type Instances struct {
	Instances []Instance `json:"instances"`
}

// Generation is the state and history of a generation.
type Generation struct {
	ID        string `json:"id"`
	Workspace string `json:"workspace"`
	Model     string `json:"model,omitempty"`
	// Service is set for calls to plain services.
	Service string `json:"service,omitempty"`
	Server  string `json:"server,omitempty"`
	// State is queued, running, finished, refused or failed.
	State        string `json:"state"`
	OutputTokens int    `json:"outputTokens"`
	// Steps lists what happened to the generation, in order of time.
	Steps []Step `json:"steps"`
}

// Step is an event in the history of a generation.
type Step struct {
	At time.Time `json:"at"`
	// Instance is the entry instance that recorded the step, with At from its clock.
	Instance string `json:"instance,omitempty"`
	Kind     string `json:"what"`
	Detail   string `json:"detail,omitempty"`
}

// EngineCommand is a command to load a model, an adapter or a role on a backend server.
type EngineCommand struct {
	Server  string `json:"server"`
	Version string `json:"version,omitempty"`
}

// EngineCommandResult is the backend server's response to an [EngineCommand].
type EngineCommandResult struct {
	Server        string `json:"server"`
	Model         string `json:"model"`
	FencingNumber int64  `json:"fencingNumber"`
	State         string `json:"state"`
}

// LogLevel is the minimum level that an instance logs: debug, info, warn or error.
type LogLevel struct {
	Level string `json:"level"`
}
