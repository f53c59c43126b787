// Package dialect describes what differs between the environments in which an instance runs: the
// names of header fields, paths, and message formats. The product uses its own types; a dialect
// converts them to and from the formats of callers, backend servers and the platform. It contains
// no decisions.
//
// # Usage
//
//	d := dialect.Dialect{Fields: dialect.Fields{RequestID: "X-Request-Id"}, ...}
//	cfg, err := d.DecodeConfiguration(value)
package dialect

import (
	"time"

	"pollenspindle.example/pollenspindle/internal/objectapi"
	"pollenspindle.example/pollenspindle/internal/rollout"
	"pollenspindle.example/pollenspindle/internal/routes"
)

// Fields are the names of header fields.
type Fields struct {
	// RequestID identifies one attempt of a caller.
	RequestID string
	// DeadlineMillis is how long the caller waits, in milliseconds.
	DeadlineMillis string
	// Key is the caller's API key.
	Key string
	// Model, TokenCounts, Prefix and LengthHint describe a generation.
	Model       string
	TokenCounts string
	Prefix      string
	LengthHint  string
	// LastEventID is the last event that the caller of a stream has received.
	LastEventID string
	// Resumes is the request ID of the attempt that brought the caller the first event of the stream
	// that it resumes.
	Resumes string
	// Workspace tells a backend server the workspace of a request.
	Workspace string
	// ExpectInstance names the incarnation of a backend server that a request is meant for.
	ExpectInstance string
	// Urgency is the priority of a request on an engine; 0 is the highest.
	Urgency string
	// ResumeFrom names the KV cache from which a generation resumes.
	ResumeFrom string
	// Seal proves that a response was made by the backend server itself.
	Seal string
	// NotExecuted marks the response to a request that the server didn't run.
	NotExecuted string
	// Instance names the backend server that responds.
	Instance string
	// Brittleness is the number of requests that a backend server can reject in a second for want of
	// room without crashing.
	Brittleness string
	// RateLimit is the number of requests per second that a backend server takes from all instances.
	RateLimit string
	// Leaving is set in all responses of a backend server that is leaving.
	Leaving string
	// ServerLoad is what a backend server says of its load.
	ServerLoad string
	// Internal lists the fields that callers may not set.
	Internal []string
}

// Paths are the paths of calls, without a trailing slash.
type Paths struct {
	Directory string
	Ready     string
	Report    string
	Migrate   string
	// Handle is followed by a slash and the KV handle of a copy.
	Handle string
}

// Kinds are the platform's names for kinds of objects.
type Kinds struct {
	Configuration     string
	ConfigurationName string
	Servers           string
	DrainedZones      string
	Rollouts          string
	// CrashSuspects is the kind of this project's own objects for requests that crash servers.
	CrashSuspects string
}

// Server is a backend server as the platform lists it.
type Server struct {
	ID      string `json:"ID"`
	Service string `json:"Service"`
	Address string `json:"Address"`
	Zone    string `json:"Zone"`
	// Version is the version of the server's software.
	Version string `json:"Version"`
	Slots   int    `json:"Slots"`
	// Leaving servers take no new requests.
	Leaving bool `json:"Leaving"`
	// ColdRemaining is how much longer the server is cold.
	ColdRemaining time.Duration `json:"ColdFor"`
	// StartedAtMillis is when the server started, in milliseconds since 1970; 0 if unknown.
	StartedAtMillis int64 `json:"Born"`
}

// Rollout is a rollout spec as the platform holds it: a service's traffic is to be moved to one
// version of its servers.
type Rollout struct {
	// Name is the name of the object, Revision the revision of its last change.
	Name     string `json:"Name"`
	Revision int64  `json:"Revision"`
	// ID distinguishes rollouts of the same name.
	ID            string        `json:"ID"`
	Service       string        `json:"Service"`
	TargetVersion string        `json:"To"`
	Duration      time.Duration `json:"Duration"`
	// ReportedStage is the stage that was reported to the platform: none, canary while the rollout
	// is running, or a final stage. Stage is the stage as far as this instance knows.
	ReportedStage rollout.Stage `json:"Told"`
	Stage         rollout.Stage `json:"Stage"`
}

// ServerLoad is what a backend server says of its load in a response.
type ServerLoad struct {
	Running, Waiting, Slots int
	// Slowness is how long work takes on the server's machine, 1 as usual; 0 if not stated.
	Slowness float64
}

// LoadReport is what a model engine reports of itself.
type LoadReport struct {
	Leaving bool
	// LeavesIn is the time until the engine exits; negative if not reported.
	LeavesIn    time.Duration
	Waiting     int
	Running     int
	UsedTokens  int
	TotalTokens int
	// StartedAtMillis is when the engine started, in milliseconds since 1970; 0 if not reported.
	StartedAtMillis int64
	// Sequences are the running requests.
	Sequences []Sequence
}

// Sequence is one request on an engine.
type Sequence struct {
	ID     string
	Tokens int
	Events int
}

// MigrationRequest asks an engine to copy the KV cache of a request to another engine.
type MigrationRequest struct {
	RequestID string
	Target    string
	// Stop stops the request first, for the cutover.
	Stop bool
}

// MigrationResponse is the response to a [MigrationRequest].
type MigrationResponse struct {
	Handle string
	Events int
}

// Dialect holds the names and message formats of one environment.
type Dialect struct {
	Fields Fields
	Paths  Paths
	Kinds  Kinds
	// Objects is the format of the platform's object API.
	Objects objectapi.Codec
	// DecodeConfiguration, DecodeServer and DecodeReport decode messages.
	DecodeConfiguration func(value []byte) (routes.Configuration, error)
	DecodeServer        func(id string, value []byte) (Server, error)
	// DecodeRollout decodes a rollout spec and its status; EncodeRolloutStatus encodes a status.
	DecodeRollout       func(o objectapi.Object) (Rollout, error)
	EncodeRolloutStatus func(targetVersion string, stage rollout.Stage) []byte
	DecodeReport        func(body []byte) (LoadReport, error)
	// DecodePrefix decodes the value of [Fields.Prefix]: the IDs of the parts of a prompt in order. The
	// last one belongs to the request or its session alone.
	DecodePrefix func(value string) []string
	// DecodeServerLoad decodes the value of [Fields.ServerLoad], or reports that it is invalid.
	DecodeServerLoad func(value string) (ServerLoad, bool)
	// EncodeMigration encodes the request for a migration; DecodeMigration decodes its response.
	EncodeMigration func(m MigrationRequest) []byte
	DecodeMigration func(body []byte) (MigrationResponse, error)
	// EncodeResumeFrom encodes the value of [Fields.ResumeFrom].
	EncodeResumeFrom func(address, handle string) string
	// EncodeDirectory encodes the response to a caller that looks up instances.
	EncodeDirectory func(addresses []string, ttl time.Duration) []byte
	// DirectoryZone is the query parameter with the caller's availability zone.
	DirectoryZone string
}
